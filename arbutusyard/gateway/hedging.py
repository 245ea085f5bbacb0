"""Decide when a request that may be repeated gets an extra attempt, without network."""

import enum
import logging
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import Final

from msgspec import Struct, field

from arbutusyard.routing.placement import CONNECT_COST_S

_LOGGER = logging.getLogger(__name__)

# Largest fraction of a service's requests that may get an extra attempt. Above it the
# extra attempts would use up the platform's retry budget (0.2) alone.
HEDGE_FRACTION_MAX: Final = 0.2
# Time for which a response time counts, in seconds. Slow periods of servers last about
# 0.6 s and demand moves within tens of seconds; a node of a large fleet sends a route
# one request per second and needs this long for SAMPLES_MIN of them.
WINDOW_S: Final = 20.0
# Numbers of response times needed for a decision, and kept at most for one route and
# service. 128 bound a new estimate to about 1,000 look-ups.
SAMPLES_MIN: Final = 16
SAMPLES_MAX: Final = 128
# Number of ages compared for one estimate.
AGES_MAX: Final = 32
# Ages are compared that at most this multiple of the permitted fraction of attempts
# reach. Earlier ages save more on average but leave no extra attempts for the slowest
# responses: p99 was 0.98 s in place of 0.85 s in the simulation of the tests.
OLDER_FACTOR: Final = 2.0
# Probability of being the first to respond from which an extra attempt may start.
SOONER_MIN: Final = 0.5
# Mean time that an extra attempt has to save, in seconds. It ends with the reset of one
# connection, which a later request has to open again.
SAVED_MIN_S: Final = CONNECT_COST_S
# Interval between new estimates for one route and service, in seconds.
ESTIMATE_INTERVAL_S: Final = 0.5
# Number of extra attempts that may be saved up while none is needed, so that a slow
# period after a quiet time causes no burst.
ALLOWANCE_MAX: Final = 5.0
# Fraction of the slots of a service's usable servers from which no extra attempt
# starts. Below it, the specification permits no rejection either.
LOAD_MAX: Final = 0.5
# Time after a server's rejection in which its service counts as short of capacity, in
# seconds: two heartbeats, by which nodes learn of each other's load.
REJECTION_PAUSE_S: Final = 1.0


class HedgeRefusal(enum.Enum):
    """Name why an extra attempt was not started."""

    ATTEMPTS = "attempts"
    FRACTION = "fraction"
    SUSPECT = "suspect"
    CAPACITY = "capacity"
    SERVER = "server"
    NOT_SOONER = "not_sooner"
    QUOTA = "quota"
    BUDGET = "budget"


class ResponseTimes(Struct):
    """Hold the recent response times of a route at a service, and the delay."""

    # Time of each observation and the response time, both in seconds.
    samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=SAMPLES_MAX)
    )
    estimated_at: float = float("-inf")
    delay_s: float | None = None

    def recent(self, now: float) -> list[float]:
        """Return the response times that still count, in seconds."""
        while self.samples and now - self.samples[0][0] > WINDOW_S:
            self.samples.popleft()
        return [time_s for _, time_s in self.samples]


