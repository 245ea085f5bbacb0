"""Test the size of the nodes' own datagrams on links of 10 Mbit/s.

A fleet of 79 nodes, of which 27 serve clients, handles 350 prompts a second, each with
three shared segments. Heartbeats alone used half of the narrowest links.
"""

import msgspec
import pytest
from msgspec.structs import replace

from arbutusyard.fleet.caches import CacheWatcher
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.messages import CacheEvent, CacheEventBatch, Heartbeat
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import (
    CallerRequest,
    Configuration,
    EngineTraits,
    IngressLimits,
    PromptSegment,
    ServerEntry,
    ServerState,
    Service,
)
from arbutusyard.gateway.prompts import Prompt
from arbutusyard.gateway.router import Placement, PlacementRouter
from arbutusyard.routing.segments import SegmentMap, segment_key

FLEET = 79
SERVING = 27
HEARTBEATS_S = 2
PROMPTS_S = 350
STORE = "172.20.0.2:8428"
LINK_BYTES_S = 10_000_000 / 8
# Fraction of a link that control traffic may use; the rest is for clients.
CONTROL_FRACTION = 0.05
BLANK = Heartbeat("", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, ())


def peer_table(me="n0", count=FLEET):
    table = PeerTable(me)
    for n in range(count):
        heartbeat = replace(
            BLANK, name=f"n{n}", peer_address=f"a:{n}", next_in_s=1000.0
        )
        table.set_own(heartbeat) if heartbeat.name == me else table.apply_heartbeat(
            heartbeat, 0.0
        )
    return table


def heartbeat_bytes(segment_updates=(), cache_store_updates=()):
    return len(
        msgspec.msgpack.encode(
            replace(
                BLANK,
                segment_updates=segment_updates,
                cache_store_updates=cache_store_updates,
            )
        )
    )


def test_segments_that_were_broadcast_at_once_are_not_repeated_in_heartbeats():
    fleet_state = FleetState(None)
    entry = ServerEntry("i-0123456789", 1, "s", "a:1", "z", ServerState.READY, 8, {})
    fleet_state.servers.replace({entry.server_id: entry}, 0.0)
    router = PlacementRouter(fleet_state, peer_table(), "z", 6.5)
    reported = []
    router.on_load = lambda load, update: reported.append(update)
    server = fleet_state.servers.get(entry.server_id)
    prompts = PROMPTS_S // SERVING
    for n in range(prompts):
        segment_keys = tuple(segment_key("salt", f"{n}.{k}") for k in range(3))
        prompt = Prompt("salt", segment_keys, {}, {}, {})
        placement = Placement(
            server, 0.1, 1, prompt, shared_segment_keys=segment_keys, broadcast=True
        )
        router.begin_attempt(placement, 0.0)
        router.record_first_event(placement, 0.0)
    assert (
        len([update for update in reported if update and update.prefilled]) == prompts
    )
    sent_s = (
        HEARTBEATS_S
        * SERVING
        * heartbeat_bytes(segment_updates=router.segment_updates())
    )
    assert sent_s < CONTROL_FRACTION * LINK_BYTES_S


def request(n, shared):
    segments = (PromptSegment(f"a{n}", shared), PromptSegment(f"o{n}", 1800))
    return CallerRequest(
        f"r{n}", b"POST", b"/", "h", "/", [], b"", 0.0, None, "", "m", 2000, 3, segments
    )


@pytest.mark.parametrize(
    ("count", "shared", "broadcasts"),
    [(FLEET, 568, 0), (FLEET, 5382, 1), (6, 568, 1), (6, 92, 0)],
)
def test_small_prompts_in_a_large_fleet_are_not_broadcast(count, shared, broadcasts):
    fleet_state = FleetState(None)
    engine = EngineTraits(16, 170_516, 35_136, 740_000, ("m",))
    fleet_state.catalog = Catalog(
        Configuration(1, (), {"s": Service("s", 600, engine)}, (), (), IngressLimits())
    )
    entry = ServerEntry("e", 1, "s", "a:1", "z", ServerState.READY, 8, {"m": 1})
    fleet_state.servers.replace({"e": entry}, 0.0)
    router = PlacementRouter(fleet_state, peer_table(count=count), "z", 6.5)
    updates = []
    router.on_load = lambda load, update: updates.append(update)
    placement = router.place(request(0, shared), None, "s", 0.8, set(), 1.0)
    router.record_first_event(placement, 1.0)
    assert len([update for update in updates if update]) == broadcasts
    # The node that sent the request still knows what the engine caches now.
    assert router.place(request(0, shared), None, "s", 0.8, set(), 1.1).cached_tokens


def test_cache_store_events_are_reported_in_one_heartbeat_only():
    serving = peer_table().ranked(0.0)
    watcher = CacheWatcher(
        FleetState(None), peer_table(serving[0].name), SegmentMap(), None
    )
    per_heartbeat = PROMPTS_S * 3 // HEARTBEATS_S // 3
    sizes = []
    for heartbeat in range(4):
        events = tuple(
            CacheEvent(True, "salt", f"{heartbeat}.{n}") for n in range(per_heartbeat)
        )
        watcher._apply(STORE, CacheEventBatch(1, heartbeat, events))
        sizes.append(heartbeat_bytes(cache_store_updates=watcher.updates()))
    assert max(sizes) < 2 * min(sizes)
    assert watcher.updates() == ()
