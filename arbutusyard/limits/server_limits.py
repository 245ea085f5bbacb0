"""Keep the requests of all nodes to a backend server within the server's limit.

A few nodes share each limit; every node chooses them alike, by rendezvous hashing.
Each of them sends at its share of the rate, and all other nodes send nothing.
"""

import logging
import math
from collections import deque
from collections.abc import Callable, Iterable

from msgspec import Struct

from arbutusyard.fleet.messages import ServerLimitReport
from arbutusyard.limits.bucket import TokenBucket
from arbutusyard.limits.const import (
    LIMIT_BURST_S,
    LIMIT_CHANGE_FRACTION,
    LIMIT_GRACE_S,
    LIMIT_MIN_S,
    LIMIT_POLL_INTERVAL_MAX_S,
    LIMIT_RAISE_DELAY_S,
    LIMIT_REACTION_S,
    LIMIT_REPORTERS,
    LIMIT_REPORTS_MAX,
    LIMIT_RETENTION_S,
    LIMIT_TOLERANCE,
    LIMIT_TOLERANCE_REQUESTS,
    LIMIT_WINDOW_S,
    RETRY_SPREAD_MAX_S,
    SHARE_RETENTION_S,
    SHARE_START_DELAY_S,
    SHARING_NODES_MIN,
)
from arbutusyard.limits.sharing import SharingNodes
from arbutusyard.routing.chain import rank

_LOGGER = logging.getLogger(__name__)

# A server's id and start in milliseconds.
Incarnation = tuple[str, int]


class ServerLimit(Struct):
    """Hold the limit of one incarnation and this node's share of it.

    The limit is in requests per second, and None after it has ended.
    """

    limit_s: float | None
    # When the newest known answer with this limit came.
    stated_at: float
    # When an answer or another node last told this node of the limit.
    heard_at: float
    bucket: TokenBucket
    # The nodes by rank for this server, and the version of the set of nodes they are
    # from.
    ranked: list[str]
    ranked_version: int = -1
    has_share: bool = False