class HedgePolicy:
    """Decide on extra attempts by the response times of the last seconds.

    `fraction` of a service's requests at this node get one at most; 0 is off.
    """

    __slots__ = ("_allowances", "_rejected_at", "_times", "counts", "fraction")

    def __init__(self, fraction: float = 0.0) -> None:
        self.fraction = fraction
        # Extra attempts that the requests so far permit, by service.
        self._allowances: dict[str, float] = {}
        self._rejected_at: dict[str, float] = {}
        self._times: dict[tuple[str, str], ResponseTimes] = {}
        # Extra attempts started, won and cancelled, and refusals by their reason.
        self.counts: Counter[str] = Counter()

    def count_request(self, service: str) -> None:
        """Count a client's request to a service."""
        allowance = self._allowances.get(service, 0.0) + self.fraction
        self._allowances[service] = min(ALLOWANCE_MAX, allowance)

    def record_answer(
        self, route: str, service: str, time_s: float, now: float
    ) -> None:
        """Record after how many seconds an attempt responded."""
        times = self._times.setdefault((route, service), ResponseTimes())
        times.samples.append((now, time_s))

    def record_cancelled(
        self, route: str, service: str, age_s: float, now: float
    ) -> None:
        """Record an attempt that was cancelled before it responded.

        Its response time is estimated; without it the slow attempts, which are those
        cancelled, would be missing among the response times.
        """
        rest_s = self.remaining_s(route, service, age_s, now)
        self.record_answer(route, service, age_s + rest_s, now)

    def record_rejection(self, service: str, now: float) -> None:
        """Record that a server rejected a request because it is full."""
        self._rejected_at[service] = now

    def delay_s(self, route: str, service: str, now: float) -> float | None:
        """Return the age at which an extra attempt starts, in seconds.

        None if hedging is off, or is not known to pay.
        """
        times = self._times.get((route, service))
        if self.fraction <= 0 or times is None:
            return None
        if now - times.estimated_at < ESTIMATE_INTERVAL_S:
            return times.delay_s
        times.estimated_at = now
        recent = times.recent(now)
        delay_s = best_delay_s(recent, self.fraction)
        if (delay_s is None) is not (times.delay_s is None):
            _LOGGER.info(
                "Extra attempts of route %s at service %s are %s",
                route,
                service,
                "off" if delay_s is None else "on",
                extra={
                    "route": route,
                    "service": service,
                    "delay_ms": delay_s and round(delay_s * 1000, 1),
                    "samples": len(recent),
                },
            )
        times.delay_s = delay_s
        return delay_s

    def remaining_s(self, route: str, service: str, age_s: float, now: float) -> float:
        """Return the mean time that an attempt of an age still takes, in seconds.

        0 if no recent one took as long.
        """
        times = self._times.get((route, service))
        older = [t - age_s for t in times.recent(now) if t > age_s] if times else ()
        return sum(older) / len(older) if older else 0.0

    def refusal(
        self, service: str, executions: int, max_attempts: int, now: float
    ) -> HedgeRefusal | None:
        """Return why a request may get no extra attempt now; None if it may.

        `executions` counts its attempts that a server may have run, the present one
        included.
        """
        if executions + 1 > max_attempts:
            return HedgeRefusal.ATTEMPTS
        if self._allowances.get(service, 0.0) < 1.0:
            return HedgeRefusal.FRACTION
        if now - self._rejected_at.get(service, float("-inf")) < REJECTION_PAUSE_S:
            return HedgeRefusal.CAPACITY
        return None

    def is_sooner(
        self,
        route: str,
        service: str,
        age_s: float,
        left_s: float,
        expected_s: float,
        now: float,
    ) -> bool:
        """Tell whether a server expected to take `expected_s` responds in time.

        `age_s` is the age of the first attempt and `left_s` the request's time left.
        """
        remaining_s = self.remaining_s(route, service, age_s, now)
        return expected_s < min(remaining_s, left_s)

    def count_started(self, service: str) -> None:
        """Count an extra attempt."""
        self._allowances[service] = self._allowances.get(service, 0.0) - 1.0
        self.counts["started"] += 1


def has_spare_capacity(
    in_flight: int, slots: int, others: Iterable[tuple[int, int]]
) -> bool:
    """Tell whether a server and its service have capacity for an extra attempt.

    `others` holds the requests in flight and slots of all usable servers of the
    service.
    """
    if in_flight >= slots:
        return False
    loads = list(others)
    used = sum(load for load, _ in loads)
    return used < LOAD_MAX * sum(total for _, total in loads)


def best_delay_s(times: Sequence[float], fraction: float) -> float | None:
    """Return the age at which the permitted extra attempts save the most time.

    Compares the remaining times of the attempts that are older with the times of new
    ones, at ages that few attempts reach. Return None if at every age a new one is
    probably later or saves next to nothing, or if too few response times are known.
    """
    count = len(times)
    if count < SAMPLES_MIN:
        return None
    ordered = sorted(times)
    sums = [0.0, *accumulate(ordered)]
    best_s: float | None = None
    most_saved = 0.0
    first = max(count // 2, int(count * (1 - OLDER_FACTOR * fraction)))
    for index in range(first, count - 1, max(1, (count - first) // AGES_MAX)):
        age_s = ordered[index]
        sooner = 0
        saved_s = 0.0
        older = ordered[index + 1 :]
        for time_s in older:
            remaining_s = time_s - age_s
            position = bisect_left(ordered, remaining_s)
            sooner += position
            saved_s += position * remaining_s - sums[position]
        pairs = len(older) * count
        if sooner < SOONER_MIN * pairs or saved_s < SAVED_MIN_S * pairs:
            continue
        saved = min(fraction, len(older) / count) * saved_s / pairs
        if saved > most_saved:
            best_s, most_saved = age_s, saved
    return best_s
