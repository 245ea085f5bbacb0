"""Send a request to one backend server and relay its answer to the client."""

import enum
import logging
from collections.abc import Callable

from msgspec import Struct, field

from arbutusyard import clock
from arbutusyard.admission.models import URGENCY_MAX
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.admission import Admission
from arbutusyard.gateway.answer_relay import AnswerRelay
from arbutusyard.gateway.begin_deadline import (
    has_left_group,
    is_overdue,
    log_late_beginning,
    should_withdraw,
)
from arbutusyard.gateway.cache_groups import has_changed
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.const import (
    MISMATCH_PAUSE_S,
    REACHABILITY_RECHECK_S,
    REFUSAL_BYTES_MAX,
    REFUSAL_PAUSE_S,
    REFUSAL_READ_TIMEOUT_S,
)
from arbutusyard.gateway.delivery import Delivery
from arbutusyard.gateway.events import EventSequence, StreamEvent
from arbutusyard.gateway.exceptions import (
    AnswerBroken,
    AnswerLate,
    CallerGone,
    NotSent,
    Unreachable,
)
from arbutusyard.gateway.incarnations import IncarnationCheck
from arbutusyard.gateway.models import (
    Account,
    AnswerHead,
    CallerRequest,
    Dispatch,
    RetryPolicy,
    Route,
)
from arbutusyard.gateway.pool import ServerConnection, ServerPool, connection_cap
from arbutusyard.gateway.router import Placement, PlacementRouter
from arbutusyard.gateway.server_stream import ServerStream
from arbutusyard.limits.sharing import FleetShare
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.origins.models import AMBIGUOUS
from arbutusyard.platform.headers import dispatch_headers, event_weights_version
from arbutusyard.quarantine.const import BEGIN_S, CRASH_CHECK_INTERVAL_S
from arbutusyard.quarantine.coordinator import RequestQuarantine, request_key
from arbutusyard.quarantine.models import Quarantined
from arbutusyard.quotas.models import Grant

_LOGGER = logging.getLogger(__name__)


class AttemptResult(enum.Enum):
    """Name how an attempt at a server ended without an answer for the client."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    LATE = "late"


class Exchange(Struct):
    """Hold the progress of one request over its attempts."""

    req: CallerRequest
    conn: CallerConnection
    route: Route
    account: Account | None
    service: str
    deadline: float
    # Keys of the segments that the prompt may share with others, and of the whole
    # request; that one is computed when it is first needed.
    segment_keys: tuple[bytes, ...] = ()
    request_key: bytes = b""
    # Failed attempts whose request was sent; one past its deadline is not counted.
    attempts: int = 0
    # Failed attempts that a server may have executed.
    executions: int = 0
    # Attempts that failed before a byte was sent.
    connect_failures: int = 0
    excluded: set[str] = field(default_factory=set)
    # The next attempt was taken from the retry budget as this one was given up.
    retry_is_paid: bool = False
    # What the client has received, over all attempts and whoever made them.
    delivery: Delivery = field(default_factory=lambda: Delivery(EventSequence()))
    # Software version that began the stream, the only one at which it may go on; None
    # before the first event of a new stream. And where that was learned.
    software_version: str | None = None
    origin_source: str = ""
    # Head of the newest answer that was relayed or is being read.
    head: AnswerHead | None = None
    placement: Placement | None = None
    # The request can't be on time any more and goes behind all others.
    late: bool = False
    # A server's error answer, relayed if no other server answers.
    fallback_answer: tuple[AnswerHead, bytes] | None = None
    # What was charged to the account's quota; None if it has none.
    grant: Grant | None = None
    # Nodes to which the request was forwarded, and the failed attempts that they may
    # have executed; they charge those themselves.
    forwarded_to: set[str] = field(default_factory=set)
    forwarded_executions: int = 0
    # Nodes that refused the request or could not be reached, and how often it was sent.
    unusable_nodes: set[str] = field(default_factory=set)
    forwards: int = 0
    # An attempt is under way, so that a server may run the request.
    may_run: bool = False

    def keys(self, with_request: bool) -> tuple[bytes, ...]:
        """Return the keys by which the quarantine judges this request."""
        if not with_request:
            return self.segment_keys
        if not self.request_key:
            self.request_key = request_key(self.req)
        return (*self.segment_keys, self.request_key)

    def can_continue(self) -> bool:
        """Tell whether another server's answer can follow what the client has got."""
        if not self.conn.sent_head:
            return True
        if self.route.retry_policy is not RetryPolicy.RESUME:
            return False
        return self.delivery.can_resume()

    def attempts_left(self) -> int:
        """Return to how many more servers the request may be sent."""
        allowed = self.route.max_attempts
        if self.req.attempts_max is not None:
            allowed = min(allowed, self.req.attempts_max)
        return allowed - self.executions

    def own_executions(self) -> int:
        """Return the failed attempts at this node that a server may have executed."""
        return self.executions - self.forwarded_executions

    def account_name(self) -> str:
        """Return the name of the client account; empty if the request has none."""
        return self.account.name if self.account else ""

    def began_id(self) -> str:
        """Return the id of the attempt that brought the stream's first event.

        Empty if there is none, or if a client that resumes a stream did not name it.
        """
        req = self.req
        if req.resumed_id or not self.delivery.events:
            return req.resumed_id
        return req.request_id


