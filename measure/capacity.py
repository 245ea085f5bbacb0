"""Measure costs at several sizes and extrapolate them linearly to the target size."""

import gc
import json
import os
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from arbutusyard.backends.models import Backend, BackendState, EngineReport
from arbutusyard.config.coordinator import ConfigCoordinator
from arbutusyard.config.delta import diff
from arbutusyard.config.models import Account, Configuration, Model, Workload
from arbutusyard.limits.coordinator import Limiter
from arbutusyard.membership.const import (
    MAX_DATAGRAM_LARGE_BYTES,
    PROBE_INTERVAL_LARGE_S,
)
from arbutusyard.membership.models import AccountDemand, EntryView, Member, Status
from arbutusyard.membership.table import MemberTable
from arbutusyard.metrics.registry import EntryMetrics
from arbutusyard.routing.chain import BlockHashChain
from arbutusyard.routing.coordinator import Router, Target
from arbutusyard.routing.index import PrefixIndex
from arbutusyard.routing.models import Work
from arbutusyard.rpc.authentication import Envelope, MessageAuthenticator, ReplayGuard
from measure.report import MEASURED, Table, write

# The target size.
NODES = 410
WORKERS = 5_800
ACCOUNTS = 1_700
REQUESTS_PER_S = 11_000
CHANGES_PER_DAY = 13_000
SECONDS_PER_DAY = 86_400
# Number of repetitions whose median is a measured time.
REPEATS = 7
MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold a line fitted to values measured at several sizes, and its largest error."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    base: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Return the value that the line gives at a size."""
        return self.base + self.slope * size


def fit(name: str, unit: str, sizes: tuple[int, ...], values: list[float]) -> Slope:
    """Fit a line by least squares; its error is the largest relative deviation."""
    line = statistics.linear_regression(sizes, values)
    deviations = [
        abs(line.intercept + line.slope * size - value) / max(value, 1e-12)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name, unit, sizes, tuple(values), line.intercept, line.slope, max(deviations)
    )


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory that a structure allocates, in bytes."""
    gc.collect()
    tracemalloc.start()
    structure = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del structure
    return float(size)


def measure_cpu_time(action: Callable[[], object], calls: int) -> float:
    """Return the median CPU time of a call, in seconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(calls):
            action()
        times.append((time.process_time() - started) / calls)
    return statistics.median(times)


def member(number: int) -> Member:
    """Return a member of a typical size."""
    return Member(
        name=f"control-{number:04d}",
        incarnation=1_790_000_000_000 + number,
        version=number,
        status=Status.ALIVE,
        address=f"10.1.{number // 250}.{number % 250}:7000",
        rpc=f"10.1.{number // 250}.{number % 250}:7001",
        region="region-1",
        failure_domain="domain-1",
        revision=4_000_000,
        entries=(EntryView(f"entry-{number:04d}", "10.1.1.1:8000", "domain-1"),),
        demands=tuple(AccountDemand(f"work/account-{n}", 1000.0) for n in range(4)),
    )


def member_table(size: int) -> MemberTable:
    """Return a member table with a number of members."""
    table = MemberTable(member(0))
    for number in range(1, size):
        table.merge(member(number), 0.0)
    return table


def configuration(accounts: int, revision: int = 1) -> Configuration:
    """Return a configuration with ten models."""
    account_list = tuple(
        Account(f"account-{n:05d}", f"{n:064x}", 1000, 16 + (n == 0) * revision)
        for n in range(accounts)
    )
    models = tuple(Model(f"model-{n}", "v1") for n in range(10))
    workload = Workload("work", "region-1", 6.0, "c", models, (), account_list, ())
    return Configuration(revision, f"change-{revision}", (workload,))


def backends(size: int) -> tuple[Backend, ...]:
    """Return backend servers with reports."""
    return tuple(
        Backend(
            name=f"worker-{n:05d}",
            role="engine",
            serves=f"work/model-{n % 10}",
            address=f"10.2.{n // 250}.{n % 250}:9000",
            failure_domain=f"domain-{n % 10}",
            state=BackendState.LIVE,
            report=EngineReport("engine", incarnation=f"{n:x}", queue_s=1.0),
        )
        for n in range(size)
    )


def router(workers: int) -> tuple[Router, list[Target]]:
    """Return a router that knows ten cached blocks of each worker, and the workers."""
    found = Router()
    targets = [
        Target(f"worker-{n:05d}", f"d{n % 10}", f"{n:x}") for n in range(workers)
    ]
    for number, target in enumerate(targets):
        found.set_incarnation(target.name, target.incarnation)
        blocks = tuple(f"{number % 97}#{i}".encode() for i in range(10))
        found.record_blocks(
            target.name, target.incarnation, BlockHashChain(blocks, 10_000), 0.0
        )
        found.load(target.name, 0.0)
    return found, targets


def work(number: int) -> Work:
    """Return a request of ten blocks."""
    blocks = tuple(f"{number % 97}#{i}".encode() for i in range(10))
    return Work(f"r{number}", "work/a", BlockHashChain(blocks, 10_000), 1, 6.0, "d1")


