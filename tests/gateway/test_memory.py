"""The budget of clients' bytes: what it refuses, and whose connection it ends."""

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from arbutusyard.gateway.const import (
    CONNECTION_BYTES,
    SLOW_AFTER_S,
    SMALL_BODY_BYTES,
    SMALL_BODY_FRACTION,
)
from arbutusyard.gateway.memory import (
    MIB,
    EndReason,
    MemoryBudget,
    MemoryLimits,
    Phase,
    make_limits,
)
from arbutusyard.gateway.models import IngressLimits

ORDINARY_BYTES = 100_000
BODY_BYTES = IngressLimits().body_bytes


class ClientState(RuleBasedStateMachine):
    """Random clients; checks the sum, the bounds and which connections end."""

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(MemoryLimits(8 * MIB, 6))
        self.now = 0.0
        self.open = []
        self.ended = []

    def _end(self, holding, reason):
        # Guards against ending a request that a server may have.
        assert holding.phase is not Phase.SERVING or holding.blocked_since is not None
        self.open.remove(holding)
        self.ended.append((holding, reason))

    def pick(self, number):
        return self.open[number % len(self.open)]

    @rule(passed=st.floats(0, 5))
    def pass_time(self, passed):
        self.now += passed

    @rule()
    def connect(self):
        was_full = len(self.open) >= self.budget.limits.connections
        waited = any(h.waiting_since() is not None for h in self.open)
        holding = self.budget.open(lambda reason: None, self.now)
        if holding is None:
            assert was_full or self.budget.used > 7 * MIB
            assert not waited
            return
        holding.end = lambda reason: self._end(holding, reason)
        self.open.append(holding)

    @precondition(lambda self: self.open)
    @rule(number=st.integers(0, 9), size=st.sampled_from([1, 9_000, 65_536, 1_000_000]))
    def read_body(self, number, size):
        holding = self.pick(number)
        if holding.phase is Phase.SERVING or holding.body + size > BODY_BYTES:
            return
        self.budget.begin_request(holding, self.now)
        before, self.ended = self.budget.used, []
        reason = self.budget.add_body(holding, size, self.now)
        total = self.budget.limits.total_bytes
        if reason is EndReason.MEMORY:
            # Guards against refusals while the budget is not used up.
            assert before + size + 65_536 > SMALL_BODY_FRACTION * total
        if any(why is EndReason.MEMORY for _, why in self.ended):
            assert before + size + 65_536 > SMALL_BODY_FRACTION * total
        if reason is not None and holding in self.open:
            self.budget.close(holding)
            self.open.remove(holding)

    @precondition(lambda self: self.open)
    @rule(number=st.integers(0, 9))
    def serve(self, number):
        holding = self.pick(number)
        if holding.phase is Phase.READING:
            self.budget.begin_serving(holding)

    @precondition(lambda self: self.open)
    @rule(number=st.integers(0, 9), size=st.integers(0, 2 * MIB), blocked=st.booleans())
    def answer(self, number, size, blocked):
        holding = self.pick(number)
        if holding.phase is not Phase.SERVING or holding.blocked_since is not None:
            return
        self.budget.set_answer(holding, size, self.now)
        self.budget.set_blocked(holding, blocked, self.now)

    @precondition(lambda self: self.open)
    @rule(number=st.integers(0, 9), pipelined=st.integers(0, 65_536))
    def finish(self, number, pipelined):
        holding = self.pick(number)
        if holding.phase is Phase.SERVING:
            self.budget.set_blocked(holding, False, self.now)
            self.budget.wait_for_request(holding, pipelined, self.now)

    @precondition(lambda self: self.open)
    @rule(number=st.integers(0, 9))
    def disconnect(self, number):
        holding = self.pick(number)
        self.budget.close(holding)
        self.budget.close(holding)
        self.open.remove(holding)

    @invariant()
    def counts_what_is_held(self):
        assert self.budget.used == sum(holding.size for holding in self.open)
        assert self.budget.connections == len(self.open) <= 6

    @invariant()
    def bodies_stay_within_the_budget(self):
        # Answers are already held when they are charged.
        other = sum(h.size for h in self.open if h.answer or h.blocked_since)
        assert self.budget.used - other <= self.budget.limits.total_bytes


