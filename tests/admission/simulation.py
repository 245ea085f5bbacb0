"""Simulate nodes that choose among engines by late reports, without a network."""

import random
from types import SimpleNamespace

from arbutusyard.admission.coordinator import AdmissionControl
from arbutusyard.admission.models import Admit, Reject, Ticket, Wait
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.models import EngineTraits, ServerEntry, ServerState, Service
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.routing.placement import ServerView, Work, choose, reserved_engines

TICK_S = 0.005
REPORT_S = 0.5
SLOTS, QUEUE, CACHE_TOKENS, PREFILL_TOKENS_S = 12, 36, 188_268, 56_100.0
SHARED_TOKENS = 13_300
# Name, tokens, output tokens, objective, time limit, urgency, value on time and late.
CLASSES = {
    "long": (SHARED_TOKENS + 3720, 24, 1.56, 10.0, 2, 2.6, 1.2),
    "short": (383, 9, 0.52, 5.0, 0, 2.3, 0.27),
}
COUNTS = ("offered", "attempts", "refused", "on_time", "late", "unserved", "value")
DECODE_STEP_S = 0.01
# Number of shared prompts, and how many of them an engine has cached at first.
GROUPS, CACHED_GROUPS = 600, 25


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
        """Serve for one tick; return the runs that got an event or ended."""
        changed = []
        self.queue.sort(key=lambda run: run.urgency)
        while self.queue and len(self.running) < SLOTS:
            held = sum(run.call.tokens for run in self.running)
            if self.running and held + self.queue[0].call.tokens > CACHE_TOKENS:
                break
            run = self.queue.pop(0)
            run.left = run.call.tokens
            if run.call.group in self.cached:
                run.left -= SHARED_TOKENS
            self.running.append(run)
        budget = PREFILL_TOKENS_S * TICK_S
        for run in self.running:
            used = min(budget, run.left)
            budget -= used
            run.left -= used
            if run.left <= 0 and run.first_at is None:
                run.first_at = now
                if run.call.group is not None:
                    self.cached.add(run.call.group)
                changed.append(run)
        for run in list(self.running):
            done_s = run.call.output_tokens * DECODE_STEP_S
            if run.first_at is not None and now >= run.first_at + done_s:
                self.running.remove(run)
                changed.append(run)
        return changed

    def cancel(self, run):
        for runs in (self.running, self.queue):
            if run in runs:
                runs.remove(run)


class Reports:
    """Loads of all nodes as last reported, and those of one node left out."""

    def __init__(self, me, totals, own):
        self.me, self._totals, self._own = me, totals, own

    def _value(self, server_id, field):
        own = self._own.get(server_id)
        return self._totals[server_id][field] - (own[field] if own else 0)

    def load(self, server_id):
        return self._value(server_id, 0), self._value(server_id, 1)

    def held_tokens(self, server_id):
        return self._value(server_id, 2)

    def refusals(self, server_id):
        return self._value(server_id, 3)


