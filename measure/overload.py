"""Measure goodput, fairness and the added load of retries above the capacity."""

import random
from dataclasses import dataclass
from multiprocessing import Pool

from arbutusyard.limits.coordinator import RetryBudget
from arbutusyard.limits.fairness import FairShare
from arbutusyard.limits.hedging import hedge_pays
from arbutusyard.routing.coordinator import Target
from measure.fleet import Fleet, Request, Setup, priced
from measure.report import Table, write
from measure.routing import format_range, quantile
from standins.enginecore import EngineParams
from standins.workloads import ACCOUNTS, Prompt, VentureWorkload

SEEDS = (1, 2, 3, 4, 5)
# Duration of the arrivals of a run, in simulated seconds.
SECONDS = 60.0
# Warm-up at the start of a run that is not counted, in simulated seconds.
WARM_S = 15.0
# Requests per second that the simulated engines can serve.
CAPACITY_PER_S = 23.0
# Bound on the time to the first token of a useful answer, in seconds.
FIRST_TOKEN_S = 5.0
PROCESSES = 5
# Fraction of the attempts that fail in the brown-out.
FAILURE_FRACTION = 0.3
BROWN_OUT_REQUESTS = 20_000
HEDGE_SAMPLES = 20_000


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the figures of one run."""

    goodput: float
    refused: float
    late: float
    p95_s: float
    jain: float


class AdmittingFleet(Fleet):
    """Refuse requests that would start too late or whose account exceeds its share."""

    def __init__(self, setup: Setup, seed: int, source: object, admits: bool) -> None:
        super().__init__(setup, seed, source)
        self.refused = 0
        self.offered = [0] * ACCOUNTS
        self.shares = [FairShare() for _ in self.entries]
        self.admits = admits

    def _dispatch(self, request: Request) -> None:
        if request.record.attempts == 1:
            self.offered[request.prompt.account] += self.now >= WARM_S
            if self.admits and not self._admit(request):
                self.refused += 1
                return
        super()._dispatch(request)

    def _admit(self, request: Request) -> bool:
        entry = self._choose_entry(request)
        work = self._work(request, entry)
        targets = [
            Target(engine.name, engine.domain, str(engine.incarnation))
            for engine in self.engines
            if engine.live
        ]
        choice = entry.router.route(work, targets, self.now)
        share = self.shares[self.entries.index(entry)]
        return share.admit(
            work.account,
            choice.work_s,
            choice.expected_wait_s,
            FIRST_TOKEN_S,
            len(targets) / len(self.entries),
            self.now,
        )


class EvenVenture(VentureWorkload):
    """Generate the venture workload; accounts send equally or one ten times as much."""

    def __init__(self, seed: int, flood: bool) -> None:
        super().__init__(seed)
        self._weights = [10 if flood and n == 0 else 1 for n in range(ACCOUNTS)]

    def prompt(self) -> Prompt:
        """Return the next prompt."""
        prompt = super().prompt()
        account = self._random.choices(range(ACCOUNTS), self._weights)[0]
        return Prompt(
            account, prompt.work_class, 1, prompt.levels, prompt.answer_tokens
        )


def run(load_factor: float, admits: bool, flood: bool, seed: int) -> Result:
    """Run one overload once, at a multiple of the capacity."""
    setup = Setup(
        workload="venture",
        rate=CAPACITY_PER_S * load_factor,
        seconds=SECONDS,
        warm_s=WARM_S,
        engines=6,
        entries=7,
        domains=3,
        link_s=0.005,
        params=EngineParams(),
        policy=priced,
    )
    fleet = AdmittingFleet(setup, seed, EvenVenture(seed, flood), admits)
    fleet.run()
    measured = [r for r in fleet.records if r.arrived >= WARM_S]
    good = [r for r in measured if 0 <= r.first_token_s <= FIRST_TOKEN_S]
    late = [r for r in measured if r.first_token_s > FIRST_TOKEN_S]
    served = [0] * ACCOUNTS
    for record in good:
        served[record.account] += 1
    within = [
        count / max(1, offered)
        for number, (count, offered) in enumerate(
            zip(served, fleet.offered, strict=True)
        )
        if not (flood and number == 0)
    ]
    return Result(
        goodput=len(good) / (SECONDS - WARM_S),
        refused=fleet.refused / len(fleet.records),
        late=len(late) / len(measured),
        p95_s=quantile(sorted(r.first_token_s for r in good + late), 0.95),
        jain=jain(within),
    )


def jain(values: list[float]) -> float:
    """Return Jain's fairness index, 1 if all values are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def retry_load(budgeted: bool) -> float:
    """Return the attempts per request while a fraction of the attempts fails."""
    rng = random.Random(1)
    budget = RetryBudget()
    attempts = 0
    for _ in range(BROWN_OUT_REQUESTS):
        budget.count_request()
        for attempt in range(3):
            if attempt and budgeted and not budget.spend():
                break
            attempts += 1
            if rng.random() > FAILURE_FRACTION:
                break
    return attempts / BROWN_OUT_REQUESTS