def filled_index(size: int) -> PrefixIndex:
    """Return an index of a number of blocks, each cached by two workers."""
    index = PrefixIndex(max_entries=size)
    for name in ("w0", "w1"):
        index.set_incarnation(name, "1")
        for number in range(size):
            index.record(name, "1", (number.to_bytes(12, "big"),), 0.0)
    return index


def filled_limiter(size: int) -> Limiter:
    """Return a limiter that has admitted a request of each of a number of accounts."""
    limiter = Limiter()
    for number in range(size):
        account = Account(f"a{number}", "h", 1000, 16)
        limiter.admit(f"work/a{number}", account, 10, 0.0)
    return limiter


def filled_metrics(size: int) -> None:
    """Record one answer for each of a number of accounts."""
    for number in range(size):
        METRICS.record_answer(f"work/a{number}", f"class{size}", 0.1, 1.0, 10)


METRICS = EntryMetrics()


def measure_slopes() -> dict[str, Slope]:
    """Measure the slope of every cost."""
    slopes: dict[str, Slope] = {}

    def add(
        key: str,
        name: str,
        unit: str,
        sizes: tuple[int, ...],
        measure: Callable[[int], float],
    ) -> None:
        slopes[key] = fit(name, unit, sizes, [measure(size) for size in sizes])

    nodes, accounts = (50, 100, 200, 400), (200, 800, 1600)
    workers = (64, 256, 1024, 4096)
    add("members", "member table", "bytes a node", nodes,
        lambda n: measure_memory(lambda: member_table(n)))  # fmt: skip
    add("config", "configuration in force", "bytes an account", accounts,
        lambda n: measure_memory(lambda: configuration(n)))  # fmt: skip
    add("backends", "list of backend servers", "bytes a worker", workers,
        lambda n: measure_memory(lambda: backends(n)))  # fmt: skip
    add("fan_out", "encoding the list for an entry", "s a worker", workers,
        lambda n: encode_time(n))  # fmt: skip
    add("index", "prefix index", "bytes a piece", (1000, 4000, 16_000, 40_000),
        lambda n: measure_memory(lambda: filled_index(n)))  # fmt: skip
    add("loads", "loads and incarnations", "bytes a worker", workers,
        lambda n: measure_memory(lambda: router(n)))  # fmt: skip
    add("decide", "routing decision", "s a candidate", workers, decide_time)
    add("limits", "limits", "bytes an account", accounts,
        lambda n: measure_memory(lambda: filled_limiter(n)))  # fmt: skip
    add("metrics", "histograms", "bytes an account", (8, 24, 64),
        lambda n: measure_memory(lambda: filled_metrics(n)))  # fmt: skip
    add("delta", "one change on its way", "bytes an account", accounts, delta_bytes)
    add("patch", "taking a change over", "s an account", accounts, patch_time)
    add("datagram", "datagram, in and out", "s a record", (1, 2, 4), datagram_time)
    return slopes


def encode_time(size: int) -> float:
    """Return the time to encode a list of backend servers, in seconds."""
    items = backends(size)
    return measure_cpu_time(lambda: msgspec.msgpack.encode(items), 20)


