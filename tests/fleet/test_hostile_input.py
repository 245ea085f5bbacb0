"""No row and no datagram ends what reads it, here or on the next node that starts."""

import json
from dataclasses import dataclass

import msgspec
import pytest
from gevent import GreenletExit
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.fleet.messages import (
    EngineStatus,
    EngineUpdate,
    Heartbeat,
    LoadUpdate,
    OriginAnswer,
    OriginQuery,
    OriginUpdate,
    QuarantineUpdate,
    ReadConfirmation,
    RemovalUpdate,
    RemovedServer,
    SegmentUpdate,
    ServerLimitReport,
    ServerLoad,
    ServerUpdate,
    TargetWeightsAge,
)
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.origins.models import OriginBatch
from arbutusyard.platform.models import Row
from arbutusyard.quarantine.coordinator import RequestQuarantine
from arbutusyard.quarantine.models import (
    CrashedRequest,
    CrashReport,
    QuarantineNews,
    QuarantineReport,
    SoundReport,
)
from tests.fleet.support import CONFIG, entry

NUMBERS = st.sampled_from(
    [0.0, -1.0, 0.3, 1e9, 1e308, -1e308, float("inf"), float("-inf"), float("nan")]
)
COUNTS = st.sampled_from([0, 1, -1, 2**40, -(2**40)])
TEXTS = st.sampled_from(["", "a", "s1", "m", "10.0.0.1:80", "x:y", "::", "1.2.3.4:-5"])
KEYS = st.lists(st.binary(max_size=13), max_size=3).map(tuple)
FIELDS = {float: NUMBERS, int: COUNTS, str: TEXTS, bool: st.booleans()}


def some(strategy):
    return st.lists(strategy, max_size=2).map(tuple)


INCARNATIONS = st.tuples(TEXTS, COUNTS)
LOADS = st.builds(ServerLoad, TEXTS, COUNTS, COUNTS)
STATUSES = st.builds(EngineStatus, TEXTS, TEXTS, COUNTS, st.none() | NUMBERS)
SEGMENTS = st.builds(SegmentUpdate, TEXTS, KEYS, st.booleans())
LIMITS = st.builds(ServerLimitReport, TEXTS, COUNTS, st.none() | NUMBERS, NUMBERS)
CRASHED = st.builds(CrashedRequest, KEYS, st.booleans(), st.binary(max_size=13))
NEWS = st.builds(
    QuarantineNews,
    some(st.builds(CrashReport, TEXTS, COUNTS, some(CRASHED), NUMBERS)),
    some(st.builds(SoundReport, st.binary(max_size=13), NUMBERS)),
    some(st.builds(QuarantineReport, KEYS, COUNTS, NUMBERS, NUMBERS, NUMBERS)),
)
REMOVED = st.builds(RemovedServer, TEXTS, COUNTS, COUNTS, COUNTS)
BATCHES = st.builds(OriginBatch, TEXTS, TEXTS, NUMBERS, KEYS)
HEARTBEATS = st.builds(
    Heartbeat,
    name=TEXTS,
    incarnation=COUNTS,
    seq=st.integers(1, 9),
    peer_address=TEXTS,
    callers_address=TEXTS,
    failure_domain=TEXTS,
    region=TEXTS,
    ready=st.booleans(),
    leaving=st.booleans(),
    config_version=COUNTS,
    fencing_token=COUNTS,
    loads=some(LOADS),
    engine_statuses=some(STATUSES),
    unreachable=some(TEXTS),
    segment_updates=some(SEGMENTS),
    up_s=NUMBERS,
    leaving_servers=some(TEXTS),
    target_ages=some(st.builds(TargetWeightsAge, TEXTS, COUNTS, NUMBERS)),
    leaving_incarnations=some(INCARNATIONS),
    capacity=NUMBERS,
    rate_s=NUMBERS,
    next_in_s=NUMBERS,
    entries=some(st.tuples(TEXTS, st.binary(max_size=13))),
    limits=some(LIMITS),
    quarantine=st.none() | NEWS,
    removed_servers=some(REMOVED),
    store_read_s=NUMBERS,
    servers_age_s=NUMBERS,
)
DATAGRAMS = st.one_of(
    HEARTBEATS,
    st.builds(ReadConfirmation, TEXTS, TEXTS, st.binary(max_size=9), COUNTS, COUNTS),
    st.builds(LoadUpdate, TEXTS, COUNTS, COUNTS, LOADS, st.none() | SEGMENTS),
    st.builds(EngineUpdate, TEXTS, COUNTS, COUNTS, STATUSES),
    st.builds(
        ServerUpdate,
        TEXTS,
        some(TEXTS),
        some(TEXTS),
        some(INCARNATIONS),
        some(LIMITS),
    ),
    st.builds(QuarantineUpdate, TEXTS, NEWS),
    st.builds(RemovalUpdate, TEXTS, some(REMOVED)),
    st.builds(OriginUpdate, TEXTS, some(BATCHES)),
    st.builds(OriginQuery, TEXTS, st.binary(max_size=18)),
    st.builds(OriginAnswer, TEXTS, st.binary(max_size=18), st.none() | BATCHES),
)


@dataclass
class ScriptedSocket:
    """Socket that receives given datagrams, then ends its reader."""

    datagrams: list[bytes]

    def recvfrom(self, size):
        if not self.datagrams:
            raise GreenletExit
        return self.datagrams.pop(0), ("", 0)

    def sendto(self, data, address):
        assert isinstance(address[1], int)


