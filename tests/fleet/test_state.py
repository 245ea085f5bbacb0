"""Test the fleet state through dropped history, outages, rollbacks and bad rows."""

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import OUTAGE_GRACE_S
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
    wait_for(known.can_serve)
    yield known
    known.unload()


def test_change_is_known_at_once(store, fleet_state):
    store.write("op", "config", {**CONFIG, "version": 9})
    wait_for(lambda: fleet_state.catalog.cfg.version == 9, 0.5)
    store.write("op", "version/m", {"model": "m", "version": 2})
    wait_for(lambda: fleet_state.target_version("m") == 2, 0.5)
    assert 0 < fleet_state.superseded_s("m", 1, clock.now()) < 0.5
    assert fleet_state.superseded_s("m", 2, clock.now()) == 0.0


def test_older_versions_are_ignored(store, fleet_state):
    store.write("op", "config", {**CONFIG, "version": 2})
    store.write("op", "version/m", {"model": "m", "version": 4})
    wait_for(lambda: fleet_state.target_version("m") == 4)
    store.write("op", "version/m", {"model": "m", "version": 3})
    gevent.sleep(0.1)
    assert fleet_state.catalog.cfg.version == 3
    assert fleet_state.target_version("m") == 4


def test_table_is_read_whole_after_its_history_was_dropped(store, fleet_state):
    store.platform.down = True
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 0.3)
    store.write("op", "config", {**CONFIG, "version": 5})
    store.write("servers", "s2", entry())
    store.platform.drop_history()
    store.platform.down = False
    wait_for(lambda: fleet_state.catalog.cfg.version == 5)
    wait_for(lambda: fleet_state.servers.get("s2") is not None)


def test_targets_set_before_the_start_have_no_known_age(store):
    store.write("op", "config", CONFIG)
    store.write("op", "version/m", {"model": "m", "version": 4})
    known = FleetState(PlatformClient(store.address))
    known.setup(Application("test"))
    wait_for(lambda: known.target_version("m") == 4)
    assert known.superseded_s("m", 3, clock.now()) is None
    known.unload()


def test_starting_node_learns_from_peers_when_weights_were_superseded(store):
    # Nodes that restarted after target weights were set sent requests to outdated
    # weights for longer than allowed, while the roll-out made no progress.
    store.write("op", "config", CONFIG)
    store.write("op", "version/m", {"model": "m", "version": 4})
    known = FleetState(PlatformClient(store.address))
    known.setup(Application("test"))
    wait_for(lambda: known.target_version("m") == 4)
    now = clock.now()
    known.apply_target_ages(
        (TargetWeightsAge("m", 2, 9.0), TargetWeightsAge("m", 4, 5.0)), now
    )
    assert known.superseded_s("m", 3, now) == pytest.approx(5.0)
    assert known.superseded_s("m", 1, now) == pytest.approx(9.0)
    assert known.superseded_s("m", 4, now) == 0.0
    # A later report does not lower a known age.
    known.apply_target_ages((TargetWeightsAge("m", 4, 1.0),), now)
    assert known.superseded_s("m", 3, now) == pytest.approx(5.0)
    assert {item.version for item in known.target_ages(now)} == {2, 4}
    known.apply_target_ages((TargetWeightsAge("m", 5, 2.0),), now)
    store.write("op", "version/m", {"model": "m", "version": 5})
    wait_for(lambda: known.target_version("m") == 5)
    assert known.superseded_s("m", 4, now) == pytest.approx(2.0)
    known.unload()


def test_server_whose_entry_expired_in_an_outage_is_retained(store, fleet_state):
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


def test_malformed_rows_do_not_affect_other_rows(store, fleet_state):
    store.write("servers", "bad", b"\xff")
    store.write("op", "version/m", b"[]")
    store.write("op", "config", {"version": 99})
    store.write("servers", "s3", entry())
    wait_for(lambda: fleet_state.servers.get("s3") is not None)
    assert fleet_state.servers.get("bad") is None
    assert fleet_state.catalog.cfg.version == 3


