"""Two owners compete for a lease through pauses, store failures and rollbacks."""

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
    """At most one owner holds a valid lease at a time."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.now = 0.0
        self.leases = [
            Lease(self.platform, "g", f"owner{n}", lambda: self.now) for n in range(2)
        ]
        self.in_flight = []
        self.engine_token = 0
        self.token_decreased = False

    @rule(owner=OWNERS, faults=FAULTS)
    def refresh(self, owner, faults):
        self.platform.faults = list(faults)
        self.leases[owner].refresh()
        self.platform.faults = []

    @rule(owner=OWNERS, delay_s=st.floats(0, DELIVERY_MAX_S))
    def send_order(self, owner, delay_s):
        lease = self.leases[owner]
        if lease.valid(self.now):
            self.in_flight.append((self.now + delay_s, lease.fence))

    @rule(seconds=st.sampled_from([0.2, 0.7, 1.6, 3.1, 4.4]))
    def pass_time(self, seconds):
        until = self.now + seconds
        for due, token in sorted(self.in_flight):
            if due <= until:
                self.token_decreased |= token < self.engine_token
                self.engine_token = max(self.engine_token, token)
        self.in_flight = [order for order in self.in_flight if order[0] > until]
        self.now = until

    @rule()
    def apply_late_writes(self):
        self.platform.deliver()

    @rule(writes=st.integers(0, 4))
    def restore_snapshot(self, writes):
        self.platform.restore_snapshot(writes)

    @invariant()
    def at_most_one_holder(self):
        assert sum(lease.valid(self.now) for lease in self.leases) <= 1


class OrderMachine(LeaseMachine):
    """Orders never arrive after orders with a greater token."""

    @invariant()
    def tokens_never_decrease(self):
        assert not self.token_decreased


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(max_examples=400, stateful_step_count=30)
TestOrders = OrderMachine.TestCase
TestOrders.settings = settings(max_examples=400, stateful_step_count=30)


def test_lease_is_taken_over_after_its_holder_stops_renewing():
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
def test_holder_loses_lease_by_its_own_clock_while_the_table_is_unavailable(fault):
    platform, now = FakePlatform(), [0.0]
    lease = Lease(platform, "g", "a", lambda: now[0])
    lease.refresh()
    now[0] = LEASE_S
    platform.faults = [fault]
    lease.refresh()
    assert not lease.valid(now[0])


def leases(platform, now, *owners, unique_owner=False):
    return [
        Lease(platform, "g", owner, lambda: now[0], unique_owner=unique_owner)
        for owner in owners
    ]


def test_lease_missing_after_a_store_rollback_is_taken_over_only_once_expired():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b")
    first.refresh()
    granted_token = first.fence
    platform.restore_snapshot(1)
    now[0] = 0.5
    second.refresh()
    assert not second.valid(now[0])
    now[0] += LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    assert second.valid(now[0])
    assert second.fence > granted_token


def test_holder_keeps_its_lease_with_a_greater_token_after_a_store_rollback():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b")
    first.refresh()
    granted_token = first.fence
    platform.restore_snapshot(1)
    now[0] = 1.0
    first.refresh()
    second.refresh()
    assert first.valid(now[0])
    assert not second.valid(now[0])
    assert first.fence > granted_token


def test_restarted_holder_does_not_trust_its_own_row_after_a_store_rollback():
    platform, now = FakePlatform(), [0.0]
    first, second = leases(platform, now, "a", "b", unique_owner=True)
    first.refresh()
    now[0] = LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    now[0] += LEASE_S + DELIVERY_MAX_S + 0.1
    second.refresh()
    assert second.valid(now[0])
    # The snapshot dates from the time when the first owner held the lease.
    platform.restore_snapshot(2)
    (restarted,) = leases(platform, now, "a", unique_owner=True)
    restarted.refresh()
    assert not restarted.valid(now[0])
