"""Specify how racing operators' changes are accepted and reach two nodes.

Both operators change the same workload from what they read. The platform may lose an
answer after its write and may be down; nodes may be cut off from each other and from
the platform, and may restart empty.
"""

from typing import NamedTuple

from minicheck import Protocol


class Operator(NamedTuple):
    at: str = "start"  # start, read, unsettled, accepted, conflict, unsure
    base: int = 0


class Faults(NamedTuple):
    no_read_back: bool = False  # take a lost answer for a refusal
    no_condition: bool = False  # write whatever the newest revision is
    no_comparison: bool = False  # nodes take any revision that they are offered


NO_FAULTS = Faults()


def protocol(faults: Faults = NO_FAULTS) -> Protocol:
    spec = Spec(faults)
    return Protocol(
        name="configuration",
        candidate=False,
        fields=("history", "x", "y", "n1", "n2", "cut", "down", "back", "restarts"),
        initial=((), Operator(), Operator(), 0, 0, False, False, False, 0),
        transitions=spec.transitions,
        invariants={
            "accepted_is_kept": lambda s: all(
                s["history"].count(name) == 1
                for name in "xy"
                if s[name].at == "accepted"
            ),
            "refused_is_absent": lambda s: all(
                name not in s["history"] for name in "xy" if s[name].at == "conflict"
            ),
            "no_node_goes_back": lambda s: not s["back"],
        },
        goal=lambda s: (
            not s["down"] and not s["cut"] and s["n1"] == s["n2"] == len(s["history"])
        ),
    )


class Spec:
    def __init__(self, faults):
        self.faults = faults

    def transitions(self, state):
        history, x, y, n1, n2, cut, down, back, restarts = state
        for index, name in ((1, "x"), (2, "y")):
            for label, op, new in self.operator(name, state[index], history, down):
                after = list(state)
                after[index], after[0] = op, new
                yield f"{name}: {label}", tuple(after)
        yield "cut or heal", (*state[:5], not cut, *state[6:])
        yield "platform down or up", (*state[:6], not down, *state[7:])
        for index in (3, 4):
            yield from self.node(state, index)

    def operator(self, name, op, history, down):
        if op.at == "start" and not down:
            yield "reads", Operator("read", len(history)), history
        if op.at in ("read", "unsettled") and not down:
            fits = self.faults.no_condition or len(history) == op.base
            if name in history:
                yield "finds its change", op._replace(at="accepted"), history
            elif fits:
                if self.faults.no_condition:
                    written = (*history[: op.base], name)
                else:
                    written = (*history, name)
                yield "writes", op._replace(at="accepted"), written
                yield "writes, answer lost", op._replace(at="unsettled"), written
            else:
                yield "loses the race", op._replace(at="conflict"), history
        if op.at == "unsettled":
            end = "conflict" if self.faults.no_read_back else "unsure"
            yield "gives up", op._replace(at=end), history

    def node(self, state, index):
        history, _, _, n1, n2, cut, down, back, restarts = state
        mine, peer = (n1, n2) if index == 3 else (n2, n1)
        if restarts < 2:
            after = list(state)
            after[index], after[8] = 0, restarts + 1
            yield f"n{index - 2}: restarts", tuple(after)
        offers = [] if down or (cut and index == 4) else [len(history)]
        offers += [] if cut else [peer]
        for offer in offers:
            if offer > mine or (self.faults.no_comparison and offer != mine):
                after = list(state)
                after[index], after[7] = offer, back or offer < mine
                yield f"n{index - 2}: takes revision {offer}", tuple(after)