def test_transaction_is_applied_whole_or_not_at_all(store):
    client = PlatformClient(store.address)
    first = client.put(Put("t", "a", b"1", 0))
    assert first > 0
    assert client.put(Put("t", "a", b"2", 0)) == 0
    assert not client.commit(Put("t", "a", b"3", first), Put("t", "b", b"1", 7))
    assert client.get("t", "a").value == b"1"
    assert client.commit(Put("t", "b", b"1", 0), Delete("t", "a", first))
    assert client.get("t", "a").version == 0
    assert [row.key for row in client.scan("t", "b")] == ["b"]


def test_table_of_many_pages_is_read_whole(store):
    for n in range(1203):
        store.write("t", f"k{n:05}", b"x")
    snapshot = PlatformClient(store.address).snapshot("t")
    assert len(snapshot.rows) == 1203


def test_reading_dropped_history_raises_history_unavailable(store):
    store.write("t", "a", b"1")
    store.platform.drop_history()
    with pytest.raises(HistoryUnavailable):
        PlatformClient(store.address).follow("t", 0, 0.0)


def test_node_with_confirmations_reads_only_what_it_lacks(store, fleet_state):
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


def test_confirmation_of_rows_newer_than_the_known_ones_is_not_applied(
    store, fleet_state
):
    store.platform.down = True
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 1.0)
    now = clock.now()
    fleet_state.apply_confirmation(
        "op", b"0.%d" % (store.platform.version + 5), now, now
    )
    fleet_state.apply_confirmation("servers", b"otherwise", now, now)
    assert fleet_state.config_age_s(now) > 1.0
    assert fleet_state.servers_age_s(now) > 0.4


def test_confirmation_that_differs_causes_few_reads(store, fleet_state):
    fleet_state.set_reader(False)
    gevent.sleep(1.2)
    before = store.platform.reads
    now = clock.now()
    fleet_state.apply_confirmation("servers", b"otherwise", now, now)
    gevent.sleep(0.6)
    assert store.platform.reads - before <= 3


def test_confirmations_of_one_change_by_several_readers_cause_one_read(store):
    # Guards against a second read of each change by each node of a large fleet: the
    # other readers' confirmations arrive while the first read is on its way (legoff
    # trouble-3: 657 reads by 111 nodes after three changes).
    store.write("op", "config", CONFIG)
    fleet_state = FleetState(PlatformClient(store.address))
    watcher = fleet_state._config_watcher
    watcher.read_once()
    store.write("op", "config", {**CONFIG, "version": 8})
    digest = b"0.%d" % store.platform.version
    now = clock.now()
    fleet_state.set_reader(False)
    fleet_state.apply_confirmation("op", digest, now, now)
    watcher.before_read = lambda: (
        fleet_state.apply_confirmation("op", digest, now, now) or []
    )
    assert watcher.needs_read(now)
    watcher.read_once()
    assert not watcher.needs_read(clock.now())
    newer = b"0.%d" % (store.platform.version + 1)
    watcher.before_read = lambda: (
        fleet_state.apply_confirmation("op", newer, now, now) or []
    )
    watcher.read_once()
    assert watcher.needs_read(clock.now())


def test_failed_read_is_retried_sooner_once_a_reader_reads_again(store):
    # Guards against 111 nodes that each retry every second in a store outage, and
    # against nodes that learn late of its end.
    store.write("op", "config", CONFIG)
    fleet_state = FleetState(PlatformClient(store.address))
    watcher = fleet_state._config_watcher
    watcher.read_once()
    assert not watcher.is_retry_due(10.0, 2.0, 11.5)
    assert watcher.is_retry_due(10.0, 2.0, 12.0)
    fleet_state.apply_confirmation("op", b"0.9", 10.1, 10.2)
    assert not watcher.is_retry_due(10.0, 2.0, 10.5)
    assert watcher.is_retry_due(10.0, 2.0, 11.0)
    assert not watcher.is_retry_due(10.3, 2.0, 11.5)


@pytest.mark.parametrize(("nodes", "drain_s"), [(25, 2.0), (70, 3.0), (410, 3.0)])
def test_confirmations_of_servers_outlast_the_cycle_of_readers(store, nodes, drain_s):
    # Guards against nodes of a large fleet that each read the servers every 2.2 s
    # although nothing changes, as readers that started together confirm in step.
    fleet_state = FleetState(PlatformClient(store.address))
    fleet_state.set_read_intervals(nodes, drain_s)
    watcher = fleet_state._server_watcher
    assert watcher.interval_s + watcher.wait_s + 0.1 < watcher.confirmation_fresh_s


