"""Select the entry nodes that the directory returns to clients."""

import random

from msgspec import Struct

from arbutusyard.gateway.const import DIRECTORY_ADDRESSES_MAX


class EntryNode(Struct, frozen=True):
    """Describe a node that clients may connect to."""

    address: str
    region: str
    ready: bool


def choose_entries(
    nodes: list[EntryNode], region: str, rng: random.Random
) -> list[str]:
    """Return the addresses of ready nodes, those in the client's region if any.

    During a store outage no node is ready, and all live nodes are returned. From more
    than DIRECTORY_ADDRESSES_MAX nodes each call draws a random sample.
    """
    for candidates in (
        [node for node in nodes if node.ready and node.region == region],
        [node for node in nodes if node.ready],
        nodes,
    ):
        if candidates:
            addresses = sorted(node.address for node in candidates)
            if len(addresses) > DIRECTORY_ADDRESSES_MAX:
                return rng.sample(addresses, DIRECTORY_ADDRESSES_MAX)
            return addresses
    return []
