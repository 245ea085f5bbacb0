"""Decide whether a request is sent to a server now, waits at this node, or is rejected.

The state of admission is this node's requests and what other nodes report; the tasks
of requests call it and wait, and it uses no network.
"""

import logging
import random

from msgspec import Struct

from arbutusyard.admission.capacity import CapacityEstimate
from arbutusyard.admission.const import (
    OVERLOAD_END_S,
    RECHECK_S,
    RETRY_AFTER_FRACTION,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    RETRY_JITTER,
    SEARCH_PAUSE_S,
    WAITING_MAX,
)
from arbutusyard.admission.models import Admit, Reject, Ticket, Wait
from arbutusyard.admission.waiting import WaitingLine
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.routing.placement import ServerView, Work

_LOGGER = logging.getLogger(__name__)


class Overload(Struct):
    """Count what happened since a service became overloaded."""

    since: float
    last_at: float
    waited: int = 0
    rejected: int = 0
    refused_by_servers: int = 0


class AdmissionControl:
    """Admit requests by the estimated free capacity of the servers of their service."""

    __slots__ = (
        "_lines",
        "_metrics",
        "_overloads",
        "_rng",
        "_ticket",
        "capacity",
        "enabled",
    )

    def __init__(
        self,
        fleet_state: FleetState,
        peers: PeerTable,
        metrics: DeferredMetrics,
        enabled: bool = True,
    ) -> None:
        self.capacity = CapacityEstimate(fleet_state, peers)
        self.enabled = enabled
        self._metrics = metrics
        self._rng = random.Random(f"retries/{peers.me}")
        # By service, and whether the prompts are large.
        self._lines: dict[tuple[str, bool], WaitingLine] = {}
        self._overloads: dict[str, Overload] = {}
        # The request for which a server is being chosen.
        self._ticket: Ticket | None = None

    def enter(self, ticket: Ticket, now: float) -> Admit | Wait | Reject:
        """Decide about a request; an admitted one chooses a server at once."""
        line = self._line(ticket)
        if ticket.no_room:
            ticket.no_room = False
            return self._decide(ticket, line, now)
        if ticket.waiting_since is None:
            if not ticket.counted:
                ticket.counted = True
                line.count_arrival(now)
            is_next = not line.count_ahead(ticket)
        else:
            is_next = line.head() is ticket
        may_search = not line.tickets or now - line.searched_at >= SEARCH_PAUSE_S
        if ticket.begun or (is_next and may_search):
            self._ticket = ticket
            return Admit()
        return self._decide(ticket, line, now)

    def has_room(self, view: ServerView, work: Work, now: float) -> bool:
        """Return whether a server has capacity for the request admitted last."""
        ticket = self._ticket
        if ticket is None:
            return True
        large = self._lines.get((ticket.service, True))
        large_starves = large is not None and large.starves(now)
        if self.capacity.has_room(view, work, ticket, large_starves, now):
            return True
        ticket.no_room = True
        return False

    def allows_extra(self, ticket: Ticket, server: Server, now: float) -> bool:
        """Return whether a server may get an attempt beside another one."""
        return not self.enabled or self.capacity.is_accepting(server, ticket, now)

    def pause(self, ticket: Ticket, paused: bool) -> None:
        """Let other requests go first while one waits for something else."""
        if self._ticket is ticket:
            self._ticket = None
        ticket.no_room = False
        ticket.paused = paused
        _wake_head(self._line(ticket))

    def found_none(self, ticket: Ticket, now: float) -> bool:
        """Record that no server was chosen; return whether capacity is the reason."""
        self._ticket = None
        if ticket.no_room:
            self._line(ticket).searched_at = now
        return ticket.no_room

    def start(self, ticket: Ticket, server: Server, now: float) -> None:
        """Count a request that is sent to a server."""
        self._ticket = None
        ticket.no_room = ticket.forced = False
        ticket.late = ticket.late or now > ticket.expected_until
        line = self._line(ticket)
        line.count_start(ticket, now)
        self._remove(ticket, line)
        ticket.server = server
        ticket.started_at = now
        server.held_tokens += ticket.held_tokens
        if ticket.late:
            self._metrics.count_admission("late", ticket.class_name)

    def end_attempt(
        self, ticket: Ticket, refused: bool, now: float, served: bool = True
    ) -> bool:
        """Free the capacity of an attempt; return whether a refusal is news.

        `refused` says that the server was full; only the time of one that `served` the
        request counts as its service time.
        """
        server = ticket.server
        if server is None:
            return False
        ticket.server = None
        took_s = now - ticket.started_at
        self._line(ticket).count_end(took_s if served else None)
        server.held_tokens -= ticket.held_tokens
        for large in (False, True):
            line = self._lines.get((ticket.service, large))
            if line is not None:
                _wake_head(line)
        if not refused:
            return False
        self._metrics.count_admission("refused_by_server", ticket.class_name)
        if ticket.service in self._overloads:
            self._overloads[ticket.service].refused_by_servers += 1
        return self.capacity.record_refusal(server, now)

    def finish(self, ticket: Ticket, now: float) -> None:
        """Forget a request that has ended, however it did."""
        if self._ticket is ticket:
            self._ticket = None
        self.end_attempt(ticket, False, now, served=False)
        self._remove(ticket, self._line(ticket))

    def tick(self, now: float) -> None:
        """Forget old refusals and log the end of an overload."""
        self.capacity.tick(now)
        for service, overload in list(self._overloads.items()):
            if self._waiting(service) or now - overload.last_at < OVERLOAD_END_S:
                continue
            del self._overloads[service]
            _LOGGER.info(
                "Service %s has free capacity again",
                service,
                extra={
                    "service": service,
                    "lasted_s": round(overload.last_at - overload.since, 3),
                    "waited": overload.waited,
                    "rejected": overload.rejected,
                    "refused_by_servers": overload.refused_by_servers,
                },
            )

    def _line(self, ticket: Ticket) -> WaitingLine:
        return self._lines.setdefault((ticket.service, ticket.large), WaitingLine())

    def _waiting(self, service: str) -> int:
        return sum(
            len(line.tickets) for key, line in self._lines.items() if key[0] == service
        )

    def _decide(
        self, ticket: Ticket, line: WaitingLine, now: float
    ) -> Admit | Wait | Reject:
        """Decide about a request for which there is no capacity now."""
        if ticket.begun:
            return Wait(RECHECK_S)
        was_late = ticket.late
        if self._is_worth_waiting(ticket, line, now):
            self._add(ticket, line, now)
            if ticket.late and not was_late:
                _wake_head(line)
            if line.head() is ticket:
                return Wait(RECHECK_S)
            until = ticket.waits_until if ticket.late else ticket.on_time_until
            return Wait(max(RECHECK_S, until - now))
        if not ticket.forced and not self.capacity.may_reject(ticket.service, now):
            # Too few slots are in use to reject it, and a wait here gains nothing.
            ticket.forced = True
            self._ticket = ticket
            return Admit()
        is_room_in_line = len(line.tickets) < WAITING_MAX
        if (
            is_room_in_line
            and now < ticket.waits_until
            and not self.capacity.may_reject(ticket.service, now)
        ):
            # Something else than slots is short for the moment.
            self._add(ticket, line, now)
            return Wait(RECHECK_S)
        self._remove(ticket, line)
        self._overload(ticket.service, now).rejected += 1
        self._metrics.count_admission("rejected", ticket.class_name)
        return Reject(self._retry_after_s(ticket, line, now))

    def _is_worth_waiting(self, ticket: Ticket, line: WaitingLine, now: float) -> bool:
        """Return whether a request will probably start while its client waits."""
        is_new = ticket.waiting_since is None
        if is_new and len(line.tickets) >= WAITING_MAX:
            return False
        if not ticket.late and now < ticket.on_time_until:
            if not is_new:
                return True
            if now + line.expected_wait_s(ticket, now) <= ticket.on_time_until:
                return True
        ticket.late = True
        if not is_new:
            return now < ticket.waits_until
        return now + line.expected_wait_s(ticket, now) <= ticket.waits_until

    def _add(self, ticket: Ticket, line: WaitingLine, now: float) -> None:
        if ticket.waiting_since is not None:
            return
        ticket.waiting_since = now
        line.tickets.append(ticket)
        self._overload(ticket.service, now).waited += 1
        self._metrics.count_admission("waited", ticket.class_name)

    def _remove(self, ticket: Ticket, line: WaitingLine) -> None:
        if ticket.waiting_since is None:
            return
        ticket.waiting_since = None
        line.tickets.remove(ticket)
        _wake_head(line)

    def _overload(self, service: str, now: float) -> Overload:
        overload = self._overloads.get(service)
        if overload is None:
            overload = self._overloads[service] = Overload(now, now)
            _LOGGER.info(
                "Service %s has no free capacity; requests wait or are rejected",
                service,
                extra={"service": service},
            )
        overload.last_at = now
        return overload

    def _retry_after_s(self, ticket: Ticket, line: WaitingLine, now: float) -> float:
        """Return when a rejected client should return; each one after the last."""
        rate_s = line.rate_s(now)
        free_s = max(RETRY_AFTER_MIN_S, len(line.tickets) / rate_s)
        left_s = ticket.arrived_at + ticket.left_s - now
        most_s = min(RETRY_AFTER_MAX_S, RETRY_AFTER_FRACTION * left_s)
        retry_at = min(max(line.retry_at, now + free_s), now + most_s)
        line.retry_at = retry_at + 1.0 / rate_s
        jitter = 1.0 - RETRY_JITTER * self._rng.random()
        return max(RETRY_AFTER_MIN_S, jitter * (retry_at - now))


def _wake_head(line: WaitingLine) -> None:
    head = line.head()
    if head is not None:
        head.wake()
