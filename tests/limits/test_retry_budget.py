"""Retries of all nodes together stay within each service's budget."""

from arbutusyard.limits.retry_budget import RetryBudget


def test_all_nodes_together_stay_within_the_budget():
    nodes, requests, ratio, slack = 8, 50, 0.2, 56
    retries = 0
    for _ in range(nodes):
        budget = RetryBudget(ratio, slack, 10.0)
        for n in range(requests):
            budget.count_request("svc", n * 0.1)
            while budget.spend("svc", nodes, n * 0.1):
                retries += 1
    assert retries <= ratio * nodes * requests + slack


def test_retries_outside_the_window_free_budget():
    budget = RetryBudget(0.0, 10, 10.0)
    while budget.spend("svc", 1, 0.0):
        pass
    assert not budget.spend("svc", 1, 9.9)
    assert budget.spend("svc", 1, 10.1)


def test_each_service_has_its_own_budget():
    budget = RetryBudget(0.0, 10, 10.0)
    while budget.spend("a", 1, 0.0):
        pass
    assert budget.spend("b", 1, 0.0)
