"""Requests of all nodes together stay within the limit that a server names."""

import math
import random
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.fleet.messages import ServerLimitReport
from arbutusyard.limits.const import (
    LIMIT_RAISE_DELAY_S,
    LIMIT_REPORTERS,
    LIMIT_REPORTS_MAX,
    LIMIT_RETENTION_S,
    SHARE_RETENTION_S,
    SHARE_START_DELAY_S,
)
from arbutusyard.limits.server_limits import ServerLimits

SERVER = ("s", 1)
# The platform's rule: from CONTACT_S after a limit was first named, a server gets at
# most FACTOR times the limit over WINDOW_S plus SLACK requests, summed over the nodes
# that passed on such an answer TOLD_S before or earlier.
CONTACT_S, WINDOW_S, FACTOR, SLACK, TOLD_S = 3.0, 4.0, 1.5, 5, 0.5
# Step of the simulated time, in seconds, and steps between two heartbeats of a node.
STEP_S = 0.05
HEARTBEAT_STEPS = 5
# Delay of a datagram and of an answer, in steps.
DATAGRAM_STEPS = 1
ANSWER_STEPS = 2
# Time after which a node takes a silent one for dead, in steps.
TIMEOUT_STEPS = 25
# Number of nodes above which all have the same view, which is faster to simulate.
SAME_VIEW_NODES = 12


class SimulatedNode:
    """One node with its own view of the others, and as much demand as it can send."""

    def __init__(self, name, next_at):
        self.name = name
        self.limits = ServerLimits(name)
        self.heard_at = {}
        self.told_at = math.inf
        # When the node sends its next request, as long as it knows no limit.
        self.next_at = next_at

    def sees(self, now):
        """Return the names of this node and of those that it takes for alive."""
        limit_s = TIMEOUT_STEPS * STEP_S
        alive = [name for name, at in self.heard_at.items() if now - at <= limit_s]
        return [self.name, *alive]


class SimulatedFleet:
    """Nodes that all send to one server as much as they may."""

    def __init__(self, count, rate_s, seed, loss=0.0):
        self.rng = random.Random(seed)
        self.rate_s = rate_s
        self.loss = loss
        # The limit that the server states, and when it first stated one.
        self.limit_s = None
        self.named_at = math.inf
        self.now = 0.0
        self.step = 0
        self.nodes = [
            SimulatedNode(f"n{n}", self.rng.uniform(0.0, count / rate_s))
            for n in range(count)
        ]
        self.same_view = count > SAME_VIEW_NODES
        self.all_names = frozenset(node.name for node in self.nodes)
        self.events = deque()
        self.arrivals = deque()
        self.total = 0
        # Last step in which a node is cut off from the others, or paused, by name.
        self.cut = {}
        self.paused = {}
        # When nodes started again, which excuses them. The rule also excuses nodes that
        # are cut off or paused, but their shares stay theirs.
        self.restarted_at = {}
        # Greatest number of requests above what the rule allows.
        self.worst = 0.0

    def name_limit(self, limit_s):
        self.limit_s = limit_s
        self.named_at = min(self.named_at, self.now)

    def restart(self, node):
        self.nodes[self.nodes.index(node)] = SimulatedNode(node.name, self.now)
        # A node that starts while it is cut off cannot know of the others.
        cut_until = self.cut.get(node.name, 0) * STEP_S
        self.restarted_at[node.name] = max(self.now, cut_until)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._advance()

    def _advance(self):
        self.step += 1
        self.now = self.step * STEP_S
        while self.events and self.events[0][0] <= self.step:
            _, deliver = self.events.popleft()
            deliver()
        for node in self.nodes:
            if self.paused.get(node.name, 0) >= self.step:
                continue
            if (self.step + heartbeat_phase(node.name)) % HEARTBEAT_STEPS == 0:
                names = self.all_names if self.same_view else node.sees(self.now)
                node.limits.update_nodes(names, self.now)
                node.limits.sweep(lambda incarnation: True, self.now)
                reports = node.limits.reports(self.now)
                if reports or not self.same_view:
                    self._broadcast(node, reports, True)
            self._send(node)

    def _later(self, steps, deliver):
        # All delays are constants, so insertion keeps the order after a short search.
        at = self.step + steps
        index = len(self.events)
        while index and self.events[index - 1][0] > at:
            index -= 1
        self.events.insert(index, (at, deliver))

    def _broadcast(self, node, reports, heartbeat):
        if self.cut.get(node.name, 0) >= self.step:
            return
        for other in self.nodes:
            if other is node or self.cut.get(other.name, 0) >= self.step:
                continue
            if self.loss and self.rng.random() < self.loss:
                continue
            self._later(
                DATAGRAM_STEPS,
                lambda other=other: self._receive(node, other, reports, heartbeat),
            )

    def _receive(self, sender, receiver, reports, heartbeat):
        if heartbeat:
            receiver.heard_at[sender.name] = self.now
        receiver.limits.apply_reports(reports, self.now)

    def _send(self, node):
        known = node.limits.limit_s(SERVER) is not None
        if not known:
            # Without a limit the demand is spread evenly over the nodes.
            if self.now < node.next_at:
                return
            mean_s = len(self.nodes) / self.rate_s
            node.next_at = self.now + self.rng.uniform(0.5, 1.5) * mean_s
        elif node.limits.wait_s(SERVER, self.now) > 0:
            return
        node.limits.count_sent(SERVER, self.now)
        self._arrive(node)
        limit_s = self.limit_s
        self._later(ANSWER_STEPS, lambda: self._answer(node, limit_s))

    def _answer(self, node, limit_s):
        report = node.limits.observe(SERVER, limit_s, self.now)
        if limit_s is not None:
            node.told_at = min(node.told_at, self.now)
        if report is not None:
            self._broadcast(node, (report,), False)

    def _arrive(self, node):
        restarted_at = self.restarted_at.get(node.name, -math.inf)
        excused = self.now - restarted_at <= CONTACT_S
        self.arrivals.append((self.now, node, excused))
        self.total += 1
        while self.arrivals[0][0] < self.now - WINDOW_S:
            self.arrivals.popleft()
        if self.limit_s is None or self.now < self.named_at + CONTACT_S:
            return
        counted = sum(
            not was_excused and sender.told_at <= self.now - TOLD_S
            for _, sender, was_excused in self.arrivals
        )
        self.worst = max(self.worst, counted - FACTOR * self.limit_s * WINDOW_S - SLACK)


