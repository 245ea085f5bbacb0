"""Run one node process against a store and a server, and measure what it holds."""

import contextlib
import os
import socket

import gevent

from tests.fleet.support import Store, entry
from tests.gateway.support import ScriptedServer, answer, read_answer, request_bytes
from tests.soak.ledger import Ledger
from tests.soak.nodes import FRONT_PORT, NodeProcess

MIB = 1 << 20
# Limits of the VM in the node's settings.
LIMITS = {"memory_mb": 152, "max_fds": 700}
# Size of the answers on the route of large answers, in bytes.
LARGE_ANSWER_BYTES = 4 * MIB
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h.test",
            "path_prefix": "/",
            "kind": "idempotent",
            "timeout_ms": 20_000,
            "service": "svc",
        }
    ],
    "services": [{"name": "svc", "max_connections": 500}],
}
SAMPLE_INTERVAL_S = 0.02
# Pause between two tries of the ordinary client, and the time after which a node that
# has not answered counts as hanging, in seconds.
RETRY_S = 0.5
HANGS_S = 45.0


def serve(request):
    """Answer with 4 MiB on /large and with a few bytes elsewhere."""
    is_large = "/large" in request.first
    yield answer(request, body=b"x" * LARGE_ANSWER_BYTES if is_large else b"ok")


class Site:
    """A node process, its store and its server; `peak` is what the node held."""

    def __init__(self, folder, **limits):
        self.ledger = Ledger()
        self._store = Store()
        self._server = ScriptedServer(serve)
        self._store.write("op", "config", CONFIG)
        self._store.write("servers", "s", entry(self._server.address))
        self.node = NodeProcess(0, folder, self.ledger, self._store.address)
        self.node._settings["limits"] = {**LIMITS, **limits}
        self.node.start()
        self._pid = self.node._process.pid
        self._socks = []
        self._tasks = []
        self.peak_bytes = 0
        self.peak_fds = 0
        with gevent.Timeout(20):
            while not self.node.is_ready():
                gevent.sleep(0.05)
        # A node reports to be ready some milliseconds before it accepts clients.
        assert self.call_ordinary() == 200
        self._tasks.append(gevent.spawn(self._sample_forever))

    def attack(self, count, pieces, read=None, duration_s=6.0):
        """Send `pieces()` on `count` connections for a while; they stay open."""
        for _ in range(count):
            self._tasks.append(gevent.spawn(self._attack_once, pieces, read))
        gevent.sleep(duration_s)

    def _attack_once(self, pieces, read):
        sock = socket.socket()
        self._socks.append(sock)
        # Unread answers stay at the node.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with contextlib.suppress(OSError):
            sock.connect((self.node.ip, FRONT_PORT))
            for piece in pieces():
                sock.sendall(piece)
            while read is not None and sock.recv(read):
                gevent.sleep(0.1)

    def call(self, pieces):
        """Send the pieces of one request; return the status of its answer."""
        sock = socket.create_connection((self.node.ip, FRONT_PORT), timeout=20)
        with contextlib.closing(sock):
            for piece in pieces:
                sock.sendall(piece)
            got = read_answer(sock)
            return got.status if got else None

    def call_ordinary(self):
        """Send an ordinary request of 100 KB until it is answered; return its status.

        As an ordinary client does, repeat it after a refusal or a closed connection.
        """
        status = None
        request = request_bytes("/o", body=b"b" * 100_000, Deadline_Ms="10000")
        with gevent.Timeout(HANGS_S, False):
            while status != 200:
                with contextlib.suppress(OSError):
                    status = self.call([request])
                gevent.sleep(RETRY_S)
        return status

    def _sample_forever(self):
        while True:
            self.sample()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        """Measure resident memory plus the bytes queued in the node's sockets."""
        with contextlib.suppress(OSError):
            with open(f"/proc/{self._pid}/status") as status:
                fields = dict(line.split(":", 1) for line in status)
            held = int(fields["VmRSS"].split()[0]) * 1024 + self._queued_bytes()
            self.peak_bytes = max(self.peak_bytes, held)
            fds = len(os.listdir(f"/proc/{self._pid}/fd"))
            self.peak_fds = max(self.peak_fds, fds)

    def _queued_bytes(self):
        """Return the unread and unsent bytes of the node's client connections."""
        address = "".join(f"{int(part):02X}" for part in self.node.ip.split(".")[::-1])
        local = f"{address}:{FRONT_PORT:04X}"
        queued = 0
        with open("/proc/net/tcp") as table:
            for line in table:
                fields = line.split()
                if fields[1] == local and fields[3] == "01":
                    queued += sum(int(size, 16) for size in fields[4].split(":"))
        return queued

    def stop(self):
        gevent.killall(self._tasks)
        for sock in self._socks:
            sock.close()
        self.node.stop()
        self._server.stop()
        self._store.stop()
