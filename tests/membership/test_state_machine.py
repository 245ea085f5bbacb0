"""Records exchanged between nodes under partitions, suspicion, changes and restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.membership.const import SUSPECT_TIMEOUT_S
from arbutusyard.membership.models import Member, Status
from arbutusyard.membership.table import MemberTable

NODE_COUNT = 4
NODE_INDEX = st.integers(0, NODE_COUNT - 1)
RECORDS_PER_DATAGRAM = 3


def record(number, incarnation):
    name = f"c{number}"
    return Member(name, incarnation, 0, Status.ALIVE, name, name, "r", f"d{number}")


class MembershipMachine(RuleBasedStateMachine):
    """Nodes that agree again once they are connected and exchange records."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnations = [1] * NODE_COUNT
        self.tables = [MemberTable(record(n, 1)) for n in range(NODE_COUNT)]
        self.partitioned = set()
        self.highest_precedence = {}
        for sender in range(NODE_COUNT):
            for receiver in range(NODE_COUNT):
                self.transmit(sender, receiver)

    def transmit(self, sender, receiver):
        if sender == receiver or (sender in self.partitioned) != (
            receiver in self.partitioned
        ):
            return
        table = self.tables[sender]
        records = table.updates(RECORDS_PER_DATAGRAM)
        table.count_sent(records)
        for member_record in records:
            self.tables[receiver].merge(member_record, self.now)

    @rule(sender=NODE_INDEX, receiver=NODE_INDEX)
    def send(self, sender, receiver):
        self.transmit(sender, receiver)

    @rule(node=NODE_INDEX)
    def partition_or_heal(self, node):
        self.partitioned ^= {node}

    @rule(node=NODE_INDEX, other=NODE_INDEX)
    def suspect(self, node, other):
        self.tables[node].suspect(f"c{other}", self.now)

    @rule(node=NODE_INDEX, revision=st.integers(1, 9))
    def change(self, node, revision):
        me = self.tables[node].me
        self.tables[node].update_me(revision=max(me.revision, revision))

    @rule(node=NODE_INDEX)
    def restart(self, node):
        known = self.tables[node].me.incarnation
        self.incarnations[node] = max(self.incarnations[node], known) + 1
        self.tables[node] = MemberTable(record(node, self.incarnations[node]))

    @rule(seconds=st.sampled_from([0.5, SUSPECT_TIMEOUT_S + 0.1]))
    def pass_time(self, seconds):
        self.now += seconds
        for table in self.tables:
            table.sweep(self.now)

    @invariant()
    def node_always_lists_itself_as_alive(self):
        for number, table in enumerate(self.tables):
            assert table.me.name == f"c{number}"
            assert table.me.status is Status.ALIVE
            assert table.me in table.usable()

    @invariant()
    def records_only_become_newer(self):
        for number, table in enumerate(self.tables):
            for name, member_record in table.members.items():
                key = (number, table.me.incarnation, name)
                assert member_record.precedence() >= self.highest_precedence.get(
                    key, (0, 0, 0)
                )
                self.highest_precedence[key] = member_record.precedence()

    def teardown(self):
        self.partitioned.clear()
        for _ in range(6 * NODE_COUNT):
            for sender in range(NODE_COUNT):
                for receiver in range(NODE_COUNT):
                    self.transmit(sender, receiver)
        for table in self.tables:
            names = {member.name for member in table.usable()}
            assert names == {f"c{n}" for n in range(NODE_COUNT)}
            for number, other in enumerate(self.tables):
                if other is not table:
                    assert table.members[f"c{number}"] == other.me


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=150, stateful_step_count=30)