def make_receiver(datagrams):
    """Return a node's peers with the components that their datagrams reach."""
    state = FleetState(None)
    servers = {
        "s1": ServerEntry(
            "s1", 1, "svc", "10.0.0.1:80", "z", ServerState.READY, 8, {"m": 1}
        )
    }
    state.servers.replace(servers, 0.0)
    own = Heartbeat("me", 1, 1, "10.0.0.9:1", "", "z", "r", True, False, 1, 0)
    peers = PeerCoordinator("me", "10.0.0.9:1", (), None, 1, lambda seq: own)
    router = PlacementRouter(state, peers.table, "z", 6.5)
    quarantine = RequestQuarantine("me")
    OriginCoordinator("me", state, None, peers)
    peers._socket = ScriptedSocket([msgspec.msgpack.encode(d) for d in datagrams])

    def apply_servers(update, now):
        router.apply_unreachable(update.unreachable, now, first_report=True)
        state.servers.apply_leaving(update.replaced, update.name, now)
        for incarnation in update.leaving:
            state.servers.mark_leaving(*incarnation)
        router.limits.apply_reports(update.limits, now)

    def apply_heartbeat(heartbeat, now):
        router.apply_segment_updates(heartbeat.segment_updates, now)
        router.apply_unreachable(heartbeat.unreachable, now)
        state.apply_target_ages(heartbeat.target_ages, now)
        state.servers.apply_leaving(heartbeat.leaving_servers, heartbeat.name, now)
        state.servers.apply_removed(heartbeat.removed_servers, heartbeat.name, now)
        state.servers.apply_store_read(heartbeat.store_read_s, heartbeat.name, now)
        if heartbeat.servers_age_s >= 0:
            age_s = heartbeat.servers_age_s
            peers.send_removed(
                heartbeat, lambda: state.servers.remembered_removals(age_s, now), now
            )
        for incarnation in heartbeat.leaving_incarnations:
            state.servers.mark_leaving(*incarnation)
        router.limits.apply_reports(heartbeat.limits, now)
        if heartbeat.quarantine is not None:
            quarantine.apply(heartbeat.quarantine, heartbeat.name, now)

    peers.on_servers = apply_servers
    peers.on_removed = state.servers.apply_removed
    peers.on_heartbeat = apply_heartbeat
    peers.on_engines = router.apply_engine_statuses
    peers.on_segment_update = lambda update, now: router.apply_segment_updates(
        (update,), now
    )
    peers.on_quarantine = lambda update, now: quarantine.apply(
        update.news, update.name, now
    )
    peers.on_confirmation = lambda confirmation, known_at, now: (
        state.apply_confirmation(confirmation.table, confirmation.digest, known_at, now)
    )
    return peers, router, quarantine


# Guards against a datagram that ends the task of each node that receives it.
@settings(max_examples=400)
@given(st.lists(DATAGRAMS, min_size=1, max_size=4))
def test_no_datagram_ends_what_handles_it(datagrams):
    peers, router, quarantine = make_receiver(datagrams)
    with pytest.raises(GreenletExit):
        peers._receive_forever()
    for now in (0.0, 1.0, 1e6):
        peers.send()
        peers.table.sweep(now)
        peers.table.ranked(now)
        peers.table.own_rank(now)
        peers.fleet_share(10.0, now)
        peers.reported_entries(now)
        router.tick(now)
        quarantine.judge((b"a", b"b"), now)
        quarantine.take_urgent(now)
        quarantine.heartbeat_news(now)


@given(st.binary(max_size=60))
def test_no_bytes_end_the_receiver(data):
    peers, _, _ = make_receiver([])
    peers._socket = ScriptedSocket([data])
    with pytest.raises(GreenletExit):
        peers._receive_forever()


JSON = st.recursive(
    st.none() | st.booleans() | COUNTS | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["version", "routes", "services", "name", "limits", "tenants", "model"]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


def mutated(template):
    """Return a strategy of a template with one of its values replaced."""

    def paths(value, path=()):
        items = (
            value.items()
            if isinstance(value, dict)
            else enumerate(value)
            if isinstance(value, list)
            else ()
        )
        for key, inner in items:
            yield (*path, key)
            yield from paths(inner, (*path, key))

    def put(path, new):
        copy = json.loads(json.dumps(template))
        inner = copy
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = new
        return copy

    return st.builds(put, st.sampled_from(list(paths(template))), JSON)


def encoded(value):
    return json.dumps(value).encode()


ROWS = st.one_of(
    st.binary(max_size=40),
    JSON.map(encoded),
    mutated(CONFIG).map(encoded),
    mutated({"model": "m", "version": 2}).map(encoded),
    mutated(entry()).map(encoded),
    st.just(b'{"version":' + b"[" * 100_000),
)


# Guards against a stored row that ends each node that reads it, and the next one.
@settings(max_examples=300)
@given(st.sampled_from(["config", "version/m", "other"]), ROWS)
def test_no_stored_row_ends_what_reads_it(key, value):
    state = FleetState(None)
    state._apply_operator_rows((Row(key, value, 1),))
    state._replace_servers((Row("s1", value, 1),))
    state._apply_servers((Row("s2", value, 2),))
    state._apply_operator_rows((Row("config", encoded(CONFIG), 3),))
    assert state.catalog is not None
