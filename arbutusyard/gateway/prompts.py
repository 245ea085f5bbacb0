"""Describe prompts by the segments that engines and cache stores hold."""

import math
from hashlib import blake2b
from itertools import accumulate

from msgspec import Struct

from arbutusyard.gateway.models import CallerRequest
from arbutusyard.routing.chain import rank
from arbutusyard.routing.segments import Source, segment_key

# Size of the smallest first segment that has an affinity target, and of the smallest
# shared segments that the nodes of a small fleet broadcast, in tokens.
AFFINITY_SEGMENT_TOKENS = 512


class Prompt(Struct):
    """Hold the cache keys of a prompt under one version of the weights.

    Also holds, by server id or store address, how many of its leading segments each
    engine was sent, each engine has prefilled lately, and each cache store holds.
    """

    salt: str
    segment_keys: tuple[bytes, ...]
    sent_depths: dict[str, int]
    engine_depths: dict[str, int]
    store_depths: dict[str, int]
    # The places from which leading segments can be fetched, and their tokens.
    sources: list[tuple[Source, int]] = []
    # The accounts that share the cached segments, as the salt has it, and when it was
    # first seen that the account of the request has another group now.
    group: str = ""
    group_changed_at: float = math.inf


def leading_tokens(req: CallerRequest) -> list[int]:
    """Return the tokens of the first 0, 1, 2 and more segments of a prompt."""
    return [0, *accumulate(segment.tokens for segment in req.segments)]


def affinity_target(req: CallerRequest, owner: str, server_ids: list[str]) -> str:
    """Return the server on which all nodes place this first segment by preference.

    `owner` is the account if it shares nothing, and empty otherwise.
    """
    if len(req.segments) < 2 or req.segments[0].tokens < AFFINITY_SEGMENT_TOKENS:
        return ""
    return rank(f"{owner}/{req.segments[0].segment_id}".encode(), server_ids)[0]


def cache_salt(group: str, model: str, version: int) -> str:
    """Return a cache salt that separates cache groups, models and weights."""
    text = f"{len(group)}:{group}{len(model)}:{model}{version}"
    return blake2b(text.encode(), digest_size=12).hexdigest()


def segment_keys(req: CallerRequest, salt: str) -> tuple[bytes, ...]:
    """Return a key for each segment of a prompt under a salt."""
    return tuple(segment_key(salt, segment.segment_id) for segment in req.segments)
