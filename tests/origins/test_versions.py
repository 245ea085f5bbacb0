"""Test the list of software versions in the store."""

import msgspec

from arbutusyard.origins.const import END_DELAY_S, TABLE_SOFTWARE
from arbutusyard.origins.models import AMBIGUOUS, SoftwareRow, VersionSpan
from arbutusyard.origins.versions import merge_spans
from arbutusyard.platform.rows import TABLE_SERVERS
from tests.fleet.simulation import STORE_CLOCK_S, SimulatedFleet
from tests.fleet.support import entry


def test_versions_begin_end_and_are_dropped():
    spans = merge_spans((), {"v1"}, (), 10.0, 20.0)
    assert spans == (VersionSpan("v1", 10.0),)
    spans = merge_spans(spans, {"v1", "v2"}, (), 15.0, 20.0)
    assert spans == (VersionSpan("v1", 10.0), VersionSpan("v2", 15.0))
    spans = merge_spans(spans, {"v2"}, {"v1", "v9"}, 18.0, 20.0)
    assert spans[0] == VersionSpan("v1", 10.0, 18.0)
    assert merge_spans(spans, {"v1"}, (), 20.0, 20.0)[0] == VersionSpan("v1", 10.0)
    assert merge_spans(spans, (), (), 59.0, 20.0) == (VersionSpan("v2", 15.0),)


def listed(fleet):
    row = fleet.store.rows[TABLE_SOFTWARE, "svc"]
    return msgspec.msgpack.decode(row.value, type=SoftwareRow).versions


def write_server(fleet, server_id, version):
    address = f"10.1.0.{ord(server_id)}:80"
    value = entry(address, models=[], version=version)
    fleet.store.write(TABLE_SERVERS, server_id, value)


def test_nodes_list_a_version_before_streams_begin_there(monkeypatch):
    fleet = SimulatedFleet(4, monkeypatch)
    write_server(fleet, "a", "v1")
    fleet.run(5.0)
    assert [span.version for span in listed(fleet)] == ["v1"]
    write_server(fleet, "b", "v2")
    node = fleet.nodes[0]
    node.state._server_watcher.read_once()
    node.state.servers.get("a").in_flight = 3
    assert node.place(fleet.now, resumable=True) == "a"
    assert node.place(fleet.now, excluded={"a"}, resumable=True) == "b"
    fleet.run(1.0)
    assert [span.version for span in listed(fleet)] == ["v1", "v2"]
    assert node.place(fleet.now, resumable=True) == "b"


def test_version_ends_once_no_server_has_it(monkeypatch):
    fleet = SimulatedFleet(4, monkeypatch)
    write_server(fleet, "a", "v1")
    write_server(fleet, "b", "v2")
    fleet.run(5.0)
    fleet.store.write(TABLE_SERVERS, "a", None)
    ended_s = fleet.now + STORE_CLOCK_S
    fleet.run(2 * END_DELAY_S)
    first, second = listed(fleet)
    assert ended_s + END_DELAY_S <= first.ended_s <= ended_s + END_DELAY_S + 1.0
    assert second.ended_s is None
    write_server(fleet, "a", "v1")
    fleet.run(1.0)
    assert all(span.ended_s is None for span in listed(fleet))


def test_malformed_list_proves_nothing(monkeypatch):
    fleet = SimulatedFleet(2, monkeypatch)
    write_server(fleet, "a", "v1")
    fleet.run(5.0)
    versions = fleet.nodes[0].origins.versions
    assert versions.read("svc") == {"v1"}
    fleet.store.write_bytes(TABLE_SOFTWARE, "svc", b"\xc1")
    assert AMBIGUOUS in versions.read("svc")


def test_new_streams_leave_room_on_the_last_server_of_a_version(monkeypatch):
    fleet = SimulatedFleet(1, monkeypatch)
    for server_id, version in (("a", "v1"), ("b", "v2"), ("c", "v2")):
        write_server(fleet, server_id, version)
    fleet.run(5.0)
    (node,) = fleet.nodes
    last = node.state.servers.get("a")
    last.in_flight = last.entry.slots // 2
    for server_id in ("b", "c"):
        node.state.servers.get(server_id).in_flight = last.entry.slots
    placed = {node.place(fleet.now, resumable=True) for _ in range(20)}
    assert "a" not in placed
    assert node.place(fleet.now, version="v1") == "a"
    assert node.place(fleet.now, excluded={"b", "c"}, resumable=True) == "a"
