"""Choose a backend server by the expected time to serve a request there."""

from functools import lru_cache
from typing import Final

from msgspec import Struct

from arbutusyard.routing.chain import rank
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S

# Cost of each other request in flight on an engine, in seconds; each slows the engine's
# tokens by about this much.
RUNNING_COST_S: Final = 0.003
# Assumed time of a request without a prompt that waits for a slot, in seconds.
PROMPTLESS_WORK_S: Final = 0.05
# Factor on the random cost of requests without a prompt; their services have few
# servers and short queues.
PROMPTLESS_RANDOM_FACTOR: Final = 0.5
# Cost of sending a request to another failure domain, in seconds.
CROSS_DOMAIN_COST_S: Final = 0.006
# Cost of a failed request, in seconds: about what a second attempt elsewhere takes.
FAILURE_COST_S: Final = 1.0
# Probability that a prompt's affinity target holds its shared segments.
AFFINITY_HIT_PROBABILITY: Final = 0.6
# Cost of an answer of outdated weights, as a fraction of the request's objective: the
# platform's specification values it a fifth less, and a wait of a fifth of the
# objective puts about as much at risk.
OUTDATED_WEIGHTS_FRACTION: Final = 0.2
# Objective of a request whose route defines none, in seconds.
DEFAULT_OBJECTIVE_S: Final = 0.5
# Additional cost of recomputing a token that another engine holds or is prefilling, in
# seconds: it takes room and time from all other requests on the engine.
RECOMPUTE_COST_S: Final = 1 / 40_000
# Cost of opening a connection, in seconds: two trips through the network and the
# server's time.
CONNECT_COST_S: Final = 0.012
# Maximum random cost, in seconds. Nodes of a large fleet learn late of each other's
# small requests and would otherwise all choose the server that was least loaded.
RANDOM_COST_MAX_S: Final = 0.02
# Number of tokens to prefill above which a prompt delays the small ones behind it.
LARGE_TOKENS: Final = 4096
# Additional cost of a large prompt on an engine reserved for small ones, in seconds; it
# goes there only when all other engines take longer by more than this.
RESERVED_COST_S: Final = 1.5
# Cost of spending a part of an engine's limit on a prompt below the average size, in
# seconds. A limit counts requests, so large prompts make the most of it.
LIMITED_COST_S: Final = 0.5
# Number of engines of which one is reserved for small prompts.
RESERVED_RATIO: Final = 5
# Minimum number of engines of which one is reserved; of fewer than three, none is.
RESERVED_ENGINES_MIN: Final = 3


class Work(Struct, frozen=True):
    """Describe a request by the work that it causes on a server."""

    failure_domain: str
    prompt_tokens: int = 0
    shared_tokens: int = 0
    objective_s: float = DEFAULT_OBJECTIVE_S
    # The prompt is smaller than the average of its service.
    small: bool = False


class ServerView(Struct, frozen=True):
    """Hold the state of a server when one is chosen."""

    server_id: str
    failure_domain: str
    slots: int
    in_flight: int
    prompt_tokens: int
    cached_tokens: int
    affinity_target: bool
    failures: float
    outdated_weights: bool = False
    fetch_tokens: int = 0
    fetch_s: float = 0.0
    reserved: bool = False
    recompute_tokens: int = 0
    unconnected: bool = False
    random_cost_s: float = 0.0
    tokens_s: float = PREFILL_TOKENS_PER_S
    limited: bool = False
    # Time by which the server responds later than others of its service, in seconds.
    slow_s: float = 0.0


def expected_s(work: Work, view: ServerView) -> float:
    """Return the expected cost of serving a request on a server, in seconds."""
    cost = FAILURE_COST_S * view.failures + view.slow_s
    if view.failure_domain != work.failure_domain:
        cost += CROSS_DOMAIN_COST_S
    if view.outdated_weights:
        cost += OUTDATED_WEIGHTS_FRACTION * work.objective_s
    if view.unconnected:
        cost += CONNECT_COST_S
    overload = max(0, view.in_flight + 1 - view.slots) / view.slots
    if not work.prompt_tokens:
        cost += view.random_cost_s * PROMPTLESS_RANDOM_FACTOR
        return cost + PROMPTLESS_WORK_S * (overload + 0.2 * view.in_flight / view.slots)
    available = view.cached_tokens + view.fetch_tokens
    if view.affinity_target:
        available = max(available, AFFINITY_HIT_PROBABILITY * work.shared_tokens)
    missing = max(0.0, work.prompt_tokens - available)
    if view.reserved and missing > LARGE_TOKENS:
        cost += RESERVED_COST_S
    if view.limited and work.small:
        cost += LIMITED_COST_S
    cost += RECOMPUTE_COST_S * view.recompute_tokens + view.fetch_s
    cost += (missing + view.prompt_tokens) / view.tokens_s
    cost += view.random_cost_s
    return cost + RUNNING_COST_S * view.in_flight + overload


def reserved_engines(server_ids: list[str]) -> frozenset[str]:
    """Return the engines reserved for small prompts, the same ones on every node."""
    if len(server_ids) < RESERVED_ENGINES_MIN:
        return frozenset()
    return _first_reserved(tuple(server_ids))


# Hashing all engines takes a tenth of the time of a placement among 70, and the same
# few sets of engines recur.
@lru_cache(maxsize=16)
def _first_reserved(server_ids: tuple[str, ...]) -> frozenset[str]:
    count = max(1, len(server_ids) // RESERVED_RATIO)
    return frozenset(rank(b"express", server_ids)[:count])


def choose(work: Work, views: list[ServerView]) -> ServerView:
    """Return the server with the least expected cost; there is at least one."""
    return min(views, key=lambda view: (expected_s(work, view), view.server_id))
