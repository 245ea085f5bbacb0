"""Account limits, entry shares, fair sharing, retry credit and hedging."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.config.models import Account
from arbutusyard.limits.coordinator import Limiter, LimitKind, RetryBudget
from arbutusyard.limits.fairness import FairShare, max_min_share
from arbutusyard.limits.hedging import hedge_pays
from arbutusyard.limits.share import share

ACCOUNT = Account("a", "h", tokens_per_s=100, concurrency=4)


def test_sustained_flood_is_limited_to_rate_and_burst():
    limiter = Limiter()
    admitted_tokens = 0
    for step in range(1000):
        now = step / 100
        if limiter.admit("a", ACCOUNT, 10, now).is_ok():
            admitted_tokens += 10
            limiter.release("a", 0, now)
    assert 1000 <= admitted_tokens <= 100 * 10 + 100 * 4 + 10


def test_retry_after_the_reported_time_is_admitted():
    limiter = Limiter()
    assert limiter.admit("a", ACCOUNT, 1000, 0.0).is_ok()
    limiter.release("a", 0, 0.0)
    refusal = limiter.admit("a", ACCOUNT, 10, 0.0).error
    assert refusal.kind is LimitKind.TOKENS
    assert limiter.admit("a", ACCOUNT, 10, refusal.retry_after_s + 0.01).is_ok()


def test_concurrency_limit_refuses_and_release_frees_a_slot():
    limiter = Limiter()
    results = [limiter.admit("a", ACCOUNT, 1, 0.0) for _ in range(6)]
    assert [result.is_ok() for result in results] == [True] * 4 + [False] * 2
    limiter.release("a", 0, 0.0)
    assert limiter.admit("a", ACCOUNT, 1, 0.0).is_ok()


@given(st.lists(st.floats(1, 1000), min_size=1, max_size=8), st.integers(1, 1000))
def test_shares_together_never_admit_more_than_the_limit(demands, limit):
    total = sum(demands)
    shares = [share(own, total - own, limit) for own in demands]
    admitted = sum(
        min(own, fraction * limit)
        for own, fraction in zip(demands, shares, strict=True)
    )
    assert admitted <= max(limit, min(total, limit)) * 1.000001
    if total <= limit:
        assert admitted == pytest.approx(total)


def test_share_is_the_limit_minus_the_demand_elsewhere():
    assert share(0.0, 0.0, 100) == 1.0
    assert share(10.0, 40.0, 100) == pytest.approx(0.6)


@given(st.lists(st.floats(0, 100), min_size=1, max_size=8), st.floats(0, 300))
def test_max_min_share_uses_the_whole_capacity(demands, capacity):
    level = max_min_share(demands, capacity)
    used = sum(min(demand, level) for demand in demands)
    assert used == pytest.approx(min(capacity, sum(demands)), abs=1e-6)


def test_flooding_account_is_refused_first_under_pressure():
    fair = FairShare()
    admitted = {"small": 0, "flood": 0}
    requested = {"small": 0, "flood": 0}
    backlog_s = 0.0
    for step in range(20_000):
        account = "small" if step % 20 == 0 else "flood"
        backlog_s = max(0.0, backlog_s - 0.01)
        is_admitted = fair.admit(account, 0.02, backlog_s, 5.0, 1.0, step / 100)
        backlog_s += 0.02 * is_admitted
        admitted[account] += is_admitted
        requested[account] += 1
    assert admitted["small"] >= 0.95 * requested["small"]
    assert admitted["flood"] < 0.6 * requested["flood"]
    assert sum(admitted.values()) * 0.02 >= 0.95 * 200


def test_request_beyond_the_wait_bound_is_refused():
    assert not FairShare().admit("a", 0.1, 5.1, 5.0, 1.0, 0.0)


def test_single_account_is_admitted_up_to_the_wait_bound():
    fair = FairShare()
    waits_s = [0.1 * number for number in range(8)]
    assert all(fair.admit("a", 0.1, wait_s, 1.1, 1.5, 0.0) for wait_s in waits_s)


def test_burst_within_its_fair_share_is_admitted_during_a_flood():
    fair = FairShare()
    for _ in range(100):
        fair.admit("flood", 0.1, 1.2, 1.1, 1.5, 0.0)
    fair.admit("flood", 0.1, 0.1, 1.1, 1.5, 0.0)
    waits_s = [0.1 * number for number in range(8)]
    assert all(fair.admit("small", 0.1, wait_s, 1.1, 1.5, 0.0) for wait_s in waits_s)


def test_retries_stay_within_their_credit():
    budget = RetryBudget()
    spent = 0
    for _ in range(10_000):
        budget.count_request()
        spent += budget.spend()
    assert spent <= 10_000 * 0.05 + 10


def test_hedging_pays_only_if_service_times_vary_more_than_exponentially():
    variable = [0.1] * 900 + [4.0] * 100
    steady = [0.1 + n / 10_000 for n in range(1000)]
    assert hedge_pays(variable, 0.2)
    assert not hedge_pays(steady, 0.19)
    assert not hedge_pays(variable[-100:], 0.2)
