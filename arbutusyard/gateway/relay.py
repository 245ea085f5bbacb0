"""Serve one request: admit it, try one server after another, and answer it."""

import logging

import gevent
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.admission.coordinator import AdmissionControl
from arbutusyard.admission.models import Reject, Ticket, Wait
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.serving import RateMeter
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.admission import Admission, Admitted
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.charges import QuotaCharges, is_outdated
from arbutusyard.gateway.const import (
    CONNECT_ATTEMPTS,
    NOT_RUN_RETRIES,
    RESUME_REFUSED,
    RETRY_AFTER_S,
    SERVER_WAIT_FRACTION,
    SERVER_WAIT_INTERVAL_S,
)
from arbutusyard.gateway.delivery import Delivery
from arbutusyard.gateway.events import EventSequence
from arbutusyard.gateway.exchange import (
    AttemptResult,
    Dispatcher,
    Exchange,
)
from arbutusyard.gateway.forwarding import Forwarder
from arbutusyard.gateway.hedged_dispatch import HedgedDispatch
from arbutusyard.gateway.incarnations import IncarnationCheck
from arbutusyard.gateway.models import CallerRequest, Refusal, RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.reachability import Reachability
from arbutusyard.gateway.router import Placement, PlacementRouter
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.gateway.tickets import make_ticket
from arbutusyard.limits.retry_budget import RetryBudget
from arbutusyard.limits.sharing import FleetShare
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.origins.models import Began, UnknownOrigin
from arbutusyard.platform.headers import refusal_headers
from arbutusyard.platform.servers import ServerClient
from arbutusyard.quarantine.const import RETRY_AFTER_MAX_S, SEGMENTS_MAX
from arbutusyard.quarantine.coordinator import (
    RequestQuarantine,
    is_request_key,
    shared_keys,
)
from arbutusyard.quarantine.models import Quarantined, Suspect
from arbutusyard.quotas.coordinator import QuotaCoordinator
from arbutusyard.routing.placement import choose

_LOGGER = logging.getLogger(__name__)


