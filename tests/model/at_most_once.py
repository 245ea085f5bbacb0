"""Specify how one key is claimed, dispatched and recorded by two attempts.

A step is one message or one local decision. Writes and dispatches may arrive late,
their answers may be lost, and an attempt may crash between any two steps. Attempt B
starts at any time, or only after A has ended when `sequential` is set; only then is
"not run" a word about the key and not just about the attempt.
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
FINAL = ("not_run", "unknown", "done")
ENDED = (*FINAL, "crashed")


class Row(NamedTuple):
    owner: str = ""
    state: str = FREE
    fence: int = 0
    version: int = 0


class Attempt(NamedTuple):
    at: str = "start"  # start, read, unsettled, blocking, held, waiting or an end
    before: int = 0  # version that the claim was conditioned on
    held: int = 0  # version of the won claim
    fence: int = 0
    took_over: bool = False  # replaced a claim that may have run
    late_claim: int = -1  # version condition of a claim write still under way
    late_call: int = 0  # fence of a dispatch still under way
    release_due: bool = False
    ran: bool = False


class Faults(NamedTuple):
    """Leave out one rule each; the check must then find a counterexample."""

    assume_won: bool = False  # take a lost answer of the table for success
    no_condition: bool = False  # write the claim whatever the row is
    no_block: bool = False  # answer "not run" while the claim may still arrive
    timeout_is_not_run: bool = False  # take a lost answer of the service for "not run"
    always_take_over: bool = False  # take over although the service is not fenced
    takeover_not_run: bool = False  # say "not run" when a takeover is not dispatched


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
        goal=lambda s: s["a"].at in ENDED and s["b"].at in ENDED,
    )


class Spec:
    def __init__(self, fenced, sequential, faults):
        self.fenced = fenced
        self.sequential = sequential
        self.faults = faults

    def not_run_is_true(self, s):
        for mine, other in ((s["a"], s["b"]), (s["b"], s["a"])):
            if mine.at == "not_run" and (mine.ran or mine.late_call):
                return False
            retried = self.sequential and mine is s["b"] and mine.at == "not_run"
            if retried and (other.ran or other.late_call):
                return False
        return True

    def no_orphan_claim(self, s):
        for name in "ab":
            mine = s[name]
            if mine.at == "not_run" and not mine.release_due:
                row = s["row"]
                if row.owner == name and row.state == CLAIMED:
                    return False
        return True

    def transitions(self, state):
        found = []
        for name in "ab":
            for label, after in self.steps(state, name):
                found.append((f"{name}: {label}", after))
        return found

    def steps(self, state, name):
        row, a, b, runs, seen = state
        mine = a if name == "a" else b

        def to(new, new_row=row, new_runs=runs, new_seen=seen):
            pair = (new, b) if name == "a" else (a, new)
            return (new_row, *pair, new_runs, new_seen)

        yield from self.network(state, name, mine, to)
        if mine.at in ENDED:
            if mine.release_due and mine.at != "crashed":
                freed = row
                if row.owner == name and row.state == CLAIMED:
                    state, _ = self.abandoned(mine)
                    freed = Row(name, state, row.fence, row.version + 1)
                late = mine._replace(release_due=mine.late_claim >= 0)
                yield "release in the background", to(late, freed)
            return
        if mine.at == "start" and name == "b" and self.sequential and a.at not in ENDED:
            return
        if mine.at != "start":
            yield "crash", to(mine._replace(at="crashed", release_due=False))
        yield from getattr(self, "at_" + mine.at)(name, mine, row, to)

    def network(self, state, name, mine, to):
        row, _, _, runs, seen = state
        if mine.late_claim >= 0:
            landed = mine._replace(late_claim=-1)
            if self.faults.no_condition or row.version == mine.late_claim:
                new = Row(name, CLAIMED, mine.fence, row.version + 1)
                yield "late claim arrives", to(landed, new)
            else:
                yield "late claim is refused", to(landed)
        if mine.late_call:
            landed = mine._replace(late_call=0)
            if not self.fenced:
                yield "runs", to(landed._replace(ran=True), new_runs=min(2, runs + 1))
            elif mine.late_call < seen:
                yield "service refuses the old fence", to(landed)
            else:
                first = runs == 0
                yield (
                    "runs" if first else "service repeats its answer",
                    to(
                        landed._replace(ran=first),
                        new_runs=max(1, runs),
                        new_seen=mine.late_call,
                    ),
                )

    def at_start(self, name, mine, row, to):
        first = name == "a" or not self.sequential
        yield "table is down", to(mine._replace(at="not_run" if first else "unknown"))
        may_replace = row.state in (FREE, RELEASED)
        if row.state in (CLAIMED, UNKNOWN) and self.fenced:
            may_replace = True
        if row.state in (CLAIMED, UNKNOWN) and self.faults.always_take_over:
            may_replace = True
        if may_replace:
            fence = row.fence + 1
            read = mine._replace(
                at="read",
                before=row.version,
                fence=fence,
                took_over=row.state in (CLAIMED, UNKNOWN),
            )
            yield "reads", to(read)
        else:
            end = "done" if row.state == DONE else "unknown"
            yield "reads an outcome", to(mine._replace(at=end))

    def at_read(self, name, mine, row, to):
        won = Row(name, CLAIMED, mine.fence, row.version + 1)
        if self.faults.no_condition or row.version == mine.before:
            yield (
                "claims",
                to(mine._replace(at="held", held=row.version + 1), won),
            )
            yield "claims, answer lost", to(mine._replace(at="unsettled"), won)
        else:
            yield "is refused", to(mine._replace(at="unsettled", before=-1))
        yield (
            "claim is under way",
            to(mine._replace(at="unsettled", late_claim=mine.before)),
        )

    def at_unsettled(self, name, mine, row, to):
        if self.faults.assume_won:
            yield "assumes it won", to(mine._replace(at="held", held=row.version))
            return
        yield "cannot read back", to(mine._replace(at="unknown", release_due=True))
        if row.version == mine.before:
            if self.faults.no_block:
                yield "reads its claim absent", to(mine._replace(at="not_run"))
            else:
                yield "reads its claim absent", to(mine._replace(at="blocking"))
        elif row.owner == name and row.state == CLAIMED:
            yield (
                "reads its own claim",
                to(mine._replace(at="held", held=row.version)),
            )
        elif row.state == DONE:
            yield "reads another outcome", to(mine._replace(at="done"))
        else:
            yield "reads another claim", to(mine._replace(at="unknown"))

    def at_blocking(self, name, mine, row, to):
        if row.version == mine.before:
            state, end = self.abandoned(mine)
            blocked = Row(name, state, mine.fence, row.version + 1)
            yield "blocks the late claim", to(mine._replace(at=end), blocked)
            gone = mine._replace(at="unknown", release_due=True)
            yield "blocks, answer lost", to(gone, blocked)
        yield "cannot block", to(mine._replace(at="unknown", release_due=True))

    def at_held(self, name, mine, row, to):
        yield "dispatches", to(mine._replace(at="waiting", late_call=mine.fence))
        state, end = self.abandoned(mine)
        recorded = self.recorded(name, mine, row, state)
        yield "cannot connect", to(mine._replace(at=end), recorded)

    def at_waiting(self, name, mine, row, to):
        if mine.ran or not mine.late_call:
            yield (
                "hears the answer",
                to(mine._replace(at="done"), self.recorded(name, mine, row, DONE)),
            )
        if self.faults.timeout_is_not_run:
            yield (
                "times out",
                to(
                    mine._replace(at="not_run"),
                    self.recorded(name, mine, row, RELEASED),
                ),
            )
        else:
            yield (
                "times out",
                to(
                    mine._replace(at="unknown"), self.recorded(name, mine, row, UNKNOWN)
                ),
            )

    def abandoned(self, mine):
        if mine.took_over and not self.faults.takeover_not_run:
            return UNKNOWN, "unknown"
        return RELEASED, "not_run"

    @staticmethod
    def recorded(name, mine, row, state):
        if row.owner == name and row.version == mine.held:
            return Row(name, state, mine.fence, row.version + 1)
        return row