def heartbeat_phase(name):
    """Return the step, of HEARTBEAT_STEPS, in which a node sends its heartbeats."""
    return sum(name.encode()) % HEARTBEAT_STEPS


def started_fleet(count, rate_s, seed, loss=0.0):
    fleet = SimulatedFleet(count, rate_s, seed, loss)
    fleet.run(SHARE_START_DELAY_S + 1.5)
    return fleet


# Guards against nodes that keep a server's limit each by itself, or not at all.
@pytest.mark.parametrize("count", [1, 2, 3, 4, 8, 24, 79, 410])
@pytest.mark.parametrize("limit_s", [0.0, 0.3, 1.8, 12.0, 200.0])
def test_nodes_together_keep_a_limit_and_use_it(count, limit_s):
    fleet = started_fleet(count, max(2.0, 2 * limit_s), 1)
    fleet.name_limit(limit_s)
    fleet.run(8.0)
    sent = fleet.total
    # Long enough for some requests of each node that has a share.
    seconds = 10.0 if limit_s > 1 else 40.0
    fleet.run(seconds)
    assert fleet.worst <= 0
    # A node can send at most once in each step of the simulation.
    most = min(limit_s, count / STEP_S)
    assert fleet.total - sent >= 0.7 * seconds * most


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["restart", "cut", "pause", "all_restart"]),
        st.integers(0, 100),
        st.floats(0.1, 6.0),
        st.floats(0.05, 3.0),
    ),
    max_size=6,
)


