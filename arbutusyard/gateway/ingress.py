"""Accept callers' connections and serve their requests one after another."""

import logging
import socket
from typing import Final

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.exceptions import BadRequest, CallerGone, GatewayError
from arbutusyard.gateway.models import CallerRequest, IngressLimits, Refusal
from arbutusyard.gateway.relay import Relay
from arbutusyard.platform.headers import read_request, refusal_headers

_LOGGER = logging.getLogger(__name__)

BACKLOG: Final = 512
# Descriptors that the platform keeps for files, and that servers' connections take.
RESERVED_DESCRIPTORS: Final = 600
DRAIN_STEP_S: Final = 0.02


class Ingress:
    """Serve callers on one address."""

    name = "ingress"

    __slots__ = (
        "_address",
        "_idle",
        "_fleet_state",
        "_relay",
        "_server",
        "_stop_at",
        "_tasks",
        "busy",
    )

    def __init__(
        self, address: str, fleet_state: FleetState, relay: Relay, max_fds: int
    ) -> None:
        self._address = address
        self._fleet_state = fleet_state
        self._relay = relay
        self._tasks = Pool(max(64, max_fds - RESERVED_DESCRIPTORS))
        self._server: StreamServer | None = None
        self._idle: dict[gevent.Greenlet, CallerConnection] = {}
        self._stop_at = float("inf")
        self.busy = 0

    def setup(self, app: Application) -> None:
        """Start accepting."""
        host, port = self._address.rsplit(":", 1)
        self._server = StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG, spawn=self._tasks
        )
        self._server.start()

    @property
    def address(self) -> str:
        """Return the bound address."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def drain(self) -> None:
        """Stop accepting, end idle connections and wait for work in hand."""
        # Connections that already wait are accepted before the port closes.
        gevent.sleep(DRAIN_STEP_S)
        self._server.stop_accepting()
        while clock.now() < self._stop_at:
            self._end_idle()
            if not self.busy and not self._idle:
                break
            gevent.sleep(DRAIN_STEP_S)
        if self.busy:
            _LOGGER.warning("Stopping with %d requests in hand", self.busy)

    def _end_idle(self) -> None:
        """End the connections on which no part of a request has come."""
        for task, conn in list(self._idle.items()):
            if conn.untouched():
                task.kill(CallerGone("this node stops"), block=False)

    def drain_until(self, stop_at: float) -> None:
        """Set when draining ends whatever is in hand."""
        self._stop_at = stop_at

    def unload(self) -> None:
        """Close every connection."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        catalog = self._fleet_state.catalog
        limits = catalog.cfg.limits if catalog else IngressLimits()
        conn = CallerConnection(sock, limits)
        try:
            while True:
                req = self._read(conn)
                if req is None:
                    return
                self._handle(req, conn)
                if self._relay.leaving or not conn.reusable():
                    return
        except CallerGone as exc:
            _LOGGER.debug("Caller left: %s", exc)
        finally:
            conn.close()

    def _read(self, conn: CallerConnection) -> CallerRequest | None:
        task = gevent.getcurrent()
        self._idle[task] = conn
        try:
            return conn.read_request()
        except BadRequest as exc:
            refusal = Refusal(exc.status, "bad_request")
            headers = [*refusal_headers(None, refusal), (b"connection", b"close")]
            conn.answer(exc.status, headers, b"")
            _LOGGER.info(
                "Refused bytes of a caller",
                extra={"status": exc.status, "cause": str(exc)},
            )
            return None
        finally:
            del self._idle[task]

    def _handle(self, req: CallerRequest, conn: CallerConnection) -> None:
        task = gevent.getcurrent()
        gone = CallerGone("the caller closed its connection")
        watcher = conn.watch(lambda: task.kill(gone, block=False))
        self.busy += 1
        try:
            read_request(req)
            self._relay.serve(req, conn)
        except GatewayError:
            raise
        except Exception:
            # A fault of ours: nothing is promised about the request.
            _LOGGER.exception(
                "Request failed unexpectedly", extra={"request_id": req.request_id}
            )
            if not conn.sent_head:
                conn.answer(502, [(b"connection", b"close")], b"")
        finally:
            self.busy -= 1
            watcher.kill()
