"""No node allows superseded weights beyond their bound, whatever comes late."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from arbutusyard.platform.rows import TABLE_OPERATOR
from tests.fleet.simulation import STEP_S, SimulatedFleet, SimulatedNode

NODES = 4
# Undisturbed time after which a node counts as in touch, in seconds.
CONTACT_S = 3.0
# Time for which the simulated nodes allow superseded weights, in seconds.
SUPERSEDED_MAX_S = 6.5
# Error of a node's time, in seconds: less than the margin of 0.75 s before the bound,
# and more than a step of the simulation.
TOLERANCE_S = 0.5

# Time within which nodes that rely on readers learn of a target while those cannot read
# the store, in seconds: their heartbeats time out, and other nodes read.
LEARNED_WITHIN_S = 3.0

NODE = st.integers(0, NODES - 1)
AWAY = st.sampled_from(["cut", "refused", "frozen"])


class BufferingFleet(SimulatedFleet):
    """Keep datagrams for nodes whose processes do not run."""

    def __init__(self, count, monkeypatch):
        super().__init__(count, monkeypatch)
        self.waiting = []

    def deliver(self):
        """Deliver what was sent to nodes that run."""
        sent, self.datagrams = self.waiting + self.datagrams, []
        nodes = {node.address: node for node in self.nodes}
        self.waiting = [item for item in sent if nodes[item[1]].frozen]
        self.datagrams = [item for item in sent if not nodes[item[1]].frozen]
        super().deliver()


# Guards against VERSION: targets are set one after another while nodes lose the store
# or each other, freeze, or start, alone or all at once, so that they learn of the
# targets late and in any order.
class Targets(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.fleet = BufferingFleet(NODES, self.patch)
        self.set_at = {}
        self.incarnation = 1
        # Last time at which a link, and at which anything, was disturbed.
        self.link_disturbed_at = self.disturbed_at = 0.0
        self._set_target(0)
        self._run(8.0)

    def teardown(self):
        self.patch.undo()

    def _run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.fleet.step()
            now = self.fleet.now
            for node in self.fleet.nodes:
                if node.cut or node.refused:
                    self.link_disturbed_at = now
                if node.cut or node.refused or node.frozen:
                    node.disturbed_at = self.disturbed_at = now
            self._check()

    def _check(self):
        now = self.fleet.now
        for node in self.fleet.nodes:
            if now - node.disturbed_at <= CONTACT_S:
                continue
            for version, begin_by in self._bounds(node).items():
                set_at = self._superseded_at(version)
                since = max(set_at, self.link_disturbed_at)
                latest = since + SUPERSEDED_MAX_S + TOLERANCE_S
                late_s = begin_by - latest
                assert begin_by < now or late_s <= 0, (node.name, version, late_s)
                if self.disturbed_at + CONTACT_S < set_at:
                    earliest = set_at + SUPERSEDED_MAX_S - TOLERANCE_S
                    assert begin_by >= earliest, (node.name, version)
            newest = max(self.set_at)
            assert node.router.outdated.begin_by("m", newest) == float("inf")

    def _bounds(self, node):
        """Return by when requests must begin on each superseded version."""
        now = self.fleet.now
        return {
            version: node.router.outdated.begin_by("m", version)
            for version in range(1, max(self.set_at))
            if now - self._superseded_at(version) > LEARNED_WITHIN_S
        }

    def _superseded_at(self, version):
        return min(at for target, at in self.set_at.items() if target > version)

    def _set_target(self, step):
        version = max(self.set_at, default=1) + step
        self.set_at[version] = self.fleet.now
        row = {"model": "m", "version": version}
        self.fleet.store.write(TABLE_OPERATOR, "version/m", row)
        for node in self.fleet.nodes:
            watcher = node.state._config_watcher
            if node.frozen and node.reaches_store and watcher.started:
                # The store answers a waiting read at once.
                node.state._client.hold_answer(TABLE_OPERATOR, watcher._version)

    @rule(seconds=st.sampled_from([0.25, 1.0, 4.0, 12.0]))
    def time_passes(self, seconds):
        self._run(seconds)

    @rule(steps=st.lists(st.integers(1, 2), min_size=1, max_size=3))
    def targets_are_set(self, steps):
        for step in steps:
            self._set_target(step)
            self._run(1.0)

    @rule(number=NODE, how=AWAY)
    def node_is_away(self, number, how):
        node = self.fleet.nodes[number]
        others = [n for n in self.fleet.nodes if n is not node]
        # One node always reads the store: without any, only the store knows.
        if any(not (n.cut or n.refused or n.frozen) for n in others):
            setattr(node, how, True)

    @rule(number=NODE)
    def node_is_back(self, number):
        node = self.fleet.nodes[number]
        node.cut = node.refused = node.frozen = False

    @rule(number=NODE, how=AWAY, steps=st.lists(st.integers(1, 2), max_size=3))
    def node_misses_targets(self, number, how, steps):
        self.node_is_away(number, how)
        self._run(1.5)
        self.targets_are_set(steps)
        self.node_is_back(number)
        self._run(5.0)

    @rule(number=NODE)
    def node_starts(self, number):
        self._start([number])

    @rule(lag_s=st.sampled_from([0.0, 1.5]), seconds=st.sampled_from([0.25, 5.0]))
    def all_nodes_start(self, lag_s, seconds):
        """Start all nodes, whose first answers from the store come late."""
        self._start(range(NODES))
        for node in self.fleet.nodes:
            node.state._client.clock_lag_s = lag_s
        self._run(0.5)
        for node in self.fleet.nodes:
            node.state._client.clock_lag_s = 0.0
        self._run(seconds)

    def _start(self, numbers):
        self.incarnation += 1
        for number in numbers:
            node = SimulatedNode(self.fleet, number, self.incarnation)
            node.disturbed_at = self.disturbed_at = self.fleet.now
            self.fleet.nodes[number] = node


TestTargets = Targets.TestCase
TestTargets.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    # Shrinking a fleet takes minutes.
    phases=[Phase.explicit, Phase.generate],
)
