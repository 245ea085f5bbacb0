"""Accept client connections and serve the requests on each of them in order."""

import logging
import socket
from collections.abc import Callable
from typing import Final

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.const import CLIENT_BUFFER_BYTES, NODE_HEADER_BYTES
from arbutusyard.gateway.exceptions import (
    BadRequest,
    CallerGone,
    GatewayError,
    Overloaded,
)
from arbutusyard.gateway.memory import EndReason, MemoryBudget
from arbutusyard.gateway.models import CallerRequest, IngressLimits, Refusal
from arbutusyard.gateway.relay import Relay
from arbutusyard.platform.headers import read_request, refusal_headers

_LOGGER = logging.getLogger(__name__)

# Number of connections that the kernel queues until they are accepted.
BACKLOG_CONNECTIONS: Final = 512
# Interval between log lines about connections that are not accepted, in seconds.
REFUSED_LOG_INTERVAL_S: Final = 1.0
# Interval between checks for remaining work while draining, in seconds.
DRAIN_POLL_S: Final = 0.02


class Ingress:
    """Listen on one address and serve the clients that connect to it.

    With `is_node` only other nodes may connect, which forward their clients' requests.
    """

    __slots__ = (
        "_address",
        "_is_node",
        "_reading",
        "_fleet_state",
        "_refused_at",
        "_relay",
        "_server",
        "_stop_at",
        "_tasks",
        "in_flight",
        "memory",
        "name",
    )

    def __init__(
        self,
        address: str,
        fleet_state: FleetState,
        relay: Relay,
        memory: MemoryBudget,
        is_node: Callable[[str], bool] | None = None,
    ) -> None:
        self.name = "ingress" if is_node is None else "node_ingress"
        self._address = address
        self._is_node = is_node
        self._fleet_state = fleet_state
        self._relay = relay
        # The budget limits the connections: a full pool would keep new clients out.
        self._tasks = Pool()
        self.memory = memory
        self.memory.on_end = self._count_ended
        # Time of the last log line about a connection that was not accepted.
        self._refused_at = float("-inf")
        self._server: StreamServer | None = None
        self._reading: dict[gevent.Greenlet, CallerConnection] = {}
        self._stop_at = float("inf")
        self.in_flight = 0

    def setup(self, app: Application) -> None:
        """Start accepting connections."""
        host, port = self._address.rsplit(":", 1)
        try:
            listener = StreamServer.get_listener(
                (host, int(port)), backlog=BACKLOG_CONNECTIONS, family=socket.AF_INET
            )
        except OSError as exc:
            if self._is_node is None:
                raise
            # Clients are served all the same.
            _LOGGER.error(
                "Other nodes cannot forward requests to this one: cannot listen on "
                "%s: %s",
                self._address,
                exc,
            )
            return
        # Accepted connections inherit them; they cannot shrink once bytes have come.
        for name in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, name, CLIENT_BUFFER_BYTES)
        self._server = StreamServer(
            listener,
            self._serve_connection,
            spawn=self._tasks,
        )
        self._server.start()

    @property
    def address(self) -> str:
        """Return the bound address."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def drain(self) -> None:
        """Stop accepting, close idle connections and wait for requests in flight."""
        if self._server is None:
            return
        # Accept the connections that are already queued before the port closes.
        gevent.sleep(DRAIN_POLL_S)
        self._server.stop_accepting()
        while clock.now() < self._stop_at:
            self._close_idle()
            if not self.in_flight and not self._reading:
                break
            gevent.sleep(DRAIN_POLL_S)
        if self.in_flight:
            _LOGGER.warning("Stopping with %d requests in flight", self.in_flight)

    def _close_idle(self) -> None:
        """Close the connections on which no byte of a request has been received."""
        for task, conn in list(self._reading.items()):
            if conn.is_idle():
                task.kill(CallerGone("this node stops"), block=False)

    def set_drain_deadline(self, stop_at: float) -> None:
        """Set the time at which draining ends even with requests in flight."""
        self._stop_at = stop_at

    def unload(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def _serve_connection(self, sock: socket.socket, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        catalog = self._fleet_state.catalog
        limits = catalog.cfg.limits if catalog else IngressLimits()
        now = clock.now()
        if self._is_node is not None:
            if not self._is_node(address[0]):
                self._reject_unknown(sock, address[0], now)
                return
            # What the other node adds must not exceed the limit on the client's head.
            header_bytes = limits.header_bytes + NODE_HEADER_BYTES
            limits = replace(limits, header_bytes=header_bytes)
        holding = self.memory.open(lambda reason: None, now)
        if holding is None:
            self._reject_connection(sock, now)
            return
        conn = CallerConnection(sock, limits, self.memory, holding)
        try:
            while True:
                req = self._read_next(conn)
                if req is None:
                    return
                self._handle_request(req, conn)
                # An idle connection must not keep the body of its last request.
                req = None
                if self._relay.leaving and not conn.has_received_more():
                    return
                if not conn.prepare_for_reuse():
                    return
        except CallerGone as exc:
            _LOGGER.debug("Connection to a client ended: %s", exc)
        finally:
            conn.close()

    def _reject_connection(self, sock: socket.socket, now: float) -> None:
        """Close a new connection that nothing can be released for."""
        sock.close()
        self._count_ended(EndReason.CONNECTIONS)
        if now - self._refused_at >= REFUSED_LOG_INTERVAL_S:
            self._refused_at = now
            _LOGGER.warning(
                "New connections are closed: all clients' connections are in use",
                extra=self.memory.usage(),
            )

    def _reject_unknown(self, sock: socket.socket, host: str, now: float) -> None:
        """Close a connection to the nodes' listener that is not from a node."""
        sock.close()
        self._relay.count_refusal("unknown_node")
        if now - self._refused_at >= REFUSED_LOG_INTERVAL_S:
            self._refused_at = now
            _LOGGER.warning(
                "Closed a connection from %s to the listener for nodes: no node is "
                "known at that address",
                host,
            )

    def _count_ended(self, reason: EndReason) -> None:
        self._relay.count_refusal(reason.value)

    def _read_next(self, conn: CallerConnection) -> CallerRequest | None:
        task = gevent.getcurrent()
        self._reading[task] = conn
        try:
            return conn.read_request()
        except BadRequest as exc:
            refusal = Refusal(exc.status, "bad_request")
            if isinstance(exc, Overloaded):
                refusal = Refusal(exc.status, exc.reason, exc.retry_after_s)
            headers = [*refusal_headers(None, refusal), (b"connection", b"close")]
            conn.answer(exc.status, headers, b"")
            _LOGGER.info(
                "Refused a request that could not be read",
                extra={"status": exc.status, "cause": str(exc)},
            )
            return None
        finally:
            del self._reading[task]

    def _handle_request(self, req: CallerRequest, conn: CallerConnection) -> None:
        task = gevent.getcurrent()
        disconnect = CallerGone("the client closed its connection")
        watcher = conn.watch(lambda: task.kill(disconnect, block=False))
        self.in_flight += 1
        try:
            req.from_node = self._is_node is not None
            read_request(req)
            self._relay.serve(req, conn)
        except GatewayError:
            raise
        except Exception:
            # Internal error: the answer does not say whether a server ran the request.
            _LOGGER.exception(
                "Request failed unexpectedly", extra={"request_id": req.request_id}
            )
            if not conn.sent_head:
                conn.answer(502, [(b"connection", b"close")], b"")
        finally:
            # Yields to other tasks, so this one still counts as being in flight.
            watcher.kill()
            self.in_flight -= 1
