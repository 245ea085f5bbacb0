"""Define what admission under load knows of a request, and its decisions."""

import math
from collections.abc import Callable

from msgspec import Struct

from arbutusyard.admission.const import (
    CLIENT_RETRY_FRACTION,
    EXPECTED_FRACTION,
    LATE_WAIT_FRACTION,
    ON_TIME_FRACTION,
    RATE_TIME_CONSTANT_S,
)
from arbutusyard.fleet.servers import Server
from arbutusyard.routing.placement import LARGE_TOKENS

# Level of the least urgent requests; 0 is the most urgent.
URGENCY_MAX = 9


class Ticket(Struct, eq=False):
    """Hold what decides about one request; times in seconds.

    `gives_up_at` is when its client disconnects if no first event has come.
    """

    service: str
    class_name: str
    urgency: int
    arrived_at: float
    objective_s: float
    gives_up_at: float
    time_limit_s: float
    # Time that the client left; less than the route's limit on a client's retry.
    left_s: float
    prompt_tokens: int = 0
    held_tokens: int = 0
    # Its client has received a part of the answer, so that it can't be rejected.
    begun: bool = False
    # Wakes the task that waits for this request's turn.
    wake: Callable[[], None] = lambda: None
    # The request is sent where only the memory and the connections set limits.
    forced: bool = False
    late: bool = False
    no_room: bool = False
    # Its arrival was counted.
    counted: bool = False
    # The request waits for something else than capacity; others go first.
    paused: bool = False
    waiting_since: float | None = None
    # The server that serves the request now.
    server: Server | None = None
    started_at: float = 0.0

    @property
    def large(self) -> bool:
        """Return whether the prompt delays small ones."""
        return self.prompt_tokens > LARGE_TOKENS

    @property
    def on_time_until(self) -> float:
        """Return until when a start probably meets the objective."""
        return self.arrived_at + ON_TIME_FRACTION * self.objective_s

    @property
    def expected_until(self) -> float:
        """Return when the first event has to be expected at the latest."""
        return self.arrived_at + EXPECTED_FRACTION * self.objective_s

    @property
    def waits_until(self) -> float:
        """Return until when the request waits at this node."""
        left_s = self.gives_up_at - self.arrived_at
        return self.arrived_at + LATE_WAIT_FRACTION * left_s

    @property
    def order(self) -> tuple[int, bool, float]:
        """Return the key by which waiting requests are sorted."""
        is_first_try = self.left_s >= (1 - CLIENT_RETRY_FRACTION) * self.time_limit_s
        urgency = URGENCY_MAX if self.late else self.urgency
        return (urgency, is_first_try, self.on_time_until)


class Admit(Struct, frozen=True):
    """Tell that a server may be chosen for a request now."""


class Wait(Struct, frozen=True):
    """Tell that a request waits until it is woken, for a time at most."""

    wait_s: float


class Reject(Struct, frozen=True):
    """Tell that a request is rejected, and when there will be capacity."""

    retry_after_s: float


class Rate:
    """Average the rate of events over the last seconds, per second."""

    __slots__ = ("_at", "_rate_s")

    def __init__(self) -> None:
        self._rate_s = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Count an event."""
        self._rate_s = self.per_s(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the average per second, which decays without events."""
        age_s = max(0.0, now - self._at)
        return self._rate_s * math.exp(-age_s / RATE_TIME_CONSTANT_S)
