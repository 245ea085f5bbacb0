"""Operators race to change the configuration; nodes follow it; the platform fails."""

import contextlib

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.config.coordinator import ConfigCoordinator
from arbutusyard.config.exceptions import (
    ChangeUnsettled,
    ConfigError,
    ConfigUnavailable,
    RevisionConflict,
)
from arbutusyard.config.models import Account, Workload
from arbutusyard.config.store import Change, ConfigStore
from arbutusyard.platform.exceptions import PlatformError
from tests.fakes import FakePlatform, Fault

FAULTS = st.lists(st.sampled_from([Fault.NONE] * 8 + list(Fault)), max_size=10)
NODES = 3
NAMES = st.sampled_from(["quetzal", "venture"])


def workload(name, limit):
    return Workload(
        name=name,
        region="r",
        recompute_price=1.0,
        default_class="c",
        models=(),
        classes=(),
        accounts=(Account("a", "h", limit, 1), Account("b", "i", 1, 1)),
        services=(),
    )


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.store = ConfigStore(self.platform, lambda _: None)
        self.nodes = [ConfigCoordinator(self.store) for _ in range(NODES)]
        self.last_revisions = [0] * NODES
        self.accepted = set()
        self.refused = set()
        self.changes = 0

    @rule(name=NAMES, limit=st.integers(1, 9), faults=FAULTS, stale=st.booleans())
    def apply(self, name, limit, faults, stale):
        self.changes += 1
        change_id = f"change{self.changes}"
        base = 0 if stale else None
        change = Change(change_id, "o", workload(name, limit), "text", 0.0, base)
        self.platform.faults = list(faults)
        try:
            self.store.apply(change)
            self.accepted.add(change_id)
        except (RevisionConflict, ConfigUnavailable):
            self.refused.add(change_id)
        except ChangeUnsettled:
            pass
        finally:
            self.platform.faults = []

    @rule()
    def apply_late_writes(self):
        self.platform.deliver()

    @rule(node=st.integers(0, NODES - 1), faults=FAULTS)
    def poll(self, node, faults):
        self.platform.faults = list(faults)
        coordinator = self.nodes[node]
        with contextlib.suppress(PlatformError, ConfigError):
            coordinator.apply_if_newer(self.store.read_since(coordinator.current))
        self.platform.faults = []

    @rule(node=st.integers(0, NODES - 1), peer=st.integers(0, NODES - 1))
    def pull(self, node, peer):
        puller, answerer = self.nodes[node], self.nodes[peer]
        deltas = answerer.deltas_since(puller.current.revision)
        if deltas:
            puller.apply_deltas(deltas)
        else:
            puller.apply_if_newer(answerer.current)
        assert puller.current.revision >= answerer.current.revision

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node] = ConfigCoordinator(self.store)
        self.last_revisions[node] = 0

    @invariant()
    def node_revisions_never_decrease(self):
        for number, node in enumerate(self.nodes):
            assert node.current.revision >= self.last_revisions[number]
            self.last_revisions[number] = node.current.revision

    @invariant()
    def history_contains_accepted_changes_and_no_refused_ones(self):
        history = [entry.change_id for entry in self.store.history()]
        assert len(history) == len(set(history))
        assert self.accepted <= set(history)
        assert not self.refused & set(history)

    @invariant()
    def nodes_at_one_revision_have_equal_configurations(self):
        by_revision = {}
        for node in self.nodes:
            data = msgspec.msgpack.encode(node.current)
            assert by_revision.setdefault(node.current.revision, data) == data

    def teardown(self):
        self.platform.deliver()
        for node in self.nodes:
            node.apply_if_newer(self.store.read_since(node.current))
            assert node.current == self.store.read()


TestConfig = ConfigMachine.TestCase
TestConfig.settings = settings(max_examples=150, stateful_step_count=25)
