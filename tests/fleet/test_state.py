"""Follow the store through lost history, outages and rows that can't be read."""

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import RETURN_GRACE_S
from arbutusyard.fleet.messages import Heartbeat, TargetWeightsAge
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import HistoryUnavailable
from arbutusyard.platform.models import Delete, Put
from tests.fleet.support import CONFIG, Store, entry
from tests.gateway.support import wait_for

HEARTBEAT = Heartbeat("n", 5, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, ())


@pytest.fixture
def store():
    running = Store()
    yield running
    running.stop()


@pytest.fixture
def fleet_state(store):
    store.write("op", "config", CONFIG)
    store.write("servers", "s1", entry())
    known = FleetState(PlatformClient(store.address))
    app = Application("test")
    known.setup(app)
    wait_for(known.complete)
    yield known
    known.unload()


def test_a_change_is_known_at_once(store, fleet_state):
    store.write("op", "config", {**CONFIG, "version": 9})
    wait_for(lambda: fleet_state.catalog.cfg.version == 9, 0.5)
    store.write("op", "version/m", {"model": "m", "version": 2})
    wait_for(lambda: fleet_state.target("m") == 2, 0.5)
    assert 0 < fleet_state.superseded_s("m", 1, clock.now()) < 0.5
    assert fleet_state.superseded_s("m", 2, clock.now()) == 0.0


def test_versions_only_rise(store, fleet_state):
    store.write("op", "config", {**CONFIG, "version": 2})
    store.write("op", "version/m", {"model": "m", "version": 4})
    wait_for(lambda: fleet_state.target("m") == 4)
    store.write("op", "version/m", {"model": "m", "version": 3})
    gevent.sleep(0.1)
    assert fleet_state.catalog.cfg.version == 3
    assert fleet_state.target("m") == 4


def test_lost_history_is_made_up_for_by_reading_the_table(store, fleet_state):
    store.platform.down = True
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 0.3)
    store.write("op", "config", {**CONFIG, "version": 5})
    store.write("servers", "s2", entry())
    store.platform.drop_history()
    store.platform.down = False
    wait_for(lambda: fleet_state.catalog.cfg.version == 5)
    wait_for(lambda: fleet_state.servers.get("s2") is not None)


def test_weights_named_before_the_start_have_no_known_age(store):
    store.write("op", "config", CONFIG)
    store.write("op", "version/m", {"model": "m", "version": 4})
    known = FleetState(PlatformClient(store.address))
    known.setup(Application("test"))
    wait_for(lambda: known.target("m") == 4)
    assert known.superseded_s("m", 3, clock.now()) is None
    known.unload()


def test_a_node_that_starts_learns_from_others_how_long_weights_are_replaced(store):
    # Found in a hunt: nodes restarted after weights were named sent requests to old
    # ones beyond their time, while the roll-out stood still.
    store.write("op", "config", CONFIG)
    store.write("op", "version/m", {"model": "m", "version": 4})
    known = FleetState(PlatformClient(store.address))
    known.setup(Application("test"))
    wait_for(lambda: known.target("m") == 4)
    now = clock.now()
    known.apply_target_ages(
        (TargetWeightsAge("m", 2, 9.0), TargetWeightsAge("m", 4, 5.0)), now
    )
    assert known.superseded_s("m", 3, now) == pytest.approx(5.0)
    assert known.superseded_s("m", 1, now) == pytest.approx(9.0)
    assert known.superseded_s("m", 4, now) == 0.0
    # What is known is not made younger by later words.
    known.apply_target_ages((TargetWeightsAge("m", 4, 1.0),), now)
    assert known.superseded_s("m", 3, now) == pytest.approx(5.0)
    assert {item.version for item in known.target_ages(now)} == {2, 4}
    known.apply_target_ages((TargetWeightsAge("m", 5, 2.0),), now)
    store.write("op", "version/m", {"model": "m", "version": 5})
    wait_for(lambda: known.target("m") == 5)
    assert known.superseded_s("m", 4, now) == pytest.approx(2.0)
    known.unload()


def test_an_entry_that_lapsed_in_an_outage_is_waited_for(store, fleet_state):
    store.platform.down = True
    wait_for(lambda: fleet_state.servers_age_s(clock.now()) > 1.7, 5)
    store.remove("servers", "s1")
    store.platform.down = False
    wait_for(lambda: fleet_state.servers_age_s(clock.now()) < 0.5)
    assert fleet_state.servers.get("s1") is not None
    store.write("servers", "s1", entry())
    gevent.sleep(0.8)
    fleet_state.servers.sweep(clock.now() + 10)
    assert fleet_state.servers.get("s1") is not None


