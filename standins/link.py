"""Simulate a network link between two processes: delay, loss and cuts on command."""

from gevent import monkey

monkey.patch_all()

import json
import random
import socket

import bottle
import gevent
from gevent import Greenlet
from gevent.server import DatagramServer, StreamServer

from standins.common import parser, reply, serve

CHUNK_BYTES = 65536


class Link:
    """Forward TCP connections and UDP datagrams to one target."""

    def __init__(self, target: str, delay_s: float) -> None:
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.delay_s = delay_s
        self.loss = 0.0
        self.cut = False
        self.drop_from: set[str] = set()
        self.drop_replies = False
        self.pumps: set[Greenlet] = set()
        self.sockets: set[socket.socket] = set()
        self.random = random.Random(1)

    def forward_connection(self, sock: socket.socket, _address: tuple) -> None:
        """Forward one TCP connection."""
        if self.cut:
            sock.close()
            return
        try:
            target_sock = socket.create_connection(self.target, timeout=2)
        except OSError:
            sock.close()
            return
        target_sock.settimeout(None)
        self.sockets |= {sock, target_sock}
        reply_task = gevent.spawn(self._forward, target_sock, sock, True)
        self._forward(sock, target_sock, False)
        reply_task.join()
        self.sockets -= {sock, target_sock}

    def _forward(self, source: socket.socket, sink: socket.socket, reply: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                gevent.sleep(self.delay_s)
                if reply and self.drop_replies:
                    break
                sink.sendall(data)
            if reply and self.drop_replies:
                source.close()
                sink.close()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()

    def configure(self, order: dict) -> None:
        """Change the link's behaviour; a cut closes the open connections."""
        self.cut = order.get("cut", self.cut)
        self.delay_s = order.get("delay_s", self.delay_s)
        self.loss = order.get("loss", self.loss)
        self.drop_from = set(order.get("drop_from", self.drop_from))
        self.drop_replies = order.get("drop_replies", self.drop_replies)
        if self.cut:
            for sock in list(self.sockets):
                sock.close()

    def forward_datagram(
        self, server: DatagramServer, data: bytes, source: tuple
    ) -> None:
        """Forward one datagram to the target, unless it is lost or dropped."""
        if self.cut or self.random.random() < self.loss:
            return
        if f"{source[0]}:{source[1]}" in self.drop_from:
            return
        gevent.spawn_later(self.delay_s, server.socket.sendto, data, self.target)


class LinkDatagrams(DatagramServer):
    """Receive the datagrams of a link on its port."""

    def __init__(self, port: int, link: Link) -> None:
        super().__init__(("127.0.0.1", port))
        self._link = link

    def handle(self, data: bytes, source: tuple) -> None:
        """Forward one datagram."""
        self._link.forward_datagram(self, data, source)


def main() -> None:
    """Run a link; print its control address, whose answers name the forwarded one."""
    args = parser(main.__doc__)
    args.add_argument("--target", required=True)
    args.add_argument("--delay-s", type=float, default=0.0)
    cfg = args.parse_args()
    link = Link(cfg.target, cfg.delay_s)
    server = StreamServer(("127.0.0.1", 0), link.forward_connection)
    server.start()
    LinkDatagrams(server.server_port, link).start()
    app = bottle.Bottle()

    @app.post("/_control")
    def control() -> bottle.HTTPResponse:
        link.configure(json.loads(bottle.request.body.read()))
        return reply({"carries": f"127.0.0.1:{server.server_port}"})

    serve(app, cfg.listen)


if __name__ == "__main__":
    main()
