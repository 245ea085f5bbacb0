"""Run the whole system on one machine under load, and kill two processes."""

import argparse
import json
import random
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path

from arbutusyard.client import CallFailed, Client, ClientError, Unreachable
from arbutusyard.entry.models import OutcomeKind
from standins.answers import whole_answer
from standins.cluster import ROOT, Cluster
from standins.workloads import QuetzalWorkload, VentureWorkload

ACCOUNTS = {
    "quetzal": (
        *("cielo-maya", "motores-pacifico", "aviones-del-istmo", "hangar-uno"),
        *("rotor-quiche", "taller-atitlan", "turbinas-leon", "vuelo-izalco"),
    ),
    "venture": (
        *("baltic-kadry", "odra-hr", "dobra-praca", "kadry-slask"),
        *("mazur-staff", "nowa-rola", "wisla-people", "zespol-plus"),
    ),
}
MODELS = {"quetzal": "quetzal-assistant", "venture": "venture-summaries"}
SERVICES = {"quetzal": "exchange", "venture": "interviews"}
WRITES = {"quetzal": "/reservations", "venture": "/interviews"}
# Number of engines of each workload.
ENGINES = 3
# Number of concurrent clients.
CALLERS = 12
# Numbers of chat requests and of calls that the clients send.
CHATS = 300
CALLS = 60
# Number of completed requests after which an engine and an entry are killed.
KILL_ENGINE_AFTER = 100
KILL_ENTRY_AFTER = 200


@dataclass
class Report:
    """Count requests by outcome; printed as JSON at the end."""

    requests: int = 0
    complete: int = 0
    incomplete: int = 0
    refused_not_run: int = 0
    outcome_unknown: int = 0
    executed_twice: int = 0
    prefix_hit_rate: float = 0.0
    ttft_p50_ms: float = 0.0
    ttft_p95_ms: float = 0.0
    recomputed_tokens: int = 0


