"""Test the table of backend servers: restarts, drains and outages of the store."""

import pytest
from msgspec.structs import replace

from arbutusyard.fleet.const import (
    LEAVING_REPORT_S,
    OUTAGE_GRACE_S,
    REMOVED_INCARNATION_RETENTION_S,
    REMOVED_INCARNATIONS_MAX,
    REMOVED_REPORT_S,
)
from arbutusyard.fleet.messages import RemovedServer
from arbutusyard.fleet.servers import ServerTable
from arbutusyard.gateway.models import ServerEntry, ServerState

ENTRY = ServerEntry(
    "i-1", 10, "svc", "10.0.0.1:80", "z", ServerState.READY, 4, {"m": 1}
)


def table(*entries):
    result = ServerTable()
    result.replace({entry.server_id: entry for entry in entries}, 100.0)
    return result


def test_draining_server_takes_no_new_requests():
    servers = table(ENTRY)
    assert servers.get("i-1").usable(100.0)
    servers.update(replace(ENTRY, state=ServerState.DRAINING))
    assert not servers.get("i-1").usable(100.0)


def test_server_is_removed_at_once_when_its_entry_is_removed_without_an_outage():
    servers = table(ENTRY)
    server = servers.get("i-1")
    servers.remove("i-1", 101.0)
    assert server.dead
    assert servers.of_service("svc") == []


def test_server_whose_entry_expired_in_an_outage_is_removed_after_the_grace_time():
    servers = table(ENTRY, replace(ENTRY, server_id="i-2"))
    servers.outage_ended(200.0)
    servers.remove("i-1", 200.1)
    servers.remove("i-2", 200.1)
    assert len(servers.of_service("svc")) == 2
    servers.update(replace(ENTRY, server_id="i-2"))
    servers.sweep(200.0 + OUTAGE_GRACE_S)
    assert [s.entry.server_id for s in servers.of_service("svc")] == ["i-2"]


def test_restart_under_the_same_id_is_a_new_incarnation():
    servers = table(ENTRY)
    old = servers.get("i-1")
    old.weights["m"] = 5
    servers.update(replace(ENTRY, started_at_ms=20))
    assert old.dead
    assert servers.get("i-1").weights == {"m": 1}


def test_late_entry_does_not_restore_older_weights():
    servers = table(ENTRY)
    servers.get("i-1").weights["m"] = 3
    servers.update(replace(ENTRY, weights={"m": 2}))
    assert servers.get("i-1").weights == {"m": 3}


def test_pause_of_a_suspected_server_doubles_each_time():
    server = table(ENTRY).get("i-1")
    server.suspect(100.0)
    first = server.suspect_until - 100.0
    assert not server.usable(100.0)
    server.suspect(110.0)
    assert server.suspect_until - 110.0 == pytest.approx(2 * first)


def test_failure_rate_decays_with_time():
    server = table(ENTRY).get("i-1")
    for _ in range(20):
        server.count_outcome(True, 100.0)
    assert server.failures(100.0) > 0.7
    assert server.failures(120.0) < 0.05


def test_peer_report_of_a_draining_server_is_valid_for_a_limited_time():
    # A node whose own connection to the store was unresponsive kept using a draining
    # server, although its peers knew of the drain.
    here, there = table(ENTRY), table(ENTRY)
    there.update(replace(ENTRY, state=ServerState.DRAINING))
    here.apply_leaving(there.leaving(100.0), "n2", 100.0)
    assert not here.get("i-1").usable(100.1)
    assert here.get("i-1").usable(100.0 + LEAVING_REPORT_S)


def test_removed_server_is_reported_until_it_starts_again():
    there = table(ENTRY)
    there.remove("i-1", 101.0)
    assert there.leaving(102.0) == ("i-1",)
    assert there.leaving(101.1 + REMOVED_REPORT_S) == ()
    there.update(replace(ENTRY, started_at_ms=11))
    there.remove("i-1", 110.0)
    there.update(replace(ENTRY, started_at_ms=12))
    assert there.leaving(110.1) == ()


