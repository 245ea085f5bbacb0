"""Simulate a fleet of nodes, its store and its backend servers in simulated time."""

import json
from contextlib import suppress

from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.fleet.caches import CacheWatcher
from arbutusyard.fleet.outbox import DatagramOutbox
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import CallerRequest
from arbutusyard.gateway.node import Node
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.relay import Relay
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.platform.exceptions import HistoryUnavailable, PlatformUnavailable
from arbutusyard.platform.models import Changes, Row, Snapshot
from arbutusyard.platform.rows import KEY_CONFIG, TABLE_OPERATOR, TABLE_SERVERS
from arbutusyard.weights.coordinator import WeightsCoordinator
from arbutusyard.weights.target_times import TargetTimes
from tests.fleet.support import CONFIG, entry
from tests.gateway.support import METRICS, SETTINGS

REQUEST = CallerRequest("r", b"GET", b"/a/x", "h.test", "/a/x", [], b"", 0.0)
# Time of the store's clock when the simulation's is 0, in seconds.
STORE_CLOCK_S = 5e5
# Step of the simulated time, in seconds; nodes send a heartbeat in each step.
STEP_S = 0.25


class SimulatedStore:
    """Hold versioned rows and all of their history."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.down = False
        self.history_start = 0

    def write(self, table, key, value):
        """Write a row, or remove it if its value is None."""
        if value is not None:
            self.write_bytes(table, key, json.dumps(value).encode())
        elif (table, key) in self.rows:
            self.version += 1
            del self.rows[table, key]
            self.history.append((self.version, table, Row(key, b"", 0)))

    def write_bytes(self, table, key, value):
        self.version += 1
        row = self.rows[table, key] = Row(key, value, self.version)
        self.history.append((self.version, table, row))

    def drop_history(self):
        self.history_start = self.version


class SimulatedClient:
    """Read the store as one node, unless that node cannot reach it."""

    def __init__(self, node, store):
        self._node = node
        self._store = store
        self.era = 0
        # How late all answers so far have come, in seconds.
        self.clock_lag_s = 0.0
        # Answers to reads that the store has given and the node has not read, by table.
        self.held_answers = {}

    def _check(self):
        if self._store.down or not self._node.reaches_store:
            raise PlatformUnavailable("simulated")

    def snapshot(self, table):
        self._check()
        rows = tuple(r for (name, _), r in self._store.rows.items() if name == table)
        return Snapshot(rows, self._store.version)

    def get(self, table, key):
        self._check()
        return self._store.rows.get((table, key), Row(key, b"", 0))

    def scan(self, table, prefix=""):
        return self.snapshot(table).rows

    def write(self, table, key, value):
        self._check()
        self._store.write_bytes(table, key, value)

    def put(self, put):
        """Write a row if its version matches; return its new version, or 0."""
        if self.get(put.table, put.key).version != put.if_version:
            return 0
        self._store.write_bytes(put.table, put.key, put.value)
        return self._store.version

    def store_time_s(self, now):
        return now + STORE_CLOCK_S - self.clock_lag_s

    def follow(self, table, after, wait_s):
        self._check()
        if table in self.held_answers:
            return self.held_answers.pop(table)
        return self._answer(table, after)

    def hold_answer(self, table, after):
        """Let the store answer a read now that the node will read later."""
        if table not in self.held_answers:
            self.held_answers[table] = self._answer(table, after)

    def _answer(self, table, after):
        if after < self._store.history_start:
            raise HistoryUnavailable("simulated")
        newest = {
            row.key: row
            for version, name, row in self._store.history
            if name == table and version > after
        }
        answered_s = self.store_time_s(clock.now())
        # Time passes for the whole fleet while the answer is on its way.
        self._node.fleet.now += self._node.answer_delay_s
        return Changes(
            tuple(newest.values()), self._store.version, answered_s=answered_s
        )


class SimulatedNode:
    """Run the components of one node without tasks and sockets."""

    def __init__(self, fleet, number, incarnation):
        self.fleet = fleet
        self.name = f"n{number}"
        self.address = f"10.0.0.{number}:1"
        self.incarnation = incarnation
        self.cut = self.refused = self.frozen = False
        # Last time at which anything disturbed this node.
        self.disturbed_at = fleet.now
        # Time until which a failed read is not repeated, by watcher.
        self.read_after = {}
        self.read_delay_s = 0.0
        self.answer_delay_s = 0.0
        self._start()

    @property
    def reaches_store(self):
        return not (self.cut or self.refused)

    def _start(self):
        cfg = replace(
            SETTINGS, name=self.name, peer_address=self.address, failure_domain="z"
        )
        client = SimulatedClient(self, self.fleet.store)
        self.state = FleetState(client)
        pool = ServerPool()
        self.peers = PeerCoordinator(
            self.name,
            self.address,
            (),
            client,
            self.incarnation,
            lambda seq: self.node.build_heartbeat(seq),
            "z",
        )
        self.router = PlacementRouter(self.state, self.peers.table, "z", 6.5)
        self.origins = OriginCoordinator(self.name, self.state, client, self.peers)
        relay = Relay(
            cfg, self.state, self.peers.table, self.router, pool, METRICS, self.origins
        )
        self.node = Node(
            cfg,
            self.incarnation,
            self.state,
            relay,
            self.router,
            pool,
            None,
            METRICS,
        )
        weights = WeightsCoordinator(
            self.name, self.state, self.peers, client, None, 3.0, 8.0
        )
        caches = CacheWatcher(self.state, self.peers.table, self.router.segments, None)
        self.target_times = TargetTimes(self.state, client, self.peers)
        self.node.register_callbacks(self.peers, weights, caches, self.target_times)
        self.peers._socket = self
        self.peers._outbox = DatagramOutbox(self)
        self.peers._supervisor = self
        self.peers._addresses = {f"10.0.0.{n}:1" for n in range(self.fleet.count)} - {
            self.address
        }

    def gettimeout(self):
        return None

    def settimeout(self, timeout_s):
        pass

    def sendto(self, data, address):
        self.fleet.datagrams.append((self, f"{address[0]}:{address[1]}", data))
        if self.fleet.delivers_at_once:
            self.fleet.deliver()

    def spawn(self, name, func, *args, restart=None):
        """Run a delayed broadcast at once."""
        func(*(0.0 for _ in args))

    def step(self, now):
        """Read the servers if that is due, and send a heartbeat."""
        for watcher in (self.state._config_watcher, self.state._server_watcher):
            if now < self.read_after.get(watcher, 0.0) or not watcher.needs_read(now):
                continue
            is_waiting = watcher.is_reader and not watcher.unreachable
            if is_waiting and now - watcher._answered_at <= STEP_S:
                # Its read has waited at the store since the step before.
                watcher._answered_at = now
            with suppress(HistoryUnavailable, PlatformUnavailable):
                watcher.read_once()
            if watcher.unreachable:
                self.read_after[watcher] = now + self.read_delay_s
        self.peers.table.sweep(now)
        self.node._tick(now)
        self.peers.send()
        if not self.origins.is_loaded:
            self.origins.load(now)
        self.target_times.update(now)
        self.origins.track(now)
        self.origins.push(now)
        self.origins.persist(now)

    def places_on(self, server_id, now):
        """Tell whether a request may go to a server once all others have failed."""
        others = {*self.state.servers.servers} - {server_id}
        return self.place(now, others) == server_id

    def place(self, now, excluded=(), version=None, resumable=False):
        """Return the server chosen for a request; None if there is none."""
        placement = self.router.place(
            REQUEST, None, "svc", 0.2, set(excluded), now, b"", version, resumable
        )
        return placement.server.entry.server_id if placement is not None else None


class SimulatedFleet:
    """Run nodes and servers; all nodes exchange datagrams in each step."""

    def __init__(self, count, monkeypatch):
        self.now = 1000.0
        self.count = count
        self.store = SimulatedStore()
        self.datagrams = []
        # Datagrams arrive while their sender waits for the answers to them.
        self.delivers_at_once = False
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.store.write(TABLE_OPERATOR, KEY_CONFIG, CONFIG)
        self.nodes = [SimulatedNode(self, n, 1) for n in range(count)]

    def add_server(self, server_id, started_at_ms=1, weights=None, **changes):
        """Write a server's entry."""
        address = f"10.1.0.{ord(server_id)}:80"
        models = [{"name": "m", "version": weights}] if weights else []
        value = entry(address, born=started_at_ms, models=models, **changes)
        self.store.write(TABLE_SERVERS, server_id, value)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.now += STEP_S
        for node in self.nodes:
            if not node.frozen:
                node.step(self.now)
        self.deliver()

    def deliver(self):
        """Deliver the datagrams that were sent."""
        datagrams, self.datagrams = self.datagrams, []
        nodes = {node.address: node for node in self.nodes}
        for sender, address, data in datagrams:
            receiver = nodes[address]
            if not (sender.cut or receiver.cut or receiver.frozen):
                receiver.peers.apply_datagram(data, sender.address, self.now)