def test_rows_that_cannot_be_read_harm_no_others(store, fleet_state):
    store.write("servers", "bad", b"\xff")
    store.write("op", "version/m", b"[]")
    store.write("op", "config", {"version": 99})
    store.write("servers", "s3", entry())
    wait_for(lambda: fleet_state.servers.get("s3") is not None)
    assert fleet_state.servers.get("bad") is None
    assert fleet_state.catalog.cfg.version == 3


def test_a_transaction_holds_whole_or_not_at_all(store):
    client = PlatformClient(store.address)
    first = client.put(Put("t", "a", b"1", 0))
    assert first > 0
    assert client.put(Put("t", "a", b"2", 0)) == 0
    assert not client.commit(Put("t", "a", b"3", first), Put("t", "b", b"1", 7))
    assert client.get("t", "a").value == b"1"
    assert client.commit(Put("t", "b", b"1", 0), Delete("t", "a", first))
    assert client.get("t", "a").version == 0
    assert [row.key for row in client.scan("t", "b")] == ["b"]


def test_a_table_of_many_pages_is_read_whole(store):
    for n in range(1203):
        store.write("t", f"k{n:05}", b"x")
    snapshot = PlatformClient(store.address).snapshot("t")
    assert len(snapshot.rows) == 1203


def test_dropped_history_is_an_error_of_its_own(store):
    store.write("t", "a", b"1")
    store.platform.drop_history()
    with pytest.raises(HistoryUnavailable):
        PlatformClient(store.address).follow("t", 0, 0.0)


def test_a_node_that_is_told_reads_only_what_it_lacks(store, fleet_state):
    fleet_state.set_reader(False)
    gevent.sleep(1.2)
    for _ in range(5):
        now = clock.now()
        fleet_state.apply_confirmation("op", b"0.1", now - 0.1, now)
        fleet_state.apply_confirmation(
            "servers", fleet_state.servers.digest(), now - 0.1, now
        )
        gevent.sleep(0.1)
    before = store.platform.reads
    for _ in range(6):
        now = clock.now()
        fleet_state.apply_confirmation("op", b"0.1", now - 0.1, now)
        fleet_state.apply_confirmation(
            "servers", fleet_state.servers.digest(), now - 0.1, now
        )
        gevent.sleep(0.1)
    assert store.platform.reads == before
    assert fleet_state.config_age_s(clock.now()) < 0.3
    store.write("op", "config", {**CONFIG, "version": 8})
    now = clock.now()
    fleet_state.apply_confirmation("op", b"0.%d" % store.platform.version, now, now)
    wait_for(lambda: fleet_state.catalog.cfg.version == 8, 0.5)


def test_a_word_on_newer_rows_than_are_known_confirms_nothing(store, fleet_state):
    store.platform.down = True
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 1.0)
    now = clock.now()
    fleet_state.apply_confirmation(
        "op", b"0.%d" % (store.platform.version + 5), now, now
    )
    fleet_state.apply_confirmation("servers", b"otherwise", now, now)
    assert fleet_state.config_age_s(now) > 1.0
    assert fleet_state.servers_age_s(now) > 0.4


def test_a_word_that_differs_makes_one_read_not_a_flood(store, fleet_state):
    fleet_state.set_reader(False)
    gevent.sleep(1.2)
    before = store.platform.reads
    now = clock.now()
    fleet_state.apply_confirmation("servers", b"otherwise", now, now)
    gevent.sleep(0.6)
    assert store.platform.reads - before <= 3


def test_without_a_word_a_node_reads_for_itself(store, fleet_state):
    fleet_state.set_reader(False)
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 1.0)
    wait_for(lambda: fleet_state.config_age_s(clock.now()) < 0.3)


def test_a_word_of_others_does_not_end_an_outage_of_the_own_way(store, fleet_state):
    ended = []
    fleet_state._config_rows.on_return = ended.append
    store.platform.down = True
    wait_for(lambda: fleet_state._config_rows.lost, 5)
    now = clock.now()
    fleet_state.apply_confirmation("op", b"0.1", now, now)
    assert fleet_state._config_rows.lost
    assert ended == []
    assert fleet_state.config_age_s(now) < 0.1
    store.platform.down = False
    wait_for(lambda: ended, 5)


def test_each_version_is_replaced_by_the_next_not_by_the_newest(store, fleet_state):
    for version in (2, 3, 4):
        store.write("op", "version/m", {"model": "m", "version": version})
        wait_for(lambda named=version: fleet_state.target("m") == named)
        gevent.sleep(0.15)
    now = clock.now()
    ages = [fleet_state.superseded_s("m", version, now) for version in (1, 2, 3, 4)]
    assert ages[0] > ages[1] + 0.1 > ages[2] + 0.2
    assert ages[3] == 0.0


