"""Decisions on extra attempts, without network."""

from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.gateway.hedging import (
    ALLOWANCE_MAX,
    REJECTION_PAUSE_S,
    SAMPLES_MIN,
    WINDOW_S,
    HedgePolicy,
    HedgeRefusal,
    best_delay_s,
    has_spare_capacity,
)

# Nine in ten responses are fast.
UNEVEN = [0.1 + n / 1000 for n in range(45)] + [1.0] * 5


def policy_with(times, fraction=0.1, now=0.0, requests=100):
    policy = HedgePolicy(fraction)
    for _ in range(requests):
        policy.count_request("s")
    for time_s in times:
        policy.record_answer("r", "s", time_s, now)
    return policy


def test_the_delay_is_just_after_the_fast_responses():
    assert 0.12 <= policy_with(UNEVEN).delay_s("r", "s", 0.0) <= 0.15


@given(st.lists(st.floats(0.4, 0.6), max_size=200), st.floats(0.01, 0.2))
def test_even_or_few_response_times_start_no_extra_attempt(times, fraction):
    """A new attempt takes longer than the first one still needs."""
    assert best_delay_s(times, fraction) is None
    assert best_delay_s(UNEVEN[-SAMPLES_MIN + 1 :], fraction) is None


def test_responses_within_milliseconds_start_no_extra_attempt():
    """Each one costs a connection, which takes longer than what it saves."""
    assert best_delay_s([time_s / 100 for time_s in UNEVEN], 0.1) is None


def test_hedging_is_off_by_default_and_old_responses_do_not_count():
    assert policy_with(UNEVEN, fraction=0.0).delay_s("r", "s", 0.0) is None
    policy = policy_with(UNEVEN)
    assert policy.delay_s("r", "s", WINDOW_S + 1) is None
    assert policy.delay_s("r", "other", 0.0) is None


def test_cancelled_attempts_keep_the_slow_responses_in_the_estimate():
    """Without them hedging would switch itself off: its slow attempts are cancelled."""
    policy = policy_with(UNEVEN)
    for now in range(1, 200):
        slow = now % 10 == 0
        record = policy.record_cancelled if slow else policy.record_answer
        record("r", "s", 0.15 if slow else 0.1 + now % 9 / 200, now / 10)
    assert policy.delay_s("r", "s", 20.0) is not None


@given(
    st.floats(0.0, 0.2),
    st.lists(
        st.tuples(st.booleans(), st.integers(1, 3), st.floats(0, 5)), max_size=200
    ),
)
def test_extra_attempts_keep_to_their_fraction_and_to_max_attempts(fraction, steps):
    policy = HedgePolicy(fraction)
    requests = started = 0
    for is_request, max_attempts, now in steps:
        if is_request:
            policy.count_request("s")
            requests += 1
        elif policy.refusal("s", 1, max_attempts, now) is None:
            assert max_attempts > 1
            policy.count_started("s")
            started += 1
        assert started <= fraction * requests + 1e-9
    for _ in range(1000):
        policy.count_request("s")
    assert policy._allowances["s"] <= ALLOWANCE_MAX


def test_no_extra_attempt_starts_just_after_a_rejection():
    policy = policy_with(UNEVEN)
    policy.record_rejection("s", 5.0)
    assert policy.refusal("s", 1, 2, 5.0) is HedgeRefusal.CAPACITY
    assert policy.refusal("s", 1, 2, 5.0 + REJECTION_PAUSE_S) is None


def test_a_server_that_takes_as_long_as_the_first_one_is_not_sooner():
    policy = policy_with(UNEVEN)
    assert policy.is_sooner("r", "s", 0.15, 2.0, 0.2, 0.0)
    assert not policy.is_sooner("r", "s", 0.15, 2.0, 0.9, 0.0)
    assert not policy.is_sooner("r", "s", 0.15, 0.1, 0.2, 0.0)
    assert not policy.is_sooner("r", "s", 5.0, 9.0, 0.2, 0.0)


@given(st.lists(st.tuples(st.integers(0, 20), st.integers(1, 20)), min_size=1))
def test_capacity_is_spare_only_while_half_of_the_slots_are_free(loads):
    spare = has_spare_capacity(*loads[0], loads)
    half_free = 2 * sum(n for n, _ in loads) < sum(slots for _, slots in loads)
    assert spare is (half_free and loads[0][0] < loads[0][1])
