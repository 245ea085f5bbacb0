"""Check that no server gets far more requests than the limit that it names."""

from collections import deque
from dataclasses import dataclass, field

from tests.soak.const import (
    CONTACT_S,
    LIMIT_FACTOR,
    LIMIT_SLACK,
    LIMIT_TOLD_S,
    LIMIT_WINDOW_S,
)


@dataclass(slots=True)
class LimitedServer:
    """One server that names a limit, and what it got from which processes."""

    limit_s: float
    named_at: float
    # When each process of a node first passed on an answer with the limit.
    told_at: dict[tuple[str, int], float] = field(default_factory=dict)


@dataclass(slots=True)
class Arrival:
    """One request that reached a server, and the process that sent it."""

    at: float
    process: tuple[str, int]
    excused: bool


class LimitCheck:
    """Count the requests that reach each server, in a sliding window.

    A server's limit holds from CONTACT_S after it was first named; the requests of all
    processes that have passed on such an answer LIMIT_TOLD_S before are added up. At
    the start of that time the window covers requests from before the limit was named.
    """

    def __init__(self):
        self._arrivals = {}
        self._limited = {}

    def name_limit(self, server_id, limit_s, now):
        """Record that a server names a limit, in requests per second."""
        named_at = now
        if server_id in self._limited:
            named_at = self._limited[server_id].named_at
        self._limited[server_id] = LimitedServer(limit_s, named_at)

    def end_limit(self, server_id):
        """Record that a server's answers name no limit any more."""
        self._limited.pop(server_id, None)

    def record_answer(self, server_id, process, now):
        """Record that a process passed on an answer that names a limit."""
        limited = self._limited.get(server_id)
        if limited is not None:
            limited.told_at.setdefault(process, now)

    def record_arrival(self, server_id, process, excused, now):
        """Record a request that reached a server; return the excess, if any."""
        arrivals = self._arrivals.setdefault(server_id, deque())
        arrivals.append(Arrival(now, process, excused))
        while arrivals[0].at < now - LIMIT_WINDOW_S:
            arrivals.popleft()
        limited = self._limited.get(server_id)
        if limited is None or now < limited.named_at + CONTACT_S:
            return ""
        allowed = LIMIT_FACTOR * limited.limit_s * LIMIT_WINDOW_S + LIMIT_SLACK
        counted = [
            arrival
            for arrival in arrivals
            if not arrival.excused
            and limited.told_at.get(arrival.process, now) <= now - LIMIT_TOLD_S
        ]
        if len(counted) <= allowed:
            return ""
        return (
            f"{server_id} had named {limited.limit_s} requests/s, got {len(counted)} "
            f"in {LIMIT_WINDOW_S:.0f} s; allowed {allowed:.1f}"
        )
