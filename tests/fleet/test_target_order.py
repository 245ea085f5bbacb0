"""Targets count by their versions, in whatever order a node learns of them."""

import pytest
from msgspec.structs import replace

from arbutusyard.fleet.messages import TargetWeightsAge
from arbutusyard.platform.models import Row
from arbutusyard.platform.rows import TABLE_OPERATOR
from tests.fleet.simulation import REQUEST, SimulatedFleet, SimulatedNode


def set_target(fleet, version):
    row = {"model": "m", "version": version}
    fleet.store.write(TABLE_OPERATOR, "version/m", row)


def read_target(node, version, at, is_dated=True):
    """Let a node's own read return a target that was set at a time."""
    watcher = node.state._config_watcher
    watcher.changed_at, watcher.is_change_dated = at, is_dated
    value = b'{"model": "m", "version": %d}' % version
    node.state._apply_operator_rows((Row("version/m", value, 1_000 + version),))


@pytest.fixture
def fleet(monkeypatch):
    fleet = SimulatedFleet(1, monkeypatch)
    fleet.run(5.0)
    return fleet


# Guards against VERSION: a peer's report of a target arrived before the own late read
# of the one before it, and the weights before both were allowed until the later one's
# bound.
def test_a_target_that_is_read_after_a_later_one_was_reported_counts(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    read_target(node, 2, now - 9.0)
    node.state.apply_target_ages((TargetWeightsAge("m", 4, 0.0),), now)
    read_target(node, 3, now - 3.0)
    assert node.state.superseded_s("m", 2, now) == pytest.approx(3.0)
    assert node.router.outdated.begin_by("m", 2) == pytest.approx(now - 3.0 + 6.5)


# Guards against VERSION: the first report of a target waited in the socket's buffer,
# and the node's own read did not correct the time.
def test_an_own_read_that_dates_a_target_earlier_than_a_report_counts(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    node.state.apply_target_ages((TargetWeightsAge("m", 2, 0.0),), now)
    read_target(node, 2, now - 2.0)
    assert node.state.superseded_s("m", 1, now) == pytest.approx(2.0)


# Guards against refused requests: a read that knows only the earliest time of a target
# replaced the time at which it was set.
def test_an_own_read_that_does_not_date_a_target_leaves_a_reported_time(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    node.state.apply_target_ages((TargetWeightsAge("m", 2, 1.0),), now)
    read_target(node, 2, now - 20.0, is_dated=False)
    assert node.state.superseded_s("m", 1, now) == pytest.approx(1.0)
    assert node.state.is_target_dated("m", 2)


# Guards against VERSION: the time of a target was taken from a late report although a
# later target is known to have been set before that.
def test_a_target_is_not_later_than_the_targets_after_it(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    node.state.apply_target_ages(
        (TargetWeightsAge("m", 2, 1.0), TargetWeightsAge("m", 3, 4.0)), now
    )
    assert node.state.superseded_s("m", 1, now) == pytest.approx(4.0)
    assert node.router.outdated.begin_by("m", 1) == pytest.approx(now - 4.0 + 6.5)


# Guards against VERSION: a node that was away while two targets were set learned the
# time of the second from a peer that had not seen the first.
def test_a_target_that_nobody_saw_set_is_not_dated_by_the_next_one(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    read_target(node, 2, now - 30.0)
    read_target(node, 4, now - 9.0, is_dated=False)
    node.state.apply_target_ages((TargetWeightsAge("m", 4, 1.0),), now)
    assert node.state.superseded_s("m", 2, now) == pytest.approx(9.0)
    # Version 3 has been superseded by 4 only.
    assert node.state.superseded_s("m", 3, now) == pytest.approx(1.0)


# Guards against VERSION: a peer that started between two targets reported the time of
# the second alone, and a node that knew neither took it for that of the first.
def test_targets_that_were_set_before_a_start_are_reported_too(monkeypatch):
    fleet = SimulatedFleet(2, monkeypatch)
    first, second = fleet.nodes
    now = fleet.now
    read_target(first, 2, now - 30.0)
    read_target(first, 3, None, is_dated=False)
    read_target(first, 4, now - 1.0)
    read_target(second, 2, now - 30.0)
    second.state.apply_target_ages(first.state.target_ages(now), now)
    assert second.router.outdated.begin_by("m", 2) <= now - 1.0 - 0.1


# Guards against VERSION: nodes that restarted knew the times of the four newest targets
# only, and allowed the weights before those until the bound of the oldest of them.
def test_restarted_nodes_know_all_targets_that_may_still_count(monkeypatch):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    set_at = {}
    for version in range(2, 8):
        set_target(fleet, version)
        set_at[version] = fleet.now
        fleet.run(1.0)
    fleet.nodes = [SimulatedNode(fleet, n, 2) for n in range(3)]
    fleet.run(2.0)
    for node in fleet.nodes:
        begin_by = node.router.outdated.begin_by("m", 1)
        assert begin_by <= set_at[2] + 6.5 + 0.3


# Guards against VERSION: nodes that started while the store's answers came late took
# the recorded targets for younger than they were, and kept to that.
def test_a_recorded_time_is_corrected_once_answers_come_in_time(monkeypatch):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    set_target(fleet, 2)
    fleet.run(3.0)
    fleet.nodes = [SimulatedNode(fleet, n, 2) for n in range(3)]
    for node in fleet.nodes:
        node.state._client.clock_lag_s = 1.5
    fleet.run(0.5)
    for node in fleet.nodes:
        node.state._client.clock_lag_s = 0.0
    fleet.run(3.0)
    for node in fleet.nodes:
        assert node.state.superseded_s("m", 1, fleet.now) == pytest.approx(6.5, abs=0.5)


# Guards against refused requests: a target with the newest version counted as
# superseded.
def test_newest_weights_are_never_overdue(fleet):
    (node,) = fleet.nodes
    now = fleet.now
    fleet.add_server("a", weights=4)
    fleet.run(2.0)
    node.state.apply_target_ages((TargetWeightsAge("m", 4, 0.0),), now)
    for version in (2, 3, 4):
        read_target(node, version, now - 60.0, is_dated=False)
    req = replace(REQUEST, model="m", prompt_tokens=100)
    assert node.router.place(req, None, "svc", 0.2, set(), fleet.now) is not None
