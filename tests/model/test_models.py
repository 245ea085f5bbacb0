"""Check the protocol models, and that disabling a rule is detected."""

import pytest
from minicheck import check_liveness, check_safety

from tests.model import at_most_once, configuration, leases

MAX_STATES = 400_000


def find_violations(protocol):
    """Return the violated invariants; fail if the search was not exhaustive."""
    report = check_safety(protocol, max_states=MAX_STATES)
    results = report["properties"]
    assert all(r["holds"] is not None for r in results.values()), report
    return {name for name, result in results.items() if not result["holds"]}


def reaches_goal(protocol):
    return check_liveness(protocol)["holds"]


@pytest.mark.parametrize("fenced", [False, True])
@pytest.mark.parametrize("sequential", [False, True])
def test_at_most_once_holds_in_every_reachable_state(fenced, sequential):
    protocol = at_most_once.protocol(fenced, sequential)
    assert find_violations(protocol) == set()
    assert reaches_goal(protocol)


@pytest.mark.parametrize(
    ("fault", "invariant"),
    [
        ("assume_won", "runs_at_most_once"),
        ("no_condition", "runs_at_most_once"),
        ("no_block", "no_orphan_claim"),
        ("timeout_is_not_run", "not_run_is_true"),
        ("always_take_over", "runs_at_most_once"),
    ],
)
def test_disabling_a_rule_of_at_most_once_violates_an_invariant(fault, invariant):
    faults = at_most_once.Faults(**{fault: True})
    assert invariant in find_violations(at_most_once.protocol(False, False, faults))


def test_reporting_not_run_after_a_takeover_violates_not_run_is_true():
    faults = at_most_once.Faults(takeover_not_run=True)
    protocol = at_most_once.protocol(True, True, faults)
    assert find_violations(protocol) == {"not_run_is_true"}


@pytest.mark.parametrize("checks_fence", [False, True])
def test_leases_hold_in_every_reachable_state(checks_fence):
    assert find_violations(leases.protocol(checks_fence)) == set()


@pytest.mark.parametrize(
    "fault", ["no_delivery_wait", "no_margin", "no_check_before_send", "no_reset"]
)
def test_disabling_a_rule_of_leases_lets_orders_go_back(fault):
    faults = leases.Faults(**{fault: True})
    assert find_violations(leases.protocol(False, faults)) == {"engine_never_goes_back"}


def test_configuration_holds_in_every_reachable_state():
    protocol = configuration.protocol()
    assert find_violations(protocol) == set()
    assert reaches_goal(protocol)


@pytest.mark.parametrize(
    ("fault", "invariant"),
    [
        ("no_read_back", "refused_is_absent"),
        ("no_condition", "accepted_is_kept"),
        ("no_comparison", "no_node_goes_back"),
    ],
)
def test_disabling_a_rule_of_configuration_violates_an_invariant(fault, invariant):
    faults = configuration.Faults(**{fault: True})
    assert invariant in find_violations(configuration.protocol(faults))