def hedge_table() -> Table:
    """Compare one server with the faster of two.

    The second server is asked after the 95th percentile of the service times.
    """
    rng = random.Random(1)
    kinds = {
        "hyperexponential (1 in 10 takes 20 times)": lambda: rng.expovariate(
            1 / (2.0 if rng.random() < 0.1 else 0.1)
        ),
        "exponential": lambda: rng.expovariate(1 / 0.1),
        "Erlang of 4 steps": lambda: sum(rng.expovariate(40) for _ in range(4)),
    }
    table = Table(
        "Hedging of idempotent reads",
        ("service times", "hedge", "p99 s, one", "p99 s, hedged", "added load"),
    )
    for name, draw in kinds.items():
        times = sorted(draw() for _ in range(HEDGE_SAMPLES))
        age_s = quantile(times, 0.95)
        pays = hedge_pays(times, age_s)
        hedged = sorted(
            time if time <= age_s else min(time, age_s + draw()) for time in times
        )
        added = sum(time > age_s for time in times) / len(times)
        table.rows.append(
            (
                name,
                "yes" if pays else "no",
                f"{quantile(times, 0.99):.3f}",
                f"{quantile(hedged, 0.99):.3f}",
                f"{added:.3f}",
            )
        )
    return table


def main() -> None:
    """Run every overload with every seed and write the tables."""
    cases = [
        (load_factor, admits, flood)
        for flood in (False, True)
        for admits in (False, True)
        for load_factor in (1.0, 2.0, 5.0)
    ]
    jobs = [(*case, seed) for case in cases for seed in SEEDS]
    with Pool(PROCESSES) as pool:
        results = pool.starmap(run, jobs, chunksize=1)
    tables = []
    for flood in (False, True):
        accounts = (
            "one account asks ten times as much" if flood else "all accounts alike"
        )
        columns = ("times capacity", "admission", "goodput /s", "refused", "late")
        table = Table(f"Overload, {accounts}", (*columns, "p95 s", "Jain's index"))
        for case in cases:
            if case[2] is not flood:
                continue
            runs = [r for j, r in zip(jobs, results, strict=True) if j[:3] == case]
            cells = [
                format_range([getattr(r, name) for r in runs])
                for name in ("goodput", "refused", "late", "p95_s", "jain")
            ]
            admission = "at once by expected wait" if case[1] else "none"
            table.rows.append((f"{case[0]:g}", admission, *cells))
        tables.append(table)
    retries = Table("Retries in a brown-out", ("retries", "tries a request"))
    retries.rows.append(("up to 3 tries", f"{retry_load(False):.3f}"))
    retries.rows.append(("under the budget", f"{retry_load(True):.3f}"))
    tables += [retries, hedge_table()]
    write("overload", "Overload", tables, f"seeds {SEEDS}")


if __name__ == "__main__":
    main()
