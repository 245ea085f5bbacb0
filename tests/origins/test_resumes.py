"""Test that the origin of a stream is found wherever and whenever it is resumed."""

import gevent
import pytest

from arbutusyard.origins.models import Began, UnknownOrigin
from arbutusyard.origins.records import OriginRecord
from arbutusyard.platform.rows import TABLE_SERVERS
from tests.fleet.simulation import SimulatedClient, SimulatedFleet, SimulatedNode
from tests.fleet.support import entry


@pytest.fixture
def fleet(monkeypatch):
    running = SimulatedFleet(5, monkeypatch)
    for number, version in enumerate(("v1", "v1", "v2", "v2")):
        value = entry(f"10.1.0.{number}:80", models=[], version=version)
        running.store.write(TABLE_SERVERS, f"s{number}", value)
    running.run(8.0)
    return running


def begin(fleet, node, server_id, request_id, account="acc"):
    server = node.state.servers.get(server_id)
    node.origins.record_beginning(
        account, request_id, server, server.entry.software_version, fleet.now
    )


def find(fleet, node, request_id, account="acc"):
    fleet.delivers_at_once = True
    return node.origins.find(account, request_id, "svc", fleet.now)


def restart(fleet, *numbers):
    for number in numbers:
        fleet.nodes[number] = SimulatedNode(fleet, number, 2)
    fleet.run(1.0)


def test_stream_that_has_just_begun_is_known_to_the_node_that_relays_it(fleet):
    begin(fleet, fleet.nodes[0], "s0", "r1")
    assert find(fleet, fleet.nodes[0], "r1") == Began("svc", "v1", "own")
    assert find(fleet, fleet.nodes[3], "r1") == Began("svc", "v1", "peer")


# Guards against ORDER: a node that is killed knows nothing of the streams it relayed.
@pytest.mark.parametrize("number", range(5))
def test_origins_outlive_the_node_that_relayed_the_streams(fleet, number):
    for n in range(10):
        begin(fleet, fleet.nodes[number], f"s{n % 4}", f"r{n}")
    fleet.run(0.5)
    restart(fleet, number)
    for node in fleet.nodes:
        for n in range(10):
            found = find(fleet, node, f"r{n}")
            assert isinstance(found, Began)
            assert found.version == ("v1" if n % 4 < 2 else "v2")


# Guards against ORDER: all nodes were killed at once, and old servers had left.
def test_origins_outlive_all_nodes(fleet):
    for number, node in enumerate(fleet.nodes):
        begin(fleet, node, "s1", f"r{number}")
    fleet.run(1.0)
    begin(fleet, fleet.nodes[0], "s1", "last")
    fleet.store.write(TABLE_SERVERS, "s0", None)
    fleet.store.write(TABLE_SERVERS, "s1", None)
    restart(fleet, *range(5))
    for node in fleet.nodes:
        for number in range(5):
            assert find(fleet, node, f"r{number}").version == "v1"
        # It began after the last write to the store.
        assert find(fleet, node, "last") == UnknownOrigin("not_remembered", True)
    restart(fleet, *range(5))
    assert find(fleet, fleet.nodes[0], "r0").version == "v1"


def test_streams_that_began_before_a_second_version_are_shared_once_it_serves(
    monkeypatch,
):
    fleet = SimulatedFleet(5, monkeypatch)
    fleet.store.write(TABLE_SERVERS, "s0", entry(models=[], version="v1"))
    fleet.run(5.0)
    begin(fleet, fleet.nodes[4], "s0", "r1")
    fleet.store.write(TABLE_SERVERS, "s1", entry("1.1.1.1:1", models=[], version="v2"))
    fleet.run(2.0)
    restart(fleet, *range(5))
    assert find(fleet, fleet.nodes[0], "r1") == Began("svc", "v1", "store")


