"""A server whose entry was removed gets no request, whatever a node itself missed."""

import pytest

from arbutusyard.fleet.const import OUTAGE_GRACE_S, REMOVED_INCARNATION_RETENTION_S
from arbutusyard.platform.rows import TABLE_SERVERS
from tests.fleet.simulation import SimulatedFleet


@pytest.fixture
def fleet(monkeypatch):
    running = SimulatedFleet(5, monkeypatch)
    for server_id in ("a", "b", "c"):
        running.add_server(server_id)
    running.run(10.0)
    return running


def disturb(nodes, how, value):
    for node in nodes:
        setattr(node, how, value)


# Guards against DRAIN: a node that could not read the store kept a server that the
# others had removed, since its entry might have expired in an outage of the store.
@pytest.mark.parametrize("how", ["cut", "refused", "frozen"])
def test_server_removed_while_nodes_were_away_gets_no_request(fleet, how):
    away = fleet.nodes[:3]
    disturb(away, how, True)
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(11.0)
    disturb(away, how, False)
    fleet.run(0.75)
    for node in fleet.nodes:
        assert not node.places_on("a", fleet.now), node.name
        assert node.places_on("b", fleet.now), node.name


# Guards against DRAIN: the report of a removed server had expired when the node could
# receive it again, and its own read of the store came later.
def test_removal_is_reported_to_a_node_that_was_away_for_longer(fleet):
    node = fleet.nodes[0]
    node.cut, node.read_delay_s = True, 2.0
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(30.0)
    node.cut = False
    fleet.run(0.75)
    assert node.state._server_watcher.unreachable
    assert not node.places_on("a", fleet.now)


# Guards against DRAIN: no node remembers the removal any more, but the others have read
# the store without interruption, so its absence was not an outage.
def test_server_removed_long_ago_is_not_expected_back(fleet):
    node = fleet.nodes[0]
    node.cut = True
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(REMOVED_INCARNATION_RETENTION_S + 10.0)
    fleet.store.write(TABLE_SERVERS, "b", None)
    fleet.store.write(TABLE_SERVERS, "c", None)
    node.cut = False
    fleet.run(0.75)
    assert not node.places_on("a", fleet.now)


# Guards against DRAIN: a node that the store refused used a removed server again once
# its peers' reports had expired.
def test_removal_reported_to_a_refused_node_holds_until_it_reads_the_store(fleet):
    node = fleet.nodes[0]
    node.refused = True
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(2.0)
    for _ in range(60):
        fleet.step()
        assert not node.places_on("a", fleet.now)


def test_server_that_writes_its_entry_again_is_used_again(fleet):
    node = fleet.nodes[0]
    node.refused = True
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(5.0)
    fleet.add_server("a")
    node.refused = False
    fleet.run(3.0)
    assert all(node.places_on("a", fleet.now) for node in fleet.nodes)


def test_servers_whose_entries_expired_in_an_outage_of_the_store_stay(fleet):
    fleet.nodes[0].cut = True
    fleet.store.down = True
    fleet.run(6.0)
    for server_id in ("a", "b", "c"):
        fleet.store.write(TABLE_SERVERS, server_id, None)
    fleet.store.down = fleet.nodes[0].cut = False
    for _ in range(8):
        fleet.step()
        for node in fleet.nodes:
            for server_id in ("a", "b", "c"):
                assert node.places_on(server_id, fleet.now), node.name
    fleet.run(OUTAGE_GRACE_S)
    assert not any(node.places_on("a", fleet.now) for node in fleet.nodes)


# Guards against DRAIN: no node is left that read the store all along, but an entry
# that was there before and after shows that the store was.
def test_server_missing_beside_an_entry_that_stayed_is_the_last_choice(fleet):
    disturb(fleet.nodes, "cut", True)
    fleet.run(1.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    fleet.run(10.0)
    disturb(fleet.nodes, "cut", False)
    for _ in range(8):
        fleet.step()
        for node in fleet.nodes:
            placed = {node.place(fleet.now) for _ in range(20)}
            assert placed <= {"b", "c"}, node.name