class ServerLimits:
    """Decide when this node may send a request to a server with a limit."""

    __slots__ = (
        "_grace_s",
        "_limits",
        "_me",
        "_report_offset",
        "_retry_at",
        "_sent_at",
        "_sharing",
    )

    def __init__(self, me: str, grace_s: float = LIMIT_GRACE_S) -> None:
        self._me = me
        self._grace_s = grace_s
        self._limits: dict[Incarnation, ServerLimit] = {}
        # When the next refused request to a service should return.
        self._retry_at: dict[str, float] = {}
        self._sent_at: dict[Incarnation, deque[float]] = {}
        self._sharing = SharingNodes(SHARE_RETENTION_S)
        self._report_offset = 0

    def update_nodes(self, names: Iterable[str], now: float) -> None:
        """Set the nodes that send requests to servers, as this node sees them."""
        self._sharing.update(names, now)

    def observe(
        self, incarnation: Incarnation, limit_s: float | None, now: float
    ) -> ServerLimitReport | None:
        """Apply the limit that an answer states; return a report if it is news."""
        if not self._apply(incarnation, limit_s, now, now):
            return None
        return ServerLimitReport(*incarnation, limit_s, 0.0)

    def apply_reports(self, reports: Iterable[ServerLimitReport], now: float) -> None:
        """Apply the limits that another node reports."""
        for report in reports:
            incarnation = (report.server_id, report.started_at_ms)
            stated_at = now - max(0.0, report.age_s)
            self._apply(incarnation, report.limit_s, stated_at, now)

    def reports(self, now: float) -> tuple[ServerLimitReport, ...]:
        """Return the limits that this node reports in its next heartbeat."""
        own = []
        for incarnation, limit in self._limits.items():
            self._rank(incarnation, limit)
            if (
                self._me in self._sharing.active
                and self._me in limit.ranked[:LIMIT_REPORTERS]
            ):
                age_s = now - limit.stated_at
                own.append(ServerLimitReport(*incarnation, limit.limit_s, age_s))
        if len(own) <= LIMIT_REPORTS_MAX:
            return tuple(own)
        start = self._report_offset % len(own)
        self._report_offset = start + LIMIT_REPORTS_MAX
        return tuple((own + own)[start : start + LIMIT_REPORTS_MAX])

    def limit_s(self, incarnation: Incarnation) -> float | None:
        """Return a server's limit in requests per second, None without one."""
        limit = self._limits.get(incarnation)
        return limit.limit_s if limit is not None else None

    def wait_s(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds until this node may send a request; inf if it may not."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.limit_s is None:
            return 0.0
        rate_s = self._share_s(incarnation, limit, now)
        if not rate_s:
            return math.inf
        start_s = SHARE_START_DELAY_S - self._sharing.observed_s
        return max(0.0, start_s, limit.bucket.wait_s(rate_s, now))

    def retry_in_s(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds until some node may send a request to a server."""
        wait_s = self.wait_s(incarnation, now)
        if math.isfinite(wait_s):
            return wait_s
        return 1.0 / max(self._limits[incarnation].limit_s, LIMIT_MIN_S)

    def spread_retry_s(
        self,
        service: str,
        incarnations: Iterable[Incarnation],
        wait_s: float,
        now: float,
    ) -> float:
        """Return when a refused request should return, `wait_s` or later, in seconds.

        Refused requests return no faster than the limits of the service's usable
        servers allow, divided by the nodes.
        """
        limits = [self.limit_s(incarnation) for incarnation in incarnations]
        if not limits or None in limits:
            return wait_s
        total_s = sum(max(limit_s, LIMIT_MIN_S) for limit_s in limits)
        rate_s = total_s / max(1, len(self._sharing))
        latest_at = now + wait_s + RETRY_SPREAD_MAX_S
        retry_at = max(now + wait_s, self._retry_at.get(service, 0.0))
        retry_at = min(retry_at, latest_at)
        self._retry_at[service] = retry_at + 1.0 / rate_s
        return retry_at - now

    def poll_interval_s(self, incarnation: Incarnation) -> float:
        """Return the interval at which a server may be polled, 0 without a limit."""
        limit_s = self.limit_s(incarnation)
        if limit_s is None:
            return 0.0
        return min(LIMIT_POLL_INTERVAL_MAX_S, 1.0 / max(limit_s, LIMIT_MIN_S))

    def count_sent(self, incarnation: Incarnation, now: float) -> None:
        """Count a request that this node sends to a server."""
        sent_at = self._sent_at.setdefault(incarnation, deque())
        sent_at.append(now)
        while sent_at[0] < now - LIMIT_WINDOW_S:
            sent_at.popleft()
        limit = self._limits.get(incarnation)
        if limit is not None and limit.limit_s is not None:
            limit.bucket.spend(1.0)

    def give_back(self, incarnation: Incarnation) -> None:
        """Stop counting a request of which nothing was sent."""
        sent_at = self._sent_at.get(incarnation)
        if sent_at:
            sent_at.pop()
        limit = self._limits.get(incarnation)
        if limit is not None and limit.limit_s is not None:
            limit.bucket.give_back(1.0)

    def sweep(self, is_known: Callable[[Incarnation], bool], now: float) -> None:
        """Forget ended limits, and servers that are gone or reported by no node."""
        for incarnation, sent_at in list(self._sent_at.items()):
            if not sent_at or sent_at[-1] < now - LIMIT_WINDOW_S:
                del self._sent_at[incarnation]
        for incarnation, limit in list(self._limits.items()):
            if now - limit.heard_at <= LIMIT_RETENTION_S:
                continue
            shared = limit.limit_s is not None and self._share_s(
                incarnation, limit, now
            )
            if not (shared and is_known(incarnation)):
                del self._limits[incarnation]

    def _apply(
        self,
        incarnation: Incarnation,
        limit_s: float | None,
        stated_at: float,
        now: float,
    ) -> bool:
        """Apply a limit that an answer stated at some time; return if it is news."""
        limit = self._limits.get(incarnation)
        if limit is None:
            if limit_s is None:
                return False
            limit = ServerLimit(limit_s, stated_at, now, _empty_bucket(now), [])
            self._limits[incarnation] = limit
            limit.has_share = self._share_s(incarnation, limit, now) > 0
            limit.bucket = TokenBucket(now, 0.0, LIMIT_BURST_S)
            self._delay_for_earlier(incarnation, limit, self._grace_s, now)
            _log_limit(incarnation, limit_s)
            return True
        if limit.limit_s is None and limit_s is None:
            return False
        limit.heard_at = now
        if stated_at <= limit.stated_at:
            return False
        previous_s = math.inf if limit.limit_s is None else limit.limit_s
        new_s = math.inf if limit_s is None else limit_s
        if new_s > previous_s and stated_at - limit.stated_at < LIMIT_RAISE_DELAY_S:
            return False
        limit.stated_at = stated_at
        limit.limit_s = limit_s
        if new_s < LIMIT_CHANGE_FRACTION * previous_s:
            # The grace time begins with the first limit only.
            grace_s = self._grace_s if math.isinf(previous_s) else 0.0
            self._delay_for_earlier(incarnation, limit, grace_s, now)
        elif previous_s >= LIMIT_CHANGE_FRACTION * new_s:
            return False
        _log_limit(incarnation, limit_s)
        return True

    def _delay_for_earlier(
        self,
        incarnation: Incarnation,
        limit: ServerLimit,
        grace_s: float,
        now: float,
    ) -> None:
        """Delay this node's next request for what all nodes sent before the limit.

        Those requests still count when the limit is enforced, after the grace time. The
        sharing nodes begin one after the other. The estimate takes each node to have
        sent one request more than this one.
        """
        share_s = self._share_s(incarnation, limit, now)
        if not share_s:
            return
        total_s = max(limit.limit_s, LIMIT_MIN_S)
        recent = sum(
            at >= now - LIMIT_WINDOW_S for at in self._sent_at.get(incarnation, ())
        )
        earlier_s = (recent + 1) * max(1, len(self._sharing)) / LIMIT_WINDOW_S
        grace_s = min(grace_s, LIMIT_WINDOW_S)
        counted = earlier_s * (LIMIT_WINDOW_S - grace_s + LIMIT_REACTION_S)
        tolerated = (
            LIMIT_TOLERANCE * total_s * LIMIT_WINDOW_S + LIMIT_TOLERANCE_REQUESTS
        )
        excess = counted + total_s * grace_s - tolerated
        delay_s = min(LIMIT_WINDOW_S, max(0.0, excess / total_s))
        delay_s += limit.ranked.index(self._me) / total_s
        limit.bucket.drain(-delay_s * share_s, share_s, now)

    def _share_s(
        self, incarnation: Incarnation, limit: ServerLimit, now: float
    ) -> float:
        """Return this node's share of a limit in requests per second, 0 without one."""
        self._rank(incarnation, limit)
        total_s = max(limit.limit_s, LIMIT_MIN_S)
        count = min(len(limit.ranked), SHARING_NODES_MIN + int(total_s))
        has_share = (
            self._me in self._sharing.active and self._me in limit.ranked[:count]
        )
        if has_share and not limit.has_share:
            # The level is from before this node had a share, or from an earlier one.
            limit.bucket = _empty_bucket(now)
        limit.has_share = has_share
        return total_s / count if has_share else 0.0

    def _rank(self, incarnation: Incarnation, limit: ServerLimit) -> None:
        if limit.ranked_version != self._sharing.version:
            limit.ranked = rank(incarnation[0].encode(), self._sharing.names)
            limit.ranked_version = self._sharing.version


def _empty_bucket(now: float) -> TokenBucket:
    """Return a bucket that lets the first request pass when it has earned it."""
    return TokenBucket(now, -1.0, LIMIT_BURST_S)


def _log_limit(incarnation: Incarnation, limit_s: float | None) -> None:
    extra = {"server": incarnation[0], "limit_s": limit_s}
    if limit_s is None:
        _LOGGER.info("Server %s has no limit any more", incarnation[0], extra=extra)
        return
    _LOGGER.info(
        "Server %s accepts %s requests/s from all nodes",
        incarnation[0],
        limit_s,
        extra=extra,
    )
