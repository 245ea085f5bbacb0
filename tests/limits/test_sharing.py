"""Nodes count as long as they may use a part of a joint limit."""

from arbutusyard.fleet.messages import Heartbeat
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.limits.sharing import SharingNodes

WINDOW_S = 10.0


def advance(sharing, now, seconds, *active, **others):
    """Update each second; return the time afterwards."""
    for _ in range(round(seconds)):
        now += 1.0
        sharing.update(active, now, **others)
    return now


def test_a_silent_node_keeps_its_part_and_an_idle_one_only_for_a_while():
    sharing = SharingNodes(600.0, WINDOW_S)
    now = advance(sharing, 0.0, 5, "a", "b", "c")
    now = advance(sharing, now, 9, "a", idle=["b"])
    assert sorted(sharing.names) == ["a", "b", "c"]
    now = advance(sharing, now, 3, "a", idle=["b"])
    assert sorted(sharing.names) == ["a", "c"]
    advance(sharing, now, 600, "a", idle=["b"])
    assert sorted(sharing.names) == ["a"]


def test_a_node_that_should_exist_counts_until_it_was_expected_for_long():
    sharing = SharingNodes(600.0, WINDOW_S)
    now = advance(sharing, 0.0, 500, "a", expected=["a", "b"])
    assert sorted(sharing.names) == ["a", "b"]
    assert sharing.heard == {"a"}
    advance(sharing, now, 200, "a", expected=["a", "b"])
    assert sorted(sharing.names) == ["a"]


def test_a_suspended_process_does_not_take_the_others_for_gone():
    sharing = SharingNodes(600.0, WINDOW_S)
    now = advance(sharing, 0.0, 5, "a", "b")
    sharing.update([], now + 3600.0)
    assert len(sharing) == 2


def heartbeat(name, address, up_s):
    return Heartbeat(name, 1, 1, address, "", "z", "r", True, False, 1, 0, up_s=up_s)


def test_a_node_shares_with_registered_nodes_that_it_has_not_heard():
    peers = PeerCoordinator("me", "a:1", ("a:2",), None, 1, None)
    share = peers.fleet_share(WINDOW_S, 0.0)
    assert (share.nodes, share.heard, share.recent, share.settled) == (2, 1, 2, False)
    peers._addresses |= {"a:3", "a:4"}
    peers._registered_addresses = {"a:3", "a:4"}
    now = 0.0
    while now < WINDOW_S:
        now += 1.0
        peers.table.apply_heartbeat(heartbeat("c", "a:3", 20.0 + now), now)
        peers.table.peers["c"].received_at = now
        share = peers.fleet_share(WINDOW_S, now)
    assert share.settled
    assert share.heard == 2
    assert share.nodes == 4
