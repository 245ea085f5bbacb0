"""Check the specifications, and that each left-out rule is found."""

import pytest
from minicheck import check_liveness, check_safety

from tests.model import at_most_once, configuration, leases

MAX_STATES = 400_000


def violated(protocol):
    """Return the broken invariants; fail when the search is not exhaustive."""
    report = check_safety(protocol, max_states=MAX_STATES)
    results = report["properties"]
    assert all(r["holds"] is not None for r in results.values()), report
    return {name for name, result in results.items() if not result["holds"]}


def always_ends(protocol):
    return check_liveness(protocol)["holds"]


@pytest.mark.parametrize("fenced", [False, True])
@pytest.mark.parametrize("sequential", [False, True])
def test_at_most_once(fenced, sequential):
    protocol = at_most_once.protocol(fenced, sequential)
    assert violated(protocol) == set()
    assert always_ends(protocol)


@pytest.mark.parametrize(
    ("fault", "broken"),
    [
        ("assume_won", "runs_at_most_once"),
        ("no_condition", "runs_at_most_once"),
        ("no_block", "no_orphan_claim"),
        ("timeout_is_not_run", "not_run_is_true"),
        ("always_take_over", "runs_at_most_once"),
    ],
)
def test_at_most_once_needs_each_rule(fault, broken):
    faults = at_most_once.Faults(**{fault: True})
    assert broken in violated(at_most_once.protocol(False, False, faults))


def test_at_most_once_never_says_not_run_after_a_takeover():
    faults = at_most_once.Faults(takeover_not_run=True)
    protocol = at_most_once.protocol(True, True, faults)
    assert violated(protocol) == {"not_run_is_true"}


@pytest.mark.parametrize("checks_fence", [False, True])
def test_leases(checks_fence):
    assert violated(leases.protocol(checks_fence)) == set()


@pytest.mark.parametrize(
    "fault", ["no_delivery_wait", "no_margin", "no_check_before_send", "no_reset"]
)
def test_leases_need_each_rule(fault):
    faults = leases.Faults(**{fault: True})
    assert violated(leases.protocol(False, faults)) == {"engine_never_goes_back"}


def test_configuration():
    protocol = configuration.protocol()
    assert violated(protocol) == set()
    assert always_ends(protocol)


@pytest.mark.parametrize(
    ("fault", "broken"),
    [
        ("no_read_back", "refused_is_absent"),
        ("no_condition", "accepted_is_kept"),
        ("no_comparison", "no_node_goes_back"),
    ],
)
def test_configuration_needs_each_rule(fault, broken):
    faults = configuration.Faults(**{fault: True})
    assert broken in violated(configuration.protocol(faults))
