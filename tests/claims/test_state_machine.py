"""Claims under any order of attempts, faults, late deliveries and recoveries."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.claims.coordinator import ClaimCoordinator, ClaimedCall
from arbutusyard.claims.exceptions import DispatchNotSent, DispatchOutcomeUnknown
from arbutusyard.claims.models import Done, NotRun, OutcomeUnknown, Reply
from tests.fakes import FakePlatform, Fault

FAULTS = st.lists(st.sampled_from([Fault.NONE] * 8 + list(Fault)), max_size=10)
SERVICE_BEHAVIORS = st.sampled_from(["answers", "answer_lost", "unreachable", "crash"])


class Crash(Exception):
    """The entry crashes in the middle of a dispatch."""


class ClaimMachine(RuleBasedStateMachine):
    """Repeated attempts with one key; the service counts its runs."""

    fenced = False

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.background = []
        self.runs = 0
        self.attempts = 0
        self.may_have_run = False
        self.reply_bodies = set()
        self.now_ms = 0
        self.claims = ClaimCoordinator(
            self.platform, lambda _: None, lambda: self.now_ms, self.background.append
        )

    @rule(faults=FAULTS, service=SERVICE_BEHAVIORS)
    def attempt(self, faults, service):
        self.attempts += 1
        self.platform.faults = list(faults)
        call = ClaimedCall("a", "k", "f", self.fenced, self.attempts)
        try:
            outcome = self.claims.run(call, lambda _: self.dispatch(service))
        except Crash:
            return
        finally:
            self.platform.faults = []
        match outcome:
            case Done(reply=reply):
                assert self.runs == 1
                self.reply_bodies.add(reply.body)
            case NotRun():
                assert not self.may_have_run
            case OutcomeUnknown():
                pass

    def dispatch(self, service):
        if service == "unreachable":
            raise DispatchNotSent("refused")
        self.may_have_run = True
        if not (self.fenced and self.runs):
            self.runs += 1
        if service == "answer_lost":
            raise DispatchOutcomeUnknown("lost")
        if service == "crash":
            raise Crash
        return Reply(200, "application/json", b"the answer")

    @rule()
    def deliver_late_writes(self):
        self.platform.deliver()

    @rule(faults=FAULTS)
    def run_background(self, faults):
        self.platform.faults = list(faults)
        tasks = list(self.background)
        self.background.clear()
        for task in tasks:
            task()
        self.platform.faults = []

    @rule(elapsed_ms=st.integers(0, 20_000))
    def pass_time(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1
        assert len(self.reply_bodies) <= 1


class FencedClaimMachine(ClaimMachine):
    """Attempts at a fenced service, which runs the request once for all attempts."""

    fenced = True


TestClaims = ClaimMachine.TestCase
TestFencedClaims = FencedClaimMachine.TestCase
TestClaims.settings = settings(max_examples=150, stateful_step_count=25)
TestFencedClaims.settings = settings(max_examples=150, stateful_step_count=25)
