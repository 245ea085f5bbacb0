"""Compare routing policies on the workloads at today's sizes, also under faults."""

import math
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing import Pool

from arbutusyard.routing.policy import (
    LeastLoaded,
    Policy,
    PrefixHash,
    PricedPrefix,
    RandomChoice,
    RoundRobin,
)
from measure.fleet import Fleet, Record, Setup
from measure.report import Table, write
from standins.enginecore import EngineParams
from standins.workloads import QuetzalWorkload, VentureWorkload

SEEDS = (1, 2, 3, 4, 5)
# Duration of the arrivals of a run, in simulated seconds.
SECONDS = 90.0
# Warm-up at the start of a run that is not counted, in simulated seconds.
WARM_S = 20.0
PROCESSES = 5
# Time after which a crashed engine is back, in simulated seconds.
CRASH_BACK_S = 2.0
# Time after a fault over which the hit rate is compared with that before, in seconds.
RECOVERY_WINDOW_S = 10.0

POLICIES: dict[str, Callable[[random.Random], Policy]] = {
    "random": RandomChoice,
    "round robin": lambda _: RoundRobin(),
    "least loaded": lambda _: LeastLoaded(),
    "hash of first piece": lambda _: PrefixHash(0),
    "hash of deepest piece": lambda _: PrefixHash(10_000),
    "priced, one price": lambda _: PricedPrefix(1.0, math.inf),
    "priced by pressure": lambda _: PricedPrefix(),
    "oracle": lambda _: PricedPrefix(),
}


@dataclass(frozen=True, slots=True)
class Case:
    """Hold a workload, its rate in requests per second, and a fault."""

    name: str
    workload: str
    rate: float
    fault: str = ""


CASES = (
    Case("venture 12/s", "venture", 12),
    Case("venture 22/s", "venture", 22),
    Case("quetzal 24/s", "quetzal", 24),
    Case("quetzal 28/s", "quetzal", 28),
    Case("one hot prefix 20/s", "venture", 20, "hot"),
    Case("venture 22/s, engine back empty", "venture", 22, "crash"),
    Case("venture 22/s, herd restart", "venture", 22, "herd"),
    Case("venture 22/s, home entry lost", "venture", 22, "entry"),
    Case("quetzal 24/s, failure domain lost", "quetzal", 24, "domain"),
    Case("quetzal 24/s, hot prefix shifts", "quetzal", 24, "shift"),
)


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the figures of one run."""

    hit: float
    waste: float
    p50_s: float
    p95_s: float
    p99_s: float
    lookup_p99_s: float
    unfinished: float
    recovery: float


def run(case: Case, policy: str, seed: int) -> Result:
    """Run one case once."""
    venture = case.workload == "venture"
    setup = Setup(
        workload=case.workload,
        rate=case.rate,
        seconds=SECONDS,
        warm_s=WARM_S,
        engines=6 if venture else 5,
        entries=7,
        domains=3 if venture else 4,
        link_s=0.005 if venture else 0.003,
        params=EngineParams(),
        policy=POLICIES[policy],
        oracle=policy == "oracle",
    )
    hot_every = 400 if case.fault == "shift" else 0
    source = QuetzalWorkload(seed, hot_every)
    if venture:
        source = VentureWorkload(seed, one_account=case.fault == "hot")
    fleet = Fleet(setup, seed, source)
    fault_at = SECONDS / 2
    match case.fault:
        case "crash":
            fleet.at(fault_at, lambda: fleet.crash(fleet.engines[0], CRASH_BACK_S))
        case "herd":
            fleet.at(fault_at, fleet.restart_entries)
        case "entry":
            fleet.at(fault_at, lambda: fleet.lose_entry(fleet.entries[0]))
            fleet.at(fault_at, lambda: fleet.lose_entry(fleet.entries[3]))
        case "domain":
            fleet.at(fault_at, partial(lose_domain, fleet))
    fleet.run()
    return summarize(fleet.records, fault_at)


def lose_domain(fleet: Fleet) -> None:
    """Crash the engines and the entries of one failure domain.

    The engines return after 15 s; the entries do not return.
    """
    for engine in fleet.engines:
        if engine.domain == "d0":
            fleet.crash(engine, 15.0)
    for entry in fleet.entries:
        if entry.domain == "d0":
            fleet.lose_entry(entry)


def summarize(records: list[Record], fault_at: float) -> Result:
    """Compute the figures of one run.

    A request without an answer counts with the duration of the run.
    """
    measured = [r for r in records if r.arrived >= WARM_S]
    blocks = sum(r.blocks for r in measured)
    answered = [r for r in measured if r.first_token_s >= 0]
    unanswered = len(measured) - len(answered)
    times = sorted([r.first_token_s for r in answered] + [SECONDS] * unanswered)
    lookups = sorted(
        r.first_token_s if r.first_token_s >= 0 else SECONDS
        for r in measured
        if r.work_class in ("lookup", "tag")
    )
    return Result(
        hit=sum(r.cached for r in measured) / blocks,
        waste=sum(r.wasted for r in measured) / blocks,
        p50_s=quantile(times, 0.5),
        p95_s=quantile(times, 0.95),
        p99_s=quantile(times, 0.99),
        lookup_p99_s=quantile(lookups, 0.99),
        unfinished=unanswered / len(measured),
        recovery=hit_rate(measured, fault_at, fault_at + RECOVERY_WINDOW_S)
        / max(0.01, hit_rate(measured, WARM_S, fault_at)),
    )


def hit_rate(records: list[Record], start: float, end: float) -> float:
    """Return the hit rate of the requests that arrived in a time span."""
    measured = [r for r in records if start <= r.arrived < end]
    return sum(r.cached for r in measured) / max(1, sum(r.blocks for r in measured))


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of ordered values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def format_range(values: list[float]) -> str:
    """Return the mean with the lowest and the highest value, as text."""
    return f"{statistics.mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def main() -> None:
    """Run every case with every policy and seed, and write the tables."""
    jobs = [(case, policy, s) for case in CASES for policy in POLICIES for s in SEEDS]
    with Pool(PROCESSES) as pool:
        results = pool.starmap(run, jobs, chunksize=1)
    results_by_case: dict[tuple[str, str], list[Result]] = {}
    for (case, policy, _), result in zip(jobs, results, strict=True):
        results_by_case.setdefault((case.name, policy), []).append(result)
    tables = []
    for case in CASES:
        table = Table(
            case.name,
            ("policy", "hit rate", "wasted", "p50 s", "p95 s", "p99 s")
            + (("lookup p99 s",) if case.workload == "quetzal" else ())
            + ("unanswered", "hit after / before"),
        )
        for policy in POLICIES:
            runs = results_by_case[case.name, policy]
            columns = ["hit", "waste", "p50_s", "p95_s", "p99_s"]
            columns += ["lookup_p99_s"] if case.workload == "quetzal" else []
            columns += ["unfinished", "recovery"]
            cells = [format_range([getattr(r, c) for r in runs]) for c in columns]
            table.rows.append((policy, *cells))
        tables.append(table)
    write("routing", "Routing policies", tables, f"seeds {SEEDS}")


if __name__ == "__main__":
    main()