def test_only_version_proves_the_origin_after_all_nodes_were_killed(monkeypatch):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.store.write(TABLE_SERVERS, "s0", entry(models=[], version="v1"))
    fleet.run(5.0)
    restart(fleet, 0, 1, 2)
    assert find(fleet, fleet.nodes[0], "r1") == Began("svc", "v1", "only_version")
    fleet.store.write(TABLE_SERVERS, "s0", None)
    fleet.store.write(TABLE_SERVERS, "s1", entry("1.1.1.1:1", models=[], version="v2"))
    fleet.run(2.0)
    restart(fleet, 0, 1, 2)
    assert find(fleet, fleet.nodes[0], "r1") == UnknownOrigin("not_remembered", True)
    # No client holds a stream of the version that ended so long ago.
    fleet.run(30.0)
    assert find(fleet, fleet.nodes[0], "r2") == Began("svc", "v2", "only_version")


def test_origin_that_nobody_can_look_up_may_be_known_later(fleet):
    fleet.store.down = True
    assert not find(fleet, fleet.nodes[0], "r1").is_final
    fleet.store.down = False
    assert find(fleet, fleet.nodes[0], "r1").is_final


def test_client_does_not_wait_for_a_store_that_does_not_answer(fleet, monkeypatch):
    def hang(self, table, prefix=""):
        gevent.sleep(30.0)

    monkeypatch.setattr(SimulatedClient, "scan", hang)
    with gevent.Timeout(5.0):
        found = find(fleet, fleet.nodes[0], "r1")
    assert found == UnknownOrigin("store_unreadable", is_final=False)


# Guards against lost origins: those that came during a write counted as written.
def test_origins_that_come_during_a_write_are_written_next(fleet, monkeypatch):
    node = next(n for n in fleet.nodes if n.origins.is_keeper(fleet.now))
    write = SimulatedClient.write

    def slow_write(self, table, key, value):
        write(self, table, key, value)
        node.origins._keep([b"during"], fleet.now)
        monkeypatch.setattr(SimulatedClient, "write", write)

    begin(fleet, node, "s0", "r1")
    record = OriginRecord("svc", "v1", fleet.now + 9.0, "peer")
    node.origins.records.add(b"during", record)
    node.origins._keep([b"before"], fleet.now)
    monkeypatch.setattr(SimulatedClient, "write", slow_write)
    node.origins.persist(fleet.now)
    node.origins.persist(fleet.now)
    rows = [row.value for (table, _), row in fleet.store.rows.items()]
    assert any(b"during" in value for value in rows)


def test_origins_are_kept_while_no_node_is_ready(fleet):
    # Nodes are not ready once they have not read the store for some seconds.
    fleet.store.down = True
    fleet.run(6.0)
    assert not any(node.node.is_ready(fleet.now) for node in fleet.nodes)
    begin(fleet, fleet.nodes[4], "s0", "r1")
    fleet.run(0.5)
    restart(fleet, 4)
    fleet.store.down = False
    fleet.run(2.0)
    assert find(fleet, fleet.nodes[4], "r1").version == "v1"


def test_id_of_another_account_and_no_id_name_no_stream(fleet):
    begin(fleet, fleet.nodes[0], "s0", "r1")
    for account, request_id in (("other", "r1"), ("acc", ""), ("acc", "never")):
        assert isinstance(
            find(fleet, fleet.nodes[0], request_id, account), UnknownOrigin
        )


# Guards against ORDER: a server started again under its id with another version, and
# streams that began there before its entry came counted as the former version's.
def test_streams_of_a_server_that_has_another_version_now_are_unproven(fleet):
    begin(fleet, fleet.nodes[0], "s0", "r1")
    begin(fleet, fleet.nodes[0], "s1", "r2")
    value = entry("10.1.0.0:80", models=[], version="v2", born=9)
    fleet.store.write(TABLE_SERVERS, "s0", value)
    fleet.run(2.0)
    for node in fleet.nodes:
        assert find(fleet, node, "r1") == UnknownOrigin("ambiguous", True)
        assert find(fleet, node, "r2").version == "v1"