def config(version):
    return {**CONFIG, "version": version}


def test_a_store_that_comes_back_older_is_read_anew(store, fleet_state):
    copy = store.platform.copy()
    for n in range(3):
        store.write("op", f"version/m{n}", {"model": f"m{n}", "version": 2})
    wait_for(lambda: fleet_state.target("m2") == 2)
    # The lost versions are given out again, to other rows, before this node reads.
    store.platform.come_back(copy)
    for n in range(3, 7):
        store.write("op", f"version/m{n}", {"model": f"m{n}", "version": 5})
    wait_for(lambda: [fleet_state.target(f"m{n}") for n in range(3, 7)] == [5] * 4)


def test_what_was_acknowledged_does_not_go_back_with_the_store(store, fleet_state):
    copy = store.platform.copy()
    store.write("op", "config", config(9))
    store.write("op", "version/m", {"model": "m", "version": 4})
    wait_for(lambda: fleet_state.target("m") == 4)
    store.platform.come_back(copy)
    wait_for(lambda: fleet_state._config_rows.era == 1)
    assert fleet_state.catalog.cfg.version == 9
    assert fleet_state.target("m") == 4
    store.write("op", "config", config(11))
    wait_for(lambda: fleet_state.catalog.cfg.version == 11)


def test_a_word_of_another_era_confirms_nothing(store, fleet_state):
    copy = store.platform.copy()
    store.write("op", "config", config(9))
    wait_for(lambda: fleet_state.catalog.cfg.version == 9)
    store.platform.come_back(copy)
    wait_for(lambda: fleet_state._config_rows.era == 1)
    fleet_state.set_reader(False)
    reads = store.platform.reads
    # By its number the word is on an older row; of this era it is on a newer one.
    now = clock.now()
    fleet_state.apply_confirmation("op", b"2.1", now, now)
    wait_for(lambda: store.platform.reads > reads)


def test_servers_that_an_older_copy_lacks_are_waited_for(store, fleet_state):
    copy = store.platform.copy()
    store.write("servers", "new", entry(address="127.0.0.1:7"))
    wait_for(lambda: fleet_state.servers.get("new"))
    store.platform.come_back(copy)
    wait_for(lambda: fleet_state._server_rows.era == 1)
    gevent.sleep(0.1)
    assert fleet_state.servers.get("new").usable(clock.now())
    store.write("servers", "new", entry(address="127.0.0.1:7", sequence=2))
    gevent.sleep(RETURN_GRACE_S)
    assert fleet_state.servers.get("new")


def test_servers_that_left_do_not_come_back_with_an_older_copy(store, fleet_state):
    store.write("servers", "a", entry())
    store.write("servers", "b", entry(address="127.0.0.1:7"))
    wait_for(lambda: fleet_state.servers.get("a") and fleet_state.servers.get("b"))
    copy = store.platform.copy()
    store.remove("servers", "a")
    store.write("servers", "b", entry(address="127.0.0.1:7", state="draining"))
    wait_for(lambda: not fleet_state.servers.get("a"))
    wait_for(lambda: not fleet_state.servers.get("b").usable(clock.now()))
    store.platform.come_back(copy)
    wait_for(lambda: fleet_state._server_rows.era == 1)
    gevent.sleep(0.1)
    assert not fleet_state.servers.get("a")
    assert not fleet_state.servers.get("b").usable(clock.now())
    # It was only cut off from the store, and says so itself.
    store.write("servers", "a", entry(sequence=7))
    wait_for(lambda: fleet_state.servers.get("a"))


def test_a_nodes_row_is_written_again_when_the_store_comes_back_without_it(
    store, fleet_state
):
    peers = PeerCoordinator(
        "n", "127.0.0.1:0", (), PlatformClient(store.address), 5, lambda seq: HEARTBEAT
    )
    copy = store.platform.copy()
    peers.setup(Application("test"))
    fleet_state.on_store_rollback = peers.register_again
    wait_for(lambda: ("nodes", "n") in store.platform.rows)
    store.platform.come_back(copy)
    assert ("nodes", "n") not in store.platform.rows
    wait_for(lambda: ("nodes", "n") in store.platform.rows)
    peers.unload()


def test_weights_named_while_history_was_lost_have_an_age(store, fleet_state):
    # Else every engine with the weights before them counts as of unknown age.
    store.platform.delay_s = 0.2
    gevent.sleep(0.05)
    store.write("op", "version/m", {"model": "m", "version": 2})
    store.platform.drop_history()
    store.platform.delay_s = 0.0
    wait_for(lambda: fleet_state.target("m") == 2)
    assert 0 <= fleet_state.superseded_s("m", 1, clock.now()) < 1.0
