"""Drive two would-be owners of a lease through pauses, drift and failures."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.control.const import DELIVERY_MAX_S, LEASE_S
from arbutusyard.control.leases import Lease
from tests.fakes import FakePlatform, Fault

FAULTS = st.lists(st.sampled_from([Fault.NONE] * 6 + list(Fault)), max_size=2)
OWNERS = st.integers(0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """What a valid holder sends never arrives after its successor's orders."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.now = 0.0
        self.leases = [
            Lease(self.platform, "g", f"owner{n}", lambda: self.now) for n in range(2)
        ]
        self.flying = []
        self.engine = 0
        self.went_back = False

    @rule(owner=OWNERS, faults=FAULTS)
    def refresh(self, owner, faults):
        self.platform.faults = list(faults)
        self.leases[owner].refresh()
        self.platform.faults = []

    @rule(owner=OWNERS, delay_s=st.floats(0, DELIVERY_MAX_S))
    def send(self, owner, delay_s):
        lease = self.leases[owner]
        if lease.valid(self.now):
            self.flying.append((self.now + delay_s, lease.fence))

    @rule(seconds=st.sampled_from([0.2, 0.7, 1.6, 3.1, 4.4]))
    def pass_time(self, seconds):
        until = self.now + seconds
        for due, fence in sorted(self.flying):
            if due <= until:
                self.went_back |= fence < self.engine
                self.engine = max(self.engine, fence)
        self.flying = [order for order in self.flying if order[0] > until]
        self.now = until

    @rule()
    def deliver_late_writes(self):
        self.platform.deliver()

    @rule(writes=st.integers(0, 4))
    def return_from_an_older_copy(self, writes):
        self.platform.go_back(writes)

    @invariant()
    def one_holder_and_no_order_goes_back(self):
        assert sum(lease.valid(self.now) for lease in self.leases) <= 1
        assert not self.went_back


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(max_examples=400, stateful_step_count=30)


def test_lease_is_taken_over_after_its_holder_is_gone():
    platform, now = FakePlatform(), [0.0]
    first, second = (Lease(platform, "g", name, lambda: now[0]) for name in "ab")
    first.refresh()
    second.refresh()
    assert first.valid(now[0])
    assert not second.valid(now[0])
    now[0] = LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    assert second.valid(now[0])
    assert second.fence == first.fence + 1
    assert not first.valid(now[0])


@pytest.mark.parametrize("fault", [Fault.DOWN, Fault.LOST])
def test_holder_gives_up_by_its_own_clock_when_the_table_is_down(fault):
    platform, now = FakePlatform(), [0.0]
    lease = Lease(platform, "g", "a", lambda: now[0])
    lease.refresh()
    now[0] = LEASE_S
    platform.faults = [fault]
    lease.refresh()
    assert not lease.valid(now[0])


def leases(platform, now, *owners, sole=False):
    return [Lease(platform, "g", owner, lambda: now[0], sole=sole) for owner in owners]


def test_a_row_that_an_older_copy_lacks_is_waited_for_as_long_as_its_lease():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b")
    first.refresh()
    granted = first.fence
    platform.go_back(1)
    now[0] = 0.5
    second.refresh()
    assert not second.valid(now[0])
    now[0] += LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    assert second.valid(now[0])
    assert second.fence > granted


def test_a_holder_whose_renewal_is_lost_goes_on_with_a_greater_number():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b")
    first.refresh()
    granted = first.fence
    platform.go_back(1)
    now[0] = 1.0
    first.refresh()
    second.refresh()
    assert first.valid(now[0])
    assert not second.valid(now[0])
    assert first.fence > granted


def test_a_restarted_holder_does_not_take_an_older_copys_word_that_it_holds():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b", sole=True)
    first.refresh()
    now[0] = LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    now[0] += LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    assert second.valid(now[0])
    # The copy is of the time when the first one held the lease.
    platform.go_back(2)
    (again,) = leases(platform, now, "a", sole=True)
    again.refresh()
    assert not again.valid(now[0])