# Guards against an excess while nodes start, are cut off or paused, and while their
# views of each other differ.
@settings(max_examples=60)
@given(
    count=st.integers(1, 12),
    limit_s=st.floats(0.3, 20.0),
    loss=st.sampled_from([0.0, 0.1, 0.3]),
    faults=FAULTS,
    seed=st.integers(0, 1000),
)
def test_faults_of_nodes_do_not_make_the_others_exceed_a_limit(
    count, limit_s, loss, faults, seed
):
    fleet = started_fleet(count, 4 * limit_s, seed, loss)
    fleet.name_limit(limit_s)
    fleet.run(1.0)
    for kind, index, duration_s, pause_s in faults:
        node = fleet.nodes[index % count]
        last_step = fleet.step + round(duration_s / STEP_S)
        match kind:
            case "restart":
                fleet.restart(node)
            case "all_restart":
                for each in list(fleet.nodes):
                    fleet.restart(each)
            case "cut":
                fleet.cut[node.name] = last_step
                if fleet.now - fleet.restarted_at.get(node.name, -math.inf) < 1.0:
                    fleet.restarted_at[node.name] = last_step * STEP_S
            case "pause":
                fleet.paused[node.name] = last_step
        fleet.run(pause_s)
    fleet.run(6.0)
    assert fleet.worst <= 0, fleet.worst


def test_a_limit_ends_for_all_nodes_soon_after_answers_state_none():
    fleet = started_fleet(8, 20.0, 3)
    fleet.name_limit(1.8)
    fleet.run(6.0)
    fleet.limit_s = None
    fleet.run(2 / 1.8 + LIMIT_RAISE_DELAY_S + 1.0)
    assert all(node.limits.limit_s(SERVER) is None for node in fleet.nodes)
    sent = fleet.total
    fleet.run(2.0)
    assert fleet.total - sent >= 30


def test_a_higher_limit_is_applied_once_no_lower_one_was_stated_for_a_while():
    limits = ServerLimits("a")
    limits.observe(SERVER, 2.0, 10.0)
    limits.observe(SERVER, 5.0, 10.9)
    assert limits.limit_s(SERVER) == 2.0
    limits.observe(SERVER, 5.0, 11.0 + LIMIT_RAISE_DELAY_S)
    assert limits.limit_s(SERVER) == 5.0
    limits.observe(SERVER, 1.0, 12.1)
    assert limits.limit_s(SERVER) == 1.0


def test_an_older_report_does_not_replace_a_newer_answer():
    limits = ServerLimits("a")
    limits.observe(SERVER, 2.0, 10.0)
    limits.observe(SERVER, None, 20.0)
    limits.apply_reports((ServerLimitReport(*SERVER, 2.0, 5.0),), 20.5)
    assert limits.limit_s(SERVER) is None
    limits.apply_reports((ServerLimitReport(*SERVER, 2.0, 0.1),), 21.0)
    assert limits.limit_s(SERVER) == 2.0


def test_another_incarnation_starts_without_a_limit():
    limits = ServerLimits("a")
    limits.update_nodes(["a"], 0.0)
    limits.observe(SERVER, 2.0, 0.0)
    assert limits.wait_s(SERVER, 0.1) > 0
    assert limits.wait_s(("s", 2), 0.1) == 0


def test_a_node_that_starts_uses_no_share_before_it_knows_the_others():
    limits = ServerLimits("a")
    limits.update_nodes(["a"], 0.0)
    limits.observe(SERVER, 50.0, 0.0)
    assert limits.wait_s(SERVER, 0.5) >= SHARE_START_DELAY_S - 0.5
    for step in range(20):
        limits.update_nodes(["a", "b"], 0.25 * step)
    assert limits.wait_s(SERVER, 5.0) == 0


def test_a_suspended_process_does_not_take_the_shares_of_the_others():
    limits = ServerLimits("a")
    names = ["a", *(f"n{n}" for n in range(7))]
    for step in range(20):
        limits.update_nodes(names, 0.25 * step)
    limits.observe(SERVER, 8.0, 5.0)
    # On its return all others look dead until their heartbeats are read.
    limits.update_nodes(["a"], 5.0 + 60.0)
    sent = 0
    for step in range(80):
        if not limits.wait_s(SERVER, 65.0 + step * STEP_S):
            limits.count_sent(SERVER, 65.0 + step * STEP_S)
            sent += 1
    assert sent <= 8.0 / 8 * 4.0 + 1


def test_the_share_of_a_lost_node_is_used_again_after_a_while():
    limits = ServerLimits("a")
    now = 0.0
    while now < 5.0:
        limits.update_nodes(["a", "b"], now)
        now += 0.25
    limits.observe(SERVER, 10.0, now)

    def sent_in_s(seconds):
        nonlocal now
        count = 0
        for _ in range(round(seconds / 0.05)):
            now += 0.05
            limits.update_nodes(["a"], now)
            if limits.wait_s(SERVER, now) <= 0:
                limits.count_sent(SERVER, now)
                count += 1
        return count

    assert sent_in_s(SHARE_RETENTION_S - 2.0) <= 5.0 * (SHARE_RETENTION_S - 2.0) + 3
    sent_in_s(4.0)
    assert sent_in_s(4.0) >= 36


