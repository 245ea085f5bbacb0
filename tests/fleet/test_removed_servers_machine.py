"""No server that left gets a request, and none that runs is dropped, in any order."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from arbutusyard.platform.rows import TABLE_SERVERS
from tests.fleet.simulation import STEP_S, SimulatedFleet, SimulatedNode

NODES = 4
# Times of the platform's specification, in seconds: undisturbed time after which a node
# counts as in touch, time in which a leaving is noticed, time without a heartbeat after
# which an entry expires, and time in which entries are written again.
CONTACT_S = 3.0
DRAIN_S = 2.0
EXPIRY_S = 3.6
REWRITE_S = 2.0

NODE = st.integers(0, NODES - 1)
SERVER = st.sampled_from(["a", "b", "c"])
AWAY = st.sampled_from(["cut", "refused", "frozen"])


class ModelServer:
    """Hold what really happened to a server."""

    def __init__(self):
        self.started_at_ms = 1
        # Time of the acknowledged leaving; None while it stays.
        self.left_at = None
        # Time at which it writes its expired entry again; None if the entry is there.
        self.rewrite_at = None


# Guards against DRAIN: servers leave, with and without a report, while nodes lose the
# store, each other or both, freeze or start, and the store is away and loses entries.
class RemovedServers(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.fleet = SimulatedFleet(NODES, self.patch)
        self.model = {name: ModelServer() for name in ("a", "b", "c")}
        self.store_disturbed_at = 0.0
        self.down_since = None
        self.incarnation = 1
        for name in self.model:
            self.fleet.add_server(name)
        self._run(6.0)

    def teardown(self):
        self.patch.undo()

    def _run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._move_entries()
            self.fleet.step()
            for node in self.fleet.nodes:
                if node.cut or node.refused or node.frozen:
                    node.disturbed_at = self.fleet.now
            if self.fleet.store.down:
                self.store_disturbed_at = self.fleet.now
            self._check()

    def _move_entries(self):
        """Let entries expire while the store is away, and be written again."""
        now, store = self.fleet.now, self.fleet.store
        if self.down_since is not None and now - self.down_since >= EXPIRY_S:
            for name, server in self.model.items():
                if server.left_at is None:
                    store.write(TABLE_SERVERS, name, None)
                    server.rewrite_at = float("inf")
        for name, server in self.model.items():
            if server.rewrite_at is not None and now >= server.rewrite_at:
                self.fleet.add_server(name, server.started_at_ms)
                server.rewrite_at = None

    def _check(self):
        now = self.fleet.now
        calm = now - self.store_disturbed_at > CONTACT_S
        for node in self.fleet.nodes:
            in_touch = calm and now - node.disturbed_at > CONTACT_S
            for name, server in self.model.items():
                if server.left_at is None:
                    if in_touch:
                        assert node.places_on(name, now), (node.name, name)
                elif in_touch and now > server.left_at + DRAIN_S:
                    assert not node.places_on(name, now), (node.name, name)

    @rule(seconds=st.sampled_from([0.25, 1.0, 4.0, 12.0]))
    def time_passes(self, seconds):
        self._run(seconds)

    @rule(number=NODE, how=AWAY, delay_s=st.sampled_from([0.0, 2.0]))
    def node_is_away(self, number, how, delay_s):
        node = self.fleet.nodes[number]
        others = [n for n in self.fleet.nodes if n is not node]
        # One node always reads the store: without any, only the store knows.
        if any(not (n.cut or n.refused or n.frozen) for n in others):
            setattr(node, how, True)
            node.disturbed_at = self.fleet.now
            node.read_delay_s = delay_s

    @rule(number=NODE)
    def node_is_back(self, number):
        node = self.fleet.nodes[number]
        node.cut = node.refused = node.frozen = False

    @rule(
        number=NODE,
        how=AWAY,
        delay_s=st.sampled_from([0.0, 2.0]),
        name=SERVER,
        reports=st.booleans(),
        seconds=st.sampled_from([1.0, 4.0, 12.0]),
    )
    def node_misses_a_leaving(self, number, how, delay_s, name, reports, seconds):
        self.node_is_away(number, how, delay_s)
        self._run(1.0)
        if self.down_since is None:
            self.server_leaves(name, reports)
        self._run(seconds)
        self.node_is_back(number)
        self._run(5.0)

    @rule(number=NODE)
    def node_starts(self, number):
        self.incarnation += 1
        node = SimulatedNode(self.fleet, number, self.incarnation)
        node.disturbed_at = self.fleet.now
        self.fleet.nodes[number] = node

    @precondition(lambda self: self.down_since is None)
    @rule(name=SERVER, reports=st.booleans())
    def server_leaves(self, name, reports):
        server = self.model[name]
        stays = [s for s in self.model.values() if s.left_at is None]
        if server not in stays or len(stays) == 1 or server.rewrite_at is not None:
            return
        server.left_at = self.fleet.now
        if reports:
            changes = {"state": "draining", "sequence": 2}
            self.fleet.add_server(name, server.started_at_ms, **changes)
            self._run(2.0)
        self.fleet.store.write(TABLE_SERVERS, name, None)

    @precondition(lambda self: self.down_since is None)
    @rule(name=SERVER)
    def server_starts_again(self, name):
        server = self.model[name]
        if server.left_at is not None:
            server.started_at_ms += 1
            server.left_at = None
            self.fleet.add_server(name, server.started_at_ms)
            self.store_disturbed_at = self.fleet.now

    @precondition(lambda self: self.down_since is None)
    @rule()
    def store_goes_down(self):
        self.fleet.store.down = True
        self.down_since = self.store_disturbed_at = self.fleet.now

    @precondition(lambda self: self.down_since is not None)
    @rule(delays_s=st.lists(st.floats(0.0, REWRITE_S), min_size=3, max_size=3))
    def store_is_back(self, delays_s):
        self.fleet.store.down = False
        self.down_since = None
        for server, delay_s in zip(self.model.values(), delays_s, strict=True):
            if server.rewrite_at is not None:
                server.rewrite_at = self.fleet.now + delay_s

    @rule()
    def history_is_dropped(self):
        self.fleet.store.drop_history()


TestRemovedServers = RemovedServers.TestCase
TestRemovedServers.settings = settings(
    max_examples=100,
    stateful_step_count=25,
    # Shrinking a fleet takes minutes.
    phases=[Phase.explicit, Phase.generate],
)
