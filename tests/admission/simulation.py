"""Simulate nodes that choose among engines by late reports, without a network."""

import random
from types import SimpleNamespace

from msgspec.structs import astuple, replace

from arbutusyard.admission.coordinator import AdmissionControl
from arbutusyard.admission.models import Admit, Reject, Ticket, Wait
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.models import EngineTraits, ServerEntry, ServerState, Service
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.routing.placement import ServerView, Work, choose, reserved_engines

TICK_S, REPORT_S, LOADING_S, DECODE_STEP_S = 0.005, 0.5, 2.5, 0.01
SLOTS, QUEUE, CACHE_TOKENS, PREFILL_TOKENS_S = 12, 36, 188_268, 56_100.0
SHARED_TOKENS, LARGE_TOKENS = 13_300, 4096
# Number of shared prompts, and how many of them an engine has cached at first.
GROUPS, CACHED_GROUPS = 600, 25
# Shared and own tokens, output tokens, objective, time limit, urgency.
CLASSES = {
    "long": (SHARED_TOKENS, 3720, 24, 1.56, 10.0, 2),
    "short": (0, 383, 9, 0.52, 5.0, 0),
}


class Engine:
    """Engine that admits by urgency and prefills in the order of admission."""

    def __init__(self, rng):
        self.cached = set(rng.sample(range(GROUPS), CACHED_GROUPS))
        self.running, self.queue = [], []
        self.loading_until = 0.0

    def is_full(self, now):
        full = len(self.running + self.queue) >= SLOTS + QUEUE
        return full or now < self.loading_until

    def advance(self, now):
        """Serve for a tick; return the runs that got their first event or ended."""
        self.queue.sort(key=lambda run: run.urgency)
        while self.queue and len(self.running) < SLOTS:
            call, held = self.queue[0].call, sum(r.call.tokens for r in self.running)
            if self.running and held + call.tokens > CACHE_TOKENS:
                break
            hit = call.name == "long" and call.group in self.cached
            self.queue[0].left = call.tokens - (SHARED_TOKENS if hit else 0)
            self.running.append(self.queue.pop(0))
        changed, budget = [], PREFILL_TOKENS_S * TICK_S
        for run in list(self.running):
            used = min(budget, run.left)
            budget, run.left = budget - used, run.left - used
            if run.left <= 0 and run.first_at is None:
                run.first_at = now
                self.cached.add(run.call.group)
                changed.append(run)
            elif run.first_at and now >= run.first_at + run.call.out * DECODE_STEP_S:
                self.running.remove(run)
                changed.append(run)
        return changed

    def cancel(self, run):
        for runs in (self.running, self.queue):
            runs[:] = [other for other in runs if other is not run]


