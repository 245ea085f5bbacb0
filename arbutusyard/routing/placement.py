"""Choose a backend server by the expected time to serve a request there."""

from typing import Final

from msgspec import Struct

from arbutusyard.routing.chain import rank
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S

# Each request that runs beside slows an engine's tokens by about so much.
RUNNING_COST_S: Final = 0.003
# Time of a plain request that waits for a slot, until answers teach better.
PLAIN_WORK_S: Final = 0.05
# Plain services have few servers and short queues, so less of the random cost.
PLAIN_SPREAD: Final = 0.5
CROSS_DOMAIN_COST_S: Final = 0.006
# A failed request costs its caller about this much: a second try elsewhere.
FAILURE_COST_S: Final = 1.0
# The likelihood that the server that a prompt hashes to holds its shared parts.
AFFINITY_HIT_PROBABILITY: Final = 0.6
# An answer of replaced weights is worth a fifth less, by the users' page; a wait of a
# fifth of its objective puts about as much at risk.
OUTDATED_WEIGHTS_FRACTION: Final = 0.2
# Objective of a request whose route names none, in seconds.
OBJECTIVE_S: Final = 0.5
# Reading a token again that another engine has in hand costs so much besides the
# time: it takes room and time from all others there.
RECOMPUTE_COST_S: Final = 1 / 40_000
# Opening a connection takes two ways through the network and the server's time.
CONNECT_COST_S: Final = 0.012
# Nodes of a large fleet know each other's small requests late and would all choose
# the server that was least loaded; a random cost up to this keeps them apart.
SPREAD_S: Final = 0.02
# Reading more tokens than that holds up the small prompts behind it.
LARGE_TOKENS: Final = 4096
# Large prompts leave the express lane to small ones until the others wait so long.
RESERVED_COST_S: Final = 1.5
# One engine in so many is an express lane; fewer than three have none.
RESERVED_RATIO: Final = 5
RESERVED_ENGINES_MIN: Final = 3


class Work(Struct, frozen=True):
    """Describe a request by what it asks of a server."""

    failure_domain: str
    prompt_tokens: int = 0
    shared_tokens: int = 0
    objective_s: float = OBJECTIVE_S


class ServerView(Struct, frozen=True):
    """Describe a server at the moment of a choice."""

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
    spread_s: float = 0.0
    tokens_s: float = PREFILL_TOKENS_PER_S


def expected_s(work: Work, view: ServerView) -> float:
    """Return what serving a request on a server is expected to cost, in seconds."""
    cost = FAILURE_COST_S * view.failures
    if view.failure_domain != work.failure_domain:
        cost += CROSS_DOMAIN_COST_S
    if view.outdated_weights:
        cost += OUTDATED_WEIGHTS_FRACTION * work.objective_s
    if view.unconnected:
        cost += CONNECT_COST_S
    full = max(0, view.in_flight + 1 - view.slots) / view.slots
    if not work.prompt_tokens:
        cost += view.spread_s * PLAIN_SPREAD
        return cost + PLAIN_WORK_S * (full + 0.2 * view.in_flight / view.slots)
    kept = view.cached_tokens + view.fetch_tokens
    if view.affinity_target:
        kept = max(kept, AFFINITY_HIT_PROBABILITY * work.shared_tokens)
    own = max(0.0, work.prompt_tokens - kept)
    if view.reserved and own > LARGE_TOKENS:
        cost += RESERVED_COST_S
    cost += RECOMPUTE_COST_S * view.recompute_tokens + view.fetch_s
    cost += (own + view.prompt_tokens) / view.tokens_s
    cost += view.spread_s
    return cost + RUNNING_COST_S * view.in_flight + full


def reserved_engines(server_ids: list[str]) -> frozenset[str]:
    """Return the engines that large prompts avoid, the same ones on every node."""
    if len(server_ids) < RESERVED_ENGINES_MIN:
        return frozenset()
    count = max(1, len(server_ids) // RESERVED_RATIO)
    return frozenset(rank(b"express", server_ids)[:count])


def choose(work: Work, views: list[ServerView]) -> ServerView:
    """Return the server with the least expected cost; there is at least one."""
    return min(views, key=lambda view: (expected_s(work, view), view.server_id))