def test_node_without_confirmations_reads_the_store_itself(store, fleet_state):
    fleet_state.set_reader(False)
    wait_for(lambda: fleet_state.config_age_s(clock.now()) > 1.0)
    wait_for(lambda: fleet_state.config_age_s(clock.now()) < 0.3)


def test_confirmation_does_not_end_an_outage_that_the_node_itself_saw(
    store, fleet_state
):
    ended = []
    fleet_state._config_watcher.on_outage_end = ended.append
    store.platform.down = True
    wait_for(lambda: fleet_state._config_watcher.unreachable, 5)
    now = clock.now()
    fleet_state.apply_confirmation("op", b"0.1", now, now)
    assert fleet_state._config_watcher.unreachable
    assert ended == []
    assert fleet_state.config_age_s(now) < 0.1
    store.platform.down = False
    wait_for(lambda: ended, 5)


def test_version_is_superseded_by_the_next_one_and_not_by_the_newest(
    store, fleet_state
):
    for version in (2, 3, 4):
        store.write("op", "version/m", {"model": "m", "version": version})
        wait_for(lambda target=version: fleet_state.target_version("m") == target)
        gevent.sleep(0.15)
    now = clock.now()
    ages = [fleet_state.superseded_s("m", version, now) for version in (1, 2, 3, 4)]
    assert ages[0] > ages[1] + 0.1 > ages[2] + 0.2
    assert ages[3] == 0.0


def config(version):
    return {**CONFIG, "version": version}


def test_tables_are_read_whole_after_a_store_rollback(store, fleet_state):
    copy = store.platform.snapshot()
    for n in range(3):
        store.write("op", f"version/m{n}", {"model": f"m{n}", "version": 2})
    wait_for(lambda: fleet_state.target_version("m2") == 2)
    # The store reuses the lost versions for other rows before this node reads.
    store.platform.restore(copy)
    for n in range(3, 7):
        store.write("op", f"version/m{n}", {"model": f"m{n}", "version": 5})
    wait_for(
        lambda: [fleet_state.target_version(f"m{n}") for n in range(3, 7)] == [5] * 4
    )


def test_configuration_and_targets_are_not_reverted_by_a_store_rollback(
    store, fleet_state
):
    copy = store.platform.snapshot()
    store.write("op", "config", config(9))
    store.write("op", "version/m", {"model": "m", "version": 4})
    wait_for(lambda: fleet_state.target_version("m") == 4)
    store.platform.restore(copy)
    wait_for(lambda: fleet_state._config_watcher.era == 1)
    assert fleet_state.catalog.cfg.version == 9
    assert fleet_state.target_version("m") == 4
    store.write("op", "config", config(11))
    wait_for(lambda: fleet_state.catalog.cfg.version == 11)


def test_confirmation_of_another_era_is_not_applied(store, fleet_state):
    copy = store.platform.snapshot()
    store.write("op", "config", config(9))
    wait_for(lambda: fleet_state.catalog.cfg.version == 9)
    store.platform.restore(copy)
    wait_for(lambda: fleet_state._config_watcher.era == 1)
    fleet_state.set_reader(False)
    reads = store.platform.reads
    # The confirmed version number is lower, but it belongs to another era.
    now = clock.now()
    fleet_state.apply_confirmation("op", b"2.1", now, now)
    wait_for(lambda: store.platform.reads > reads)


def test_servers_that_a_restored_copy_lacks_are_retained(store, fleet_state):
    copy = store.platform.snapshot()
    store.write("servers", "new", entry(address="127.0.0.1:7"))
    wait_for(lambda: fleet_state.servers.get("new"))
    store.platform.restore(copy)
    wait_for(lambda: fleet_state._server_watcher.era == 1)
    gevent.sleep(0.1)
    assert fleet_state.servers.get("new").usable(clock.now())
    store.write("servers", "new", entry(address="127.0.0.1:7", sequence=2))
    gevent.sleep(OUTAGE_GRACE_S)
    assert fleet_state.servers.get("new")


