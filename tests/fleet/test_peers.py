"""Keep other nodes' datagrams."""

from arbutusyard.fleet.const import PEER_FORGET_S
from arbutusyard.fleet.messages import Beat, ServerLoad
from arbutusyard.fleet.peers import PeerTable


def beat(seq, *loads, name="b", incarnation=1):
    return Beat(
        name, incarnation, seq, "a:1", "a:2", "z", "r", True, False, 1, 0, tuple(loads)
    )


def test_loads_are_summed_and_replaced():
    table = PeerTable("me")
    table.take(beat(1, ServerLoad("s", 2, 100)), 0.0)
    table.take(beat(1, ServerLoad("s", 3, 50), name="c"), 0.0)
    assert table.load("s") == (5, 150)
    table.take(beat(2, ServerLoad("s", 1, 0)), 0.1)
    assert table.load("s") == (4, 50)


def test_old_datagrams_and_the_own_ones_change_nothing():
    table = PeerTable("me")
    table.take(beat(5, ServerLoad("s", 2, 0)), 0.0)
    assert not table.take(beat(4), 0.1)
    assert not table.take(beat(9, name="me"), 0.1)
    assert table.load("s") == (2, 0)
    assert table.take(beat(1, incarnation=2), 0.2)
    assert table.load("s") == (0, 0)


def test_a_node_restarted_with_its_clock_set_back_is_heard():
    table = PeerTable("me")
    table.take(beat(50, ServerLoad("s", 2, 0), incarnation=7), 0.0)
    assert table.take(beat(1, incarnation=3), 0.1)
    assert not table.take(beat(51, ServerLoad("s", 2, 0), incarnation=7), 0.2)
    assert table.load("s") == (0, 0)


def test_a_silent_peer_is_not_alive_and_its_load_no_longer_counts():
    table = PeerTable("me")
    table.take(beat(1, ServerLoad("s", 2, 0)), 0.0)
    late = table.silent_after_s() + 0.1
    table.sweep(late)
    assert table.alive(late) == []
    assert table.load("s") == (0, 0)
    table.sweep(PEER_FORGET_S + 1)
    assert not table.peers
