"""Simulate nodes that choose among engines by late reports, without a network."""

import random
from types import SimpleNamespace

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
VALUES = {("long", "on_time"): 2.6, ("long", "late"): 1.2}
VALUES |= {("short", "on_time"): 2.3, ("short", "late"): 0.27}


class Engine:
    """Engine that admits by urgency and prefills in the order of admission."""

    def __init__(self, groups):
        self.running, self.queue, self.cached = [], [], set(groups)
        self.loading_until = 0.0

    def submit(self, run, now):
        if now < self.loading_until or len(self.running + self.queue) >= SLOTS + QUEUE:
            return False
        self.queue.append(run)
        return True

    def advance(self, now):
        """Serve for one tick; return the runs that got their first event or ended."""
        self.queue.sort(key=lambda run: run.urgency)
        while self.queue and len(self.running) < SLOTS:
            call = self.queue[0].call
            held = sum(run.call.tokens for run in self.running)
            if self.running and held + call.tokens > CACHE_TOKENS:
                break
            hit = call.name == "long" and call.group in self.cached
            self.queue[0].left = call.tokens - (SHARED_TOKENS if hit else 0)
            self.running.append(self.queue.pop(0))
        changed, budget = [], PREFILL_TOKENS_S * TICK_S
        for run in list(self.running):
            used = min(budget, run.left)
            budget -= used
            run.left -= used
            if run.left <= 0 and run.first_at is None:
                run.first_at = now
                self.cached.add(run.call.group)
                changed.append(run)
            elif run.first_at and now >= run.first_at + run.call.out * DECODE_STEP_S:
                self.running.remove(run)
                changed.append(run)
        return changed

    def cancel(self, run):
        self.running = [other for other in self.running if other is not run]
        self.queue = [other for other in self.queue if other is not run]


class Fleet:
    """Nodes and engines; `calls` holds what clients sent and how it ended."""

    def __init__(self, controlled, nodes=40, engines=70, seed=1):
        self.controlled, self.rng, self.now = controlled, random.Random(seed), 0.0
        self.ids = [f"e{n}" for n in range(engines)]
        cached = [self.rng.sample(range(GROUPS), CACHED_GROUPS) for _ in self.ids]
        self.engines = {
            i: Engine(groups) for i, groups in zip(self.ids, cached, strict=True)
        }
        self.totals = {i: [0, 0, 0, 0] for i in self.ids}
        self.reserved = reserved_engines(self.ids)
        self.nodes = [self._node(n) for n in range(nodes)]
        self.calls, self.pending, self.returning = [], [], []
        self.attempts = self.refused = 0

    def _node(self, n):
        servers, sent = {}, {i: (0, 0, 0, 0) for i in self.ids}
        for i in self.ids:
            entry = ServerEntry(i, 1, "svc", i, "z", ServerState.READY, SLOTS, {})
            servers[i] = Server(entry)
        cfg = SimpleNamespace(
            services={
                "svc": Service(
                    "svc", 100, EngineTraits(SLOTS, CACHE_TOKENS, 1, 1.0, ())
                )
            }
        )
        table = SimpleNamespace(
            get=servers.get, of_service=lambda _: list(servers.values())
        )
        peers = SimpleNamespace(
            me=f"n{n}",
            load=lambda i: [self.totals[i][f] - sent[i][f] for f in (0, 1)],
            held_tokens=lambda i: self.totals[i][2] - sent[i][2],
            refusals=lambda i: self.totals[i][3] - sent[i][3],
        )
        state = SimpleNamespace(servers=table, catalog=SimpleNamespace(cfg=cfg))
        control = AdmissionControl(state, peers, DeferredMetrics())
        control.capacity.connection_cap = lambda service: 6
        report_at = REPORT_S * self.rng.random()
        return SimpleNamespace(
            servers=servers, sent=sent, peers=peers, control=control, at=report_at
        )

    def report(self, node, server_ids):
        for i in server_ids:
            load = node.servers[i].load()
            new = (load.in_flight, load.prompt_tokens, load.held_tokens, load.refusals)
            for field in range(4):
                self.totals[i][field] += new[field] - node.sent[i][field]
            node.sent[i] = new

    def arrive(self, name, account=0):
        shared, own, out, objective_s, limit_s, urgency = CLASSES[name]
        call = SimpleNamespace(name=name, out=out, account=account, outcome="unserved")
        call.tokens = shared + int(min(20 * own, self.rng.expovariate(1 / own))) + 1
        call.group = self.rng.randrange(GROUPS) if shared else None
        call.began_at, call.retried = self.now, False
        self.calls.append(call)
        self.send(call)

    def send(self, call):
        """Send a call to a random node."""
        _, _, _, objective_s, limit_s, urgency = CLASSES[call.name]
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
                    call.excluded.clear()
                    return
                case Reject(retry_after_s=retry_after_s):
                    self.reject(call, retry_after_s)
                    return
            view = self.place(call)
            if view is not None:
                if self.dispatch(call, view):
                    return
                call.tries += 1
            elif not (self.controlled and control.found_none(call.ticket, self.now)):
                break
        self.reject(call, 0.3)

    def place(self, call):
        node, ticket, views = call.node, call.ticket, []
        shared = SHARED_TOKENS if call.group is not None else 0
        work = Work("z", call.tokens, shared, ticket.objective_s, not shared)
        for i, server in node.servers.items():
            if self.now < self.engines[i].loading_until or i in call.excluded:
                continue
            in_flight, tokens = node.peers.load(i)
            hit = shared and call.group in self.engines[i].cached
            view = ServerView(
                *(i, "z", SLOTS, server.in_flight + in_flight),
                *(server.prompt_tokens + tokens, shared if hit else 0, False, 0.0),
                reserved=i in self.reserved,
                recompute_tokens=0 if hit else shared,
                random_cost_s=self.rng.uniform(0.0, 0.02),
                tokens_s=PREFILL_TOKENS_S,
            )
            views.append(view)
        if self.controlled:
            has_room = node.control.has_room
            views = [view for view in views if has_room(view, work, self.now)]
        pick = node.control.capacity.choose if self.controlled else choose
        return pick(work, views) if views else None

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
        if not self.engines[i].submit(run, self.now):
            self.refused += 1
            call.excluded.add(i)
            if node.control.end_attempt(call.ticket, True, self.now):
                self.report(node, [i])
            return False
        call.run = run
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
                    continue
                self.end_prefill(run)
                on_time = self.now - run.call.began_at <= CLASSES[run.call.name][3]
                run.call.outcome = "on_time" if on_time else "late"

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

    def value(self):
        return sum(VALUES.get((call.name, call.outcome), 0.0) for call in self.calls)


def fraction(calls, *outcomes):
    """Return the fraction of calls with one of some outcomes."""
    calls = list(calls)
    return sum(call.outcome in outcomes for call in calls) / max(1, len(calls))