def test_a_node_without_a_share_forgets_a_limit_that_no_node_reports():
    limits = ServerLimits("a")
    limits.update_nodes([f"n{n}" for n in range(9)], 0.0)
    limits.observe(SERVER, 2.0, 0.0)
    assert limits.wait_s(SERVER, 1.0) == math.inf
    assert 0 < limits.retry_in_s(SERVER, 1.0) <= 0.5
    limits.sweep(lambda incarnation: True, LIMIT_RETENTION_S)
    assert limits.wait_s(SERVER, LIMIT_RETENTION_S) == math.inf
    limits.sweep(lambda incarnation: True, LIMIT_RETENTION_S + 0.1)
    assert limits.wait_s(SERVER, LIMIT_RETENTION_S + 0.1) == 0


def test_a_node_that_has_gained_a_share_does_not_forget_the_limit():
    limits = ServerLimits("a")
    limits.update_nodes([f"n{n}" for n in range(9)], 0.0)
    limits.observe(SERVER, 2.0, 0.0)
    for step in range(4 * 40):
        limits.update_nodes(["a"], 0.25 * step)
    limits.sweep(lambda incarnation: True, 40.0)
    assert limits.limit_s(SERVER) == 2.0
    limits.sweep(lambda incarnation: False, 40.0)
    assert limits.limit_s(SERVER) is None


def test_earlier_requests_delay_the_first_ones_under_a_limit_and_nodes_take_turns():
    # While two engines got nothing for 4 s, the others were flooded.
    names = ["a", "b", "c", "d"]
    waits = {}
    for sent in (0, 3, 40):
        for name in names:
            limits = ServerLimits(name)
            for step in range(20):
                limits.update_nodes(names, 0.25 * step)
            for _ in range(sent):
                limits.count_sent(SERVER, 4.9)
            limits.observe(SERVER, 2.0, 5.0)
            waits[sent, name] = limits.wait_s(SERVER, 5.0)
    assert sorted(waits[0, name] for name in names) == pytest.approx([0, 0.5, 1, 1.5])
    assert sorted(waits[3, name] for name in names) == pytest.approx([0, 0.5, 1, 1.5])
    assert min(waits[40, name] for name in names) >= CONTACT_S


@pytest.mark.parametrize("count", [2, 8])
def test_nodes_keep_a_limit_that_is_lowered_while_it_holds(count):
    fleet = started_fleet(count, 30.0, 5)
    fleet.name_limit(12.0)
    fleet.run(8.0)
    fleet.name_limit(2.0)
    # The requests of the last window were within the limit that held then.
    fleet.run(WINDOW_S)
    fleet.worst = 0.0
    fleet.run(8.0)
    assert fleet.worst <= 0


def test_few_nodes_repeat_a_limit_in_few_reports():
    names = [f"n{n}" for n in range(40)]
    reporters = 0
    for name in names:
        limits = ServerLimits(name)
        limits.update_nodes(names, 0.0)
        limits.observe(SERVER, 2.0, 0.0)
        reporters += bool(limits.reports(0.0))
    assert reporters == LIMIT_REPORTERS
    limits = ServerLimits("a")
    limits.update_nodes(["a"], 0.0)
    for number in range(3 * LIMIT_REPORTS_MAX):
        limits.observe((f"s{number}", 1), 2.0, 0.0)
    reported = [report for _ in range(3) for report in limits.reports(0.0)]
    assert len(reported) == len(set(reported)) == 3 * LIMIT_REPORTS_MAX


def test_requests_of_which_nothing_was_sent_are_not_counted():
    limits = ServerLimits("a")
    for step in range(20):
        limits.update_nodes(["a"], 0.25 * step)
    limits.observe(SERVER, 1.0, 5.0)
    for _ in range(3):
        assert limits.wait_s(SERVER, 5.1) == 0
        limits.count_sent(SERVER, 5.1)
        assert limits.wait_s(SERVER, 5.1) > 0.5
        limits.give_back(SERVER)
