"""Gateway and scripted backend servers that run in the test process."""

import contextlib
import socket
from types import SimpleNamespace

import gevent
from gevent.server import StreamServer
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.messages import Heartbeat
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.const import NO_LINGER
from arbutusyard.gateway.ingress import Ingress
from arbutusyard.gateway.memory import MemoryBudget
from arbutusyard.gateway.models import (
    Account,
    Configuration,
    IngressLimits,
    RetryPolicy,
    Route,
    ServerEntry,
    ServerState,
    Service,
    ServiceShare,
)
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.relay import Relay
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.limits.sharing import FleetShare
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.platform.servers import ServerClient

STAMP = "Response-Stamp: s\r\n"
SETTINGS = NodeSettings(
    name="n1",
    failure_domain="z",
    region="r",
    callers_address="127.0.0.1:0",
    ready_address="127.0.0.1:0",
    directory_address="127.0.0.1:0",
    peer_address="127.0.0.1:0",
    seeds=(),
    store_address="127.0.0.1:1",
    revoke_s=5.0,
    drain_s=2.0,
    grace_s=8.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50.0,
    lease_s=3.0,
    weights_s=8.0,
    directory_keep_max_s=5.0,
)
METRICS = DeferredMetrics()


class ScriptedServer:
    """Backend server that sends what its script yields and records its requests."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.closed = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _):
        reader = sock.makefile("rb")
        carried = []
        while request := read_message(reader):
            # The IDs of the requests that came before it on its connection.
            request.carried = list(carried)
            carried.append(request.headers.get("request-id"))
            self.requests.append(request)
            try:
                for data in self.script(request):
                    if data is None:
                        # The router closes the connection of a disconnected client.
                        if not sock.recv(1):
                            self.closed += 1
                        return
                    sock.sendall(data)
            except OSError:
                self.closed += 1
                return
            if request.last:
                break
        if request is not None and request.reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()

    def stop(self):
        self._server.stop(timeout=0)


class CrashingServer(ScriptedServer):
    """Server that can end as a process does."""

    def __init__(self, script):
        super().__init__(script)
        self.crashed = False
        self._socks = set()

    def _serve(self, sock, address):
        self._socks.add(sock)
        try:
            super()._serve(sock, address)
        finally:
            self._socks.discard(sock)

    def crash(self):
        """Close the port and all connections, as the end of a process does."""
        self.crashed = True
        socks = list(self._socks)
        self.stop()
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def read_message(reader, with_body=True):
    request_line = reader.readline()
    if not request_line:
        return None
    headers = {}
    while line := reader.readline().strip():
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if not with_body:
        pass
    elif headers.get("transfer-encoding") == "chunked":
        while size := int(reader.readline(), 16):
            body += reader.read(size + 2)[:-2]
        reader.readline()
    else:
        body = reader.read(int(headers.get("content-length", 0)))
    return SimpleNamespace(
        first=request_line.decode().strip(),
        headers=headers,
        body=body,
        last=False,
        reset=False,
    )


def answer(request, status="200 OK", body=b"ok", headers=STAMP, request_id=None):
    """Build a complete answer to a request."""
    name = request.headers.get("request-id") if request_id is None else request_id
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {name}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def not_run(request, status="503 Service Unavailable", headers=""):
    return answer(request, status, b"", f"Not-Executed: 1\r\n{headers}")


def event(n, text="x"):
    return f"id: {n}\ndata: {text}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request, headers=STAMP):
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request.headers['request-id']}\r\n"
        f"{headers}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


class Gateway:
    """Gateway that serves clients on a port of the test process."""

    def __init__(
        self,
        *servers,
        retry_policy=RetryPolicy.ANY,
        streaming=False,
        peer_address=SETTINGS.peer_address,
        origins=OriginCoordinator,
        **changes,
    ):
        route = {
            "name": "r",
            "host": "h.test",
            "path_prefix": "/a/",
            "shares": (ServiceShare("svc", 1.0),),
            "retry_policy": retry_policy,
            "streaming": streaming,
            "timeout_s": 2.0,
            "objective_s": 0.2,
            "gap_s": 0.25,
            "priority": 1,
            "max_attempts": 2,
            "public": False,
            **changes,
        }
        self.fleet_state = FleetState(None)
        self.configure(Route(**route))
        entries = {}
        for n, server in enumerate(servers):
            name = f"s{n}"
            entries[name] = ServerEntry(
                name, 1, "svc", server.address, "z", ServerState.READY, 8, {"m": 1}
            )
        self.fleet_state.servers.replace(entries, clock.now())
        self.confirm()
        self.peers = peers = PeerTable("n1")
        self.router = PlacementRouter(self.fleet_state, peers, "z", 6.5)
        self.pool = ServerPool()
        self.relay = Relay(
            replace(SETTINGS, peer_address=peer_address),
            self.fleet_state,
            peers,
            self.router,
            self.pool,
            METRICS,
            origins("n1", self.fleet_state),
            ServerClient(),
        )
        self.relay.update_share(FleetShare(recent=0, settled=True))
        memory = MemoryBudget(SETTINGS.client_limits)
        self.ingress = Ingress("127.0.0.1:0", self.fleet_state, self.relay, memory)
        self.ingress.setup(Application("test"))
        # IP addresses at which other nodes are known.
        self.nodes = {"127.0.0.1"}
        self.node_ingress = Ingress(
            "127.0.0.1:0",
            self.fleet_state,
            self.relay,
            memory,
            lambda host: host in self.nodes,
        )
        self.node_ingress.setup(Application("test"))

    def configure(self, *routes, version=1, accounts=None, limits=None):
        accounts = accounts or (Account("acc", ("key",), None, False),)
        services = {"svc": Service("svc", 100)}
        self.fleet_state.catalog = Catalog(
            Configuration(
                version, routes, services, (), accounts, limits or IngressLimits()
            )
        )

    def configure_limits(self, **limits):
        """Replace the limits on clients' requests."""
        cfg = self.fleet_state.catalog.cfg
        self.fleet_state.catalog = Catalog(replace(cfg, limits=IngressLimits(**limits)))

    def confirm(self, age_s=0.0):
        """Mark the configuration as confirmed `age_s` seconds ago."""
        self.fleet_state._config_watcher.confirmed_at = clock.now() - age_s

    def connect(self):
        host, port = self.ingress.address.rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=5)

    def call(self, raw=None, **headers):
        """Send one request; return its answer, or None if there is none."""
        sock = self.connect()
        sock.sendall(raw if raw is not None else request_bytes(**headers))
        try:
            return read_answer(sock)
        finally:
            sock.close()

    def stop(self):
        self.ingress.unload()
        self.node_ingress.unload()


