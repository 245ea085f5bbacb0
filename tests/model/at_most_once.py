"""Specify how one key is claimed, dispatched and recorded by two attempts.

A step is one message or one local decision. Claim writes and dispatches may arrive
late, their answers may be lost, and an attempt may crash between any two steps. Attempt
B starts at any time, or only after A has ended if `sequential` is set. Only in the
sequential case does "not run" apply to the key as a whole; otherwise it applies to the
attempt alone.
"""

from typing import NamedTuple

from minicheck import Protocol

FREE, CLAIMED, DONE, UNKNOWN, RELEASED = (
    "free",
    "claimed",
    "done",
    "unknown",
    "released",
)
OUTCOMES = ("not_run", "unknown", "done")
END_STATES = (*OUTCOMES, "crashed")


class Row(NamedTuple):
    """The stored claim on the key, as the claim table holds it."""

    owner: str = ""
    state: str = FREE
    fencing_token: int = 0
    version: int = 0


class Attempt(NamedTuple):
    """The local state of one attempt, and its messages still in flight."""

    # start, read, unsettled, blocking, held, waiting, or one of END_STATES
    phase: str = "start"
    read_version: int = 0  # row version that the claim write is conditional on
    claim_version: int = 0  # row version of the claim that this attempt won
    fencing_token: int = 0
    took_over: bool = False  # superseded a claim whose dispatch may have run
    pending_claim: int = -1  # version condition of a claim write in flight, or -1
    pending_call: int = 0  # fencing token of a dispatch in flight, or 0
    release_due: bool = False  # the claim is still to be released in the background
    ran: bool = False  # the service executed this attempt's dispatch


class Faults(NamedTuple):
    """Disable one protocol rule each; the check must then find a counterexample."""

    assume_won: bool = False  # treat a lost answer of the table as success
    no_condition: bool = False  # write the claim without a version condition
    no_block: bool = False  # report "not run" while the claim write may still land
    timeout_is_not_run: bool = False  # treat a lost answer of the service as "not run"
    always_take_over: bool = False  # take over even if the service is not fenced
    takeover_not_run: bool = False  # report "not run" if a takeover was not dispatched


NO_FAULTS = Faults()


def protocol(fenced: bool, sequential: bool, faults: Faults = NO_FAULTS) -> Protocol:
    spec = Spec(fenced, sequential, faults)
    return Protocol(
        name="at_most_once",
        candidate=False,
        fields=("row", "a", "b", "runs", "seen_fence"),
        initial=(Row(), Attempt(), Attempt(), 0, 0),
        transitions=spec.transitions,
        invariants={
            "runs_at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": spec.not_run_is_true,
            "no_orphan_claim": spec.no_orphan_claim,
        },
        goal=lambda s: s["a"].phase in END_STATES and s["b"].phase in END_STATES,
    )


