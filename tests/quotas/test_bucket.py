"""A charge that is taken back leaves a bucket as if it had never been made."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.quotas.bucket import Bucket

STEPS = st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 40.0)), max_size=30)


# Guards against refunds of what the bucket has lost since, as it was full.
@given(STEPS, STEPS, st.floats(0.1, 40.0))
def test_a_refund_restores_what_has_not_flowed_over(before, after, cost):
    refunded, other = Bucket(0.0, 10.0, 30.0), Bucket(0.0, 10.0, 30.0)
    now = 0.0

    def advance(steps):
        nonlocal now
        for pause_s, charged in steps:
            now += pause_s
            for bucket in (refunded, other):
                bucket.settle(now)
                bucket.charge(charged)

    advance(before)
    for bucket in (refunded, other):
        bucket.settle(now)
    refunded.charge(cost)
    charged_at = now
    now += 0.1
    advance(after)
    refunded.refund(cost, charged_at, now)
    other.settle(now)
    if now - charged_at <= 10.0:
        assert refunded.level == pytest.approx(other.level)
    assert refunded.level <= other.level + 1e-6
