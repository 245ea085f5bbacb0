"""Specify how the changes of two racing operators are accepted and reach two nodes.

Both operators change the same workload, each from the revision it read. The platform
may be down, and may lose its answer to a write that it applied. The two nodes may be
partitioned from each other, and node 2 from the platform; either may restart with no
configuration.
"""

from typing import NamedTuple

from minicheck import Protocol


class Operator(NamedTuple):
    """The state of one operator's change."""

    phase: str = "start"  # start, read, unsettled, accepted, conflict, unsure
    base_revision: int = 0  # revision that the change was made from


class Faults(NamedTuple):
    """Disable one protocol rule each; the check must then find a counterexample."""

    no_read_back: bool = False  # treat a lost answer as a conflict
    no_condition: bool = False  # write without a condition on the newest revision
    no_comparison: bool = False  # nodes apply any revision offered, also an older one


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
                if s[name].phase == "accepted"
            ),
            "refused_is_absent": lambda s: all(
                name not in s["history"] for name in "xy" if s[name].phase == "conflict"
            ),
            "no_node_goes_back": lambda s: not s["back"],
        },
        goal=lambda s: (
            not s["down"] and not s["cut"] and s["n1"] == s["n2"] == len(s["history"])
        ),
    )


class Spec:
    """The transitions of the protocol."""

    def __init__(self, faults):
        self.faults = faults

    def transitions(self, state):
        """Yield every step that an operator, the network or a node can take."""
        history, x, y, n1, n2, partitioned, down, reverted, restarts = state
        for index, name in ((1, "x"), (2, "y")):
            for label, op, new in self.operator(name, state[index], history, down):
                after = list(state)
                after[index], after[0] = op, new
                yield f"{name}: {label}", tuple(after)
        yield "cut or heal", (*state[:5], not partitioned, *state[6:])
        yield "platform down or up", (*state[:6], not down, *state[7:])
        for index in (3, 4):
            yield from self.node(state, index)

    def operator(self, name, op, history, down):
        """Yield one operator's steps, with its state and the history after each."""
        if op.phase == "start" and not down:
            yield "reads", Operator("read", len(history)), history
        if op.phase in ("read", "unsettled") and not down:
            condition_met = self.faults.no_condition or len(history) == op.base_revision
            if name in history:
                yield "finds its change", op._replace(phase="accepted"), history
            elif condition_met:
                if self.faults.no_condition:
                    written = (*history[: op.base_revision], name)
                else:
                    written = (*history, name)
                yield "writes", op._replace(phase="accepted"), written
                yield "writes, answer lost", op._replace(phase="unsettled"), written
            else:
                yield "loses the race", op._replace(phase="conflict"), history
        if op.phase == "unsettled":
            end = "conflict" if self.faults.no_read_back else "unsure"
            yield "gives up", op._replace(phase=end), history

    def node(self, state, index):
        """Yield the restarts of one node and the revisions that it may apply."""
        history, _, _, n1, n2, partitioned, down, reverted, restarts = state
        own_revision, peer_revision = (n1, n2) if index == 3 else (n2, n1)
        if restarts < 2:
            after = list(state)
            after[index], after[8] = 0, restarts + 1
            yield f"n{index - 2}: restarts", tuple(after)
        offers = [] if down or (partitioned and index == 4) else [len(history)]
        offers += [] if partitioned else [peer_revision]
        for offer in offers:
            if offer > own_revision or (
                self.faults.no_comparison and offer != own_revision
            ):
                after = list(state)
                after[index], after[7] = offer, reverted or offer < own_revision
                yield f"n{index - 2}: takes revision {offer}", tuple(after)