def request_bytes(path="/a/x", method="POST", body=b"body", **headers):
    fields = {
        "Host": "h.test",
        "Request-Id": "r1",
        "Api-Key": "key",
        "Deadline-Ms": "1500",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(sock, reader=None):
    """Read an answer; `complete` is False if its body ended early."""
    reader = reader or sock.makefile("rb")
    status_line = reader.readline().decode().strip()
    if not status_line:
        return None
    headers = {}
    while line := reader.readline().strip():
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    chunks, complete = [], False
    # The reset of a connection ends its answer early, in any framing.
    with contextlib.suppress(ConnectionResetError):
        complete = read_body(reader, headers, chunks)
    return SimpleNamespace(
        status=int(status_line.split()[1]),
        headers=headers,
        body=b"".join(chunks),
        complete=complete,
    )


def read_body(reader, headers, chunks):
    """Append the body of an answer to `chunks`; return whether it is complete."""
    if headers.get("transfer-encoding") == "chunked":
        while size := reader.readline().strip():
            data = reader.read(int(size, 16) + 2)[:-2]
            if not int(size, 16):
                return True
            chunks.append(data)
        return False
    if "content-length" in headers:
        chunks.append(reader.read(int(headers["content-length"])))
        return len(chunks[0]) == int(headers["content-length"])
    while data := reader.read1(65_536):
        chunks.append(data)
    return True


def wait_for(condition, timeout_s=3.0):
    """Wait until a condition is true; fail after the timeout."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


class RefusingServer:
    """Address at which nothing listens."""

    def __init__(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{sock.getsockname()[1]}"


def heartbeat_of(gateway, name="n2", seq=1, **fields):
    fields = {"ready": True, "leaving": False, "config_version": 1, **fields}
    return Heartbeat(
        name=name,
        incarnation=1,
        seq=seq,
        peer_address=gateway.node_ingress.address,
        callers_address=gateway.ingress.address,
        failure_domain="z",
        region="r",
        fencing_token=0,
        **fields,
    )


class FakeNode:
    """Scripted server that other nodes take for a node."""

    def __init__(self, script):
        self.node_ingress = self.ingress = ScriptedServer(script)

    @property
    def requests(self):
        return self.ingress.requests

    def stop(self):
        self.ingress.stop()


def link(gateway, *others, **fields):
    """Let a gateway receive heartbeats of other nodes; the first is preferred."""
    for number, other in enumerate(others):
        name = f"n{number + 2}"
        gateway.peers.apply_heartbeat(heartbeat_of(other, name, **fields), clock.now())
