"""Seeded simulation, without network, of engines that are slow for short periods.

Each engine prefills one prompt after another; nodes learn of its queue late, so they
choose the shorter of two. Compares the first events with and without extra attempts.
"""

import heapq
import random
from collections import deque
from itertools import count

from msgspec import Struct, field

from arbutusyard.gateway.hedging import HedgePolicy

ENGINES = 30
SLOW_FRACTION, SLOW_FACTOR, PERIOD_S = 0.15, 2.5, 0.6
NODES, SECONDS, RATE_S = 4, 60.0, 60.0
# Work of a prompt whose shared part is cached (3,720 tokens at 37.9 per ms) and of one
# that is not (17,000), in seconds.
CACHED_S, WHOLE_S, CACHED_FRACTION = 0.098, 0.449, 0.75


class Attempt(Struct, eq=False):
    prompt: "Prompt"
    engine: int
    work_s: float  # on a fast engine
    sent_at: float
    is_cancelled: bool = False


class Prompt(Struct, eq=False):
    policy: HedgePolicy
    arrived_at: float
    attempts: list[Attempt] = field(default_factory=list)
    is_done: bool = False


class Simulation:
    def __init__(self, seed, fraction):
        self.rng = random.Random(seed)
        self.policies = [HedgePolicy(fraction) for _ in range(NODES)]
        self.queues = [deque() for _ in range(ENGINES)]
        self.slow = [self._slow_periods() for _ in range(ENGINES)]
        self.events, self.order = [], count()
        self.first_events, self.prompts, self.extra = [], 0, 0

    def _slow_periods(self):
        """Return the ends of alternating periods, and whether each is slow."""
        fast_s = PERIOD_S * (1 - SLOW_FRACTION) / SLOW_FRACTION
        at, is_slow, periods = 0.0, self.rng.random() < SLOW_FRACTION, []
        while at < 2 * SECONDS:
            at += self.rng.expovariate(1 / (PERIOD_S if is_slow else fast_s))
            periods.append((at, is_slow))
            is_slow = not is_slow
        return periods

    def ends_at(self, engine, at, work_s):
        for until, is_slow in self.slow[engine]:
            speed = 1 / SLOW_FACTOR if is_slow else 1.0
            if until > at:
                if at + work_s / speed <= until:
                    return at + work_s / speed
                work_s -= (until - at) * speed
                at = until
        raise AssertionError("the periods are too short for the simulated time")

    def schedule(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.order), action, args))

    def run(self):
        at = 0.0
        while at < SECONDS:
            at += self.rng.expovariate(RATE_S)
            engines = self.rng.sample(range(ENGINES), 4)
            cached = (self.rng.random() < CACHED_FRACTION for _ in range(2))
            works = [CACHED_S if is_cached else WHOLE_S for is_cached in cached]
            self.schedule(at, self.arrive, engines, works, self.rng.randrange(NODES))
        while self.events:
            at, _, action, args = heapq.heappop(self.events)
            action(at, *args)
        return self

    def arrive(self, now, engines, works, node):
        self.prompts += 1
        policy = self.policies[node]
        policy.count_request("s")
        prompt = Prompt(policy, now)
        self.send(now, prompt, engines[:2], works[0])
        delay_s = policy.delay_s("r", "s", now)
        if delay_s is not None:
            self.schedule(now + delay_s, self.hedge, prompt, engines[2:], works[1])

    def hedge(self, now, prompt, engines, work_s):
        if not prompt.is_done and not prompt.policy.refusal("s", 1, 2, now):
            prompt.policy.count_started("s")
            self.extra += 1
            self.send(now, prompt, engines, work_s)

    def send(self, now, prompt, engines, work_s):
        engine = min(engines, key=lambda e: len(self.queues[e]))
        attempt = Attempt(prompt, engine, work_s, now)
        prompt.attempts.append(attempt)
        self.queues[engine].append(attempt)
        if len(self.queues[engine]) == 1:
            self.begin(now, attempt)

    def begin(self, now, attempt):
        at = self.ends_at(attempt.engine, now, attempt.work_s)
        self.schedule(at, self.respond, attempt)

    def leave(self, now, attempt):
        """Take an attempt off its engine, which goes on with the next one."""
        queue = self.queues[attempt.engine]
        was_first = queue[0] is attempt
        queue.remove(attempt)
        if was_first and queue:
            self.begin(now, queue[0])

    def respond(self, now, attempt):
        prompt, policy = attempt.prompt, attempt.prompt.policy
        if attempt.is_cancelled:
            return
        prompt.is_done = True
        self.first_events.append(now - prompt.arrived_at)
        for each in prompt.attempts:
            self.leave(now, each)
            each.is_cancelled = each is not attempt
            name = "record_cancelled" if each.is_cancelled else "record_answer"
            getattr(policy, name)("r", "s", now - each.sent_at, now)

    def percentiles(self):
        times = sorted(self.first_events)
        return [round(times[int(q * len(times))], 3) for q in (0.5, 0.95, 0.99)]


def test_extra_attempts_shorten_the_slow_responses_and_keep_to_their_fraction():
    """Guard against a policy that waits too long or repeats fast requests."""
    single = [Simulation(seed, 0.0).run() for seed in range(3)]
    hedged = [Simulation(seed, 0.1).run() for seed in range(3)]
    for one, other in zip(single, hedged, strict=True):
        assert one.extra == 0 < other.extra <= 0.1 * other.prompts
        print("p50, p95, p99 in s:", one.percentiles(), other.percentiles())
    p50, p95, p99 = (
        [sum(run.percentiles()[n] for run in runs) for runs in (single, hedged)]
        for n in range(3)
    )
    assert p50[1] <= 1.05 * p50[0]
    assert p95[1] < p95[0] and p99[1] < p99[0]
