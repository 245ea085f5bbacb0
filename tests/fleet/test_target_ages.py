"""The age of target weights counts from when they may have been set."""

import pytest
from msgspec.structs import replace

from arbutusyard.platform.rows import TABLE_OPERATOR
from tests.fleet.simulation import REQUEST, SimulatedFleet, SimulatedNode


def set_target(fleet, version):
    row = {"model": "m", "version": version}
    fleet.store.write(TABLE_OPERATOR, "version/m", row)


# Guards against VERSION: a node that was away dated target weights by its own return
# and used the weights that they superseded for longer than allowed.
def test_target_set_while_no_node_read_the_store_is_as_old_as_their_absence(
    monkeypatch,
):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    for node in fleet.nodes:
        node.cut = True
    fleet.run(1.0)
    set_target(fleet, 2)
    fleet.run(10.0)
    for node in fleet.nodes:
        node.cut = False
    fleet.run(1.0)
    for node in fleet.nodes:
        age_s = node.state.superseded_s("m", 1, fleet.now)
        assert age_s == pytest.approx(11.0, abs=2.0)


# Guards against VERSION: once all nodes had restarted, none knew when target weights
# were set, and weights that were outdated for too long stayed in use.
def test_nodes_that_all_restart_know_when_targets_were_set(monkeypatch):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    for version in (2, 3):
        set_target(fleet, version)
        fleet.run(3.0)
    fleet.nodes = [SimulatedNode(fleet, n, 2) for n in range(3)]
    fleet.run(2.0)
    for node in fleet.nodes:
        ages = [node.state.superseded_s("m", version, fleet.now) for version in (1, 2)]
        assert ages == [pytest.approx(8.0, abs=0.5), pytest.approx(5.0, abs=0.5)]


# Guards against VERSION: weights superseded at a time that nobody knows stayed in use.
def test_weights_superseded_at_an_unknown_time_are_not_used_for_long(monkeypatch):
    fleet = SimulatedFleet(1, monkeypatch)
    fleet.add_server("a", weights=1)
    set_target(fleet, 2)
    fleet.run(10.0)
    req = replace(REQUEST, model="m", prompt_tokens=100)
    (node,) = fleet.nodes
    assert node.router.place(req, None, "svc", 0.2, set(), fleet.now) is None


# Guards against VERSION: nodes dated a target by their own late read of it.
def test_a_target_is_not_dated_later_than_it_was_set(monkeypatch):
    fleet = SimulatedFleet(6, monkeypatch)
    fleet.run(10.0)
    readers = [n for n in fleet.nodes if n.peers.reads_for_others(fleet.now)]
    assert len(readers) == 3
    for node in readers:
        node.frozen = True
    set_at = fleet.now
    set_target(fleet, 2)
    fleet.run(3.0)
    for node in fleet.nodes:
        if not node.frozen:
            age_s = node.state.superseded_s("m", 1, fleet.now)
            assert age_s >= fleet.now - set_at - 0.3


# Guards against refused requests: a node that was away recorded when it left as the
# time of a target, and all nodes took older weights for overdue once one started.
def test_the_time_since_which_a_node_was_away_is_not_recorded_as_that_of_a_target(
    monkeypatch,
):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    fleet.nodes[0].cut = True
    fleet.run(20.0)
    set_target(fleet, 2)
    fleet.run(1.0)
    fleet.nodes[0].cut = False
    fleet.run(2.0)
    fleet.nodes[1] = SimulatedNode(fleet, 1, 2)
    fleet.run(2.0)
    for node in fleet.nodes:
        assert node.state.superseded_s("m", 1, fleet.now) == pytest.approx(5.0, abs=0.5)


# Guards against VERSION: a node that was suspended while it waited for the store dated
# a target by when it read the answer, and the other nodes believed it.
@pytest.mark.parametrize("is_set_before", [True, False])
def test_a_target_is_not_dated_by_an_answer_that_came_late(monkeypatch, is_set_before):
    fleet = SimulatedFleet(1, monkeypatch)
    (node,) = fleet.nodes
    fleet.run(5.0)
    if is_set_before:
        set_target(fleet, 2)
    answered_at = fleet.now
    node.answer_delay_s = 3.0
    fleet.step()
    node.answer_delay_s = 0.0
    if not is_set_before:
        # It may have been set at any time since the store's answer.
        set_target(fleet, 2)
    fleet.run(1.0)
    age_s = node.state.superseded_s("m", 1, fleet.now)
    assert age_s >= fleet.now - answered_at - 0.3