TestClients = ClientState.TestCase


def fill(budget, count, size, now):
    holdings = []
    for _ in range(count):
        holding = budget.open(lambda reason: None, now)
        budget.begin_request(holding, now)
        assert budget.add_body(holding, size, now) is None
        holdings.append(holding)
    return holdings


def test_the_oldest_and_largest_unfinished_body_ends_before_ordinary_ones():
    budget = MemoryBudget(MemoryLimits(16 * MIB, 100))
    ordinary = fill(budget, 20, ORDINARY_BYTES, 0.0)
    oldest, younger = fill(budget, 1, BODY_BYTES, 1.0) + fill(budget, 1, BODY_BYTES, 2)
    fill(budget, 1, BODY_BYTES, 2.5)
    assert oldest.ended is EndReason.MEMORY
    assert younger.ended is None
    assert all(holding.ended is None for holding in ordinary)


def test_young_ordinary_bodies_do_not_end_each_other():
    budget = MemoryBudget(MemoryLimits(8 * MIB, 100))
    ordinary = fill(budget, 42, ORDINARY_BYTES, 0.0)
    late = budget.open(lambda reason: None, 1.0)
    budget.begin_request(late, 1.0)
    refused = None
    while refused is None:
        refused = budget.add_body(late, 50_000, 1.0)
    assert refused is EndReason.MEMORY
    assert all(holding.ended is None for holding in ordinary)


def test_large_bodies_leave_a_part_of_the_budget_to_ordinary_ones():
    # Guards against large bodies at slow servers that keep ordinary clients out.
    budget = MemoryBudget(MemoryLimits(16 * MIB, 100))
    for _ in range(3):
        holding = budget.open(lambda reason: None, 0.0)
        budget.begin_request(holding, 0.0)
        refused = budget.add_body(holding, BODY_BYTES, 0.0)
        budget.begin_serving(holding) if refused is None else budget.close(holding)
    assert refused is EndReason.MEMORY
    fill(budget, 20, ORDINARY_BYTES, 0.1)


@pytest.mark.parametrize(("pressed", "ended"), [(False, None), (True, "slow_body")])
def test_a_slow_body_ends_under_pressure_only(pressed, ended):
    budget = MemoryBudget(MemoryLimits(16 * MIB, 100))
    (slow,) = fill(budget, 1, 1000, 0.0)
    now = SLOW_AFTER_S + 1
    if pressed:
        fill(budget, 2, BODY_BYTES, now)
    fill(budget, 2, ORDINARY_BYTES, now + 1)
    assert (slow.ended and slow.ended.value) == ended


@pytest.mark.parametrize(("goes_on", "ended"), [(True, None), (False, "slow_reader")])
def test_a_reader_that_takes_nothing_ends_under_pressure(goes_on, ended):
    budget = MemoryBudget(MemoryLimits(16 * MIB, 100))
    (reader,) = fill(budget, 1, 1000, 0.0)
    budget.begin_serving(reader)
    budget.set_blocked(reader, True, 1.0)
    if goes_on:
        budget.set_blocked(reader, True, 3.0)
    fill(budget, 2, BODY_BYTES, 4.5)
    fill(budget, 1, ORDINARY_BYTES, 5.0)
    assert (reader.ended and reader.ended.value) == ended


def test_the_longest_waiting_connection_makes_room_for_a_new_one():
    budget = MemoryBudget(MemoryLimits(16 * MIB, 3))
    serving, idle, later = (budget.open(lambda reason: None, n) for n in range(3))
    budget.begin_request(serving, 0.0)
    budget.begin_serving(serving)
    assert budget.open(lambda reason: None, 4.0) is not None
    assert idle.ended is EndReason.CONNECTIONS
    assert serving.ended is later.ended is None


@pytest.mark.parametrize("memory_mb", [1, 64, 128, 152, 552])
def test_each_vm_serves_one_body_of_maximum_size(memory_mb):
    limits = make_limits(memory_mb, 1024)
    assert limits.connections == 424
    assert limits.total_bytes <= max(8, memory_mb - 43) * MIB
    fill(MemoryBudget(limits), 1, BODY_BYTES, 0.0)
    assert 0.25 * limits.total_bytes > SMALL_BODY_BYTES + CONNECTION_BYTES
