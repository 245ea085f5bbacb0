"""Test reports of one node of a large fleet that is cut off from live servers."""

from msgspec.structs import replace

from arbutusyard.fleet.const import SERVING_NODES_MIN
from arbutusyard.fleet.messages import Heartbeat
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.router import PlacementRouter

FLEET = 79
SERVERS = tuple(f"s{n}" for n in range(12))
HEARTBEAT_S = 0.5


def node(name, now=0.0):
    fleet_state = FleetState(None)
    fleet_state.servers.replace(
        {
            server_id: ServerEntry(
                server_id, 1, "svc", "127.0.0.1:1", "z", ServerState.READY, 8, {}
            )
            for server_id in SERVERS
        },
        now,
    )
    table = PeerTable(name)
    blank = Heartbeat("", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, ())
    for n in range(FLEET):
        heartbeat = replace(
            blank, name=f"n{n}", peer_address=f"a:{n}", next_in_s=1000.0
        )
        if heartbeat.name == name:
            table.set_own(heartbeat)
        else:
            table.apply_heartbeat(heartbeat, now)
    router = PlacementRouter(fleet_state, table, "z", 6.5)
    checked = []

    def check(server):
        """Record a check that finds the server reachable."""
        checked.append(server.entry.server_id)
        server.suspected = False
        server.reached_at = now_is[0]

    now_is = [now]
    router.on_check = check
    return router, table, checked, now_is


def apply_reports_for(seconds, name, first_report=False):
    router, table, checked, now_is = node(name)
    for heartbeat in range(1, int(seconds / HEARTBEAT_S)):
        now_is[0] = heartbeat * HEARTBEAT_S
        router.apply_unreachable(SERVERS, now_is[0], first_report)
    return table, checked


def names(serving):
    _, table, _, _ = node("n0")
    found = [f"n{n}" for n in range(FLEET) if table.serves(f"n{n}", 0.0) is serving]
    assert found
    return found


def test_a_repeated_report_makes_a_serving_node_check_a_server_every_4_s_at_most():
    _, checked = apply_reports_for(20.0, names(serving=True)[0])
    assert len(checked) <= len(SERVERS) * 20.0 / 4.0


def test_standby_nodes_check_no_servers():
    assert len(names(serving=True)) >= SERVING_NODES_MIN
    _, checked = apply_reports_for(20.0, names(serving=False)[0], first_report=True)
    assert checked == []


def test_a_server_that_is_newly_reported_as_unreachable_is_checked_at_once():
    router, _, checked, now_is = node(names(serving=True)[0])
    now_is[0] = 1.0
    router.apply_unreachable(("s1",), 1.0, first_report=True)
    now_is[0] = 1.5
    router.apply_unreachable(("s1",), 1.5, first_report=True)
    assert checked == ["s1", "s1"]