def decide_time(size: int) -> float:
    """Return the time of one routing decision over all candidates, in seconds."""
    found, targets = router(size)
    request = work(5)
    return measure_cpu_time(
        lambda: found.route(request, targets, 0.1), max(3, 4000 // size)
    )


def delta_bytes(size: int) -> float:
    """Return the size of a delta that changes one account among many, in bytes."""
    delta = diff(configuration(size), configuration(size, 2))
    return float(len(msgspec.msgpack.encode(delta)))


def patch_time(size: int) -> float:
    """Return the time to apply a delta that changes one account, in seconds."""
    old, new = configuration(size), configuration(size, 2)
    delta = diff(old, new)

    def apply_change() -> None:
        coordinator = ConfigCoordinator(None)
        coordinator.current = old
        coordinator.apply_deltas((delta,))

    return measure_cpu_time(apply_change, 3)


def datagram_time(records: int) -> float:
    """Return the time to encode, sign, verify and merge a datagram, in seconds."""
    authenticator, table, guard = (
        MessageAuthenticator((b"k" * 16,)),
        member_table(50),
        ReplayGuard(),
    )
    items = [member(number) for number in range(records)]
    sequence = [0]

    def once() -> None:
        sequence[0] += 1
        raw = msgspec.Raw(msgspec.msgpack.encode(items))
        data = authenticator.encode(Envelope("control-0001", 1, sequence[0], raw))
        envelope = authenticator.decode(data, Envelope)
        guard.check(envelope)
        for record in msgspec.msgpack.decode(envelope.payload, type=list[Member]):
            table.merge(record, 0.0)

    return measure_cpu_time(once, 300)


def build_tables(slopes: dict[str, Slope]) -> list[Table]:
    """Return the tables for the target size, computed from the slopes."""
    per_node_accounts = -(-ACCOUNTS // NODES)
    fits = Table("Slopes", ("what", "sizes", "at the largest", "slope", "worst miss"))
    for item in slopes.values():
        fits.rows.append(
            (
                f"{item.name} ({item.unit})",
                ", ".join(map(str, item.sizes)),
                f"{item.values[-1]:.4g}",
                f"{item.slope:.4g}",
                f"{item.error:.0%}",
            )
        )
    datagrams_per_s = 4 / PROBE_INTERVAL_LARGE_S
    gossip = datagrams_per_s * MAX_DATAGRAM_LARGE_BYTES / 1000
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    delta = slopes["delta"].at(ACCOUNTS)
    control = Table(
        f"A control among {NODES} nodes before {WORKERS} workers",
        ("role", "mechanism", "memory MiB", "cores", "KB a second"),
    )
    rows: list[tuple[str, str, float, float, float]] = [
        ("membership", "probes of one member an interval, records passed on by least "
         "sent, datagrams of at most 600 bytes", slopes["members"].at(NODES) / MIB,
         datagrams_per_s * slopes["datagram"].at(4), gossip),
        ("configuration", "differences by account, pulled from the peer that is ahead",
         slopes["config"].at(ACCOUNTS) / MIB, changes_per_s * slopes["patch"].at(ACCOUNTS),  # noqa: E501
         2 * changes_per_s * delta / 1000),
        ("workers and load", "every worker listed; polls bounded to 40 a second "
         "(guess: 1.5 ms and 900 bytes each)", slopes["backends"].at(WORKERS) / MIB,
         40 * 0.0015, 40 * 0.9),
        ("fan-out to the entry", "what has changed, each 0.25 s over loopback", 0.0,
         4 * slopes["fan_out"].at(10), 0.0),
    ]  # fmt: skip
    for role, mechanism, memory, cores, rate in rows:
        cells = (f"{memory:.2f}", f"{cores:.4f}", f"{rate:.2f}")
        control.rows.append((role, mechanism, *cells))
    memory, cores, rate = (sum(row[i] for row in rows) for i in (2, 3, 4))
    control.rows.append(
        (
            "sum",
            "programs and libraries not counted",
            f"{memory:.2f} (64)",
            f"{cores:.4f} (0.049{', over budget' if cores > 0.049 else ''})",
            f"{rate:.2f} (3{', over budget' if rate > 3 else ''})",
        )
    )
    entry = Table(
        f"An entry at {REQUESTS_PER_S / NODES:.1f} requests a second",
        ("role", "mechanism", "memory MiB", "cores"),
    )
    decide = slopes["decide"].at(WORKERS / 10)
    entry.rows += [
        (
            "cache knowledge",
            "40,000 pieces at most, learned from what passes through",
            f"{slopes['index'].at(40_000) / MIB:.2f}",
            "with routing",
        ),
        (
            "routing",
            f"holders and 24 workers of an account; {decide * 1e6:.0f} us a decision "
            f"(200{', over budget' if decide > 200e-6 else ''})",
            f"{slopes['loads'].at(WORKERS) / MIB:.2f}",
            f"{decide * REQUESTS_PER_S / NODES:.4f}",
        ),
        (
            "limits",
            f"home accounts, {per_node_accounts} an entry; all {ACCOUNTS} if moved",
            f"{slopes['limits'].at(ACCOUNTS) / MIB:.2f}",
            "not measured",
        ),
        (
            "metrics",
            "64 labelled accounts, the rest under one label",
            f"{slopes['metrics'].at(64) / MIB:.2f}",
            "not measured",
        ),
        ("streams", "relayed as bytes; see path.md", "see path.md", "see path.md"),
    ]
    shared = Table("The platform, shared by all", ("use", "writes /s", "reads /s"))
    shared.rows += [
        ("configuration, head polled at 20 a second in all", f"{changes_per_s:.2f}", "20"),  # noqa: E501
        ("list of VMs, polled at 20 a second in all", "0", "20"),
        ("leases of 10 groups, renewed each 1.5 s by 1, watched by 2", "6.7", "20"),
        ("claims, 1 in 100 requests (guess)", f"{2 * REQUESTS_PER_S / 100:.0f}",
         f"{REQUESTS_PER_S / 100:.0f}"),
    ]  # fmt: skip
    return [control, entry, shared, fits]


def main() -> None:
    """Measure the slopes, and write them and the tables."""
    slopes = measure_slopes()
    how = f"Python {sys.version.split()[0]}, {os.cpu_count()} cores"
    write("capacity", "Capacity at the target size", build_tables(slopes), how)
    data = {
        key: msgspec.to_builtins(slope_fields(item)) for key, item in slopes.items()
    }
    Path(MEASURED / "slopes.json").write_text(json.dumps(data, indent=1) + "\n")


def slope_fields(item: Slope) -> dict[str, object]:
    """Return the fields of a slope by name."""
    return {name: getattr(item, name) for name in Slope.__slots__}


if __name__ == "__main__":
    main()