class Spec:
    """The transitions and invariants of the protocol."""

    def __init__(self, fenced, sequential, faults):
        self.fenced = fenced
        self.sequential = sequential
        self.faults = faults

    def not_run_is_true(self, s):
        """Return whether every reported "not run" is true.

        In the sequential case, B's "not run" must also be true of A's dispatch.
        """
        for attempt, other in ((s["a"], s["b"]), (s["b"], s["a"])):
            if attempt.phase == "not_run" and (attempt.ran or attempt.pending_call):
                return False
            is_retry = (
                self.sequential and attempt is s["b"] and attempt.phase == "not_run"
            )
            if is_retry and (other.ran or other.pending_call):
                return False
        return True

    def no_orphan_claim(self, s):
        """Return whether each claim left by a "not run" attempt is due for release."""
        for name in "ab":
            attempt = s[name]
            if attempt.phase == "not_run" and not attempt.release_due:
                row = s["row"]
                if row.owner == name and row.state == CLAIMED:
                    return False
        return True

    def transitions(self, state):
        """Return every step that either attempt can take, with the state after it."""
        steps = []
        for name in "ab":
            for label, after in self.steps(state, name):
                steps.append((f"{name}: {label}", after))
        return steps

    def steps(self, state, name):
        row, a, b, runs, highest_token = state
        attempt = a if name == "a" else b

        def successor(new, new_row=row, new_runs=runs, new_token=highest_token):
            pair = (new, b) if name == "a" else (a, new)
            return (new_row, *pair, new_runs, new_token)

        yield from self.arrivals(state, name, attempt, successor)
        if attempt.phase in END_STATES:
            if attempt.release_due and attempt.phase != "crashed":
                freed = row
                if row.owner == name and row.state == CLAIMED:
                    state, _ = self.abandoned(attempt)
                    freed = Row(name, state, row.fencing_token, row.version + 1)
                released = attempt._replace(release_due=attempt.pending_claim >= 0)
                yield "release in the background", successor(released, freed)
            return
        if (
            attempt.phase == "start"
            and name == "b"
            and self.sequential
            and a.phase not in END_STATES
        ):
            return
        if attempt.phase != "start":
            yield (
                "crash",
                successor(attempt._replace(phase="crashed", release_due=False)),
            )
        yield from getattr(self, "at_" + attempt.phase)(name, attempt, row, successor)

    def arrivals(self, state, name, attempt, successor):
        """Yield the arrivals of the attempt's messages that are in flight."""
        row, _, _, runs, highest_token = state
        if attempt.pending_claim >= 0:
            arrived = attempt._replace(pending_claim=-1)
            if self.faults.no_condition or row.version == attempt.pending_claim:
                new = Row(name, CLAIMED, attempt.fencing_token, row.version + 1)
                yield "late claim arrives", successor(arrived, new)
            else:
                yield "late claim is refused", successor(arrived)
        if attempt.pending_call:
            arrived = attempt._replace(pending_call=0)
            if not self.fenced:
                yield (
                    "runs",
                    successor(arrived._replace(ran=True), new_runs=min(2, runs + 1)),
                )
            elif attempt.pending_call < highest_token:
                yield "service refuses the old fence", successor(arrived)
            else:
                first_run = runs == 0
                yield (
                    "runs" if first_run else "service repeats its answer",
                    successor(
                        arrived._replace(ran=first_run),
                        new_runs=max(1, runs),
                        new_token=attempt.pending_call,
                    ),
                )

    def at_start(self, name, attempt, row, successor):
        is_first = name == "a" or not self.sequential
        yield (
            "table is down",
            successor(attempt._replace(phase="not_run" if is_first else "unknown")),
        )
        may_claim = row.state in (FREE, RELEASED)
        if row.state in (CLAIMED, UNKNOWN) and self.fenced:
            may_claim = True
        if row.state in (CLAIMED, UNKNOWN) and self.faults.always_take_over:
            may_claim = True
        if may_claim:
            token = row.fencing_token + 1
            read = attempt._replace(
                phase="read",
                read_version=row.version,
                fencing_token=token,
                took_over=row.state in (CLAIMED, UNKNOWN),
            )
            yield "reads", successor(read)
        else:
            end = "done" if row.state == DONE else "unknown"
            yield "reads an outcome", successor(attempt._replace(phase=end))

    def at_read(self, name, attempt, row, successor):
        won = Row(name, CLAIMED, attempt.fencing_token, row.version + 1)
        if self.faults.no_condition or row.version == attempt.read_version:
            yield (
                "claims",
                successor(
                    attempt._replace(phase="held", claim_version=row.version + 1), won
                ),
            )
            yield (
                "claims, answer lost",
                successor(attempt._replace(phase="unsettled"), won),
            )
        else:
            yield (
                "is refused",
                successor(attempt._replace(phase="unsettled", read_version=-1)),
            )
        yield (
            "claim is under way",
            successor(
                attempt._replace(phase="unsettled", pending_claim=attempt.read_version)
            ),
        )

    def at_unsettled(self, name, attempt, row, successor):
        if self.faults.assume_won:
            yield (
                "assumes it won",
                successor(attempt._replace(phase="held", claim_version=row.version)),
            )
            return
        yield (
            "cannot read back",
            successor(attempt._replace(phase="unknown", release_due=True)),
        )
        if row.version == attempt.read_version:
            if self.faults.no_block:
                yield (
                    "reads its claim absent",
                    successor(attempt._replace(phase="not_run")),
                )
            else:
                yield (
                    "reads its claim absent",
                    successor(attempt._replace(phase="blocking")),
                )
        elif row.owner == name and row.state == CLAIMED:
            yield (
                "reads its own claim",
                successor(attempt._replace(phase="held", claim_version=row.version)),
            )
        elif row.state == DONE:
            yield "reads another outcome", successor(attempt._replace(phase="done"))
        else:
            yield "reads another claim", successor(attempt._replace(phase="unknown"))

    def at_blocking(self, name, attempt, row, successor):
        if row.version == attempt.read_version:
            state, end = self.abandoned(attempt)
            blocked = Row(name, state, attempt.fencing_token, row.version + 1)
            yield (
                "blocks the late claim",
                successor(attempt._replace(phase=end), blocked),
            )
            unconfirmed = attempt._replace(phase="unknown", release_due=True)
            yield "blocks, answer lost", successor(unconfirmed, blocked)
        yield (
            "cannot block",
            successor(attempt._replace(phase="unknown", release_due=True)),
        )

    def at_held(self, name, attempt, row, successor):
        yield (
            "dispatches",
            successor(
                attempt._replace(phase="waiting", pending_call=attempt.fencing_token)
            ),
        )
        state, end = self.abandoned(attempt)
        recorded = self.recorded(name, attempt, row, state)
        yield "cannot connect", successor(attempt._replace(phase=end), recorded)

    def at_waiting(self, name, attempt, row, successor):
        if attempt.ran or not attempt.pending_call:
            yield (
                "hears the answer",
                successor(
                    attempt._replace(phase="done"),
                    self.recorded(name, attempt, row, DONE),
                ),
            )
        if self.faults.timeout_is_not_run:
            yield (
                "times out",
                successor(
                    attempt._replace(phase="not_run"),
                    self.recorded(name, attempt, row, RELEASED),
                ),
            )
        else:
            yield (
                "times out",
                successor(
                    attempt._replace(phase="unknown"),
                    self.recorded(name, attempt, row, UNKNOWN),
                ),
            )

    def abandoned(self, attempt):
        """Return the row state and the outcome of a claim that was not dispatched."""
        if attempt.took_over and not self.faults.takeover_not_run:
            return UNKNOWN, "unknown"
        return RELEASED, "not_run"

    @staticmethod
    def recorded(name, attempt, row, state):
        """Return the row after recording an outcome, if the claim is still its own."""
        if row.owner == name and row.version == attempt.claim_version:
            return Row(name, state, attempt.fencing_token, row.version + 1)
        return row
