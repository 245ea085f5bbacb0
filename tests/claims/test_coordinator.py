"""Run claims against a table that fails at chosen calls."""

import pytest

from arbutusyard.claims.coordinator import ClaimCoordinator, ClaimedCall
from arbutusyard.claims.exceptions import DispatchNeverLeft, DispatchUnsettled
from arbutusyard.claims.models import Done, KeyReused, NotRun, OutcomeUnknown, Reply
from tests.fakes import FakePlatform, Fault

REPLY = Reply(200, "application/json", b"{}")


class Bench:
    """Count dispatches and hold back background work until it is run."""

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

    def dispatch(self, fence):
        if not isinstance(self.error, DispatchNeverLeft):
            self.dispatched.append(fence)
        if self.error is not None:
            raise self.error
        return REPLY

    def run_background(self):
        tasks, self.background = list(self.background), []
        self.claims._background = self.background.append
        for task in tasks:
            task()


def test_second_attempt_gets_the_recorded_outcome():
    bench = Bench()
    assert bench.run() == Done(REPLY)
    assert bench.run(attempt=2) == Done(REPLY, replayed=True)
    assert bench.dispatched == [1]


def test_table_down_is_a_true_refusal():
    bench = Bench(Fault.DOWN)
    assert isinstance(bench.run(), NotRun)
    assert bench.dispatched == []


def test_table_down_at_a_retry_says_unknown():
    bench = Bench()
    bench.error = DispatchUnsettled("lost")
    assert isinstance(bench.run(), OutcomeUnknown)
    bench.platform.faults = [Fault.DOWN]
    assert isinstance(bench.run(attempt=2), OutcomeUnknown)


def test_lost_answer_of_the_claim_is_settled_by_reading():
    bench = Bench(Fault.NONE, Fault.ANSWER_LOST)
    assert bench.run() == Done(REPLY)
    assert bench.dispatched == [1]


def test_late_claim_cannot_take_effect_after_not_run():
    bench = Bench(Fault.NONE, Fault.LATE)
    assert isinstance(bench.run(), NotRun)
    bench.platform.deliver()
    assert bench.run(attempt=2) == Done(REPLY)
    assert len(bench.dispatched) == 1


def test_unsettled_claim_is_released_when_the_table_is_back():
    bench = Bench(Fault.NONE, Fault.ANSWER_LOST, *[Fault.DOWN] * 4)
    assert isinstance(bench.run(), OutcomeUnknown)
    assert isinstance(bench.run(attempt=2), OutcomeUnknown)
    bench.run_background()
    assert bench.run(attempt=3) == Done(REPLY)


@pytest.mark.parametrize("faults", [[], [Fault.ANSWER_LOST], [Fault.DOWN]])
def test_unreachable_service_is_a_true_refusal(faults):
    bench = Bench(Fault.NONE, Fault.NONE, *faults)
    bench.error = DispatchNeverLeft("refused")
    assert isinstance(bench.run(), NotRun)
    bench.run_background()
    bench.error = None
    assert bench.run(attempt=2) == Done(REPLY)


def test_lost_answer_of_the_service_never_dispatches_again():
    bench = Bench()
    bench.error = DispatchUnsettled("lost")
    assert isinstance(bench.run(), OutcomeUnknown)
    bench.error = None
    assert isinstance(bench.run(attempt=2), OutcomeUnknown)
    assert bench.dispatched == [1]


def test_outcome_is_recorded_when_the_table_is_back():
    bench = Bench(Fault.NONE, Fault.NONE, Fault.DOWN)
    assert bench.run() == Done(REPLY)
    bench.run_background()
    assert bench.run(attempt=2) == Done(REPLY, replayed=True)


def test_key_of_another_request_is_refused():
    bench = Bench()
    bench.run()
    assert isinstance(bench.run(fingerprint="g"), KeyReused)


def test_fenced_service_is_taken_over_with_a_higher_number():
    bench = Bench(fenced=True)
    bench.error = DispatchUnsettled("lost")
    bench.run()
    bench.error = None
    assert bench.run(attempt=2) == Done(REPLY)
    assert bench.dispatched == [1, 2]


@pytest.mark.parametrize("faults", [[], [Fault.NONE, Fault.LATE]])
def test_failed_takeover_never_says_not_run(faults):
    """The earlier attempt may have run; found by the model of at most once."""
    bench = Bench(fenced=True)
    bench.error = DispatchUnsettled("lost")
    bench.run()
    bench.platform.faults = faults
    bench.error = DispatchNeverLeft("refused")
    assert isinstance(bench.run(attempt=2), OutcomeUnknown)
    assert isinstance(bench.run(attempt=3), OutcomeUnknown)
