"""Exchange records between nodes under loss, cuts, suspicion, restarts and leaving."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.membership.const import SUSPECT_TIMEOUT_S
from arbutusyard.membership.models import Member, Status
from arbutusyard.membership.table import MemberTable

NODES = 4
NODE = st.integers(0, NODES - 1)
RECORDS_A_DATAGRAM = 3


def record(number, incarnation):
    name = f"c{number}"
    return Member(name, incarnation, 0, Status.ALIVE, name, name, "r", f"d{number}")


class MembershipMachine(RuleBasedStateMachine):
    """Whatever was lost, connected nodes agree again once they exchange records."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = [1] * NODES
        self.tables = [MemberTable(record(n, 1)) for n in range(NODES)]
        self.cut = set()
        self.newest = {}
        for sender in range(NODES):
            for receiver in range(NODES):
                self.pass_on(sender, receiver)

    def pass_on(self, sender, receiver):
        if sender == receiver or (sender in self.cut) != (receiver in self.cut):
            return
        table = self.tables[sender]
        records = table.updates(RECORDS_A_DATAGRAM)
        table.count_sent(records)
        for item in records:
            self.tables[receiver].merge(item, self.now)

    @rule(sender=NODE, receiver=NODE)
    def send(self, sender, receiver):
        self.pass_on(sender, receiver)

    @rule(node=NODE)
    def cut_or_heal(self, node):
        self.cut ^= {node}

    @rule(node=NODE, other=NODE)
    def suspect(self, node, other):
        self.tables[node].suspect(f"c{other}", self.now)

    @rule(node=NODE, revision=st.integers(1, 9))
    def change(self, node, revision):
        me = self.tables[node].me
        self.tables[node].update_me(revision=max(me.revision, revision))

    @rule(node=NODE)
    def restart(self, node):
        known = self.tables[node].me.incarnation
        self.starts[node] = max(self.starts[node], known) + 1
        self.tables[node] = MemberTable(record(node, self.starts[node]))

    @rule(seconds=st.sampled_from([0.5, SUSPECT_TIMEOUT_S + 0.1]))
    def pass_time(self, seconds):
        self.now += seconds
        for table in self.tables:
            table.sweep(self.now)

    @invariant()
    def a_node_never_loses_itself(self):
        for number, table in enumerate(self.tables):
            assert table.me.name == f"c{number}"
            assert table.me.status is Status.ALIVE
            assert table.me in table.usable()

    @invariant()
    def records_only_become_newer(self):
        for number, table in enumerate(self.tables):
            for name, item in table.members.items():
                key = (number, table.me.incarnation, name)
                assert item.order() >= self.newest.get(key, (0, 0, 0))
                self.newest[key] = item.order()

    def teardown(self):
        self.cut.clear()
        for _ in range(6 * NODES):
            for sender in range(NODES):
                for receiver in range(NODES):
                    self.pass_on(sender, receiver)
        for table in self.tables:
            names = {member.name for member in table.usable()}
            assert names == {f"c{n}" for n in range(NODES)}
            for number, other in enumerate(self.tables):
                if other is not table:
                    assert table.members[f"c{number}"] == other.me


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=150, stateful_step_count=30)
