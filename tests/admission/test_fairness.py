"""Test who is served while nodes with admission under load have too much to do."""

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from tests.admission.simulation import Fleet

VALUES = {("long", "on_time"): 2.6, ("long", "late"): 1.2}
VALUES |= {("short", "on_time"): 2.3, ("short", "late"): 0.27}
USUAL = {("long", 0): 66, ("short", 0): 347}


def value(fleet):
    return sum(VALUES.get((call.name, call.outcome), 0.0) for call in fleet.calls)


def fraction(calls):
    """Return the fraction of calls that got a response."""
    return sum(call.outcome != "unserved" for call in calls) / max(1, len(calls))


@pytest.mark.parametrize("long_s, short_s", [(300, 2000), (450, 1500)])
def test_engines_refuse_little_and_more_is_served_on_time_than_without(long_s, short_s):
    # Nodes that act on late reports send to the same engines, which refuse half.
    high = {("long", 0): long_s, ("short", 0): short_s}
    fleets = [
        Fleet(controlled).play((0.5, 0, USUAL), (3.0, 28, high), (2.0, 0, USUAL))
        for controlled in (False, True)
    ]
    without, controlled = fleets
    assert without.refused > 0.2 * without.attempts
    assert controlled.refused < 0.03 * controlled.attempts
    assert value(controlled) > 1.05 * value(without)


# Shrinking a failure would take minutes, as each example plays seconds of load.
@settings(max_examples=12, deadline=None, phases=[Phase.explicit, Phase.generate])
@example(long_s=41, short_s=362, hot="long", loading=4, seed=1)
@given(
    long_s=st.integers(5, 100),
    short_s=st.integers(20, 900),
    hot=st.sampled_from(["long", "short"]),
    loading=st.integers(0, 4),
    seed=st.integers(0, 1000),
)
def test_no_class_size_or_account_starves(long_s, short_s, hot, loading, seed):
    # Strict priority, or bounds that only small prompts meet, starve the others.
    rates = {("long", 1): long_s / 2, ("short", 1): short_s / 2}
    rates |= {("long", 2): long_s / 2, ("short", 2): short_s / 2}
    rates[hot, 1] *= 3
    fleet = Fleet(True, nodes=8, engines=10, seed=seed)
    # Without more arrivals at last, so that each call has been served or not.
    calls = fleet.play((2.0, loading, rates), (7.0, 0, {})).calls
    groups = {
        (field, value): [c for c in calls if getattr(c, field) == value]
        for field, values in (("name", ("long", "short")), ("account", (1, 2)))
        for value in values
    }
    served = {key: fraction(group) for key, group in groups.items()}
    everyone = fraction(calls)
    assert served["name", "short"] >= served["name", "long"] - 0.05
    for key, group in groups.items():
        # Of a few calls, chance decides.
        assert len(group) < 20 or served[key] >= 0.25 * everyone
    longs = sorted(groups["name", "long"], key=lambda call: call.tokens)
    largest = longs[len(longs) * 9 // 10 :]
    part = fraction(largest)
    assert len(largest) < 8 or part >= 0.5 * served["name", "long"]


def test_small_prompts_far_above_the_capacity_are_served_as_often_as_large_ones():
    # Large prompts wait longer, and are served when the load has passed.
    rates = {("long", 1): 50, ("short", 1): 1350, ("long", 2): 50, ("short", 2): 450}
    fleet = Fleet(True, nodes=8, engines=10, seed=3)
    calls = fleet.play((2.0, 4, rates), (7.0, 0, {})).calls
    long_part, short_part = (
        fraction([call for call in calls if call.name == name])
        for name in ("long", "short")
    )
    assert short_part >= long_part - 0.05
