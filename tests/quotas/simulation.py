"""Nodes that enforce quotas over a simulated network, store and clocks."""

import random
from collections import defaultdict
from functools import partial
from heapq import heappop, heappush
from itertools import count

from arbutusyard.fleet.const import PEER_REREAD_S, PEER_TIMEOUT_S
from arbutusyard.fleet.messages import QuotaSync
from arbutusyard.gateway.models import AccountQuota
from arbutusyard.limits.const import BUDGET_RETENTION_S
from arbutusyard.limits.sharing import SharingNodes
from arbutusyard.quotas.const import ASK_REPEAT_S
from arbutusyard.quotas.leader import QuotaLeader
from arbutusyard.quotas.member import QuotaMember
from arbutusyard.quotas.models import Charge, Grant, QuotaLimits, QuotaRule

RULE = QuotaRule(8.0, 0.1, 190_000)
# Time within which the operators' configuration is applied, in seconds.
CONFIG_APPLY_S = 3.0
# Number of nodes above which all have the same view, which is faster to simulate.
SAME_VIEW_NODES = 20


class SimulatedGrant(Grant):
    """A grant, and after how long its request is found not to have run, if ever."""

    refunded_in_s: float | None = None


class SimulatedNode:
    """One process of a node."""

    def __init__(self, world, name, rank):
        self.world, self.name, self.rank = world, name, rank
        self.offset_s = world.rng.uniform(0.0, 1e6)
        self.drift = world.rng.uniform(-0.002, 0.002)
        self.incarnations = count(1)
        self.running = False
        self.frozen_until = 0.0
        self.inbox = []

    def start(self, had_row, registers_in_s):
        self.running, self.frozen_until, self.inbox = True, 0.0, []
        self.incarnation = next(self.incarnations)
        self.member = QuotaMember(self.name, self.incarnation, self.now)
        self.leader = QuotaLeader(self.name, self.incarnation)
        self.sharing = SharingNodes(BUDGET_RETENTION_S)
        self.known, self.heard_at, self.grants = set(), {}, {}
        self.knows_all = False
        self.configure()
        self.world.after(registers_in_s, self._if_same(self._register), had_row)
        self.world.after(self.world.rng.random() * 0.2, self._if_same(self._tick))

    def _if_same(self, func):
        incarnation = self.incarnation

        def call(*args):
            if self.running and self.incarnation == incarnation:
                if self.world.now < self.frozen_until:
                    self.world.at(self.frozen_until, call, *args)
                else:
                    func(*args)

        return call

    @property
    def now(self):
        return self.offset_s + self.world.now * (1 + self.drift)

    @property
    def acts(self):
        return self.running and self.world.now >= self.frozen_until

    def _register(self, had_row):
        self.world.rows.add(self.name)
        self.known |= self.world.rows - {self.name}
        self.knows_all = had_row
        self.world.after(PEER_REREAD_S, self._if_same(self._reread))

    def _reread(self):
        self.known |= self.world.rows - {self.name}
        self.knows_all = True

    def configure(self):
        limits = {
            n: QuotaLimits.of(q, self.world.rule) for n, q in self.world.quotas.items()
        }
        names = frozenset(limits)
        self.member.configure(limits, self.now)
        self.leader.configure(limits, names, self.world.rule.window_s, self.now)

    def _tick(self):
        world, now = self.world, self.now
        if len(world.nodes) > SAME_VIEW_NODES:
            ranked, alive = world.names, world.names
        else:
            for other in world.nodes.values():
                if other.acts and world.reach(self, other):
                    self.heard_at[other.name] = now
            alive = [n for n, at in self.heard_at.items() if now - at < PEER_TIMEOUT_S]
            alive.append(self.name)
            ranked = sorted(set(alive), key=lambda n: world.rank_of(self, n))
        others = frozenset(alive) - {self.name}
        self.sharing.update(others, now, expected=self.known)
        nodes = len(self.sharing) + 1
        standby = world.standby is not None and self.rank >= world.standby
        self.member.set_nodes(nodes, self.knows_all, standby, now)
        self.leader.set_nodes(nodes, self.knows_all, now)
        self.member.choose_leader(ranked, now)
        for target in self.member.targets():
            self.send(target, self.member.sync(target, now))
        pause_s = self.member.interval_s * world.rng.uniform(0.9, 1.0)
        world.after(pause_s, self._if_same(self._tick))

    def send(self, target, sync):
        if target == self.name:
            self._apply(self.leader.handle(sync, self.now))
        else:
            self.world.send(self, target, sync)

    def receive(self, datagram):
        if not self.running:
            return
        if not self.acts:
            self.inbox.append(datagram)
        elif isinstance(datagram, QuotaSync):
            answer = self.leader.handle(datagram, self.now)
            self.world.send(self, datagram.name, answer)
        else:
            self._apply(datagram)

    def thaw(self):
        inbox, self.inbox = self.inbox, []
        for datagram in inbox:
            self.receive(datagram)

    def _apply(self, answer):
        ask = self.member.apply_answer(answer, self.now)
        if ask is not None and ask.ask_id in self.grants:
            charge = Charge(ask.leader, ask.incarnation, ask.decision.at)
            grant = self.grants.pop(ask.ask_id)
            self.member.end_ask(ask)
            self._finish(grant, charge, ask.decision)

    def request(self, account, cost, wait_s=1.0, refunded_in_s=None):
        """Send a client's request to this node."""
        if not self.acts:
            return
        grant = SimulatedGrant(account, cost, wait_s, refunded_in_s=refunded_in_s)
        charge = self.member.spend_credit(account, cost, self.now)
        if charge is not None:
            self._finish(grant, charge, None)
        else:
            self._decide(grant, self.now + wait_s)

    def _decide(self, grant, wait_until):
        now = self.now
        target = self.member.ask_target(now)
        if target == self.name:
            decision = self.leader.decide(grant.account, grant.cost, now)
            charge = Charge(target, self.incarnation, decision.at)
            self._finish(grant, charge, decision)
        elif now >= wait_until or not self.member.has_leader(now):
            self.world.count("unknown", grant)
        else:
            ask = self.member.ask(grant.account, grant.cost, now)
            self.grants[ask.ask_id] = grant
            self._send_ask(ask, wait_until)

    def _send_ask(self, ask, wait_until):
        now = self.now
        if ask.ask_id not in self.grants:
            return
        if now >= min(wait_until, ask.sent_at + self.member.fresh_s(ask.account)):
            self.member.end_ask(ask)
            self._decide(self.grants.pop(ask.ask_id), wait_until)
            return
        self.send(ask.leader, self.member.sync(ask.leader, now, ask))
        self.world.after(ASK_REPEAT_S, self._if_same(self._send_ask), ask, wait_until)

    def _finish(self, grant, charge, decision):
        if decision is not None and not decision.is_granted:
            is_unknown = decision.retry_after_s < 0
            self.world.count("unknown" if is_unknown else "rejected", grant)
            return
        grant.charges.append(charge)
        self.world.count("granted", grant)
        if grant.refunded_in_s is None:
            self.world.uses[grant.account].append((self.world.now, grant.cost))
        else:
            refund = self._if_same(lambda: self.member.refund(grant, self.now))
            self.world.after(grant.refunded_in_s, refund)


