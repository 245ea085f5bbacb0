"""Choose the entry nodes that callers are told."""

import random

from msgspec import Struct

from arbutusyard.gateway.const import DIRECTORY_ADDRESSES_MAX


class Entry(Struct, frozen=True):
    """Describe a node that callers may connect to."""

    address: str
    region: str
    ready: bool


def choose_entries(nodes: list[Entry], region: str, rng: random.Random) -> list[str]:
    """Return the addresses of ready nodes, those of the caller's region if any.

    In an outage of the store no node is ready, and all that live are returned. Of more
    than an answer holds, each answer names others.
    """
    for wanted in (
        [node for node in nodes if node.ready and node.region == region],
        [node for node in nodes if node.ready],
        nodes,
    ):
        if wanted:
            addresses = sorted(node.address for node in wanted)
            if len(addresses) > DIRECTORY_ADDRESSES_MAX:
                return rng.sample(addresses, DIRECTORY_ADDRESSES_MAX)
            return addresses
    return []
