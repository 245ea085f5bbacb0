"""Send a request to one backend server and pass its answer on to the caller."""

import enum
import logging

from msgspec import Struct, field

from arbutusyard import clock
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.admission import Admission
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.const import (
    GAP_MARGIN_S,
    GAP_MIN_S,
    GAP_OBJECTIVES,
    GAP_PAUSES,
    MISMATCH_PAUSE_S,
    REACHED_KEEP_S,
    REFUSAL_BYTES_MAX,
    REFUSAL_READ_S,
    SHED_PAUSE_S,
)
from arbutusyard.gateway.events import EventSplitter, StreamEvent
from arbutusyard.gateway.exceptions import (
    AnswerBroken,
    AnswerLate,
    CallerGone,
    NotSent,
    Unreachable,
)
from arbutusyard.gateway.models import (
    Account,
    AnswerHead,
    CallerRequest,
    Dispatch,
    Repeat,
    Route,
)
from arbutusyard.gateway.pool import ServerConnection, ServerPool, connection_cap
from arbutusyard.gateway.router import Placement, PlacementRouter
from arbutusyard.platform.headers import dispatch_headers, event_weights_version

_LOGGER = logging.getLogger(__name__)

# An answer is held until it is whole up to this size, in bytes.
WHOLE_ANSWER_BYTES = 1_048_576
URGENCY_LAST = 9


