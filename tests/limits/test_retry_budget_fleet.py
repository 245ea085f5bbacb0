"""Retries of all nodes together stay within a budget, whatever nodes know of others."""

import math
from collections import Counter, deque
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.limits.const import BUDGET_RETENTION_S
from arbutusyard.limits.retry_budget import DELIVERY_MAX_S, RetryBudget
from arbutusyard.limits.sharing import FleetShare, SharingNodes

# The platform's rule: in each window a service gets at most RATIO times the requests of
# that window, of the one before it or of the one half a window before it, plus SLACK
# repeated arrivals.
RATIO, SLACK, WINDOW_S = 0.2, 52, 10.0
# Step of the simulated time, in seconds, and steps in a window.
STEP_S = 0.25
WINDOW_STEPS = round(WINDOW_S / STEP_S)
# Time after which a node takes a silent one for dead, in steps.
TIMEOUT_STEPS = 5
# Number of nodes above which all have the same view, which is faster to simulate.
SAME_VIEW_NODES = 16


class SimulatedNode:
    """One node that retries each request as often as its budget allows."""

    def __init__(self, name, now, registered=()):
        self.name = name
        self.started_at = now
        self.registered = set(registered)
        self.budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        self.sharing = SharingNodes(BUDGET_RETENTION_S, WINDOW_S)
        self.heard_at = {}

    def update(self, alive, now):
        """Update the share by the nodes that are alive, and when these started."""
        self.sharing.update(alive, now, (), self.registered - {self.name})
        settled = {n for n, at in alive.items() if now - at >= WINDOW_S}
        is_settled = self.sharing.observed_s >= WINDOW_S
        self.budget.share = FleetShare(
            nodes=len(self.sharing) + 1,
            recent=len(set(self.sharing.names) - settled) + (not is_settled),
            settled=is_settled,
        )

    def may_retry(self, now):
        return self.budget.spend("svc", now)


class SimulatedFleet:
    """Nodes that get requests to a service whose servers refuse all of them."""

    def __init__(self, count, requests_per_step):
        self.step = 0
        self.requests_per_step = requests_per_step
        names = [f"n{n}" for n in range(count)]
        self.nodes = [SimulatedNode(name, 0.0, names) for name in names]
        self.same_view = count > SAME_VIEW_NODES
        self.same_view_of = None
        # Number of steps by which arrivals are late, and those under way by step.
        self.late_steps = 0
        self.under_way = Counter()
        # The part of a divided fleet to which each node belongs, until a step.
        self.part = {}
        self.divided_until = -1
        # Last step in which a node is paused, by name.
        self.paused = {}
        self.requests = deque([0] * 3 * WINDOW_STEPS, 3 * WINDOW_STEPS)
        self.retries = deque([0] * WINDOW_STEPS, WINDOW_STEPS)
        # Greatest number of retries above what the rule allows, and of any window.
        self.worst = -math.inf
        self.most = 0

    @property
    def now(self):
        return self.step * STEP_S

    def restart(self, *nodes):
        for node in nodes:
            self.nodes[self.nodes.index(node)] = SimulatedNode(
                node.name, self.now, node.registered
            )

    def divide(self, steps, part_of):
        self.divided_until = self.step + steps
        self.part = {node.name: part_of(n) for n, node in enumerate(self.nodes)}

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._advance()

    def _advance(self):
        self.step += 1
        running = [
            node for node in self.nodes if self.paused.get(node.name, 0) < self.step
        ]
        divided = self.step <= self.divided_until
        requests = 0
        for node in running:
            for other in running if divided or not self.same_view else ():
                if not divided or self.part[node.name] == self.part[other.name]:
                    node.heard_at[other.name] = self.step
            node.update(self._alive(node, running, divided), self.now)
            for _ in range(self.requests_per_step):
                node.budget.count_request("svc", self.now)
                requests += 1
                while node.may_retry(self.now):
                    self.under_way[self.step + self.late_steps] += 1
        arrived = [step for step in self.under_way if step <= self.step]
        retries = sum(self.under_way.pop(step) for step in arrived)
        self.requests.append(requests)
        self.retries.append(retries)
        self._check()

    def _alive(self, node, running, divided):
        if self.same_view and not divided:
            if not self.same_view_of or self.same_view_of[0] != self.step:
                starts = {other.name: other.started_at for other in running}
                self.same_view_of = (self.step, starts)
            starts = dict(self.same_view_of[1])
            starts.pop(node.name)
            return starts
        started_at = {other.name: other.started_at for other in self.nodes}
        return {
            name: started_at[name]
            for name, step in node.heard_at.items()
            if name != node.name and self.step - step <= TIMEOUT_STEPS
        }

    def _check(self):
        counts = list(self.requests)
        half = WINDOW_STEPS // 2
        most = max(
            sum(counts[len(counts) - back - WINDOW_STEPS : len(counts) - back])
            for back in (0, half, WINDOW_STEPS)
        )
        self.most = max(self.most, sum(self.retries))
        self.worst = max(self.worst, sum(self.retries) - RATIO * most - SLACK)


