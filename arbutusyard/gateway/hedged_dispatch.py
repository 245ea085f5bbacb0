"""Send a slow request that may be repeated to a second server beside the first."""

import logging
from collections.abc import Callable

from arbutusyard import clock
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.exchange import AttemptResult, Dispatcher, Exchange
from arbutusyard.gateway.hedging import HedgePolicy, HedgeRefusal, has_spare_capacity
from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.gateway.race import Attempt, Race
from arbutusyard.gateway.router import Placement, PlacementRouter
from arbutusyard.limits.retry_budget import RetryBudget
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.quarantine.coordinator import RequestQuarantine
from arbutusyard.quarantine.models import Sound
from arbutusyard.routing.speed import SlowServers

_LOGGER = logging.getLogger(__name__)


class HedgedDispatch:
    """Dispatch requests, with an extra attempt where the policy permits one.

    While hedging is off, requests are dispatched as they are without this class.
    """

    __slots__ = (
        "_budget",
        "_dispatcher",
        "_fleet_state",
        "_metrics",
        "_peers",
        "_quarantine",
        "_router",
        "_slow_servers",
        "charge_again",
        "has_room",
        "held_tokens",
        "policy",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        fleet_state: FleetState,
        peers: PeerTable,
        router: PlacementRouter,
        quarantine: RequestQuarantine,
        budget: RetryBudget,
        metrics: DeferredMetrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._fleet_state = fleet_state
        self._peers = peers
        self._router = router
        self._quarantine = quarantine
        self._budget = budget
        self._metrics = metrics
        self._slow_servers = SlowServers()
        self.policy = HedgePolicy()
        # Charges the account for another run of a request; False if it may not run.
        self.charge_again: Callable[[Exchange, float], bool] = lambda exchange, now: (
            True
        )
        # Whether a placement's server has capacity by admission under load, and the KV
        # memory, in tokens, that an extra attempt is counted with.
        self.has_room: Callable[[Exchange, Placement, float], bool] = (
            lambda exchange, placement, now: True
        )
        self.held_tokens: Callable[[Exchange], int] = lambda exchange: 0

    def reload(self, fraction: float) -> None:
        """Set which fraction of requests may get an extra attempt; 0 is off."""
        if fraction == self.policy.fraction:
            return
        _LOGGER.info(
            "Up to %g of the requests that may be repeated get an extra attempt",
            fraction,
            extra={"hedge_fraction": fraction},
        )
        self.policy.fraction = fraction
        self._slow_servers = SlowServers()
        self._router.slow_s = self._slow_s if fraction > 0 else _no_delay_s

    def dispatch(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptResult | None:
        """Send a request to a server; return None once its client has an answer."""
        if self.policy.fraction <= 0:
            return self._dispatcher.dispatch(exchange, placement)
        if not exchange.attempts and not exchange.connect_failures:
            self.policy.count_request(exchange.service)
        # A retry is an extra attempt already, so its request gets no other one.
        if exchange.route.retry_policy is RetryPolicy.ONCE or exchange.attempts:
            return self._dispatch_alone(exchange, placement)
        race = Race(exchange, self._dispatcher.dispatch)
        first = race.start(placement)
        try:
            self._hedge(race, first)
            race.join()
        finally:
            race.end()
            for attempt in race.attempts:
                attempt.placement.server.held_tokens -= attempt.held_tokens
            race.merge()
            self._settle_budget(race)
            self._record(race, clock.now())
        deciding = race.deciding()
        if deciding.error is not None:
            raise deciding.error
        return deciding.result

    def _dispatch_alone(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptResult | None:
        """Dispatch a request that gets no extra attempt, and learn from its time."""
        tokens = placement.prefill_tokens
        result = self._dispatcher.dispatch(exchange, placement)
        now = clock.now()
        service = exchange.service
        if result is AttemptResult.NOT_RUN:
            self.policy.record_rejection(service, now)
        elif result is None:
            took_s = (placement.first_event_at or now) - placement.sent_at
            self._slow_servers.observe(
                placement.server.entry.server_id,
                service,
                tokens + placement.tokens_ahead,
                took_s,
                now,
            )
        return result

    def _hedge(self, race: Race, first: Attempt) -> None:
        """Start an extra attempt if the first does not respond within the delay."""
        exchange = race.exchange
        now = clock.now()
        delay_s = self.policy.delay_s(exchange.route.name, exchange.service, now)
        if delay_s is None:
            return
        first.task.join(delay_s)
        if not race.is_open:
            return
        match self._find_extra(race, first, clock.now()):
            case HedgeRefusal() as refusal:
                self.policy.counts[refusal.value] += 1
                self._metrics.count_hedge_refusal(refusal.value)
                _LOGGER.debug(
                    "Started no extra attempt: %s",
                    refusal.value,
                    extra={"request_id": exchange.req.request_id},
                )
            case Placement() as placement:
                self._start_extra(race, first, placement, clock.now())

    def _find_extra(
        self, race: Race, first: Attempt, now: float
    ) -> Placement | HedgeRefusal:
        """Return where an extra attempt goes, or why there is none.

        The attempt is counted in the budget then.
        """
        exchange = race.exchange
        service = exchange.service
        # The first attempt, which runs, is not among the failed ones.
        refusal = self.policy.refusal(service, 1, exchange.attempts_left(), now)
        if refusal is not None:
            return refusal
        # A request that may crash servers is sent to one at a time.
        keys = exchange.keys(with_request=self._quarantine.judges_requests)
        if not isinstance(self._quarantine.judge(keys, now), Sound):
            return HedgeRefusal.SUSPECT
        placement = self._place(exchange, first.placement.server, now)
        if placement is None:
            return HedgeRefusal.SERVER
        if not self._has_capacity(exchange, placement, now):
            return HedgeRefusal.CAPACITY
        age_s = now - first.placement.sent_at
        if not self.policy.is_sooner(
            exchange.route.name,
            service,
            age_s,
            exchange.deadline - now,
            placement.expected_s,
            now,
        ):
            return HedgeRefusal.NOT_SOONER
        if not self._budget.spend(service, now):
            return HedgeRefusal.BUDGET
        if not self.charge_again(exchange, now):
            self._budget.give_back(service)
            return HedgeRefusal.QUOTA
        return placement

    def _place(self, exchange: Exchange, first: Server, now: float) -> Placement | None:
        return self._router.place(
            exchange.req,
            exchange.account,
            exchange.service,
            exchange.route.objective_s,
            exchange.excluded | {first.entry.server_id},
            now,
            software_version=exchange.software_version,
            is_resumable=exchange.route.retry_policy is RetryPolicy.RESUME,
        )

    def _has_capacity(
        self, exchange: Exchange, placement: Placement, now: float
    ) -> bool:
        usable = [
            server
            for server in self._fleet_state.servers.of_service(exchange.service)
            if self._router.accepts(server, now)
        ]
        loads = [(self._in_flight(server), server.entry.slots) for server in usable]
        server = placement.server
        return has_spare_capacity(
            self._in_flight(server), server.entry.slots, loads
        ) and self.has_room(exchange, placement, now)

    def _in_flight(self, server: Server) -> int:
        return server.in_flight + self._peers.load(server.entry.server_id)[0]

    def _start_extra(
        self, race: Race, first: Attempt, placement: Placement, now: float
    ) -> None:
        exchange = race.exchange
        if not race.is_open:
            # The first attempt ended while the account was charged.
            self._budget.give_back(exchange.service)
            return
        self.policy.count_started(exchange.service)
        self._metrics.count_hedge("started")
        _LOGGER.info(
            "Sending an extra attempt beside the first",
            extra={
                "request_id": exchange.req.request_id,
                "server": placement.server.entry.server_id,
                "first_server": first.placement.server.entry.server_id,
                "since_sent_s": round(now - first.placement.sent_at, 3),
                "expected_ms": round(placement.expected_s * 1000, 1),
                "left_s": round(exchange.deadline - now, 3),
            },
        )
        extra = race.start(placement)
        extra.held_tokens = self.held_tokens(exchange)
        placement.server.held_tokens += extra.held_tokens

    def _settle_budget(self, race: Race) -> None:
        """Return to the budget what no attempt has used."""
        exchange = race.exchange
        paid = sum(attempt.exchange.retry_is_paid for attempt in race.attempts)
        # The request's own progress holds one retry; it is returned if none follows.
        for _ in range(paid - 1):
            self._budget.give_back(exchange.service)
        exchange.retry_is_paid = paid > 0
        unsent = sum(a.result is AttemptResult.NOT_SENT for a in race.attempts)
        if unsent and len(race.attempts) > 1:
            self._budget.give_back(exchange.service)

    def _record(self, race: Race, now: float) -> None:
        """Record how long the servers took and what became of an extra attempt."""
        exchange = race.exchange
        for attempt in race.attempts:
            self._record_attempt(exchange, attempt, now)
        for extra in race.attempts[1:]:
            outcome = "failed"
            if extra.has_won:
                outcome = "won"
            elif extra.is_cancelled:
                outcome = "cancelled"
            self.policy.counts[outcome] += 1
            self._metrics.count_hedge(outcome)
            _LOGGER.info(
                "Extra attempt ended: %s",
                outcome,
                extra={
                    "request_id": exchange.req.request_id,
                    "server": extra.placement.server.entry.server_id,
                    "since_sent_s": round(now - extra.placement.sent_at, 3),
                },
            )

    def _record_attempt(self, exchange: Exchange, attempt: Attempt, now: float) -> None:
        placement = attempt.placement
        service = exchange.service
        names = (exchange.route.name, service)
        server_id = placement.server.entry.server_id
        tokens = attempt.tokens + placement.tokens_ahead
        if attempt.result is AttemptResult.NOT_RUN:
            self.policy.record_rejection(service, now)
        elif attempt.responded_at is not None and attempt.status < 400:
            took_s = attempt.responded_at - placement.sent_at
            self.policy.record_answer(*names, took_s, now)
            self._slow_servers.observe(server_id, service, tokens, took_s, now)
        elif attempt.is_cancelled and attempt.was_sent:
            age_s = attempt.ended_at - placement.sent_at
            self.policy.record_cancelled(*names, age_s, now)
            self._slow_servers.observe_unfinished(
                server_id, service, tokens, age_s, now
            )

    def _slow_s(self, server: Server, tokens: int, now: float) -> float:
        entry = server.entry
        return self._slow_servers.slow_s(entry.server_id, entry.service, tokens, now)


def _no_delay_s(server: Server, tokens: int, now: float) -> float:
    """Return that a server is as fast as its service."""
    return 0.0
