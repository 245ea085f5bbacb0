"""Track the nodes between which the joint limits of a fleet are divided."""

from collections.abc import Collection, Iterable

from msgspec import Struct

from arbutusyard.limits.const import OBSERVED_STEP_MAX_S


class FleetShare(Struct, frozen=True):
    """Hold what a node knows of the nodes that share its joint limits.

    `nodes` may send requests, with this one; `heard` of them were heard from. `recent`
    are not known to have run for as long as a limit looks back. `settled` tells that
    this node has, and that it knows of the nodes that started with it.
    """

    nodes: int = 1
    heard: int = 1
    recent: int = 1
    settled: bool = False


class SharingNodes:
    """Hold the nodes that may use a part of a joint limit.

    A node that is not seen any more keeps its part for the retention time: it may be
    cut off from this one and still send requests.
    """

    __slots__ = (
        "_ever",
        "_release_s",
        "_retention_s",
        "_seen_at_s",
        "_updated_at",
        "active",
        "heard",
        "observed_s",
        "version",
    )

    def __init__(self, retention_s: float, release_s: float = 0.0) -> None:
        self._retention_s = retention_s
        self._release_s = release_s
        # Time for which this process has observed the other nodes, in seconds, and at
        # which point of it each node was last seen.
        self.observed_s = 0.0
        self._seen_at_s: dict[str, float] = {}
        self._ever: set[str] = set()
        self._updated_at: float | None = None
        self.active: frozenset[str] = frozenset()
        # Nodes that were ever seen to be alive.
        self.heard: set[str] = set()
        # Changes with the set of nodes.
        self.version = 0

    def __len__(self) -> int:
        """Return the number of nodes that may use a part."""
        return len(self._seen_at_s)

    @property
    def names(self) -> Collection[str]:
        """Return the nodes that may use a part."""
        return self._seen_at_s.keys()

    def update(
        self,
        active: Iterable[str],
        now: float,
        idle: Iterable[str] = (),
        expected: Iterable[str] = (),
    ) -> None:
        """Set the nodes that send requests, as this node sees them.

        `idle` nodes are alive and send none; they keep their parts for the release time
        only. `expected` nodes should exist but may not have been seen.
        """
        if self._updated_at is not None:
            step_s = max(0.0, now - self._updated_at)
            self.observed_s += min(step_s, OBSERVED_STEP_MAX_S)
        self._updated_at = now
        known = set(self._seen_at_s)
        active, idle = frozenset(active), frozenset(idle)
        self.heard |= active | idle
        for name in active:
            self._seen_at_s[name] = self.observed_s
        for name in expected:
            if name not in self._ever:
                self._seen_at_s.setdefault(name, self.observed_s)
        self._ever.update(self._seen_at_s)
        released_s = self.observed_s - self._retention_s + self._release_s
        for name in idle:
            if name in self._seen_at_s:
                self._seen_at_s[name] = min(self._seen_at_s[name], released_s)
        for name, seen_at_s in list(self._seen_at_s.items()):
            if self.observed_s - seen_at_s > self._retention_s:
                del self._seen_at_s[name]
        if active != self.active or known != set(self._seen_at_s):
            self.active = active
            self.version += 1