def test_incarnation_that_announced_to_drain_stays_unusable_whatever_its_entry_says():
    servers = table(ENTRY)
    assert servers.mark_leaving("i-1", 10)
    assert not servers.mark_leaving("i-1", 10)
    servers.update(replace(ENTRY, slots=5))
    assert not servers.get("i-1").usable(1e6)
    assert servers.announced_leaving() == (("i-1", 10),)
    servers.update(replace(ENTRY, started_at_ms=11))
    assert servers.get("i-1").usable(1e6)


def test_announcement_of_another_incarnation_has_no_effect():
    servers = table(ENTRY)
    assert not servers.mark_leaving("i-1", 9)
    assert not servers.mark_leaving("i-2", 10)
    assert servers.get("i-1").usable(100.0)


def test_service_is_usable_again_when_the_first_pause_ends():
    servers = table(ENTRY, replace(ENTRY, server_id="i-2"))
    servers.get("i-1").pause(2.0, 100.0)
    servers.get("i-2").pause(0.5, 100.0)
    assert servers.usable_in_s("svc", 100.0) == 0.5
    assert not servers.get("i-2").usable(100.4)
    assert servers.get("i-2").usable(100.5)
    servers.mark_leaving("i-2", 10)
    assert servers.usable_in_s("svc", 100.0) == 2.0
    assert servers.usable_in_s("other", 100.0) == 0.0


# Guards against DRAIN: the report of a removal held for a few seconds.
def test_reported_removal_holds_until_a_later_entry():
    servers = table(replace(ENTRY, row_version=(1, 5)))
    servers.apply_removed((RemovedServer("i-1", 10, 1, 4),), "n2", 101.0)
    assert servers.get("i-1").usable(101.0)
    servers.apply_removed((RemovedServer("i-1", 10, 1, 7),), "n2", 101.0)
    assert servers.get("i-1") is None
    servers.update(replace(ENTRY, row_version=(1, 6)))
    assert servers.get("i-1") is None
    servers.update(replace(ENTRY, row_version=(1, 8)))
    assert servers.get("i-1").usable(102.0)


def test_reported_removal_is_of_one_incarnation():
    servers = table(replace(ENTRY, started_at_ms=11, row_version=(1, 5)))
    servers.apply_removed((RemovedServer("i-1", 10, 1, 7),), "n2", 101.0)
    assert servers.get("i-1").usable(101.0)
    servers.update(replace(ENTRY, server_id="i-2", row_version=(1, 3)))
    servers.apply_removed((RemovedServer("i-3", 10, 1, 7),), "n2", 101.0)
    servers.update(replace(ENTRY, server_id="i-3", row_version=(1, 3)))
    assert servers.get("i-2").usable(101.0)
    assert servers.get("i-3") is None


def test_removals_learned_from_peers_are_not_reported_again():
    servers = table(ENTRY, replace(ENTRY, server_id="i-2"))
    servers.remove("i-1", 101.0, (1, 6))
    servers.apply_removed((RemovedServer("i-2", 10, 1, 7),), "n2", 101.0)
    assert servers.removed_reports(102.0) == (RemovedServer("i-1", 10, 1, 6),)
    assert servers.removed_reports(101.1 + REMOVED_REPORT_S) == ()
    assert len(servers.remembered_removals(60.0, 102.0)) == 2
    assert servers.remembered_removals(4.0, 120.0) == []


def test_memory_of_removals_is_bounded():
    servers = ServerTable()
    count = REMOVED_INCARNATIONS_MAX + 5
    reports = tuple(RemovedServer(f"i-{n}", 1, 1, n) for n in range(count))
    servers.apply_removed(reports, "n2", 100.0)
    remembered = servers.remembered_removals(60.0, 100.0)
    assert len(remembered) == REMOVED_INCARNATIONS_MAX
    assert remembered[-1] == reports[-1]
    servers.sweep(101.0 + REMOVED_INCARNATION_RETENTION_S)
    assert servers.remembered_removals(1e6, 101.0) == []


def test_peer_that_read_the_store_all_along_ends_the_grace_time():
    servers = table(ENTRY)
    servers.outage_ended(200.0)
    servers.remove("i-1", 200.1)
    servers.apply_store_read(0.0, "n2", 200.2)
    servers.apply_store_read(1.0, "n2", 200.2)
    assert servers.get("i-1").usable(200.2)
    servers.apply_store_read(30.0, "n2", 200.2)
    assert servers.get("i-1") is None