class Fleet:
    """Nodes and engines under a load that rises while engines load weights."""

    def __init__(self, controlled, nodes=40, engines=70, seed=1):
        self.controlled, self.rng, self.now = controlled, random.Random(seed), 0.0
        self.ids = [f"e{n}" for n in range(engines)]
        self.engines = {
            i: Engine(self.rng.sample(range(GROUPS), CACHED_GROUPS)) for i in self.ids
        }
        self.totals = {i: [0, 0, 0, 0] for i in self.ids}
        self.reserved = reserved_engines(self.ids)
        self.nodes = [self._node(n) for n in range(nodes)]
        self.pending, self.active = [], []
        self.stats = {name: dict.fromkeys(COUNTS, 0) for name in CLASSES}

    def _node(self, n):
        node = SimpleNamespace(
            name=f"n{n}", published={}, report_at=REPORT_S * self.rng.random()
        )
        node.servers = {}
        for i in self.ids:
            entry = ServerEntry(i, 1, "svc", i, "z", ServerState.READY, SLOTS, {})
            node.servers[i] = Server(entry)
        engine = EngineTraits(SLOTS, CACHE_TOKENS, 1, 1.0, ())
        cfg = SimpleNamespace(services={"svc": Service("svc", 100, engine)})
        table = SimpleNamespace(
            get=node.servers.get, of_service=lambda _: list(node.servers.values())
        )
        state = SimpleNamespace(servers=table, catalog=SimpleNamespace(cfg=cfg))
        node.peers = Reports(node.name, self.totals, node.published)
        node.control = AdmissionControl(state, node.peers, DeferredMetrics())
        node.control.capacity.connection_cap = lambda service: 6
        node.rng = random.Random(node.name)
        return node

    def publish(self, node, server_ids):
        for i in server_ids:
            load = node.servers[i].load()
            new = (load.in_flight, load.prompt_tokens, load.held_tokens, load.refusals)
            old = node.published.get(i, (0, 0, 0, 0))
            self.totals[i] = [
                t + a - b for t, a, b in zip(self.totals[i], new, old, strict=True)
            ]
            node.published[i] = new

    def arrive(self, name, account=None):
        tokens, out, objective_s, limit_s, urgency, _, _ = CLASSES[name]
        call = SimpleNamespace(
            name=name,
            tokens=tokens,
            output_tokens=out,
            account=account,
            group=self.rng.randrange(GROUPS) if name == "long" else None,
            began_at=self.now,
            retried=False,
            done=False,
        )
        call.gives_up_at = self.now + max(2.0, 4 * objective_s)
        self.stats[name]["offered"] += 1
        self.send(call)

    def send(self, call):
        """Send a call to some node."""
        _, out, objective_s, limit_s, urgency, _, _ = CLASSES[call.name]
        call.node, call.tries, call.excluded = self.rng.choice(self.nodes), 0, set()
        call.gives_up_at = self.now + max(2.0, 4 * objective_s)
        left_s = call.began_at + limit_s - self.now
        call.ticket = Ticket(
            *("svc", call.name, urgency, self.now, objective_s, call.gives_up_at),
            *(limit_s, left_s, call.tokens, call.tokens + out),
        )
        call.woken_at = self.now
        call.ticket.wake = lambda: setattr(call, "woken_at", self.now)
        call.run = None
        self.pending.append(call)

    def step(self, call):
        """Let a node decide about a call until it waits or has ended."""
        node, ticket = call.node, call.ticket
        while True:
            decision = Admit()
            if self.controlled:
                decision = node.control.enter(ticket, self.now)
            match decision:
                case Wait(wait_s=wait_s):
                    call.woken_at = self.now + wait_s
                    call.excluded.clear()
                    return None
                case Reject(retry_after_s=retry_after_s):
                    return self.reject(call, retry_after_s)
            view = self.place(call)
            if view is None:
                if self.controlled and node.control.found_none(ticket, self.now):
                    continue
                return self.reject(call, 0.3)
            if self.dispatch(call, node.servers[view.server_id], view):
                return None
            call.tries += 1
            if call.tries > 2:
                return self.reject(call, 0.3)

    def place(self, call):
        node, views = call.node, []
        work = Work("z", call.tokens, 0, call.ticket.objective_s, call.tokens < 1000)
        for i, server in node.servers.items():
            if self.now < self.engines[i].loading_until or i in call.excluded:
                continue
            in_flight, tokens = node.peers.load(i)
            hit = call.group is not None and call.group in self.engines[i].cached
            view = ServerView(
                *(i, "z", SLOTS, server.in_flight + in_flight),
                *(server.prompt_tokens + tokens, SHARED_TOKENS if hit else 0),
                *(False, 0.0),
                reserved=i in self.reserved,
                recompute_tokens=0 if hit or call.group is None else SHARED_TOKENS,
                random_cost_s=node.rng.uniform(0.0, 0.02),
                tokens_s=PREFILL_TOKENS_S,
            )
            views.append(view)
        if not self.controlled:
            return choose(work, views) if views else None
        has_room = node.control.has_room
        views = [view for view in views if has_room(view, work, self.now)]
        return node.control.capacity.choose(work, views) if views else None

    def dispatch(self, call, server, view):
        """Send a call to an engine; return whether it was accepted."""
        i, stats = server.entry.server_id, self.stats[call.name]
        if self.controlled:
            call.node.control.start(call.ticket, server, self.now)
        call.run = SimpleNamespace(
            call=call, server=server, left=0, first_at=None, urgency=call.ticket.urgency
        )
        call.run.urgency = 9 if call.ticket.late else call.ticket.urgency
        stats["attempts"] += 1
        refused = not self.engines[i].submit(call.run, self.now)
        call.run.tokens = max(0, call.tokens - view.cached_tokens)
        if not refused:
            server.count_sent(call.run.tokens, self.now)
        elif self.controlled and call.node.control.end_attempt(
            call.ticket, True, self.now
        ):
            self.publish(call.node, [i])
        if refused:
            stats["refused"] += 1
            call.excluded.add(i)
        elif call.run.tokens > 4096:
            self.publish(call.node, [i])
        return not refused

    def end_run(self, run, first):
        run.server.prompt_tokens -= run.tokens
        if run.tokens > 4096:
            self.publish(run.call.node, [run.server.entry.server_id])
        run.tokens = 0
        if not first:
            run.server.in_flight -= 1
            run.call.node.control.finish(run.call.ticket, self.now)

    def reject(self, call, retry_after_s):
        call.node.control.finish(call.ticket, self.now)
        self.pending.remove(call)
        left_s = call.began_at + CLASSES[call.name][3] - self.now
        if call.retried or left_s <= 0:
            self.stats[call.name]["unserved"] += 1
            return
        call.retried = True
        call.woken_at = self.now + min(retry_after_s, left_s / 3)
        self.active.append(call)

    def tick(self, rates):
        self.now += TICK_S
        for name, rate_s in rates.items():
            expected = rate_s * TICK_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.arrive(name)
        for call in [c for c in self.active if c.woken_at <= self.now]:
            self.active.remove(call)
            self.send(call)
        for node in self.nodes:
            if self.now >= node.report_at:
                node.report_at += REPORT_S
                node.control.tick(self.now)
                self.publish(node, self.ids)
        for call in list(self.pending):
            if self.now >= call.gives_up_at and not (call.run and call.run.first_at):
                self.disconnect(call)
            elif call.run is None and call.woken_at <= self.now:
                self.step(call)
        for engine in self.engines.values():
            for run in engine.advance(self.now):
                first = run.first_at == self.now and run in engine.running
                self.end_run(run, first)
                if first:
                    self.count(run.call)
                elif run.call in self.pending:
                    self.pending.remove(run.call)

    def count(self, call):
        _, _, objective_s, _, _, value, late_value = CLASSES[call.name]
        on_time = self.now - call.began_at <= objective_s
        self.stats[call.name]["on_time" if on_time else "late"] += 1
        self.stats[call.name]["value"] += value if on_time else late_value

    def disconnect(self, call):
        self.pending.remove(call)
        self.stats[call.name]["unserved"] += 1
        if call.run is not None:
            self.engines[call.run.server.entry.server_id].cancel(call.run)
            self.end_run(call.run, False)
        call.node.control.finish(call.ticket, self.now)

    def play(self, phases):
        """Play phases of a duration in seconds, engines that load, and rates."""
        for duration_s, loading, rates in phases:
            for i in self.ids[:loading]:
                self.engines[i].loading_until = self.now + 2.5
                self.engines[i].cached.clear()
                for run in self.engines[i].running + self.engines[i].queue:
                    run.left = max(run.left, 1)
            until = self.now + duration_s
            while self.now < until:
                self.tick(rates)
        return self.stats
