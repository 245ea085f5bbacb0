"""When a node counts as cut off from all servers of a service."""

import pytest

from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.reachability import QUIET_S, Reachability, are_unreachable


def make_servers(count, state=ServerState.READY):
    entries = [
        ServerEntry(f"s{n}", 1, "svc", f"10.0.0.{n}:1", "z", state, 8, {})
        for n in range(count)
    ]
    return [Server(entry, last_byte_at=10.0) for entry in entries]


def fail(servers, now):
    for server in servers:
        server.suspect(now)


class Checks:
    """Reachability whose checks are recorded and fail or succeed when told to."""

    def __init__(self, count):
        self.servers = make_servers(count)
        fleet_state = FleetState(None)
        fleet_state.servers.servers = {s.entry.server_id: s for s in self.servers}
        self.reachability = Reachability(fleet_state)
        self.reachability.on_check = self._check
        self.checked = []

    def _check(self, server):
        self.checked.append(server.entry.server_id)

    def is_cut_off(self, now):
        return self.reachability.is_cut_off("svc", now)


# Guards against a service with few servers that never counts as out of reach, and one
# that does while a server is left.
@pytest.mark.parametrize("count", [1, 2, 3])
def test_all_servers_that_cannot_be_connected_to(count):
    servers = make_servers(count)
    fail(servers[1:], 11.0)
    assert not are_unreachable(servers)
    fail(servers, 11.0)
    assert are_unreachable(servers)


# Guards against forwarding requests to a service that has no servers at all.
def test_a_service_without_servers_is_not_out_of_reach():
    assert not are_unreachable([])


# Guards against a detection that needs a timeout of each of dozens of servers.
def test_three_of_many_without_contact_in_between():
    servers = make_servers(40)
    fail(servers[:2], 11.0)
    assert not are_unreachable(servers)
    fail(servers[2:3], 11.4)
    assert are_unreachable(servers)


# Guards against a node that forwards requests though it reaches a server.
@pytest.mark.parametrize("contact", ["last_byte_at", "reached_at", "connected_at"])
def test_any_contact_ends_it(contact):
    servers = make_servers(40)
    fail(servers[:3], 11.0)
    setattr(servers[20], contact, 11.2)
    assert not are_unreachable(servers)
    # Failures from before the contact do not count again.
    fail(servers[3:5], 12.0)
    assert not are_unreachable(servers)


# Guards against counting the reports of nodes that are themselves cut off.
def test_reports_of_other_nodes_do_not_count():
    servers = make_servers(3)
    for server in servers:
        server.suspect(11.0, first_hand=False)
    assert not are_unreachable(servers)


# Guards against a detection that waits for requests to find each failed server.
def test_a_failure_in_silence_has_other_servers_checked():
    checks = Checks(9)
    checks.reachability.handle_failure(checks.servers[0], 10.0 + QUIET_S / 2)
    assert checks.checked == []
    checks.reachability.handle_failure(checks.servers[0], 10.0 + QUIET_S)
    assert checks.checked == ["s1", "s2"]


# Guards against a node that sends nothing to servers and so never finds them back.
def test_servers_without_suspicion_are_checked_while_cut_off():
    checks = Checks(9)
    fail(checks.servers[:3], 11.0)
    assert checks.is_cut_off(11.0)
    checks.reachability.tick(11.1)
    assert checks.checked == ["s3"]
    checks.servers[3].reached_at = 11.2
    assert not checks.is_cut_off(11.2)
    assert all(s.suspect_until <= 11.2 for s in checks.servers)
