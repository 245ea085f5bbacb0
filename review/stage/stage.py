"""Run nodes, stand-ins and clients of one case, and record what they see."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path

from review.stage.http import encode, read_body, read_head
from review.stage.store import Store

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "reserve.example"
# Those of the small installations qai-yard and wao-ankiety.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 54,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 10,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "version_ms": 6000,
    "version_fleet_ms": 8400,
    "ttl_max_s": 5,
}
CONTRACTS = (
    "base drain config cost retry recover kvcache stream engine tenants platform"
)
START_TIMEOUT_S = 20.0
_KEPT_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")


class NotRunnable(Exception):
    """Tell that a case could not run."""


class Node:
    """Run one node with the command of the deploy file."""

    def __init__(self, stage, number, memory_mb=150, **settings):
        self.stage = stage
        self.name = f"front-{number}"
        self.process = None
        # A pid is unique, so that cases that run side by side do not collide.
        pid = os.getpid()
        self.ip = f"127.{120 + pid // 250 % 100}.{pid % 250}.{number}"
        front, ready, control, directory, self.metrics_port = _free_ports(self.ip, 5)
        self.front = (self.ip, front)
        self.ready = (self.ip, ready)
        self.directory = (self.ip, directory)
        self.memory_mb = memory_mb
        self.settings = {
            "node": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
                "directory": f"{self.ip}:{directory}",
            },
            "internal_port_range": _free_ports(self.ip, 2),
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS.split(),
            "bounds": BOUNDS,
            "platform": {"address": stage.store.address, "form": "table"},
            **settings,
        }

    def start(self):
        """Start the process."""
        path = Path(self.stage.folder.name) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        env = {name: os.environ[name] for name in _KEPT_VARIABLES if name in os.environ}
        env |= {
            "ARBUTUSYARD_CONFIG": str(path),
            "ARBUTUSYARD_METRICS_PORT": str(self.metrics_port),
            "PYTHONPATH": str(ROOT / "target/deps"),
            # A node looks up the names of its addresses as it starts; without a
            # network that would take several seconds.
            "RES_OPTIONS": "timeout:1 attempts:1",
        }
        log = (Path(self.stage.folder.name) / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "arbutusyard.cli.node_start"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.stage.log("start", self.name, f"pid {self.process.pid}")

    @property
    def running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process."""
        self.stage.log("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.running:
            self.process.kill()
            self.process.wait()

    def memory_mib(self, name="VmHWM"):
        """Return a figure of the process's memory, by default its peak, in MiB."""
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith(name + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self):
        """Return what the process has written."""
        return (Path(self.stage.folder.name) / f"{self.name}.log").read_text()


class Stage:
    """Hold the parts of a case; end them all when it is over."""

    def __init__(self, record):
        self.store = Store()
        self.nodes = []
        self.workers = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.began = time.monotonic()
        self._record = record.open("w")

    def log(self, *words):
        """Write a line to the record."""
        text = " ".join(str(word) for word in words)
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def show(self, title, lines):
        """Repeat at the end of the record what shows that the rule was broken."""
        self.log(f"EVIDENCE, {title}:" if lines else f"EVIDENCE, {title}: none")
        for line in lines:
            self.log("   ", line)

    def say(self, *words):
        """Write a line to the record and to the output."""
        self.log(*words)
        print(*words)

    async def add_worker(self, worker):
        """Start a worker."""
        self.workers.append(worker)
        await worker.start()
        return worker

    def configure(self, version, routes, services, tenants=()):
        """Write a configuration; return the time of its ack."""
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": list(tenants),
        }
        acked = self.store.write("op", "config", config)
        self.log("ack", f"config {version}")
        return acked

    async def start_nodes(self, count, **settings):
        """Start nodes and wait until all of them are ready."""
        self.nodes = [Node(self, number, **settings) for number in range(1, count + 1)]
        for node in self.nodes:
            node.start()
        await self.until_ready(self.nodes)

    async def until_ready(self, nodes):
        """Wait until nodes answer the readiness check and accept clients."""
        until = time.monotonic() + START_TIMEOUT_S
        for node in nodes:
            while not (await is_ready(node) and await _is_open(node.front)):
                if time.monotonic() > until or not node.running:
                    raise NotRunnable(f"{node.name} is not ready: {node.log_text()}")
                await asyncio.sleep(0.1)

    async def close(self):
        """End all processes and tasks that this case started."""
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            await worker.stop()
        self.folder.cleanup()
        self._record.close()


async def is_ready(node):
    """Return whether a node answers its readiness check with 200 within a second."""
    try:
        answer = await asyncio.wait_for(call(node.ready, "GET", "/-/readyz"), 1.0)
    except (OSError, TimeoutError):
        return False
    return answer is not None and answer.status == 200


async def _is_open(address):
    """Return whether an address accepts connections."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


async def call(address, method, path, headers=None, body=None, on_data=None):
    """Send one request on a new channel; return the answer, None without one."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": HOST, **(headers or {})}
        if body is None and method == "POST":
            body = b""
        writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        return await read_answer(reader, on_data)
    finally:
        writer.close()


async def read_answer(reader, on_data=None):
    """Read an answer; return None if the channel ends before it."""
    answer = await read_head(reader)
    if answer is not None:
        await read_body(reader, answer, on_data)
    return answer


def route(name, kind, service, timeout_ms, **fields):
    """Return a route of the configuration, with the prefix /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


def model_service(name="llm", model="m0"):
    """Return a service of model workers, with the figures of wao-ankiety."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 150_319,
        "kv_token_bytes": 163_840,
        "link_mbps": 550_000,
        "models": [{"name": model}],
    }
    return {"name": name, "max_connections": 360, "engine": engine}


def model_headers(request_id, deadline_ms, parts, model="m0", **fields):
    """Return the headers of a request to a model worker."""
    tokens = sum(int(part.split(":")[1]) for part in parts)
    return {
        "Request-Id": request_id,
        "Deadline-Ms": int(deadline_ms),
        "Model": model,
        "Token-Count": f"{tokens},30",
        "Prefix-Hash": ",".join(parts),
        **fields,
    }


class EventReader:
    """Collect the complete events of a stream: their ids and their texts."""

    def __init__(self):
        self.events = []
        self._rest = b""

    def feed(self, data):
        """Add bytes of the stream."""
        self._rest += data
        while b"\n\n" in self._rest:
            raw, self._rest = self._rest.split(b"\n\n", 1)
            fields = dict(line.split(": ", 1) for line in raw.decode().split("\n"))
            self.events.append((int(fields["id"]), fields["data"]))


def new_id():
    """Return the id of a new client attempt."""
    return uuid.uuid4().hex[:16]


def _free_ports(ip, count):
    """Return ports of an address that are free for TCP and UDP."""
    ports = []
    held = []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        try:
            udp.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    for sock in held:
        sock.close()
    return ports


def run_case(folder, play, trouble):
    """Play a case, with its disruption if that is asked for; exit with its result."""

    async def main():
        stage = Stage(Path(folder) / "record.txt")
        stage.log("with the disruption" if trouble else "TROUBLE=0: no disruption")
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await stage.store.start()
            result = await play(stage, trouble)
            stage.say("result:", "the rule was broken" if result else "the rule held")
            return result
        except NotRunnable as exc:
            stage.say("result: the case could not run:", exc)
            return NOT_RUN
        finally:
            await stage.close()

    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError, asyncio.CancelledError) as exc:
        print("result: the case could not run:", repr(exc))
        sys.exit(NOT_RUN)
