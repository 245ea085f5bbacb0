"""Tests of claims against a table that fails at chosen calls."""

import pytest

from arbutusyard.claims.coordinator import ClaimCoordinator, ClaimedCall
from arbutusyard.claims.exceptions import DispatchNotSent, DispatchOutcomeUnknown
from arbutusyard.claims.models import Done, KeyReused, NotRun, OutcomeUnknown, Reply
from tests.fakes import FakePlatform, Fault

REPLY = Reply(200, "application/json", b"{}")


class Harness:
    """Claims on a fake platform; records dispatches and defers background work."""

    def __init__(self, *faults, fenced=False):
        self.platform = FakePlatform(faults)
        self.background = []
        self.dispatched = []
        self.error = None
        self.now_ms = 0
        self.fenced = fenced
        self.claims = ClaimCoordinator(
            self.platform, lambda _: None, lambda: self.now_ms, self.background.append
        )

    def run(self, attempt=1, fingerprint="f"):
        call = ClaimedCall("a", "k", fingerprint, self.fenced, attempt)
        return self.claims.run(call, self.dispatch)

    def dispatch(self, fencing_token):
        if not isinstance(self.error, DispatchNotSent):
            self.dispatched.append(fencing_token)
        if self.error is not None:
            raise self.error
        return REPLY

    def run_background(self):
        tasks, self.background = list(self.background), []
        self.claims._background = self.background.append
        for task in tasks:
            task()


def test_second_attempt_returns_the_recorded_outcome():
    harness = Harness()
    assert harness.run() == Done(REPLY)
    assert harness.run(attempt=2) == Done(REPLY, replayed=True)
    assert harness.dispatched == [1]


def test_first_attempt_with_table_down_is_not_run():
    harness = Harness(Fault.DOWN)
    assert isinstance(harness.run(), NotRun)
    assert harness.dispatched == []


def test_retry_with_table_down_has_unknown_outcome():
    harness = Harness()
    harness.error = DispatchOutcomeUnknown("lost")
    assert isinstance(harness.run(), OutcomeUnknown)
    harness.platform.faults = [Fault.DOWN]
    assert isinstance(harness.run(attempt=2), OutcomeUnknown)


def test_claim_write_with_lost_answer_is_found_by_reading_the_row():
    harness = Harness(Fault.NONE, Fault.ANSWER_LOST)
    assert harness.run() == Done(REPLY)
    assert harness.dispatched == [1]


def test_late_claim_write_has_no_effect_after_not_run():
    harness = Harness(Fault.NONE, Fault.LATE)
    assert isinstance(harness.run(), NotRun)
    harness.platform.deliver()
    assert harness.run(attempt=2) == Done(REPLY)
    assert len(harness.dispatched) == 1


def test_unresolved_claim_is_released_once_the_table_is_back():
    harness = Harness(Fault.NONE, Fault.ANSWER_LOST, *[Fault.DOWN] * 4)
    assert isinstance(harness.run(), OutcomeUnknown)
    assert isinstance(harness.run(attempt=2), OutcomeUnknown)
    harness.run_background()
    assert harness.run(attempt=3) == Done(REPLY)


@pytest.mark.parametrize("faults", [[], [Fault.ANSWER_LOST], [Fault.DOWN]])
def test_call_to_unreachable_service_is_not_run_and_may_be_retried(faults):
    harness = Harness(Fault.NONE, Fault.NONE, *faults)
    harness.error = DispatchNotSent("refused")
    assert isinstance(harness.run(), NotRun)
    harness.run_background()
    harness.error = None
    assert harness.run(attempt=2) == Done(REPLY)


def test_lost_answer_of_the_service_prevents_another_dispatch():
    harness = Harness()
    harness.error = DispatchOutcomeUnknown("lost")
    assert isinstance(harness.run(), OutcomeUnknown)
    harness.error = None
    assert isinstance(harness.run(attempt=2), OutcomeUnknown)
    assert harness.dispatched == [1]


def test_outcome_is_recorded_once_the_table_is_back():
    harness = Harness(Fault.NONE, Fault.NONE, Fault.DOWN)
    assert harness.run() == Done(REPLY)
    harness.run_background()
    assert harness.run(attempt=2) == Done(REPLY, replayed=True)


def test_key_reused_for_another_request_is_refused():
    harness = Harness()
    harness.run()
    assert isinstance(harness.run(fingerprint="g"), KeyReused)


def test_retry_of_fenced_service_takes_over_with_a_higher_fencing_token():
    harness = Harness(fenced=True)
    harness.error = DispatchOutcomeUnknown("lost")
    harness.run()
    harness.error = None
    assert harness.run(attempt=2) == Done(REPLY)
    assert harness.dispatched == [1, 2]


@pytest.mark.parametrize("faults", [[], [Fault.NONE, Fault.LATE]])
def test_failed_takeover_is_never_reported_as_not_run(faults):
    """The earlier attempt may have run.

    Found by checking the model in tests/model/at_most_once.py.
    """
    harness = Harness(fenced=True)
    harness.error = DispatchOutcomeUnknown("lost")
    harness.run()
    harness.platform.faults = faults
    harness.error = DispatchNotSent("refused")
    assert isinstance(harness.run(attempt=2), OutcomeUnknown)
    assert isinstance(harness.run(attempt=3), OutcomeUnknown)
