"""Order the requests that wait at this node for the same kind of capacity."""

from arbutusyard.admission.const import (
    FAIR_TURN,
    RATE_MIN_S,
    SERVICE_FRACTION,
    SERVICE_WEIGHT,
    STARVED_S,
)
from arbutusyard.admission.models import Rate, Ticket


class WaitingLine:
    """Hold the waiting requests of one service that need the same kind of capacity."""

    __slots__ = (
        "_arrivals",
        "_in_flight",
        "_is_measured",
        "_mean_s",
        "_started_at",
        "_starts",
        "_turns",
        "retry_at",
        "searched_at",
        "tickets",
    )

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        self._arrivals = Rate()
        # Requests at servers, and the mean time that they stay there, in seconds.
        self._in_flight = 0
        self._mean_s = 0.0
        self._is_measured = False
        self._starts = Rate()
        self._started_at = float("-inf")
        # Number of starts of waiting requests.
        self._turns = 0
        # When a search for a server was last futile.
        self.searched_at = float("-inf")
        # When the next rejected client should return.
        self.retry_at = 0.0

    def head(self) -> Ticket | None:
        """Return the request whose turn it is."""
        ready = [ticket for ticket in self.tickets if not ticket.paused]
        if self._turns % FAIR_TURN == FAIR_TURN - 1:
            on_time = [ticket for ticket in ready if not ticket.late]
            if on_time:
                return min(on_time, key=lambda ticket: ticket.waiting_since)
        return min(ready, key=lambda ticket: ticket.order, default=None)

    def count_ahead(self, ticket: Ticket) -> int:
        """Return the number of other requests that go before one."""
        order = ticket.order
        return sum(
            other is not ticket and not other.paused and other.order <= order
            for other in self.tickets
        )

    def count_arrival(self, now: float) -> None:
        """Count a request that arrived."""
        self._arrivals.count(now)

    def count_start(self, ticket: Ticket, now: float) -> None:
        """Count a request that is sent to a server."""
        self._starts.count(now)
        self._started_at = now
        self._in_flight += 1
        if not self._mean_s:
            self._mean_s = SERVICE_FRACTION * ticket.objective_s
        if ticket.waiting_since is not None:
            self._turns += 1

    def count_end(self, took_s: float | None) -> None:
        """Count a request that a server no longer has, and its time there.

        None if the server did not serve it, which tells nothing about that time.
        """
        self._in_flight -= 1
        if took_s is None:
            return
        weight = SERVICE_WEIGHT if self._is_measured else 1.0
        self._is_measured = True
        self._mean_s += weight * (took_s - self._mean_s)

    def starves(self, now: float) -> bool:
        """Return whether requests wait and none has been started lately."""
        if not self.tickets:
            return False
        since = max(self._started_at, self.tickets[0].waiting_since)
        return now - since > STARVED_S

    def rate_s(self, now: float) -> float:
        """Return how many requests this node can start per second.

        By Little's law as many end per second as are at servers divided by their mean
        time there. That is known at once where few have been started yet.
        """
        ends_s = self._in_flight / self._mean_s if self._mean_s else 0.0
        return max(RATE_MIN_S, self._starts.per_s(now), ends_s)

    def expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Return the expected wait of a request; inf if it would never start.

        Late requests get only what those that arrive leave.
        """
        rate_s = self.rate_s(now)
        if ticket.late:
            rate_s -= self._arrivals.per_s(now)
        if rate_s <= 0:
            return float("inf")
        return (self.count_ahead(ticket) + 1) / rate_s