class Fleet:
    """Nodes and engines; `calls` holds what clients sent and how it ended."""

    def __init__(self, controlled, nodes=40, engines=70, seed=1):
        self.controlled, self.rng, self.now = controlled, random.Random(seed), 0.0
        self.ids = [f"e{n}" for n in range(engines)]
        self.engines = {i: Engine(self.rng) for i in self.ids}
        self.totals = {i: [0, 0, 0, 0] for i in self.ids}
        self.reserved = reserved_engines(self.ids)
        self.nodes = [self._node(n) for n in range(nodes)]
        self.calls, self.pending, self.returning = [], [], []
        self.attempts = self.refused = 0

    def _node(self, n):
        ready, sent = ServerState.READY, {i: (0, 0, 0, 0) for i in self.ids}
        entries = [ServerEntry(i, 1, "svc", i, "z", ready, SLOTS, {}) for i in self.ids]
        servers = {entry.server_id: Server(entry) for entry in entries}
        traits = EngineTraits(SLOTS, CACHE_TOKENS, 1, 1.0, ())
        cfg = SimpleNamespace(services={"svc": Service("svc", 100, traits)})
        table = SimpleNamespace(get=servers.get, of_service=lambda _: servers.values())
        peers = SimpleNamespace(
            me=f"n{n}",
            load=lambda i: [self.totals[i][f] - sent[i][f] for f in (0, 1)],
            held_tokens=lambda i: self.totals[i][2] - sent[i][2],
            refusals=lambda i: self.totals[i][3] - sent[i][3],
        )
        state = SimpleNamespace(servers=table, catalog=SimpleNamespace(cfg=cfg))
        control = AdmissionControl(state, peers, DeferredMetrics())
        control.capacity.connection_cap = lambda service: 6
        node = SimpleNamespace(servers=servers, sent=sent, peers=peers, control=control)
        node.at = REPORT_S * self.rng.random()
        return node

    def report(self, node, server_ids):
        for i in server_ids:
            new = astuple(node.servers[i].load())[1:]
            for field in range(4):
                self.totals[i][field] += new[field] - node.sent[i][field]
            node.sent[i] = new

    def arrive(self, name, account=0):
        shared, own, out, *_ = CLASSES[name]
        call = SimpleNamespace(name=name, out=out, account=account, outcome="unserved")
        call.tokens = shared + int(min(20 * own, self.rng.expovariate(1 / own))) + 1
        call.group = self.rng.randrange(GROUPS) if shared else None
        call.began_at, call.retried = self.now, False
        self.calls.append(call)
        self.send(call)

    def send(self, call):
        """Send a call to a random node."""
        objective_s, limit_s, urgency = CLASSES[call.name][3:]
        call.node, call.tries, call.excluded = self.rng.choice(self.nodes), 0, set()
        call.gives_up_at = self.now + max(2.0, 4 * objective_s)
        left_s = call.began_at + limit_s - self.now
        call.ticket = Ticket(
            *("svc", call.name, urgency, self.now, objective_s, call.gives_up_at),
            *(limit_s, left_s, call.tokens, call.tokens + call.out),
        )
        call.ticket.wake = lambda: setattr(call, "step_at", self.now)
        call.run, call.step_at = None, self.now
        self.pending.append(call)

    def step(self, call):
        """Let a node decide about a call until it waits, is sent or is rejected."""
        control = call.node.control
        while call.tries <= 2:
            match control.enter(call.ticket, self.now) if self.controlled else Admit():
                case Wait(wait_s=wait_s):
                    call.step_at = self.now + wait_s
                    return call.excluded.clear()
                case Reject(retry_after_s=retry_after_s):
                    return self.reject(call, retry_after_s)
            view = self.place(call)
            if view is not None and self.dispatch(call, view):
                return None
            call.tries += view is not None
            if view is None and not control.found_none(call.ticket, self.now):
                break
        return self.reject(call, 0.3)

    def place(self, call):
        node, ticket, views = call.node, call.ticket, []
        shared = SHARED_TOKENS if call.group is not None else 0
        work = Work("z", call.tokens, shared, ticket.objective_s, not shared)
        for i, server in node.servers.items():
            if self.now < self.engines[i].loading_until or i in call.excluded:
                continue
            hit = call.group in self.engines[i].cached
            own = (server.in_flight, server.prompt_tokens)
            counts = (a + b for a, b in zip(own, node.peers.load(i), strict=True))
            traits = (False, 0.0, False, 0, 0.0, i in self.reserved)
            costs = (0 if hit else shared, False, self.rng.uniform(0.0, 0.02))
            view = ServerView(i, "z", SLOTS, *counts, hit * shared, *traits, *costs)
            views.append(replace(view, tokens_s=PREFILL_TOKENS_S))
        if not self.controlled:
            return choose(work, views) if views else None
        views = [v for v in views if node.control.has_room(v, work, self.now)]
        return node.control.capacity.choose(work, views) if views else None

    def dispatch(self, call, view):
        """Send a call to an engine; return whether it was accepted."""
        i, node = view.server_id, call.node
        server = node.servers[i]
        if self.controlled:
            node.control.start(call.ticket, server, self.now)
        urgency = 9 if call.ticket.late else call.ticket.urgency
        run = SimpleNamespace(call=call, server=server, first_at=None, urgency=urgency)
        run.tokens = max(0, call.tokens - view.cached_tokens)
        self.attempts += 1
        if self.engines[i].is_full(self.now):
            self.refused += 1
            call.excluded.add(i)
            if node.control.end_attempt(call.ticket, True, self.now):
                self.report(node, [i])
            return False
        call.run = run
        self.engines[i].queue.append(run)
        server.count_sent(run.tokens, self.now)
        if run.tokens > LARGE_TOKENS:
            self.report(node, [i])
        return True

    def end_prefill(self, run):
        run.server.prompt_tokens -= run.tokens
        if run.tokens > LARGE_TOKENS:
            self.report(run.call.node, [run.server.entry.server_id])
        run.tokens = 0

    def end_call(self, call):
        self.pending.remove(call)
        if call.run is not None:
            self.end_prefill(call.run)
            call.run.server.in_flight -= 1
            self.engines[call.run.server.entry.server_id].cancel(call.run)
        call.node.control.finish(call.ticket, self.now)

    def reject(self, call, retry_after_s):
        self.end_call(call)
        left_s = call.began_at + CLASSES[call.name][4] - self.now
        if not call.retried:
            call.retried, call.step_at = True, self.now + min(retry_after_s, left_s / 3)
            self.returning.append(call)

    def tick(self, rates):
        """Advance by one tick with rates by class and account, per second."""
        self.now += TICK_S
        for (name, account), rate_s in rates.items():
            expected = rate_s * TICK_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.arrive(name, account)
        for call in [c for c in self.returning if c.step_at <= self.now]:
            self.returning.remove(call)
            self.send(call)
        for node in self.nodes:
            if self.now >= node.at:
                node.at += REPORT_S
                node.control.tick(self.now)
                self.report(node, self.ids)
        for call in list(self.pending):
            if self.now >= call.gives_up_at and not (call.run and call.run.first_at):
                self.end_call(call)
            elif call.run is None and call.step_at <= self.now:
                self.step(call)
        for engine in self.engines.values():
            for run in engine.advance(self.now):
                if run.first_at < self.now:
                    self.end_call(run.call)
                else:
                    self.end_prefill(run)
                    late = self.now - run.call.began_at > CLASSES[run.call.name][3]
                    run.call.outcome = "late" if late else "on_time"

    def play(self, *phases):
        """Play phases of a duration in seconds, engines that load, and rates."""
        for duration_s, loading, rates in phases:
            for i in self.ids[:loading]:
                self.engines[i].loading_until = self.now + LOADING_S
                self.engines[i].cached.clear()
            until = self.now + duration_s
            while self.now < until:
                self.tick(rates)
        return self
