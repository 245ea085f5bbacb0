"""Server that answers each request with bytes, then ends or resets its connection."""

import socket

from gevent.server import StreamServer

from arbutusyard.gateway.const import NO_LINGER


class RawServer:
    """Send `data` to each request; close with a reset if `reset` is true."""

    def __init__(self):
        self.data = b""
        self.reset = False
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _):
        # The requests of these tests fit into one segment.
        sock.recv(65_536)
        sock.sendall(self.data)
        if self.reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()

    def stop(self):
        self._server.stop(timeout=0)
