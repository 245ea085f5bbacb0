"""Choose the nodes of a large fleet that callers are sent to.

Fewer nodes know each other's work sooner, at a cost that does not grow with the fleet;
the others stand by. Every node ranks alike, so views differ only by who is alive.
"""

import math
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest

from arbutusyard.fleet.const import (
    RATE_AVERAGE_S,
    REQUESTS_PER_CORE_S,
    SERVING_MIN,
)
from arbutusyard.fleet.messages import Heartbeat


class RateMeter:
    """Average how many events come in a second."""

    __slots__ = ("_at", "_rate_s")

    def __init__(self) -> None:
        self._rate_s = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Count an event."""
        self._rate_s = self.rate_s(now) + 1.0 / RATE_AVERAGE_S
        self._at = now

    def rate_s(self, now: float) -> float:
        """Return the average, which fades without events."""
        return self._rate_s * math.exp(-max(0.0, now - self._at) / RATE_AVERAGE_S)


def serving_nodes(nodes: Iterable[Heartbeat]) -> list[Heartbeat]:
    """Return the nodes that callers should use, region by region, in their rank.

    A region's ready nodes come before the others, which may lack only the store.
    """
    by_region: dict[str, list[Heartbeat]] = {}
    for node in nodes:
        if not node.leaving:
            by_region.setdefault(node.region, []).append(node)
    chosen = []
    for _, group in sorted(by_region.items()):
        ready = [node for node in group if node.ready]
        rate_s = sum(node.rate_s for node in group)
        chosen += _enough(_rank(ready or group), rate_s)
    return chosen


def _enough(ranked: list[Heartbeat], rate_s: float) -> list[Heartbeat]:
    """Return as many of the first nodes as carry a rate of requests."""
    carried_s = 0.0
    for count, node in enumerate(ranked):
        if count >= SERVING_MIN and carried_s >= rate_s:
            return ranked[:count]
        carried_s += node.capacity * REQUESTS_PER_CORE_S
    return ranked


def _rank(nodes: list[Heartbeat]) -> list[Heartbeat]:
    """Order nodes by a hash weighted by capacity, failure domains in turn."""
    by_domain: dict[str, list[Heartbeat]] = {}
    for node in sorted(nodes, key=_weighted_hash):
        by_domain.setdefault(node.failure_domain, []).append(node)
    turns = chain.from_iterable(zip_longest(*by_domain.values()))
    return [node for node in turns if node is not None]


def _weighted_hash(node: Heartbeat) -> tuple[float, str]:
    return (_drawn(node.name) / max(node.capacity, 0.01), node.name)


@lru_cache(maxsize=4096)
def _drawn(name: str) -> float:
    digest = blake2b(name.encode(), digest_size=8).digest()
    return -math.log((int.from_bytes(digest) + 1) / 2**64)
