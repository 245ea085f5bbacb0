"""One node of a large fleet that is cut off from servers the others reach."""

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

    def reach(server):
        """Find that the server can be reached, as a check does."""
        checked.append(server.entry.server_id)
        server.suspected = False
        server.reached_at = now_is[0]

    now_is = [now]
    router.on_check = reach
    return router, table, checked, now_is


def hear_for(seconds, name, just_found=False):
    router, table, checked, now_is = node(name)
    for heartbeat in range(1, int(seconds / HEARTBEAT_S)):
        now_is[0] = heartbeat * HEARTBEAT_S
        router.apply_unresponsive(SERVERS, now_is[0], just_found)
    return table, checked


def names(serving):
    _, table, _, _ = node("n0")
    found = [f"n{n}" for n in range(FLEET) if table.serves(f"n{n}", 0.0) is serving]
    assert found
    return found


def test_a_repeated_word_costs_a_serving_node_a_check_in_seconds():
    _, checked = hear_for(20.0, names(serving=True)[0])
    assert len(checked) <= len(SERVERS) * 20.0 / 4.0


def test_nodes_that_stand_by_check_nothing():
    assert len(names(serving=True)) >= SERVING_NODES_MIN
    _, checked = hear_for(20.0, names(serving=False)[0], just_found=True)
    assert checked == []


def test_a_server_that_was_just_found_silent_is_checked_at_once():
    router, _, checked, now_is = node(names(serving=True)[0])
    now_is[0] = 1.0
    router.apply_unresponsive(("s1",), 1.0, just_found=True)
    now_is[0] = 1.5
    router.apply_unresponsive(("s1",), 1.5, just_found=True)
    assert checked == ["s1", "s1"]