class Dispatcher:
    """Send requests to one server at a time and report how the attempt ended."""

    __slots__ = (
        "_fleet_state",
        "_incarnations",
        "_malformed_limit_ids",
        "_malformed_pause_ids",
        "_origins",
        "_pool",
        "_quarantine",
        "_router",
        "can_forward",
        "relay",
        "share",
        "spend_retry",
    )

    def __init__(
        self,
        admission: Admission,
        fleet_state: FleetState,
        router: PlacementRouter,
        pool: ServerPool,
        quarantine: RequestQuarantine,
        origins: OriginCoordinator,
        incarnations: IncarnationCheck,
    ) -> None:
        self._incarnations = incarnations
        self._origins = origins
        self._fleet_state = fleet_state
        self._router = router
        self._pool = pool
        self._quarantine = quarantine
        self.relay = AnswerRelay(admission)
        self.share = FleetShare()
        self.spend_retry: Callable[[str, float], bool] = lambda service, now: True
        self.can_forward: Callable[[Exchange, float], bool] = lambda *_: False
        self._malformed_limit_ids: set[str] = set()
        self._malformed_pause_ids: set[str] = set()

    def dispatch(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptResult | None:
        """Send a request to one server; return None once its client has an answer."""
        server = placement.server
        now = clock.now()
        cap = self.connection_cap(exchange.service)
        conn: ServerConnection | None = None
        complete_head: AnswerHead | None = None
        exchange.head = None
        try:
            self._router.begin_attempt(placement, now)
            conn = self._pool.acquire(server, exchange.req.request_id, cap, now)
            if not server.is_staying:
                raise NotSent(f"{conn.address} left while its connection opened")
            outdated = self._router.outdated
            if is_overdue(outdated, placement, exchange.req.model, clock.now()):
                raise NotSent(f"{conn.address} has weights that are overdue")
            if self._has_other_group(exchange, placement):
                raise NotSent("the accounts that share cached segments have changed")
            conn.should_abandon = lambda: self._should_abandon(exchange, placement)
            if exchange.conn.has_disconnected():
                # On a busy node a client's request is read together with the end of
                # its connection.
                raise CallerGone("client disconnected before its request was relayed")
            self._send(exchange, placement, conn)
            head = conn.read_head(exchange.req.request_id, exchange.deadline)
            exchange.head = head
            result = self._process_answer(exchange, placement, conn, head)
            complete_head = head
        except NotSent as exc:
            # A broken idle connection, or too many open ones, is no sign that the
            # server is unreachable.
            if isinstance(exc, Unreachable):
                was_suspected = server.suspected
                server.suspect(clock.now())
                server.restart_suspected_at = clock.now()
                if not was_suspected:
                    self._router.on_unreachable(server.entry.server_id)
            self._router.limits.give_back(server.incarnation)
            self._router.forget_segments(placement)
            result = self._record_failure(
                exchange, placement, AttemptResult.NOT_SENT, exc
            )
        except AnswerBroken as exc:
            if not placement.given_up:
                server.count_outcome(True, clock.now())
            result = self._record_failure(
                exchange, placement, AttemptResult.BROKEN, exc
            )
            if conn is not None and conn.ended:
                server.restart_suspected_at = clock.now()
                self._record_evidence(exchange, placement, clock.now())
        except AnswerLate as exc:
            server.count_outcome(True, clock.now())
            result = self._record_failure(exchange, placement, AttemptResult.LATE, exc)
        finally:
            self._router.end_attempt(placement)
            if conn is not None and complete_head is not None:
                self._pool.release(conn, complete_head, clock.now())
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
            time_left_s=exchange.deadline - clock.now(),
            weights_version=placement.weights_version or None,
            cache_salt=placement.cache_salt,
            cache_source=placement.fetch.address if placement.fetch else "",
            cache_sink=placement.save_to,
            urgency=URGENCY_MAX if exchange.late else urgency(exchange.route, account),
            resume_after=exchange.delivery.sequence.last_id,
        )
        if exchange.conn.sent_head:
            _LOGGER.info(
                "Continuing an answer at another server",
                extra={
                    "request_id": req.request_id,
                    "server": dispatch.server_id,
                    "events": exchange.delivery.events,
                    "resume_after": dispatch.resume_after,
                    "software_version": exchange.software_version,
                    "forwarded_to": sorted(exchange.forwarded_to),
                },
            )
        headers = dispatch_headers(req, dispatch)
        conn.send(req.request_id, req.method, req.target, headers, req.body)

    def _record_evidence(
        self, exchange: Exchange, placement: Placement, now: float
    ) -> None:
        """Record whether an attempt that broke off may have crashed its server."""
        first_event_at = placement.first_event_at
        if first_event_at is not None and now - first_event_at >= BEGIN_S:
            self._record_answer(exchange, now)
            return
        keys = exchange.keys(with_request=True)
        server = placement.server
        if (
            not self._quarantine.has_unproven_key(keys, now)
            or not server.is_staying
            or now - server.reached_at < CRASH_CHECK_INTERVAL_S
        ):
            return
        if not self._pool.has_crashed(server):
            return
        now = clock.now()
        if not server.suspected:
            server.suspect(now)
            self._router.on_unreachable(server.entry.server_id)
        # A server sends no head before it has run a request without a prompt.
        begun = first_event_at is None and (
            exchange.head is not None or not exchange.req.model
        )
        self._quarantine.record_crash(server.incarnation, keys, begun, now)
        _LOGGER.info(
            "Server %s crashed before it answered",
            server.entry.server_id,
            extra={
                "request_id": exchange.req.request_id,
                "server": server.entry.server_id,
                "begun": begun,
                "segment_keys": [key.hex() for key in keys],
            },
        )

    def _record_answer(self, exchange: Exchange, now: float) -> None:
        """Record that a server answered a request, or began to, and did not crash."""
        if self._quarantine.judges_requests:
            self._quarantine.record_answer(exchange.keys(with_request=True), now)
        else:
            self._quarantine.record_answer(exchange.segment_keys, now, exchange.req)

    def _should_abandon(self, exchange: Exchange, placement: Placement) -> bool:
        """Tell whether to retry an unresponsive server's request on another one.

        A saturated server may look unresponsive too, above all to one of many nodes. It
        keeps the request while it is reachable and prefill may explain the delay. This
        also starts a check of the server, as only unreachable servers are reported to
        the other nodes.
        """
        now = clock.now()
        server = placement.server
        if placement.first_event_at is None and isinstance(
            self._quarantine.judge(
                exchange.keys(with_request=self._quarantine.judges_requests), now
            ),
            Quarantined,
        ):
            return True
        # Whether a request without a stream has begun is not known before its answer.
        has_begun = placement.first_event_at is not None or not exchange.route.streaming
        req = exchange.req
        if not has_begun and should_withdraw(
            self._router.outdated, placement, req.model, req.request_id, now
        ):
            placement.given_up = True
            return True
        has_other_group = self._has_other_group(exchange, placement)
        if (
            not has_begun
            and has_left_group(placement, has_other_group, now)
            and self._can_retry(exchange, server, now)
        ):
            _LOGGER.info(
                "Withdrew a request that waits under an earlier cache salt",
                extra={"request_id": req.request_id, "server": server.entry.server_id},
            )
            placement.given_up = True
            return True
        if not self._router.is_unresponsive(server, now):
            return False
        may_be_prefilling = self._router.may_be_prefilling(server, now)
        if not server.suspected and now - server.reached_at <= REACHABILITY_RECHECK_S:
            if may_be_prefilling:
                return False
        elif not server.suspected:
            server.suspect(now, first_hand=False)
            self._router.on_check(server)
            _LOGGER.warning(
                "Server %s is unresponsive; checking whether it is reachable",
                server.entry.server_id,
                extra={
                    "request_id": exchange.req.request_id,
                    "server": server.entry.server_id,
                    "quiet_s": round(server.since_last_byte_s(now), 3),
                },
            )
            if may_be_prefilling:
                return False
        return self._can_retry(exchange, server, now)

    def _has_other_group(self, exchange: Exchange, placement: Placement) -> bool:
        prompt, catalog = placement.prompt, self._fleet_state.catalog
        return prompt is not None and has_changed(
            prompt.group, catalog, exchange.account
        )

    def _can_retry(self, exchange: Exchange, server: Server, now: float) -> bool:
        """Tell whether another attempt can follow now, and take it from the budget."""
        route = exchange.route
        if route.retry_policy is RetryPolicy.ONCE or not exchange.can_continue():
            return False
        if exchange.attempts_left() <= 1:
            return False
        has_other = self.can_forward(exchange, now) or any(
            other is not server
            and exchange.software_version in (None, other.entry.software_version)
            and self._router.accepts(other, now)
            for other in self._fleet_state.servers.of_service(exchange.service)
        )
        # Only an attempt that can follow is a reason not to wait any longer.
        exchange.retry_is_paid = has_other and self.spend_retry(exchange.service, now)
        return exchange.retry_is_paid

    def connection_cap(self, service: str) -> int:
        """Return how many connections this node may open to a server of a service."""
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(service) if catalog else None
        return connection_cap(known.max_connections if known else 0, self.share.heard)

    def _process_answer(
        self,
        exchange: Exchange,
        placement: Placement,
        conn: ServerConnection,
        head: AnswerHead,
    ) -> AttemptResult | None:
        """Read an answer and relay it; return how the attempt failed if it did."""
        server = placement.server
        model = exchange.req.model
        if model and head.weights_version is not None:
            # Answers may overtake each other, and weights never get older within an
            # incarnation; only a refusal shows that newer ones were assumed wrongly.
            is_newer = head.weights_version > server.weights.get(model, 0)
            if is_newer or head.status == 421:
                server.weights[model] = head.weights_version
        self._apply_server_headers(server, head)
        if head.not_run:
            read_until = min(exchange.deadline, clock.now() + REFUSAL_READ_TIMEOUT_S)
            conn.discard_body(REFUSAL_BYTES_MAX, read_until)
            return self._process_not_run(exchange, placement, head)
        self.relay.check_head(exchange, conn, head)
        if exchange.route.streaming and head.status < 300:
            is_current = self._check_software(exchange, server)
            observer = ServerStream(self, exchange, placement, is_current)
            self.relay.relay_stream(exchange, conn, head, observer)
            server.count_outcome(False, clock.now())
            self._record_answer(exchange, clock.now())
            return None
        body = self.relay.read_or_relay_body(exchange, conn, head)
        server.count_outcome(head.status >= 500, clock.now())
        if head.stamped:
            self._record_answer(exchange, clock.now())
        if body is None:
            return None
        if head.status >= 500:
            exchange.fallback_answer = (head, body)
            return self._record_failure(
                exchange, placement, AttemptResult.FAILED, f"status {head.status}"
            )
        self.relay.answer(exchange, head, body)
        return None

    def _apply_server_headers(self, server: Server, head: AnswerHead) -> None:
        """Apply an answer's headers on draining, limits and pauses."""
        if head.leaving:
            server_id, started_at_ms = server.incarnation
            if self._fleet_state.servers.mark_leaving(server_id, started_at_ms):
                self._router.on_leaving(server.incarnation)
        self._apply_limit(server, head)
        if head.status != 503 or not head.pause_text:
            return
        if head.pause_s is not None:
            server.pause(head.pause_s, clock.now())
        elif server.entry.server_id not in self._malformed_pause_ids:
            self._malformed_pause_ids.add(server.entry.server_id)
            _LOGGER.warning(
                "Server %s sent a malformed Retry-After header: %r",
                server.entry.server_id,
                head.pause_text,
                extra={"server": server.entry.server_id},
            )

    def _apply_limit(self, server: Server, head: AnswerHead) -> None:
        """Record the request rate that a server accepts, as its answer states it."""
        server_id = server.entry.server_id
        if head.server_id not in ("", server_id):
            return
        if head.limit_text and head.limit_s is None:
            if server_id not in self._malformed_limit_ids:
                self._malformed_limit_ids.add(server_id)
                _LOGGER.warning(
                    "Server %s sent a malformed Server-Limit header: %r",
                    server_id,
                    head.limit_text,
                    extra={"server": server_id},
                )
            return
        # A server may leave the limit out of refusals, so only the answer to a request
        # that it executed ends it by stating none.
        if head.limit_s is not None or head.stamped:
            self._router.record_limit(server, head.limit_s, clock.now())

    def _process_not_run(
        self, exchange: Exchange, placement: Placement, head: AnswerHead
    ) -> AttemptResult:
        server = placement.server
        now = clock.now()
        self._router.forget_segments(placement)
        if head.status == 421:
            expected = server.entry.server_id
            if head.server_id and head.server_id != expected:
                self._fleet_state.servers.mark_dead(server)
                self._router.on_replaced(expected)
            elif head.weights_version is None and exchange.req.model:
                # The server has other weights than were known. An engine that refuses
                # requests is idle, so all requests would be sent to it.
                server.mismatch_until = now + MISMATCH_PAUSE_S
                self._router.on_weights_mismatch(server)
        elif exchange.req.model:
            server.loading_until = max(server.loading_until, now + REFUSAL_PAUSE_S)
        return self._record_failure(
            exchange, placement, AttemptResult.NOT_RUN, f"status {head.status}"
        )

    def begin_stream(
        self, exchange: Exchange, placement: Placement, is_current: bool, now: float
    ) -> None:
        """Record the first event of an attempt at a stream.

        A new stream of a server that may have started again cannot be resumed.
        """
        placement.first_event_at = now
        self._router.record_first_event(placement, now)
        req = exchange.req
        log_late_beginning(
            self._router.outdated, placement, req.model, req.request_id, now
        )
        if exchange.software_version is None:
            version = placement.server.entry.software_version
            exchange.software_version = version if is_current else AMBIGUOUS

    def record_events(
        self,
        exchange: Exchange,
        placement: Placement,
        events: list[StreamEvent],
        now: float,
    ) -> None:
        """Record events of a server that are sent to the client next."""
        if not exchange.delivery.events:
            self._record_beginning(exchange, placement.server, now)
        self._record_weights(exchange, placement, events)

    def _record_beginning(self, exchange: Exchange, server: Server, now: float) -> None:
        """Record at which software version a stream begins, before its first event."""
        if exchange.route.retry_policy is RetryPolicy.RESUME:
            self._origins.record_beginning(
                exchange.account_name(),
                exchange.req.request_id,
                server,
                exchange.software_version,
                now,
            )

    def _check_software(self, exchange: Exchange, server: Server) -> bool:
        """Return whether a server still has its version; raise AnswerBroken if needed.

        It may have started again under its id since it was chosen, or before, with
        another software version, and must not continue a stream then.
        """
        version = exchange.software_version
        is_current = (
            exchange.route.retry_policy is not RetryPolicy.RESUME
            or not exchange.req.model
            or self._incarnations.is_current(server)
        )
        if version is None:
            return is_current
        if not is_current:
            raise AnswerBroken("the server may have started again with other software")
        current = self._fleet_state.servers.get(server.entry.server_id) or server
        if current.entry.software_version != version:
            raise AnswerBroken(
                f"software version {current.entry.software_version} cannot continue a "
                f"stream of version {version}"
            )
        return True

    @staticmethod
    def _record_weights(
        exchange: Exchange, placement: Placement, events: list[StreamEvent]
    ) -> None:
        for event in events:
            version = event_weights_version(event.data)
            weights = placement.server.weights
            if version is not None and version > weights.get(exchange.req.model, 0):
                weights[exchange.req.model] = version

    def _record_failure(
        self,
        exchange: Exchange,
        placement: Placement,
        result: AttemptResult,
        cause: object,
    ) -> AttemptResult:
        """Log why an attempt failed and exclude its server from the next one."""
        server = placement.server
        exchange.excluded.add(server.entry.server_id)
        now = clock.now()
        _LOGGER.info(
            "Attempt at a server failed",
            extra={
                "request_id": exchange.req.request_id,
                "result": result.value,
                "cause": str(cause),
                "server": server.entry.server_id,
                "address": server.entry.address,
                "weights": placement.weights_version,
                "in_flight": server.in_flight,
                "staying": server.is_staying,
                "since_sent_s": round(now - placement.sent_at, 3),
                "servers_age_s": round(self._fleet_state.servers_age_s(now), 3),
                "left_s": round(exchange.deadline - now, 3),
            },
        )
        return result


def urgency(route: Route, account: Account | None) -> int | None:
    """Return the urgency of a request for an engine; 0 is the most urgent."""
    if not route.streaming:
        return None
    override = account.priority if account is not None else None
    return max(0, min(URGENCY_MAX, route.priority if override is None else override))