def test_removed_and_draining_servers_stay_unusable_after_a_store_rollback(
    store, fleet_state
):
    store.write("servers", "a", entry())
    store.write("servers", "b", entry(address="127.0.0.1:7"))
    wait_for(lambda: fleet_state.servers.get("a") and fleet_state.servers.get("b"))
    copy = store.platform.snapshot()
    store.remove("servers", "a")
    store.write("servers", "b", entry(address="127.0.0.1:7", state="draining"))
    wait_for(lambda: not fleet_state.servers.get("a"))
    wait_for(lambda: not fleet_state.servers.get("b").usable(clock.now()))
    store.platform.restore(copy)
    wait_for(lambda: fleet_state._server_watcher.era == 1)
    gevent.sleep(0.1)
    assert not fleet_state.servers.get("a")
    assert not fleet_state.servers.get("b").usable(clock.now())
    # The server was only cut off from the store and writes its entry again.
    store.write("servers", "a", entry(sequence=7))
    wait_for(lambda: fleet_state.servers.get("a"))


def test_row_of_a_node_is_written_again_after_a_store_rollback_lost_it(
    store, fleet_state
):
    peers = PeerCoordinator(
        "n", "127.0.0.1:0", (), PlatformClient(store.address), 5, lambda seq: HEARTBEAT
    )
    copy = store.platform.snapshot()
    peers.setup(Application("test"))
    fleet_state.on_store_rollback = peers.rewrite_row
    wait_for(lambda: ("nodes", "n") in store.platform.rows)
    store.platform.restore(copy)
    assert ("nodes", "n") not in store.platform.rows
    wait_for(lambda: ("nodes", "n") in store.platform.rows)
    peers.unload()


def test_targets_set_while_history_was_dropped_have_an_age(store, fleet_state):
    # Otherwise every engine with the previous weights would have an unknown age.
    store.platform.delay_s = 0.2
    gevent.sleep(0.05)
    store.write("op", "version/m", {"model": "m", "version": 2})
    store.platform.drop_history()
    store.platform.delay_s = 0.0
    wait_for(lambda: fleet_state.target_version("m") == 2)
    assert 0 <= fleet_state.superseded_s("m", 1, clock.now()) < 1.0


# Guards against DRAIN and VERSION: a read counted as done although its rows were not
# applied, and the task that follows the table was down.
def test_a_read_whose_rows_cannot_be_applied_is_repeated_and_not_confirmed(
    store, fleet_state, caplog
):
    watcher = fleet_state._server_watcher
    failures = []
    confirmed = []
    fleet_state.set_read_hooks(
        lambda: [], lambda table, digest, heartbeats: confirmed.append(table)
    )

    class FailingServers(type(fleet_state.servers)):
        __slots__ = ()

        def update(self, entry):
            if entry.server_id == "s2" and len(failures) < 3:
                failures.append(watcher.confirmed_at)
                raise RuntimeError("scripted")
            super().update(entry)

    fleet_state.servers.__class__ = FailingServers
    store.write("servers", "s2", entry())
    wait_for(lambda: failures)
    confirmed_at = watcher.confirmed_at
    confirmed.clear()
    gevent.sleep(0.1)
    assert watcher.confirmed_at == confirmed_at
    assert "servers" not in confirmed
    wait_for(lambda: fleet_state.servers.get("s2") is not None, 5.0)
    assert watcher.confirmed_at > confirmed_at
    assert "Reading table servers failed with RuntimeError: scripted" in caplog.text
    # Removals are not taken for the effect of an outage of the store.
    store.remove("servers", "s1")
    wait_for(lambda: fleet_state.servers.get("s1") is None, 1.0)


# A node goes on following a table although it cannot tell its peers.
def test_a_hook_that_fails_does_not_end_the_reading_of_a_table(store, fleet_state):
    def failing(table, digest, heartbeats):
        raise RuntimeError("scripted")

    fleet_state.set_read_hooks(lambda: [], failing)
    for n in range(2, 5):
        store.write("servers", f"s{n}", entry())
        wait_for(lambda n=n: fleet_state.servers.get(f"s{n}") is not None, 3.0)