class Relay:
    """Serve requests by the node's configuration and fleet state."""

    __slots__ = (
        "_admission",
        "_control",
        "_retry_budget",
        "_dispatcher",
        "_fleet_state",
        "_hedged",
        "forwarder",
        "_metrics",
        "_charges",
        "_router",
        "origins",
        "quarantine",
        "rate",
        "reachability",
    )

    def __init__(
        self,
        cfg: NodeSettings,
        fleet_state: FleetState,
        peers: PeerTable,
        router: PlacementRouter,
        pool: ServerPool,
        metrics: DeferredMetrics,
        origins: OriginCoordinator | None = None,
        servers: ServerClient | None = None,
        quotas: QuotaCoordinator | None = None,
    ) -> None:
        self._charges = QuotaCharges(quotas)
        self._admission = Admission(fleet_state, cfg.revoke_s)
        self.origins = origins or OriginCoordinator(peers.me, fleet_state)
        self.quarantine = RequestQuarantine(peers.me)
        self.reachability = Reachability(fleet_state)
        self._dispatcher = Dispatcher(
            self._admission,
            fleet_state,
            router,
            pool,
            self.quarantine,
            self.origins,
            IncarnationCheck(servers, router.limits),
        )
        self._control = AdmissionControl(
            fleet_state, peers, metrics, cfg.admission_control
        )
        self._control.capacity.connection_cap = self._dispatcher.connection_cap
        self._control.capacity.is_unresponsive = router.is_unresponsive
        router.is_listed = self.origins.versions.is_listed
        self._fleet_state = fleet_state
        self._router = router
        self._metrics = metrics
        self.rate = RateMeter()
        self._retry_budget = RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self._dispatcher.spend_retry = self._retry_budget.spend
        self._set_hooks()
        self.forwarder = Forwarder(
            fleet_state,
            peers,
            self.reachability,
            self._dispatcher,
            self.origins,
            metrics,
            cfg.failure_domain,
            cfg.source_ip,
        )
        self._dispatcher.can_forward = self.forwarder.is_due
        self._hedged = HedgedDispatch(
            self._dispatcher,
            fleet_state,
            peers,
            router,
            self.quarantine,
            self._retry_budget,
            metrics,
        )
        self._hedged.charge_again = self._charges.charge_extra_run
        self._hedged.has_room = lambda exchange, placement, now: (
            self._control.allows_extra(make_ticket(exchange), placement.server, now)
        )
        self._hedged.held_tokens = lambda exchange: (
            make_ticket(exchange).held_tokens if self._control.enabled else 0
        )
        self._hedged.reload(cfg.hedge_fraction)

    @property
    def leaving(self) -> bool:
        """Tell whether this node is draining, so that answers end connections."""
        return self._admission.leaving

    def start_draining(self, now: float, stop_at: float) -> None:
        """Close connections after answers; later admit only what ends in time."""
        self._admission.start_draining(now, stop_at)

    def reload(self, cfg: NodeSettings) -> None:
        """Apply changed settings."""
        self._admission.reload(cfg.revoke_s)
        self._control.enabled = cfg.admission_control
        self._set_hooks()
        self._retry_budget.reconfigure(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self._hedged.reload(cfg.hedge_fraction)
        self._charges.reload(cfg)

    def _set_hooks(self) -> None:
        """Let admission under load choose servers if the settings enable it."""
        if self._control.enabled:
            self._router.has_room = self._control.has_room
            self._router.choose = self._control.capacity.choose
        else:
            self._router.has_room = None
            self._router.choose = choose

    def tick(self, now: float) -> None:
        """Forget what admission under load no longer needs."""
        self._control.tick(now)
        self.forwarder.sweep(now)

    def update_share(self, share: FleetShare) -> None:
        """Set what this node knows of the nodes that share the joint limits."""
        self._retry_budget.share = share
        self._dispatcher.share = share

    def count_refusal(self, reason: str) -> None:
        """Count a request or connection that was refused before it was complete."""
        self._metrics.count_refusal(reason)

    def serve(self, req: CallerRequest, conn: CallerConnection) -> None:
        """Answer a request; raise CallerGone when its client disconnected."""
        now = clock.now()
        self.rate.count(now)
        match self._admission.admit(req, now):
            case Refusal() as refusal:
                self._refuse(req, conn, refusal, now)
            case Admitted() as admitted:
                exchange = _make_exchange(req, conn, admitted)
                # The node to which it is forwarded charges it.
                if self._serve_forwarded(exchange, now):
                    return
                match self._charges.charge(req, admitted, clock.now()):
                    case Refusal() as refusal:
                        self._refuse_further_run(exchange, refusal)
                    case grant:
                        exchange.grant = grant
                        self._serve_admitted(exchange, clock.now())

    def _serve_forwarded(self, exchange: Exchange, now: float) -> bool:
        """Serve a request through other nodes while that is due; return whether it is.

        A request that could not be served so goes on at this node.
        """
        outcome = ""
        while not outcome and self.forwarder.is_due(exchange, now):
            outcome = "caller_gone"
            try:
                outcome = self._forward(exchange, now)
            finally:
                if outcome:
                    self._record_outcome(exchange, outcome, clock.now())
            now = clock.now()
        return bool(outcome)

    def _forward(self, exchange: Exchange, now: float) -> str:
        """Forward a request; return the outcome's name, empty if it goes on here."""
        is_retry = bool(exchange.attempts)
        if is_retry and not self._may_spend_retry(exchange, now):
            return self._answer_failure(exchange, "retry_budget")
        result = self.forwarder.forward(exchange)
        if result is None:
            return "forwarded"
        if result is AttemptResult.NOT_SENT:
            if is_retry:
                self._retry_budget.give_back(exchange.service)
            return ""
        if self._may_retry(exchange, result):
            return self._find_origin(exchange)
        return self._answer_failure(exchange, result.value)

    def _serve_admitted(self, exchange: Exchange, now: float) -> None:
        outcome = "caller_gone"
        try:
            refused = self._find_origin(exchange)
            self._retry_budget.count_request(exchange.service, now)
            outcome = refused or self._try_servers(exchange)
        finally:
            if exchange.retry_is_paid:
                self._retry_budget.give_back(exchange.service)
            self._charges.give_back(exchange, outcome)
            self._record_outcome(exchange, outcome, clock.now())

    def _find_origin(self, exchange: Exchange) -> str:
        """Find the software version that began a stream which is to go on.

        Refuse the request if that cannot be proven, as servers do not check it; return
        the outcome's name then.
        """
        req = exchange.req
        has_begun = exchange.delivery.events or req.resume_after or req.resumed_id
        if (
            exchange.route.retry_policy is not RetryPolicy.RESUME
            or exchange.software_version is not None
            or not has_begun
        ):
            return ""
        # A stream that began at another node may be newer than its request.
        since = clock.now() if exchange.delivery.events else req.arrived_at
        match self.origins.find(
            exchange.account_name(), exchange.began_id(), exchange.service, since
        ):
            case Began(service=service, version=version, source=source):
                if any(share.service == service for share in exchange.route.shares):
                    exchange.service = service
                exchange.software_version = version
                exchange.origin_source = source
                return ""
            case UnknownOrigin(reason=reason, is_final=is_final):
                return self._refuse_resume(exchange, f"origin_{reason}", is_final)

    def _refuse_resume(self, exchange: Exchange, reason: str, is_final: bool) -> str:
        """Refuse to resume a stream; return the outcome's name.

        Without Retry-After the client should start the request anew.
        """
        now = clock.now()
        versions = self.origins.versions.of_service(exchange.service, now)
        _LOGGER.info(
            "Refused to resume a stream",
            extra={
                "request_id": exchange.req.request_id,
                "resumed_id": exchange.req.resumed_id,
                "reason": reason,
                "began_version": exchange.software_version,
                "origin_source": exchange.origin_source,
                "service": exchange.service,
                "serving_versions": sorted(versions),
            },
        )
        if exchange.executions or exchange.conn.sent_head:
            # The refusal below promises that the request has not run.
            return self._answer_failure(exchange, reason)
        retry_after_s = None if is_final else RETRY_AFTER_S
        refusal = Refusal(503, reason, retry_after_s)
        headers = self._dispatcher.relay.with_connection_header(
            refusal_headers(exchange.req, refusal)
        )
        body = RESUME_REFUSED if is_final else b""
        exchange.conn.answer(refusal.status, headers, body)
        self._metrics.count_refusal(reason)
        return f"{refusal.status}_{reason}"

    def _try_servers(self, exchange: Exchange) -> str:
        """Try servers until one answers; return the name of the outcome."""
        if not self._control.enabled:
            return self._try_admitted(exchange, None, None)
        turn = Event()
        ticket = make_ticket(exchange, turn.set)
        try:
            return self._try_admitted(exchange, ticket, turn)
        finally:
            self._control.finish(ticket, clock.now())

    def _try_admitted(
        self, exchange: Exchange, ticket: Ticket | None, turn: Event | None
    ) -> str:
        """Try servers as admission under load allows it, without a ticket at once."""
        wait_s = SERVER_WAIT_FRACTION * exchange.route.objective_s
        wait_until = clock.now() + wait_s
        while True:
            if not self._charges.charge_further_run(exchange, clock.now()):
                return self._answer_failure(exchange, "quota")
            now = clock.now()
            if now >= exchange.deadline:
                return self._answer_failure(exchange, "late")
            while self.forwarder.is_due(exchange, now):
                if ticket:
                    self._control.pause(ticket, True)
                outcome = self._forward(exchange, now)
                if ticket:
                    self._control.pause(ticket, False)
                    ticket.begun = exchange.conn.sent_head
                if outcome:
                    return outcome
                now = clock.now()
                if exchange.conn.sent_head:
                    wait_until = now + wait_s
            suspect_key = b""
            keys = exchange.keys(with_request=self.quarantine.judges_requests)
            match self.quarantine.judge(keys, now):
                case Quarantined() as found:
                    return self._answer_quarantined(exchange, found, now)
                case Suspect(wait_s=wait_s) if wait_s > 0:
                    if ticket:
                        self._control.pause(ticket, True)
                    gevent.sleep(wait_s)
                    if ticket:
                        self._control.pause(ticket, False)
                    continue
                case Suspect(key=key, begun=True):
                    suspect_key = key
            match self._control.enter(ticket, now) if ticket else None:
                case Wait(wait_s=wait_s):
                    turn.clear()
                    turn.wait(min(wait_s, exchange.deadline - now))
                    if not exchange.executions:
                        exchange.excluded.clear()
                    continue
                case Reject(retry_after_s=retry_after_s):
                    return self._answer_failure(exchange, "no_capacity", retry_after_s)
            placement = self._router.place(
                exchange.req,
                exchange.account,
                exchange.service,
                exchange.route.objective_s,
                exchange.excluded,
                now,
                suspect_key,
                exchange.software_version,
                exchange.route.retry_policy is RetryPolicy.RESUME,
            )
            if placement is None:
                if ticket and self._control.found_none(ticket, now):
                    continue
                if not self._router.has_software(
                    exchange.service, exchange.software_version
                ):
                    return self._refuse_ended_version(exchange)
                usable_in_s = self._router.usable_in_s(exchange.service, now)
                if now + usable_in_s < wait_until:
                    gevent.sleep(SERVER_WAIT_INTERVAL_S)
                    exchange.excluded.clear()
                    continue
                return self._answer_failure(exchange, "no_server")
            if is_outdated(exchange, now):
                refusal = self._renew_charge(exchange, ticket, now)
                if refusal is not None:
                    return self._refuse_charged(exchange, refusal)
                # The choice of a server is outdated after the wait for the charge.
                continue
            is_retry = bool(exchange.attempts)
            if is_retry and not self._may_spend_retry(exchange, now):
                return self._answer_failure(exchange, "retry_budget")
            exchange.placement = placement
            if ticket:
                self._control.start(ticket, placement.server, now)
                exchange.late = ticket.late and exchange.route.streaming
            exchange.may_run = True
            result = self._hedged.dispatch(exchange, placement)
            exchange.may_run = False
            if ticket:
                self._end_admitted(exchange, ticket, result)
            if result is None:
                return "answered"
            if is_retry and result is AttemptResult.NOT_SENT:
                self._retry_budget.give_back(exchange.service)
            if not self._may_retry(exchange, result):
                return self._answer_failure(exchange, result.value)
            if exchange.conn.sent_head:
                # A stream may break off at any time after its request came.
                wait_until = clock.now() + wait_s

    def _renew_charge(
        self, exchange: Exchange, ticket: Ticket | None, now: float
    ) -> Refusal | None:
        """Charge a run anew; meanwhile other waiting requests go first."""
        if ticket:
            self._control.pause(ticket, True)
        refusal = self._charges.renew(exchange, now)
        if ticket:
            self._control.pause(ticket, False)
        return refusal

    def _refuse_further_run(self, exchange: Exchange, refusal: Refusal) -> None:
        """Refuse a request that may have run, or been answered in part, elsewhere."""
        outcome = self._refuse_charged(exchange, refusal)
        if exchange.forwarded_to:
            self._record_outcome(exchange, outcome, clock.now())

    def _refuse_charged(self, exchange: Exchange, refusal: Refusal) -> str:
        """Refuse a request whose run could not be charged anew."""
        if exchange.executions or exchange.conn.sent_head:
            return self._answer_failure(exchange, refusal.reason)
        self._refuse(exchange.req, exchange.conn, refusal, clock.now())
        return f"{refusal.status}_{refusal.reason}"

    def _end_admitted(
        self, exchange: Exchange, ticket: Ticket, result: AttemptResult | None
    ) -> None:
        """Free the capacity of an attempt; tell the other nodes of a full server."""
        server, head = ticket.server, exchange.head
        refused = result is AttemptResult.NOT_RUN and head and head.status == 503
        # An extra attempt may have been refused by another server than the first.
        refused = refused and exchange.placement.server is server
        ticket.begun = exchange.conn.sent_head
        served = result is None
        if self._control.end_attempt(ticket, bool(refused), clock.now(), served):
            self._router.on_load(server.load(), None)

    def _refuse_ended_version(self, exchange: Exchange) -> str:
        """Answer a stream whose software version has no server left."""
        reason = "software_version_ended"
        if exchange.executions and not exchange.conn.sent_head:
            return self._answer_failure(exchange, reason)
        return self._refuse_resume(exchange, reason, is_final=True)

    def _may_spend_retry(self, exchange: Exchange, now: float) -> bool:
        """Take a retry from the joint budget; return False if it is used up."""
        if exchange.retry_is_paid or self._retry_budget.spend(exchange.service, now):
            exchange.retry_is_paid = False
            return True
        _LOGGER.info(
            "Retry refused: this node's share of the budget is used up",
            extra={
                "request_id": exchange.req.request_id,
                "service": exchange.service,
                **self._retry_budget.usage(exchange.service, now),
            },
        )
        return False

    def _may_retry(self, exchange: Exchange, result: AttemptResult) -> bool:
        match result:
            case AttemptResult.NOT_SENT:
                exchange.connect_failures += 1
                return exchange.connect_failures < CONNECT_ATTEMPTS
            case AttemptResult.NOT_RUN:
                exchange.attempts += 1
                return exchange.attempts <= NOT_RUN_RETRIES
            case AttemptResult.BROKEN | AttemptResult.FAILED:
                exchange.attempts += 1
                exchange.executions += 1
                if exchange.route.retry_policy is RetryPolicy.ONCE:
                    return False
                if not exchange.can_continue():
                    return False
                return exchange.attempts_left() > 0
            case AttemptResult.LATE:
                exchange.executions += 1
                return False

    def _answer_quarantined(
        self, exchange: Exchange, found: Quarantined, now: float
    ) -> str:
        """Answer a quarantined request; return the name of the outcome."""
        quarantine = found.quarantine
        shared = exchange.req.segments[:-1][-SEGMENTS_MAX:]
        _LOGGER.info(
            "Request is quarantined"
            if is_request_key(found.keys[0])
            else "Request has quarantined segments",
            extra={
                "request_id": exchange.req.request_id,
                "subject": (
                    "request" if is_request_key(found.keys[-1]) else "segments"
                ),
                "segments": [
                    segment.segment_id
                    for segment, key in zip(shared, exchange.segment_keys, strict=True)
                    if key in found.keys
                ],
                "segment_keys": [key.hex() for key in found.keys],
                "crashes": quarantine.crashes,
                "servers": quarantine.servers,
                "reporters": quarantine.reporters,
                "age_s": round(now - quarantine.since, 3),
                "left_s": round(found.left_s, 3),
            },
        )
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_S, found.left_s))
        return self._answer_failure(exchange, "quarantined", retry_after_s)

    def _answer_failure(
        self, exchange: Exchange, reason: str, retry_after_s: float = 0.0
    ) -> str:
        """Answer a request that no server answered; return the outcome's name."""
        if exchange.conn.sent_head:
            # The client sees that its answer is incomplete.
            return f"cut_{reason}"
        if exchange.fallback_answer is not None:
            self._dispatcher.relay.answer(exchange, *exchange.fallback_answer)
            return "failed_by_server"
        if exchange.executions == 0:
            retry_after_s = retry_after_s or self._router.retry_after_s(
                exchange.service, clock.now()
            )
            refusal = Refusal(503, reason, max(RETRY_AFTER_S, retry_after_s))
        else:
            refusal = Refusal(
                504 if reason == AttemptResult.LATE.value else 502, reason
            )
        headers = self._dispatcher.relay.with_connection_header(
            refusal_headers(exchange.req, refusal)
        )
        exchange.conn.answer(refusal.status, headers, b"")
        self._metrics.count_refusal(reason)
        return f"{refusal.status}_{reason}"

    def _refuse(
        self,
        req: CallerRequest,
        conn: CallerConnection,
        refusal: Refusal,
        now: float,
    ) -> None:
        """Refuse a request that was sent to no server."""
        headers = self._dispatcher.relay.with_connection_header(
            refusal_headers(req, refusal)
        )
        conn.answer(refusal.status, headers, b"")
        self._metrics.count_refusal(refusal.reason)
        catalog = self._fleet_state.catalog
        _LOGGER.info(
            "Refused a request before sending it to a server",
            extra={
                "request_id": req.request_id,
                "status": refusal.status,
                "reason": refusal.reason,
                "host": req.host,
                "path": req.path,
                "config": catalog.cfg.version if catalog else None,
                "config_age_s": round(self._fleet_state.config_age_s(now), 3),
                "retry_after_s": refusal.retry_after_s,
            },
        )

    def _record_outcome(self, exchange: Exchange, outcome: str, now: float) -> None:
        req = exchange.req
        account = exchange.account_name()
        whole_s = now - req.arrived_at
        first_s = (exchange.delivery.first_event_at or now) - req.arrived_at
        self._metrics.count_request(account, exchange.route.name, outcome)
        if exchange.attempts:
            self._metrics.count_retries(exchange.attempts)
        if exchange.placement is not None and req.prompt_tokens:
            cached = exchange.placement.cached_tokens
            self._metrics.count_tokens(
                account, cached, max(0, req.prompt_tokens - cached)
            )
        if outcome == "answered":
            self._metrics.record_answer(
                account, exchange.route.name, first_s, whole_s, req.output_tokens
            )
        catalog = self._fleet_state.catalog
        _LOGGER.info(
            "Request ended",
            extra={
                "request_id": req.request_id,
                "outcome": outcome,
                "route": exchange.route.name,
                "account": account,
                "service": exchange.service,
                **_placement_fields(exchange.placement),
                "limit_s": self._known_limit_s(exchange.placement),
                "framing": exchange.head.framing.value if exchange.head else "",
                "events": exchange.delivery.events,
                "last_event_id": exchange.delivery.sequence.last_id,
                "software_version": exchange.software_version,
                "origin_source": exchange.origin_source,
                "resumed_id": req.resumed_id,
                "resume_after": req.resume_after,
                "forwarded_to": sorted(exchange.forwarded_to),
                "incomplete_bytes": exchange.delivery.incomplete_bytes,
                "tries": exchange.attempts,
                "runs": exchange.executions,
                "config": catalog.cfg.version if catalog else None,
                "config_age_s": round(self._fleet_state.config_age_s(now), 3),
                "first_ms": round(first_s * 1000, 1),
                "whole_ms": round(whole_s * 1000, 1),
            },
        )

    def _known_limit_s(self, placement: Placement | None) -> float | None:
        """Return the known limit of the last server in requests per second."""
        if placement is None:
            return None
        return self._router.limits.limit_s(placement.server.incarnation)


def _make_exchange(
    req: CallerRequest, conn: CallerConnection, admitted: Admitted
) -> Exchange:
    return Exchange(
        req,
        conn,
        admitted.route,
        admitted.account,
        admitted.service,
        req.arrived_at + admitted.time_limit_s,
        shared_keys(req.model, req.segments) if req.model else (),
        delivery=Delivery(EventSequence(req.resume_after)),
    )


def _placement_fields(placement: Placement | None) -> dict[str, object]:
    """Return the log fields of the last placement."""
    if placement is None:
        return {}
    fetch = placement.fetch
    return {
        "server": placement.server.entry.server_id,
        "weights": placement.weights_version,
        "superseded_s": placement.superseded_s,
        "waited_ms": _waited_ms(placement),
        "expected_ms": round(placement.expected_s * 1000, 1),
        "cached": placement.cached_tokens,
        "fetched": fetch.tokens if fetch else 0,
        "fetch_from": fetch.address if fetch else "",
        "saved_to": placement.save_to,
    }


def _waited_ms(placement: Placement) -> float | None:
    """Return how long the first event took after the last attempt was placed."""
    if placement.first_event_at is None:
        return None
    return round((placement.first_event_at - placement.sent_at) * 1000, 1)
