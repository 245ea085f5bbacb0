"""Tell callers where to connect."""

from arbutusyard.gateway.const import DIRECTORY_MAX
from arbutusyard.gateway.directory import Entry, choose_entries

NEAR = Entry("a:1", "r", True)
FAR = Entry("b:1", "s", True)
DOWN = Entry("c:1", "r", False)


def test_ready_nodes_of_the_callers_region_come_first():
    assert choose_entries([FAR, NEAR, DOWN], "r") == ["a:1"]
    assert choose_entries([FAR, DOWN], "r") == ["b:1"]


def test_in_an_outage_of_the_store_callers_are_told_all_that_live():
    assert choose_entries([DOWN], "r") == ["c:1"]
    assert choose_entries([], "r") == []


def test_the_answer_is_bounded():
    nodes = [Entry(f"{n:03}:1", "r", True) for n in range(200)]
    assert len(choose_entries(nodes, "r")) == DIRECTORY_MAX
