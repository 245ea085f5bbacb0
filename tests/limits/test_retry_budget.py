"""Retries of all nodes together stay within each service's budget."""

import pytest

from arbutusyard.limits.retry_budget import DELIVERY_MAX_S, RetryBudget
from arbutusyard.limits.sharing import FleetShare


def settled_budget(ratio, slack, nodes=1):
    budget = RetryBudget(ratio, slack, 10.0)
    budget.share = FleetShare(nodes, nodes, 0, True)
    return budget


def test_all_nodes_together_stay_within_the_budget():
    nodes, requests, ratio, slack = 8, 50, 0.2, 56
    retries = 0
    for _ in range(nodes):
        budget = settled_budget(ratio, slack, nodes)
        for n in range(requests):
            budget.count_request("svc", n * 0.1)
            while budget.spend("svc", n * 0.1):
                retries += 1
    assert retries <= ratio * nodes * requests + slack


def test_retries_outside_the_window_free_budget():
    budget = settled_budget(0.0, 10)
    while budget.spend("svc", 0.0):
        pass
    assert not budget.spend("svc", 9.9 + DELIVERY_MAX_S)
    assert budget.spend("svc", 10.1 + DELIVERY_MAX_S)


def test_each_service_has_its_own_budget():
    budget = settled_budget(0.0, 10)
    while budget.spend("a", 0.0):
        pass
    assert budget.spend("b", 0.0)


def test_a_retry_of_which_nothing_was_sent_is_not_counted():
    budget = settled_budget(0.0, 4)
    for _ in range(10):
        assert budget.spend("svc", 0.0)
        budget.give_back("svc")


@pytest.mark.parametrize(("nodes", "recent", "retries"), [(1, 1, 5), (6, 1, 15)])
def test_a_node_that_starts_uses_no_constant_part_and_less_the_more_start(
    nodes, recent, retries
):
    budget = RetryBudget(0.2, 1000, 10.0)
    budget.share = FleetShare(nodes=nodes, recent=recent)
    for _ in range(100):
        budget.count_request("svc", 0.0)
    spent = 0
    while budget.spend("svc", 0.0):
        spent += 1
    assert spent == retries
