"""Estimate whether a server has capacity for a request."""

import random
from collections.abc import Callable

from msgspec import Struct

from arbutusyard.admission.const import (
    DRAW_WEIGHT_MIN,
    LARGE_PREFILL_FRACTION,
    PREFILL_FRACTION,
    PREFILL_MIN_FRACTION,
    RANDOM_CHOICES,
    RECOVERY_SLOTS_S,
    REFUSED_FACTOR,
    REFUSED_S,
    REJECT_USE_FRACTION,
    RESERVED_IDLE_FRACTION,
    SERVER_QUEUE_FRACTION,
    SMALL_SLOTS_FRACTION,
    SPREAD_FRACTION,
    USE_CACHE_S,
)
from arbutusyard.admission.models import Ticket
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.const import CONNECTIONS_MIN
from arbutusyard.routing.placement import ServerView, Work, expected_s


class RefusedCapacity(Struct):
    """Hold the capacity of a server that refused a request when it was full."""

    in_flight: float
    refused_at: float


class CapacityEstimate:
    """Estimate the free capacity of servers from own and reported requests."""

    __slots__ = (
        "_fleet_state",
        "_peers",
        "_refused",
        "_rng",
        "_use",
        "connection_cap",
        "is_unresponsive",
    )

    def __init__(self, fleet_state: FleetState, peers: PeerTable) -> None:
        self._fleet_state = fleet_state
        self._peers = peers
        self._rng = random.Random(f"admission/{peers.me}")
        self._refused: dict[tuple[str, int], RefusedCapacity] = {}
        # Whether requests of a service may be rejected, and when that was computed.
        self._use: dict[str, tuple[float, bool]] = {}
        self.connection_cap: Callable[[str], int] = lambda service: CONNECTIONS_MIN
        self.is_unresponsive: Callable[[Server, float], bool] = lambda server, now: (
            False
        )

    def has_room(
        self,
        view: ServerView,
        work: Work,
        ticket: Ticket,
        large_starves: bool,
        now: float,
    ) -> bool:
        """Return whether a server is estimated to have capacity for a request."""
        server = self._fleet_state.servers.get(view.server_id)
        if server is None:
            return False
        # The cheap checks that most servers fail under load are first.
        if not ticket.forced:
            if view.in_flight >= self._slots(server, view, ticket, large_starves, now):
                return False
            if work.prompt_tokens and not _is_prefilled_soon(view, work, ticket, now):
                return False
        if server.in_flight >= self.connection_cap(ticket.service):
            return False
        return self.is_accepting(server, ticket, now)

    def is_accepting(self, server: Server, ticket: Ticket, now: float) -> bool:
        """Return whether a server refuses nobody, responds and has enough memory."""
        if server.refusals or self._peers.refusals(server.entry.server_id):
            return False
        return self._fits_memory(server, ticket) and not self.is_unresponsive(
            server, now
        )

    def _fits_memory(self, server: Server, ticket: Ticket) -> bool:
        """Return whether the KV memory of an engine has room for a request."""
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(ticket.service) if catalog else None
        if known is None or known.engine is None or not known.engine.cache_tokens:
            return True
        held = server.held_tokens + self._peers.held_tokens(server.entry.server_id)
        # A prompt larger than the memory is left to the engine to judge.
        return not held or held + ticket.held_tokens <= known.engine.cache_tokens

    def _slots(
        self,
        server: Server,
        view: ServerView,
        ticket: Ticket,
        large_starves: bool,
        now: float,
    ) -> float:
        """Return how many requests a server may have before it takes this one."""
        slots = float(view.slots)
        if ticket.large and view.reserved:
            slots *= RESERVED_IDLE_FRACTION
        elif ticket.prompt_tokens and large_starves and not view.reserved:
            slots *= 1.0 if ticket.large else SMALL_SLOTS_FRACTION
        elif not ticket.large:
            slots *= 1.0 + SERVER_QUEUE_FRACTION
        refused = self._refused.get(server.incarnation)
        if refused is None:
            return slots
        recovered = RECOVERY_SLOTS_S * view.slots * (now - refused.refused_at)
        return min(slots, refused.in_flight + recovered)

    def choose(self, work: Work, views: list[ServerView]) -> ServerView:
        """Return the better of servers drawn from the best; there is at least one."""
        costs = [(expected_s(work, view), view) for view in views]
        limit_s = min(cost for cost, _ in costs) + SPREAD_FRACTION * work.objective_s
        near = [item for item in costs if item[0] <= limit_s]
        weights = [
            max(DRAW_WEIGHT_MIN, float(view.slots - view.in_flight)) for _, view in near
        ]
        drawn = self._rng.choices(near, weights, k=RANDOM_CHOICES)
        return min(drawn, key=lambda item: (item[0], item[1].server_id))[1]

    def record_refusal(self, server: Server, now: float) -> bool:
        """Record that a full server refused a request; return whether it is news."""
        in_flight = server.in_flight + self._peers.load(server.entry.server_id)[0]
        estimate = max(1.0, REFUSED_FACTOR * in_flight)
        self._refused[server.incarnation] = RefusedCapacity(estimate, now)
        server.refusals += 1
        return server.refusals == 1

    def may_reject(self, service: str, now: float) -> bool:
        """Return whether enough of a service's slots are in use to reject requests."""
        computed_at, known = self._use.get(service, (float("-inf"), True))
        if now - computed_at < USE_CACHE_S:
            return known
        slots = used = 0
        queued = False
        for server in self._fleet_state.servers.of_service(service):
            if not server.usable(now) or self.is_unresponsive(server, now):
                continue
            in_flight = server.in_flight + self._peers.load(server.entry.server_id)[0]
            slots += server.entry.slots
            used += min(in_flight, server.entry.slots)
            queued = queued or in_flight > server.entry.slots
        known = queued or used >= REJECT_USE_FRACTION * slots
        self._use[service] = (now, known)
        return known

    def tick(self, now: float) -> None:
        """Forget refusals that are too old to tell anything."""
        for incarnation, refused in list(self._refused.items()):
            age_s = now - refused.refused_at
            server = self._fleet_state.servers.get(incarnation[0])
            if server is None or server.incarnation != incarnation:
                del self._refused[incarnation]
                continue
            if age_s >= REFUSED_S:
                server.refusals = 0
            if age_s >= max(REFUSED_S, 1.0 / RECOVERY_SLOTS_S):
                del self._refused[incarnation]


def _is_prefilled_soon(
    view: ServerView, work: Work, ticket: Ticket, now: float
) -> bool:
    """Return whether the prefill of a prompt begins early enough; if idle, it does.

    Shared segments that another engine need not recompute count too, so that prompts
    wait for engines that have cached them. Its other tokens do not, or the largest
    prompts would find no room.
    """
    if not view.prompt_tokens and not view.reserved:
        return True
    fraction = LARGE_PREFILL_FRACTION if ticket.large else PREFILL_FRACTION
    most_s = fraction * ticket.objective_s
    least_s = min(most_s, PREFILL_MIN_FRACTION * ticket.objective_s)
    left_s = most_s if ticket.late else ticket.expected_until - now
    recomputed = max(0, work.shared_tokens - view.cached_tokens - view.fetch_tokens)
    prefill_s = (view.prompt_tokens + recomputed) / view.tokens_s
    return prefill_s <= max(least_s, min(most_s, left_s))