class World:
    """The nodes, their network, the store's rows and the configuration."""

    def __init__(
        self, nodes, quotas, seed=0, fresh=False, standby=None, rule=RULE, gap_s=0.0
    ):
        self.rule = rule
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events, self._order = [], count()
        self.quotas = quotas
        self.quota_history = [(0.0, dict(quotas))]
        self.rows = set()
        # Rank from which on nodes are standby nodes, if any are.
        self.standby = standby
        # Delay of datagrams, and the fractions of them that are lost and doubled.
        self.delay_s, self.lost, self.doubled = (0.0014, 0.0034), 0.0, 0.0
        self.part = {}
        self.uses = defaultdict(list)
        self.totals = defaultdict(float)
        self.nodes = {}
        for n in range(nodes):
            self.nodes[f"n{n}"] = SimulatedNode(self, f"n{n}", n)
        self.names = list(self.nodes)
        if not fresh:
            self.rows = set(self.nodes)
        for n, node in enumerate(self.nodes.values()):
            node.start(had_row=not fresh, registers_in_s=0.1 + n * gap_s)

    def at(self, at, func, *args):
        heappush(self._events, (at, next(self._order), func, args))

    def after(self, delay_s, func, *args):
        self.at(self.now + delay_s, func, *args)

    def run(self, seconds):
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, func, args = heappop(self._events)
            func(*args)
        self.now = until

    def rank_of(self, viewer, name):
        return self.nodes[name].rank

    def reach(self, sender, receiver):
        return self.part.get(sender.name, 0) == self.part.get(receiver.name, 0)

    def send(self, sender, name, datagram):
        receiver = self.nodes[name]
        if not self.reach(sender, receiver) or self.rng.random() < self.lost:
            return
        for _ in range(1 + (self.rng.random() < self.doubled)):
            delay_s = self.rng.uniform(*self.delay_s)
            self.after(delay_s, receiver.receive, datagram)

    def count(self, result, grant):
        self.totals[result, grant.account] += grant.cost

    def join(self):
        name = f"n{len(self.nodes)}"
        self.nodes[name] = SimulatedNode(self, name, self.rng.random() * 20 - 10)
        self.names = list(self.nodes)
        self.nodes[name].start(had_row=False, registers_in_s=0.1)

    def crash(self, name, back_in_s):
        node = self.nodes[name]
        if not node.running:
            return
        node.running = False
        self.after(back_in_s, node.start, name in self.rows, 0.1)

    def freeze(self, name, seconds):
        node = self.nodes[name]
        if node.acts:
            node.frozen_until = self.now + seconds
            self.after(seconds, node.thaw)

    def change_quota(self, account, **quota):
        self.quotas = {**self.quotas, account: AccountQuota(**quota)}
        self.quota_history.append((self.now, self.quotas))
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0.0, CONFIG_APPLY_S)
            self.after(delay_s, lambda n: n.running and n.configure(), node)

    def load(self, names, account, cost, per_s, seconds, refunded=0.0):
        """Send requests at random times to random nodes of some."""
        names = list(names)

        def send():
            node = self.nodes[self.rng.choice(names)]
            delay_s = self.rng.uniform(0, 2.0) if self.rng.random() < refunded else None
            size = cost() if callable(cost) else cost
            node.request(account, size, 1.0, delay_s)

        at = self.now
        while (at := at + self.rng.expovariate(per_s)) < self.now + seconds:
            self.at(at, send)

    def burst(self, name, account, cost, requests, refunded_in_s=None):
        send = partial(self.nodes[name].request, account, cost, 1.0, refunded_in_s)
        for _ in range(requests):
            self.after(0.0, send)

    def worst(self, account):
        """Return the most that a window exceeds what it may contain; below 0 if none.

        A window may contain what the highest quota allows that was in force in it, or
        within the time to apply the configuration before it.
        """
        uses = sorted(self.uses[account])
        worst, total, start = float("-inf"), 0.0, 0
        for at, cost in uses:
            total += cost
            while uses[start][0] < at - self.rule.window_s:
                total -= uses[start][1]
                start += 1
            worst = max(worst, total - self._allowed(account, at))
        return worst

    def _allowed(self, account, at):
        since = at - self.rule.window_s - CONFIG_APPLY_S
        ends = [t for t, _ in self.quota_history[1:]] + [float("inf")]
        return max(
            (quota.rate_s * self.rule.window_s + quota.burst)
            * (1 + self.rule.overshoot)
            + self.rule.slack
            for (start, quotas), end in zip(self.quota_history, ends, strict=True)
            if start <= at and end >= since
            for quota in [quotas[account]]
        )
