"""Selection of the nodes that the directory returns."""

import random

from arbutusyard.gateway.const import DIRECTORY_ADDRESSES_MAX
from arbutusyard.gateway.directory import EntryNode, choose_entries

RNG = random.Random(1)
NEAR = EntryNode("a:1", "r", True)
FAR = EntryNode("b:1", "s", True)
DOWN = EntryNode("c:1", "r", False)


def test_ready_nodes_in_the_clients_region_are_preferred():
    assert choose_entries([FAR, NEAR, DOWN], "r", RNG) == ["a:1"]
    assert choose_entries([FAR, DOWN], "r", RNG) == ["b:1"]


def test_all_live_nodes_are_returned_if_none_is_ready():
    assert choose_entries([DOWN], "r", RNG) == ["c:1"]
    assert choose_entries([], "r", RNG) == []


def test_number_of_returned_addresses_is_limited():
    nodes = [EntryNode(f"{n:03}:1", "r", True) for n in range(200)]
    assert len(choose_entries(nodes, "r", RNG)) == DIRECTORY_ADDRESSES_MAX


def test_each_call_draws_another_sample_if_there_are_too_many_nodes():
    nodes = [EntryNode(f"{n:03}:1", "r", True) for n in range(200)]
    returned = {
        address for _ in range(40) for address in choose_entries(nodes, "r", RNG)
    }
    assert len(returned) > 190
