"""Choose the serving nodes of a large fleet, to which clients are sent.

Fewer serving nodes learn of each other's requests sooner, at a cost that does not grow
with the fleet; the others are standby nodes. Every node ranks by the same rule, so the
choices differ only by which peers each node takes for alive.
"""

import math
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest

from arbutusyard.fleet.const import (
    RATE_TIME_CONSTANT_S,
    REQUESTS_PER_CORE_S,
    SERVING_NODES_MIN,
)
from arbutusyard.fleet.messages import Heartbeat


class RateMeter:
    """Average the rate of events, per second."""

    __slots__ = ("_at", "_rate_s")

    def __init__(self) -> None:
        self._rate_s = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Count an event."""
        self._rate_s = self.rate_s(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._at = now

    def rate_s(self, now: float) -> float:
        """Return the average per second, which decays without events."""
        return self._rate_s * math.exp(-max(0.0, now - self._at) / RATE_TIME_CONSTANT_S)


def serving_nodes(nodes: Iterable[Heartbeat]) -> list[Heartbeat]:
    """Return the serving nodes, region by region and by rank.

    Only if a region has no ready node, nodes that are not ready are chosen. They may
    merely be unable to reach the store.
    """
    by_region: dict[str, list[Heartbeat]] = {}
    for node in nodes:
        if not node.leaving:
            by_region.setdefault(node.region, []).append(node)
    chosen = []
    for _, group in sorted(by_region.items()):
        ready = [node for node in group if node.ready]
        rate_s = sum(node.rate_s for node in group)
        chosen += _first_sufficient(_rank(ready or group), rate_s)
    return chosen


def _first_sufficient(ranked: list[Heartbeat], rate_s: float) -> list[Heartbeat]:
    """Return the first nodes that together can serve a request rate."""
    capacity_s = 0.0
    for count, node in enumerate(ranked):
        if count >= SERVING_NODES_MIN and capacity_s >= rate_s:
            return ranked[:count]
        capacity_s += node.capacity * REQUESTS_PER_CORE_S
    return ranked


def _rank(nodes: list[Heartbeat]) -> list[Heartbeat]:
    """Order nodes by a hash weighted by capacity, alternating failure domains."""
    by_domain: dict[str, list[Heartbeat]] = {}
    for node in sorted(nodes, key=_weighted_hash):
        by_domain.setdefault(node.failure_domain, []).append(node)
    interleaved = chain.from_iterable(zip_longest(*by_domain.values()))
    return [node for node in interleaved if node is not None]


def _weighted_hash(node: Heartbeat) -> tuple[float, str]:
    return (_exponential_draw(node.name) / max(node.capacity, 0.01), node.name)


@lru_cache(maxsize=4096)
def _exponential_draw(name: str) -> float:
    digest = blake2b(name.encode(), digest_size=8).digest()
    return -math.log((int.from_bytes(digest) + 1) / 2**64)
