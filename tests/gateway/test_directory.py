"""Tell callers where to connect."""

import random

from arbutusyard.gateway.const import DIRECTORY_ADDRESSES_MAX
from arbutusyard.gateway.directory import Entry, choose_entries

RNG = random.Random(1)
NEAR = Entry("a:1", "r", True)
FAR = Entry("b:1", "s", True)
DOWN = Entry("c:1", "r", False)


def test_ready_nodes_of_the_callers_region_come_first():
    assert choose_entries([FAR, NEAR, DOWN], "r", RNG) == ["a:1"]
    assert choose_entries([FAR, DOWN], "r", RNG) == ["b:1"]


def test_in_an_outage_of_the_store_callers_are_told_all_that_live():
    assert choose_entries([DOWN], "r", RNG) == ["c:1"]
    assert choose_entries([], "r", RNG) == []


def test_the_answer_is_bounded():
    nodes = [Entry(f"{n:03}:1", "r", True) for n in range(200)]
    assert len(choose_entries(nodes, "r", RNG)) == DIRECTORY_ADDRESSES_MAX


def test_answers_that_cannot_name_all_nodes_name_others_each_time():
    nodes = [Entry(f"{n:03}:1", "r", True) for n in range(200)]
    named = {address for _ in range(40) for address in choose_entries(nodes, "r", RNG)}
    assert len(named) > 190
