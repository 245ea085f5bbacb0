"""Simulate a fleet: real routers and modelled engines in simulated time."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from arbutusyard.routing.chain import BlockHashChain, rank
from arbutusyard.routing.const import PRICE_DOUBLING_QUEUE_S
from arbutusyard.routing.coordinator import Router, Target
from arbutusyard.routing.load import LoadReport, QueuePart
from arbutusyard.routing.models import Work
from arbutusyard.routing.policy import Policy, PricedPrefix
from standins.enginecore import EngineCore, EngineParams, Job
from standins.workloads import Prompt

# Interval of the engines' load reports, in simulated seconds.
REPORT_INTERVAL_S = 0.25
# Time until a load report reaches the entries, in simulated seconds.
REPORT_LAG_S = 0.5
# Time until the failure of an engine is detected, in simulated seconds.
DETECT_S = 0.3
# Price of recomputing a second of prefill, by workload; see Work.price.
PRICE = {"venture": 6.0, "quetzal": 4.0}


@dataclass(slots=True)
class Record:
    """Hold the outcome of one request; first_token_s and done_at are -1 until known."""

    account: int
    work_class: str
    arrived: float
    blocks: int
    cached: int = 0
    wasted: int = 0
    first_token_s: float = -1.0
    done_at: float = -1.0
    attempts: int = 1


@dataclass(slots=True)
class Request:
    """Hold one request in flight."""

    name: str
    prompt: Prompt
    chain: BlockHashChain
    record: Record
    entry: "Entry | None" = None
    engine: "Engine | None" = None
    job: Job | None = None


@dataclass(slots=True)
class Engine:
    """Hold an engine core with its incarnation and its requests in flight."""

    name: str
    domain: str
    core: EngineCore
    incarnation: int = 0
    live: bool = True
    busy: bool = False
    requests: dict[str, Request] = field(default_factory=dict)


@dataclass(slots=True)
class Entry:
    """Hold one entry and its own router."""

    name: str
    domain: str
    router: Router
    live: bool = True


@dataclass(frozen=True, slots=True)
class Setup:
    """Hold the parameters of one run; `rate` is in requests per second.

    With `homes`, requests go to the home entry of their account, else to a random one.
    With `oracle`, routing sees the engines' current state instead of their reports.
    """

    workload: str
    rate: float
    seconds: float
    warm_s: float
    engines: int
    entries: int
    domains: int
    link_s: float
    params: EngineParams
    policy: Callable[[random.Random], Policy]
    oracle: bool = False
    homes: bool = True
    read_events: bool = False


class Fleet:
    """Run requests through entries and engines as a discrete-event simulation."""

    def __init__(self, setup: Setup, seed: int, source: object) -> None:
        self.setup = setup
        self.random = random.Random(seed)
        self.source = source
        self.now = 0.0
        self.records: list[Record] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._names = count()
        self.engines = [
            Engine(f"w{i}", f"d{i % setup.domains}", EngineCore(setup.params))
            for i in range(setup.engines)
        ]
        self.entries = [
            Entry(f"e{i}", f"d{i % setup.domains}", self._router())
            for i in range(setup.entries)
        ]

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Run the arrivals, and then half as long so that requests in flight finish."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._report)
        limit = self.setup.seconds * 1.5
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            if self.now > limit:
                return
            action()

    def crash(self, engine: Engine, back_after_s: float) -> None:
        """Crash an engine; it returns with an empty cache as a new incarnation."""
        engine.live = False
        interrupted = list(engine.requests.values())
        engine.requests.clear()
        engine.core = EngineCore(self.setup.params)
        for request in interrupted:
            request.record.attempts += 1
            self._release(request)
            self.at(self.now + DETECT_S, lambda r=request: self._dispatch(r))
        for entry in self.entries:
            entry.router.forget(engine.name)
        self.at(self.now + back_after_s, lambda: self._restart(engine))

    def restart_entries(self) -> None:
        """Restart every entry at once, with empty routers."""
        for entry in self.entries:
            entry.router = self._router()

    def lose_entry(self, entry: Entry) -> None:
        """Fail an entry; its accounts move to the next one of the ranking."""
        entry.live = False

    def _router(self) -> Router:
        return Router(self.setup.policy(self.random))

    def _restart(self, engine: Engine) -> None:
        engine.live = True
        engine.incarnation += 1
        engine.busy = False

    def _arrive(self) -> None:
        if self.now >= self.setup.seconds:
            return
        self.at(self.now + self.random.expovariate(self.setup.rate), self._arrive)
        prompt = self.source.prompt()
        chain = BlockHashChain(prompt.blocks(), 1000 * len(prompt.blocks()))
        record = Record(prompt.account, prompt.work_class, self.now, len(chain.blocks))
        self.records.append(record)
        self._dispatch(Request(f"r{next(self._names)}", prompt, chain, record))

    def _choose_entry(self, request: Request) -> Entry:
        live = {entry.name: entry for entry in self.entries if entry.live}
        if self.setup.homes:
            key = f"account{request.prompt.account}".encode()
            return live[rank(key, live)[0]]
        return self.random.choice(list(live.values()))

    def _dispatch(self, request: Request) -> None:
        entry = request.entry = self._choose_entry(request)
        live = [engine for engine in self.engines if engine.live]
        if not live:
            self.at(self.now + DETECT_S, lambda: self._dispatch(request))
            return
        if self.setup.oracle:
            engine = self._choose_best_engine(request, live)
        else:
            work = self._work(request, entry)
            targets = [Target(e.name, e.domain, str(e.incarnation)) for e in live]
            choice = entry.router.route(work, targets, self.now)
            entry.router.dispatched(work, choice, self.now)
            engine = next(e for e in live if e.name == choice.backend)
        request.engine = engine
        delay_s = self.setup.link_s * (1 + (engine.domain != entry.domain))
        self.at(self.now + delay_s, lambda: self._submit(request, engine))

    def _work(self, request: Request, entry: Entry) -> Work:
        return Work(
            request_id=request.name,
            account=str(request.prompt.account),
            chain=request.chain,
            priority=request.prompt.priority,
            price=PRICE[self.setup.workload],
            failure_domain=entry.domain,
        )

    def _choose_best_engine(self, request: Request, live: list[Engine]) -> Engine:
        blocks = list(request.chain.blocks)
        queue_s = min(engine.core.queue_s() for engine in live)
        price = PRICE[self.setup.workload] * (1 + queue_s / PRICE_DOUBLING_QUEUE_S)

        def cost(engine: Engine) -> float:
            core = engine.core
            missing = len(blocks) - core.cache.match(blocks, self.now)
            work_s = missing * core.params.prefill_piece_s
            wait_s = core.queue_before_s(request.prompt.priority)
            full = len(core.running) >= core.params.max_batch
            return wait_s + price * work_s + full

        return min(live, key=cost)

    def _submit(self, request: Request, engine: Engine) -> None:
        if not engine.live:
            request.record.attempts += 1
            self._release(request)
            self.at(self.now + DETECT_S, lambda: self._dispatch(request))
            return
        request.job = Job(
            request.name,
            list(request.chain.blocks),
            request.chain.tokens,
            request.prompt.answer_tokens,
            request.prompt.priority,
        )
        engine.requests[request.name] = request
        engine.core.submit(request.job, self.now)
        self._wake(engine)

    def _wake(self, engine: Engine) -> None:
        if not engine.busy and engine.live and not engine.core.idle():
            engine.busy = True
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        job = engine.core.next_job()
        if job is not None and job.cached < 0:
            self._count_waste(engine, job)
        result = engine.core.step(self.now)
        core = engine.core
        self.at(
            self.now + result.duration_s,
            lambda: self._complete_step(engine, core, result),
        )

    def _complete_step(self, engine: Engine, core: EngineCore, result: object) -> None:
        if engine.core is not core:
            return
        for job in result.emitted:
            request = engine.requests.get(job.job_id)
            if request is not None and request.record.first_token_s < 0:
                self._record_first_token(request)
        for job in result.finished:
            request = engine.requests.pop(job.job_id, None)
            if request is not None:
                self._complete(request)
        engine.busy = False
        core.cache.events.clear()
        self._wake(engine)

    def _record_first_token(self, request: Request) -> None:
        record = request.record
        record.first_token_s = self.now - record.arrived + self.setup.link_s
        record.cached = max(0, request.job.cached)
        request.entry.router.first_token(request.engine.name, request.name)

    def _complete(self, request: Request) -> None:
        request.record.done_at = self.now
        self._release(request)
        request.entry.router.record_blocks(
            request.engine.name,
            str(request.engine.incarnation),
            request.chain,
            self.now,
        )

    def _release(self, request: Request) -> None:
        if request.entry is not None and request.engine is not None:
            request.entry.router.finish(request.engine.name, request.name)

    def _count_waste(self, engine: Engine, job: Job) -> None:
        """Count the blocks that another live engine had cached and this one did not."""
        request = engine.requests.get(job.job_id)
        if request is None:
            return
        own = engine.core.cache.match(job.blocks, self.now)
        best = max(
            (
                other.core.cache.match(job.blocks, self.now)
                for other in self.engines
                if other.live and other is not engine
            ),
            default=0,
        )
        request.record.wasted += max(0, best - own)

    def _report(self) -> None:
        if self.now < self.setup.seconds * 1.5:
            self.at(self.now + REPORT_INTERVAL_S, self._report)
        for engine in self.engines:
            if not engine.live:
                continue
            params = engine.core.params
            report = LoadReport(
                taken_at=self.now,
                queue_s=engine.core.queue_s(),
                running=len(engine.core.running),
                max_batch=params.max_batch,
                block_prefill_s=params.prefill_piece_s,
                block_import_s=params.import_piece_s,
                decode_step_s=params.decode_step_s,
                parts=tuple(QueuePart(*part) for part in engine.core.queue_parts()),
            )
            incarnation = engine.incarnation
            self.at(
                self.now + REPORT_LAG_S,
                lambda e=engine, i=incarnation, r=report: self._deliver(e, i, r),
            )

    def _deliver(self, engine: Engine, incarnation: int, report: LoadReport) -> None:
        if not engine.live or engine.incarnation != incarnation:
            return
        for entry in self.entries:
            if entry.live:
                entry.router.report(engine.name, str(incarnation), report, self.now)


def priced(_: random.Random) -> Policy:
    """Return the routing policy that the router uses by default."""
    return PricedPrefix()
