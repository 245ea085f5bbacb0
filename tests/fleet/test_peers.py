"""Keep other nodes' datagrams."""

from typing import Any

import gevent
import msgspec
import pytest
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import PEER_FORGET_S
from arbutusyard.fleet.messages import (
    Beat,
    Confirmation,
    EngineNews,
    EngineNote,
    LoadNews,
    ServerLoad,
    ServerNews,
)
from arbutusyard.fleet.peers import PeerCoordinator, PeerTable


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


def test_what_is_told_is_dated_by_the_own_clock_and_only_for_this_incarnation():
    taken = []
    peers = PeerCoordinator("me", "127.0.0.1:0", (), None, 5, lambda seq: beat(seq))
    peers.on_confirmation = lambda told, known_at, now: taken.append(known_at)
    peers.send()
    sent_at = clock.now()
    for incarnation, echo in ((5, 1), (4, 1), (5, 77)):
        told = Confirmation("b", "op", b"1", incarnation, echo)
        peers._take_confirmation(told, sent_at + 3.0)
    assert len(taken) == 1
    assert abs(taken[0] - sent_at) < 0.5


def test_a_few_ready_nodes_read_for_all():
    peers = PeerCoordinator("m", "127.0.0.1:0", (), None, 5, lambda seq: beat(seq))
    for name in "abc":
        assert peers.reads_for_others(0.0)
        peers.table.take(beat(1, name=name), 0.0)
    assert not peers.reads_for_others(0.0)


def news(seq, load, name="b", incarnation=1, part=None):
    return LoadNews(name, incarnation, seq, load, part)


def test_news_of_a_load_counts_at_once_until_a_newer_beat():
    table = PeerTable("me")
    table.take(beat(1, ServerLoad("s", 1, 0)), 0.0)
    assert table.take_news(news(2, ServerLoad("s", 2, 17_000)))
    assert table.take_news(news(3, ServerLoad("t", 1, 9_000)))
    assert (table.load("s"), table.load("t")) == ((2, 17_000), (1, 9_000))
    table.take(beat(4), 0.1)
    assert (table.load("s"), table.load("t")) == ((0, 0), (0, 0))


def test_datagrams_that_overtake_each_other_leave_the_newest_load():
    table = PeerTable("me")
    table.take(beat(1), 0.0)
    assert table.take_news(news(4, ServerLoad("s", 1, 0)))
    assert not table.take_news(news(3, ServerLoad("s", 2, 17_000)))
    table.take(beat(2, ServerLoad("s", 2, 17_000), ServerLoad("t", 1, 5)), 0.1)
    assert (table.load("s"), table.load("t")) == ((1, 0), (1, 5))


def test_news_of_an_unknown_or_former_incarnation_changes_nothing():
    table = PeerTable("me")
    assert not table.take_news(news(1, ServerLoad("s", 1, 0)))
    table.take(beat(1, incarnation=2), 0.0)
    assert not table.take_news(news(9, ServerLoad("s", 1, 0)))
    assert table.load("s") == (0, 0)


def test_a_silent_peers_news_no_longer_counts():
    table = PeerTable("me")
    table.take(beat(1), 0.0)
    table.take_news(news(2, ServerLoad("s", 1, 17_000)))
    table.sweep(table.silent_after_s() + 0.1)
    assert table.load("s") == (0, 0)


def test_news_reaches_the_living_peers_the_own_failure_domain_first(monkeypatch):
    monkeypatch.setattr("arbutusyard.fleet.peers.NEWS_FANOUT", 1)
    sent = []
    monkeypatch.setattr(
        PeerCoordinator, "_send_to", lambda self, address, data: sent.append(address)
    )
    peers = PeerCoordinator("me", "a:0", (), None, 5, lambda seq: beat(seq), "z")
    for name, domain in (("b", "y"), ("c", "z")):
        told = replace(beat(1, name=name), peer_address=name, failure_domain=domain)
        peers.table.take(told, clock.now())
    peers.send_news(ServerLoad("s", 1, 17_000), None)
    assert sent == ["c"]


def test_word_on_an_engine_reaches_all_living_peers_of_a_large_fleet(monkeypatch):
    # Found on scale-2: a beat reaches 24 nodes, so each of 77 learned of an engine's
    # load by a refusal of its own, and the retry budget was spent on them.
    sent = []
    monkeypatch.setattr(
        PeerCoordinator, "_send_to", lambda self, address, data: sent.append(address)
    )
    peers = PeerCoordinator("me", "a:0", (), None, 5, lambda seq: beat(seq))
    names = [f"n{number}" for number in range(76)]
    for name in names:
        peers.table.take(replace(beat(1, name=name), peer_address=name), clock.now())
    peers.send_engine_news(EngineNote("s", "m", 2, 0.0))
    assert sorted(sent) == sorted(names)


@pytest.mark.parametrize("first", ["silent", "replaced"])
def test_of_many_nodes_that_find_a_server_gone_the_first_tells_it(monkeypatch, first):
    # Found on scale-2: after a restart under a new id some 45 nodes each had a request
    # of their own turned away by each of nine engines.
    sent = []
    monkeypatch.setattr(
        PeerCoordinator,
        "_send_to",
        lambda self, address, data: sent.append(msgspec.msgpack.decode(data, type=Any)),
    )
    peers = PeerCoordinator("me", "a:0", (), None, 5, lambda seq: beat(seq))
    peers._supervisor = Application("test").supervisor.child("peers")
    peers.table.take(beat(1), clock.now())
    heard = []
    peers.on_servers = lambda news, now: heard.append(news)
    words = {"silent": ("s",), "replaced": ("t", "u")}
    for kind in sorted(words, key=lambda kind: kind != first):
        peers.tell_servers(**{kind: words[kind]})
    told = ServerNews("b", ("s",), ("t",))
    peers._take_server_news(told, clock.now())
    gevent.sleep(0.1)
    assert heard == [told]
    assert sent == [["servers", "me", [], ["u"], []]]


def test_the_newest_word_on_an_engine_holds_whatever_comes_late():
    loading, loaded = EngineNote("s", "m", 0, 1.0), EngineNote("s", "m", 2, 0.0)
    other = EngineNote("t", "m", 2, 0.0)
    table = PeerTable("me")
    table.take(beat(1), 0.0)
    assert table.take_engine_news(EngineNews("b", 1, 4, loaded))
    assert not table.take_engine_news(EngineNews("b", 1, 2, loading))
    late = replace(beat(3), engines=(loading, other))
    table.take(late, 0.1)
    assert table.newest_notes(late) == (other,)
    newer = replace(beat(5), engines=(loaded, other))
    table.take(newer, 0.2)
    assert table.newest_notes(newer) == (loaded, other)
    assert not table.take_engine_news(EngineNews("b", 2, 9, loaded))


def test_callers_of_a_large_fleet_are_not_told_long_of_a_node_that_is_off():
    # Found in a hunt: one of 77 nodes was named for 7 s after it had lost power.
    table = PeerTable("me")
    for n in range(76):
        table.take(beat(1, name=f"n{n}"), 0.0)
    # Callers keep an answer for 5 s at most, by the users' page.
    assert table.silent_after_s() <= 5.0
    assert len(table.alive(4.0)) == 76
    assert table.alive(5.1) == []