# Guards against nodes that use a joint budget as if each were alone.
@pytest.mark.parametrize("count", [1, 2, 6, 15, 79, 410])
def test_nodes_together_stay_within_the_budget_and_use_it(count):
    fleet = SimulatedFleet(count, 1)
    fleet.run(3 * WINDOW_S)
    assert fleet.worst <= 0
    assert fleet.most >= 0.5 * (RATIO * count * WINDOW_STEPS + SLACK)


# Guards against BUDGET: a budget that is forgotten at each start.
def test_restarts_of_all_nodes_do_not_exceed_the_budget():
    for count, gap_s in product((1, 6, 15, 79), (1.0, 2.5, 6.0)):
        fleet = SimulatedFleet(count, 1)
        fleet.run(2 * WINDOW_S)
        for _ in range(6):
            fleet.restart(*fleet.nodes)
            fleet.run(gap_s)
        fleet.run(2 * WINDOW_S)
        assert fleet.worst <= 0, (count, gap_s, fleet.worst)


# Guards against BUDGET: a budget that is divided by the nodes that one node sees.
def test_a_divided_fleet_does_not_exceed_the_budget():
    for count, parts in product((2, 6, 15, 24), (2, 3, 1000)):
        fleet = SimulatedFleet(count, 1)
        fleet.run(WINDOW_S)
        fleet.divide(round(60 / STEP_S), lambda n, parts=parts: n % parts)
        fleet.run(60 + WINDOW_S)
        assert fleet.worst <= 0, (count, parts, fleet.worst)


# Guards against BUDGET: nodes that start together and hear nothing of each other.
def test_nodes_that_start_without_heartbeats_do_not_exceed_the_budget():
    for count in (2, 6, 15, 24):
        fleet = SimulatedFleet(count, 1)
        fleet.divide(round(30 / STEP_S), lambda n: n)
        fleet.run(50)
        assert fleet.worst <= 0, (count, fleet.worst)


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["restart", "all_restart", "some_restart", "divide", "pause", "late"]
        ),
        st.integers(0, 100),
        st.floats(0.25, 30.0),
        st.floats(0.25, 12.0),
    ),
    max_size=6,
)


@settings(max_examples=60)
@given(count=st.integers(1, 12), requests=st.integers(0, 3), faults=FAULTS)
def test_faults_of_nodes_do_not_exceed_the_budget(count, requests, faults):
    fleet = SimulatedFleet(count, requests)
    fleet.run(WINDOW_S)
    for kind, index, duration_s, pause_s in faults:
        steps = round(duration_s / STEP_S)
        match kind:
            case "restart":
                fleet.restart(fleet.nodes[index % count])
            case "all_restart":
                fleet.restart(*fleet.nodes)
            case "some_restart":
                fleet.restart(*fleet.nodes[:: 1 + index % 3])
            case "divide":
                fleet.divide(steps, lambda n, index=index: n % (2 + index % 4))
            case "pause":
                fleet.paused[fleet.nodes[index % count].name] = fleet.step + steps
            case "late":
                late_s = DELIVERY_MAX_S * (index % 3) / 2
                fleet.late_steps = round(late_s / STEP_S)
        fleet.run(pause_s)
    fleet.run(WINDOW_S)
    assert fleet.worst <= 0, fleet.worst