@dataclass
class Results:
    """Collect the results of concurrent clients."""

    report: Report = field(default_factory=Report)
    first_tokens_s: list[float] = field(default_factory=list)
    cached: int = 0
    prompt: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def finish(self) -> Report:
        """Compute the rates and times of the report and return it."""
        times = sorted(self.first_tokens_s)
        report = self.report
        report.prefix_hit_rate = round(self.cached / max(1, self.prompt), 3)
        report.recomputed_tokens = self.prompt - self.cached
        report.ttft_p50_ms = round(1000 * times[len(times) // 2], 1)
        report.ttft_p95_ms = round(1000 * times[len(times) * 95 // 100], 1)
        return report


def start(cluster: Cluster) -> None:
    """Start the platform, engines, services, controls and entries."""
    cluster.platform()
    cluster.run_concurrently(
        *(
            partial(
                cluster.engine,
                f"{workload}-engine{number}",
                f"{workload}/{model}",
                f"{workload}-{number}",
            )
            for workload, model in MODELS.items()
            for number in range(ENGINES)
        ),
        *(
            partial(cluster.service, service, f"{workload}/{service}", f"{workload}-0")
            for workload, service in SERVICES.items()
        ),
        *(partial(start_node, cluster, number) for number in range(2)),
    )
    for workload in MODELS:
        applied = cluster.apply(ROOT / f"examples/{workload}.toml")
        print(applied.stdout.strip() or applied.stderr.strip(), flush=True)
    for number in range(2):
        cluster.wait("start", partial(ready, cluster, f"entry{number}"), 20)


def start_node(cluster: Cluster, number: int) -> None:
    """Start the daemons of one VM."""
    domain = f"domain-{number}"
    cluster.control(f"control{number}", "demo", domain)
    cluster.entry(f"entry{number}", f"control{number}", "demo", domain)


def ready(cluster: Cluster, entry: str) -> bool:
    """Return whether an entry knows both workloads and all backend servers."""
    status = cluster.status(entry)
    live = list(status["backends"].values()).count("live")
    return status["revision"] == 2 and live == 2 * (ENGINES + 1)


def chat(cluster: Cluster, results: Results, workload: str, prompt: object) -> None:
    """Send one chat request and check its answer."""
    client = make_client(cluster, workload, prompt.account)
    messages = prompt.messages()
    try:
        answer = client.chat(
            MODELS[workload], messages, prompt.answer_tokens, prompt.work_class
        )
    except ClientError as exc:
        count_failure(results, exc)
        return
    correct = answer.text == whole_answer(messages, "v1", prompt.answer_tokens)
    with results.lock:
        results.report.requests += 1
        results.report.complete += correct
        results.report.incomplete += not correct
        results.first_tokens_s.append(answer.first_token_s)
        results.cached += answer.cached_tokens
        results.prompt += answer.prompt_tokens


def call(cluster: Cluster, results: Results, workload: str, number: int) -> None:
    """Send one non-idempotent call."""
    client = make_client(cluster, workload, number % 8)
    try:
        client.call("POST", SERVICES[workload], WRITES[workload], {"number": number})
    except ClientError as exc:
        count_failure(results, exc)
        return
    with results.lock:
        results.report.requests += 1
        results.report.complete += 1


def count_failure(results: Results, exc: ClientError) -> None:
    """Count a request without an answer by its known outcome."""
    with results.lock:
        results.report.requests += 1
        if isinstance(exc, Unreachable):
            results.report.refused_not_run += 1
        elif not isinstance(exc, CallFailed):
            results.report.incomplete += 1
        elif exc.detail.outcome is OutcomeKind.NOT_RUN:
            results.report.refused_not_run += 1
        else:
            results.report.outcome_unknown += 1
    print(f"request failed: {exc}", flush=True)


def make_client(cluster: Cluster, workload: str, account: int) -> Client:
    """Return a client with the key of one of a workload's accounts."""
    seeds = tuple(cluster.address(f"entry{number}") for number in range(2))
    return Client(seeds, f"demo-{ACCOUNTS[workload][account]}", retries=8)


def load(cluster: Cluster, results: Results) -> None:
    """Send mixed requests; meanwhile kill an engine, and kill and restart an entry."""
    sources = {"quetzal": QuetzalWorkload(1), "venture": VentureWorkload(1)}
    jobs = []
    for number in range(CHATS):
        workload = "venture" if number % 3 == 0 else "quetzal"
        jobs.append(
            partial(chat, cluster, results, workload, sources[workload].prompt())
        )
    for number in range(CALLS):
        workload = "venture" if number % 2 else "quetzal"
        job = partial(call, cluster, results, workload, number)
        jobs.insert(random.Random(number).randrange(len(jobs)), job)
    with ThreadPoolExecutor(CALLERS) as pool:
        futs = [pool.submit(job) for job in jobs]
        wait_for(lambda: results.report.requests >= KILL_ENGINE_AFTER)
        print("killing quetzal-engine0", flush=True)
        cluster.processes["quetzal-engine0"].kill()
        wait_for(lambda: results.report.requests >= KILL_ENTRY_AFTER)
        print("killing entry1", flush=True)
        cluster.processes["entry1"].kill()
        cluster.restart("entry1")
        for fut in futs:
            fut.result()


def wait_for(condition: object) -> None:
    """Wait until a condition holds, without a timeout."""
    while not condition():
        time.sleep(0.05)


def executed_twice(cluster: Cluster) -> int:
    """Return the number of keys that a plain service executed more than once."""
    duplicates = 0
    for service in SERVICES.values():
        executions = cluster.get(service, "/_executions")["executions"]
        duplicates += sum(count > 1 for count in executions.values())
    return duplicates


def stay_up(cluster: Cluster) -> None:
    """Print how to reach the system, and keep it running until interrupted."""
    for name, process in cluster.processes.items():
        print(name, json.dumps(process.addresses), flush=True)
    print(
        f"curl http://{cluster.address('entry0')}/v1/chat/completions "
        "-H 'Authorization: Bearer demo-cielo-maya' "
        '-d \'{"model":"quetzal-assistant","max_tokens":8,'
        '"messages":[{"role":"user","content":"part 4711"}]}\'',
        flush=True,
    )
    while True:
        time.sleep(3600)


def main() -> int:
    """Run the demonstration.

    Return 1 if an answer was incomplete or a call was executed twice, else 0.
    """
    args = argparse.ArgumentParser(description=main.__doc__)
    args.add_argument("--keep", action="store_true", help="stay up afterwards")
    cfg = args.parse_args()
    with tempfile.TemporaryDirectory() as logs, Cluster(Path(logs)) as cluster:
        start(cluster)
        results = Results()
        load(cluster, results)
        results.report.executed_twice = executed_twice(cluster)
        report = results.finish()
        print(json.dumps(asdict(report)), flush=True)
        if cfg.keep:
            stay_up(cluster)
    return int(report.incomplete > 0 or report.executed_twice > 0)


if __name__ == "__main__":
    sys.exit(main())