class AttemptResult(enum.Enum):
    """Name how one try at a server ended without an answer for the caller."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    LATE = "late"


class Exchange(Struct):
    """Hold the progress of one request."""

    req: CallerRequest
    conn: CallerConnection
    route: Route
    account: Account | None
    service: str
    until: float
    attempts: int = 0
    runs: int = 0
    connect_failures: int = 0
    avoid: set[str] = field(default_factory=set)
    last_event_id: str = ""
    first_event_at: float | None = None
    placement: Placement | None = None
    stored: tuple[AnswerHead, bytes] | None = None


class Dispatcher:
    """Try one server at a time and tell how the try ended."""

    __slots__ = (
        "_admission",
        "_fleet_state",
        "_odd_pauses",
        "_peers",
        "_pool",
        "_router",
    )

    def __init__(
        self,
        admission: Admission,
        fleet_state: FleetState,
        peers: PeerTable,
        router: PlacementRouter,
        pool: ServerPool,
    ) -> None:
        self._admission = admission
        self._fleet_state = fleet_state
        self._peers = peers
        self._router = router
        self._pool = pool
        self._odd_pauses: set[str] = set()

    def dispatch(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptResult | None:
        """Send a request to one server; return None once its caller has an answer."""
        server = placement.server
        now = clock.now()
        cap = self._connection_cap(exchange.service, now)
        self._router.started(placement, now)
        conn: ServerConnection | None = None
        whole: AnswerHead | None = None
        try:
            conn = self._pool.acquire(server, cap, now)
            conn.should_abandon = lambda: self._abandons(exchange, server)
            if exchange.conn.has_disconnected():
                # On a busy node a caller's request and its end are read together.
                raise CallerGone("the caller left before its request was sent on")
            self._send(exchange, placement, conn)
            head = conn.read_head(exchange.req.request_id, exchange.until)
            result = self._take_answer(exchange, placement, conn, head)
            whole = head
        except NotSent as exc:
            # A kept connection that broke, or too many, say nothing of the server.
            if isinstance(exc, Unreachable):
                was_suspected = server.suspected
                server.suspect(clock.now())
                if not was_suspected:
                    self._router.on_unresponsive(server.entry.server_id)
            self._router.not_run(placement)
            result = self._failed(exchange, placement, AttemptResult.NOT_SENT, exc)
        except AnswerBroken as exc:
            server.count_outcome(True, clock.now())
            result = self._failed(exchange, placement, AttemptResult.BROKEN, exc)
        except AnswerLate as exc:
            server.count_outcome(True, clock.now())
            result = self._failed(exchange, placement, AttemptResult.LATE, exc)
        finally:
            self._router.ended(placement)
            if conn is not None and whole is not None:
                self._pool.release(conn, whole, clock.now())
            elif conn is not None:
                self._pool.abort(conn)
        return result

    def _send(
        self, exchange: Exchange, placement: Placement, conn: ServerConnection
    ) -> None:
        req = exchange.req
        account = exchange.account
        dispatch = Dispatch(
            server_id=placement.server.entry.server_id,
            account=account.name if account else None,
            time_left_s=exchange.until - clock.now(),
            weights_version=placement.weights_version or None,
            cache_salt=placement.cache_salt,
            cache_source=placement.fetch.address if placement.fetch else "",
            cache_sink=placement.save_to,
            urgency=_urgency(exchange.route, account),
            resume_after=exchange.last_event_id or req.resume_after,
        )
        conn.send(req.method, req.target, dispatch_headers(req, dispatch), req.body)

    def _abandons(self, exchange: Exchange, server: Server) -> bool:
        """Tell whether a quiet server's request goes on elsewhere; check the server.

        A crowded server may be quiet as well, above all towards one of many nodes. It
        keeps the request while it can be reached and is reading prompts; only a server
        that can't be reached is told to the others.
        """
        now = clock.now()
        if not self._router.quiet(server, now):
            return False
        reading = self._router.reading(server, now)
        if not server.suspected and now - server.reached_at <= REACHED_KEEP_S:
            if reading:
                return False
        elif not server.suspected:
            server.suspect(now, first_hand=False)
            self._router.on_check(server)
            _LOGGER.warning(
                "Server %s is quiet; checking whether it can be reached",
                server.entry.server_id,
                extra={
                    "request_id": exchange.req.request_id,
                    "server": server.entry.server_id,
                    "quiet_s": round(server.since_last_byte_s(now), 3),
                },
            )
            if reading:
                return False
        if exchange.route.repeat is Repeat.ONCE:
            return False
        if exchange.runs + 1 >= exchange.route.max_attempts:
            return False
        others = self._fleet_state.servers.of_service(exchange.service)
        return any(other.usable(now) for other in others)

    def _connection_cap(self, service: str, now: float) -> int:
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(service) if catalog else None
        nodes = self._peers.active_count(now)
        return connection_cap(known.max_connections if known else 0, nodes)

    def _take_answer(
        self,
        exchange: Exchange,
        placement: Placement,
        conn: ServerConnection,
        head: AnswerHead,
    ) -> AttemptResult | None:
        """Read an answer to its end and pass it on, unless another try is better."""
        server = placement.server
        model = exchange.req.model
        if model and head.weights_version is not None:
            server.weights[model] = head.weights_version
        self._heed(server, head)
        if head.not_run:
            read_until = min(exchange.until, clock.now() + REFUSAL_READ_S)
            conn.discard_body(REFUSAL_BYTES_MAX, read_until)
            return self._take_not_run(exchange, placement, head)
        if head.encoded:
            raise AnswerBroken("the answer's body is encoded")
        if head.status < 300 and not head.stamped:
            raise AnswerBroken("the answer bears no stamp")
        if exchange.route.streaming and head.status < 300:
            self._relay_stream(exchange, placement, conn, head)
            server.count_outcome(False, clock.now())
            return None
        body = self._read_or_pass(exchange, conn, head)
        server.count_outcome(head.status >= 500, clock.now())
        if body is None:
            return None
        if head.status >= 500:
            exchange.stored = (head, body)
            return self._failed(
                exchange, placement, AttemptResult.FAILED, f"status {head.status}"
            )
        self.answer(exchange, head, body)
        return None

    def _heed(self, server: Server, head: AnswerHead) -> None:
        """Take what an answer says of its server's wish for more requests."""
        if head.leaving:
            server_id, started_at_ms = server.incarnation
            if self._fleet_state.servers.mark_leaving(server_id, started_at_ms):
                self._router.on_leaving(server.incarnation)
        if head.status != 503 or not head.pause_text:
            return
        if head.pause_s is not None:
            server.pause(head.pause_s, clock.now())
        elif server.entry.server_id not in self._odd_pauses:
            self._odd_pauses.add(server.entry.server_id)
            _LOGGER.warning(
                "Server %s names a pause that cannot be read: %r",
                server.entry.server_id,
                head.pause_text,
                extra={"server": server.entry.server_id},
            )

    def _take_not_run(
        self, exchange: Exchange, placement: Placement, head: AnswerHead
    ) -> AttemptResult:
        server = placement.server
        now = clock.now()
        self._router.not_run(placement)
        if head.status == 421:
            expected = server.entry.server_id
            if head.server_id and head.server_id != expected:
                self._fleet_state.servers.mark_dead(server)
                self._router.on_replaced(expected)
            elif head.weights_version is None and exchange.req.model:
                # The server has other weights than it was believed to have. An engine
                # that turns requests away is idle and would draw all of them.
                server.mismatch_until = now + MISMATCH_PAUSE_S
                self._router.on_weights_mismatch(server)
        elif exchange.req.model:
            server.loading_until = max(server.loading_until, now + SHED_PAUSE_S)
        return self._failed(
            exchange, placement, AttemptResult.NOT_RUN, f"status {head.status}"
        )

    def _read_or_pass(
        self, exchange: Exchange, conn: ServerConnection, head: AnswerHead
    ) -> bytes | None:
        """Return a whole body; pass a large one on as it comes and return None.

        A body that is held can still be replaced by another server's.
        """
        parts: list[bytes] = []
        size = 0
        while (data := conn.read_data(exchange.until)) is not None:
            size += len(data)
            parts.append(data)
            if size > WHOLE_ANSWER_BYTES:
                self._pass_large(exchange, conn, head, b"".join(parts))
                return None
        return b"".join(parts)

    def _pass_large(
        self,
        exchange: Exchange,
        conn: ServerConnection,
        head: AnswerHead,
        first: bytes,
    ) -> None:
        caller = exchange.conn
        headers = self.closing(head.headers)
        if head.length is not None:
            headers = [*headers, (b"content-length", b"%d" % head.length)]
        caller.send_head(head.status, headers)
        caller.send_data(first)
        while (data := conn.read_data(exchange.until)) is not None:
            caller.send_data(data)
        caller.end()

    def _relay_stream(
        self,
        exchange: Exchange,
        placement: Placement,
        conn: ServerConnection,
        head: AnswerHead,
    ) -> None:
        """Pass events on as they come, whole events only."""
        splitter = EventSplitter()
        caller = exchange.conn
        longest_s = _longest_gap_s(exchange.route)
        event_at = clock.now()
        while True:
            data = _read_event_data(conn, exchange.until, event_at + longest_s)
            if data is None:
                break
            events = [
                event
                for event in splitter.feed(data)
                if not _came_before(event.event_id, exchange.last_event_id)
            ]
            if not events:
                continue
            event_at = clock.now()
            if not placement.started:
                placement.started = True
                self._router.first_event(placement, clock.now())
            if exchange.first_event_at is None:
                exchange.first_event_at = clock.now()
            if not caller.sent_head:
                caller.send_head(head.status, self.closing(head.headers))
            caller.send_data(b"".join(event.data for event in events))
            exchange.last_event_id = events[-1].event_id or exchange.last_event_id
            self._learn_weights(exchange, placement, events)
        if not caller.sent_head:
            caller.send_head(head.status, self.closing(head.headers))
        if splitter.remaining():
            caller.send_data(splitter.remaining())
        caller.end()

    @staticmethod
    def _learn_weights(
        exchange: Exchange, placement: Placement, events: list[StreamEvent]
    ) -> None:
        for event in events:
            version = event_weights_version(event.data)
            if version is not None:
                placement.server.weights[exchange.req.model] = version

    def answer(self, exchange: Exchange, head: AnswerHead, body: bytes) -> None:
        """Pass a whole answer on."""
        exchange.conn.answer(head.status, self.closing(head.headers), body)

    def closing(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Return headers that end the connection if this node leaves."""
        if not self._admission.leaving:
            return headers
        return [*headers, (b"connection", b"close")]

    def _failed(
        self,
        exchange: Exchange,
        placement: Placement,
        result: AttemptResult,
        cause: object,
    ) -> AttemptResult:
        """Note why a try failed and keep the next one from the same server."""
        server = placement.server
        exchange.avoid.add(server.entry.server_id)
        now = clock.now()
        _LOGGER.info(
            "A try failed",
            extra={
                "request_id": exchange.req.request_id,
                "result": result.value,
                "cause": str(cause),
                "server": server.entry.server_id,
                "address": server.entry.address,
                "weights": placement.weights_version,
                "in_flight": server.in_flight,
                "servers_age_s": round(self._fleet_state.servers_age_s(now), 3),
                "left_s": round(exchange.until - now, 3),
            },
        )
        return result


def _urgency(route: Route, account: Account | None) -> int | None:
    """Return how urgent an engine should take a request, 0 first."""
    if not route.streaming:
        return None
    own = account.priority if account is not None else None
    return max(0, min(URGENCY_LAST, route.priority if own is None else own))


def _longest_gap_s(route: Route) -> float:
    """Return after how long without a whole event a stream has no reader left."""
    gaps = (GAP_MIN_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.gap_s)
    return max(gaps) + GAP_MARGIN_S


def _read_event_data(
    conn: ServerConnection, until: float, event_until: float
) -> bytes | None:
    """Read a piece of a stream; raise AnswerBroken when its server has stalled."""
    try:
        return conn.read_data(min(until, event_until))
    except AnswerLate as exc:
        if event_until < until:
            raise AnswerBroken(f"{conn.address} sends no whole event") from exc
        raise


def _came_before(event_id: str, last: str) -> bool:
    if not event_id.isdigit() or not last.isdigit():
        return False
    return int(event_id) <= int(last)
