"""Choose among candidate backend servers; each kind of policy is a data class."""

from dataclasses import dataclass
from random import Random

from arbutusyard.routing.chain import rank
from arbutusyard.routing.const import (
    CROSS_DOMAIN_COST_S,
    FULL_BATCH_COST_S,
    PRICE_DOUBLING_QUEUE_S,
)
from arbutusyard.routing.models import Candidate, Work


@dataclass(frozen=True, slots=True)
class PricedPrefix:
    """Minimize the expected wait plus the priced recomputation of blocks.

    Recomputing a block takes capacity from all waiting requests, so the price grows
    linearly with the shortest queue: by its own size for each `doubling_queue_s` of
    the queue, and not at all if that is infinite.
    """

    price_factor: float = 1.0
    doubling_queue_s: float = PRICE_DOUBLING_QUEUE_S


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Choose the server with the shortest expected wait."""


@dataclass(frozen=True, slots=True)
class PrefixHash:
    """Choose the server by rendezvous hashing of one block of the prompt."""

    block: int = 0


@dataclass(slots=True)
class RoundRobin:
    """Choose one server after the other."""

    position: int = 0


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Choose a random server."""

    random: Random


Policy = PricedPrefix | LeastLoaded | PrefixHash | RoundRobin | RandomChoice


def choose(policy: Policy, work: Work, candidates: list[Candidate]) -> Candidate:
    """Return the candidate that a policy prefers; there is at least one."""
    match policy:
        case PricedPrefix(price_factor=factor, doubling_queue_s=doubling_queue_s):
            queue_s = min(candidate.queue_s for candidate in candidates)
            return _cheapest(
                work, candidates, factor * (1 + queue_s / doubling_queue_s)
            )
        case LeastLoaded():
            return min(candidates, key=lambda c: (c.full, c.wait_s, c.backend))
        case PrefixHash(block=block):
            return _hashed(work, candidates, block)
        case RoundRobin():
            policy.position += 1
            return candidates[policy.position % len(candidates)]
        case RandomChoice(random=random):
            return random.choice(candidates)


def cost_s(work: Work, candidate: Candidate, factor: float) -> float:
    """Return the cost of serving work on a candidate, in seconds."""
    missing = max(0, len(work.chain.blocks) - candidate.cached)
    compute_s = missing * candidate.block_prefill_s
    cost = candidate.wait_s + work.price * factor * compute_s
    if candidate.full:
        cost += FULL_BATCH_COST_S
    if candidate.failure_domain != work.failure_domain:
        cost += CROSS_DOMAIN_COST_S
    return cost


def _cheapest(work: Work, candidates: list[Candidate], factor: float) -> Candidate:
    costs = [cost_s(work, candidate, factor) for candidate in candidates]
    least = min(costs)
    ties = [
        candidate
        for candidate, cost in zip(candidates, costs, strict=True)
        if cost - least <= 2 * CROSS_DOMAIN_COST_S
    ]
    if len(ties) == 1:
        return ties[0]
    return _hashed(work, ties, 0)


def _hashed(work: Work, candidates: list[Candidate], block: int) -> Candidate:
    blocks = work.chain.blocks
    key = blocks[min(block, len(blocks) - 1)] if blocks else work.account.encode()
    by_name = {candidate.backend: candidate for candidate in candidates}
    return by_name[rank(key, by_name)[0]]
