"""Start the daemons and the simulated outside systems as processes on one machine."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

# Key that authenticates the messages between the daemons and of operators.
KEYS = "a-key-for-tests-only"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
ROOT = Path(__file__).resolve().parent.parent


@dataclass
class Process:
    """Hold one started program and the addresses that it printed."""

    name: str
    args: list[str]
    popen: subprocess.Popen
    addresses: dict[str, str] = field(default_factory=dict)

    def kill(self) -> None:
        """Kill the program with SIGKILL and wait for its exit."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def is_running(self) -> bool:
        """Return whether the program has not exited."""
        return self.popen.poll() is None


class Cluster:
    """Start, stop and control programs by name.

    Leaving the context kills every program that still runs.
    """

    def __init__(self, log_dir: Path) -> None:
        self.log_dir = log_dir
        self.processes: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.peers: list[str] = []
        self.cut_off: set[str] = set()

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait(STOP_TIMEOUT_S)

    def run_concurrently(self, *starts: Callable[[], None]) -> None:
        """Run several start functions concurrently."""
        with ThreadPoolExecutor(len(starts)) as pool:
            for fut in [pool.submit(start) for start in starts]:
                fut.result()

    def address(self, name: str, kind: str = "listen") -> str:
        """Return an address that a program printed."""
        return self.processes[name].addresses[kind]

    def platform(self, *extra: str) -> None:
        """Start the simulated platform."""
        self._start_standin("platform", "platform", *extra)

    def engine(
        self, name: str, serves: str, domain: str, *extra: str, linked: bool = False
    ) -> None:
        """Start a simulated engine and add it to the platform's VM list.

        A linked engine is reached through a link, which can delay or cut its traffic.
        """
        listen = f"127.0.0.1:{free_port()}"
        model = serves.split("/")[1]
        platform = self.address("platform")
        self._start_standin(
            name,
            "engine",
            *("--model", model, "--platform", platform, "--listen", listen),
            *extra,
        )
        address = self.link(f"{name}-link", listen) if linked else listen
        self.add_vm(name, "engine", serves, domain, address=address)

    def service(
        self, name: str, serves: str, domain: str, *extra: str, linked: bool = False
    ) -> None:
        """Start a simulated plain service and add it to the platform's VM list."""
        self._start_standin(name, "service", *extra)
        address = self.address(name)
        if linked:
            address = self.link(f"{name}-link", address)
        self.add_vm(name, "service", serves, domain, address=address)

    def link(self, name: str, target: str, *extra: str) -> str:
        """Start a link to a target and return the address that it forwards."""
        self._start_standin(name, "link", "--target", target, *extra)
        return self.configure(name)["carries"]

    def add_vm(
        self, name: str, role: str, serves: str, domain: str, **changes: object
    ) -> None:
        """Add a VM to the platform's VM list."""
        vm = {
            "vm_id": name,
            "role": role,
            "serves": serves,
            "address": self.address(name),
            "failure_domain": domain,
            "leaving": False,
        }
        self.configure("platform", vms=[{**vm, **changes}])

    def control(
        self, name: str, region: str, domain: str, linked: bool = False
    ) -> None:
        """Start a control daemon; a restart reuses its addresses."""
        listen, rpc = self._choose_addresses(name)
        args = [
            "control",
            *("--name", name, "--region", region, "--failure-domain", domain),
            *("--keys", KEYS, "--listen", listen, "--rpc-listen", rpc),
        ]
        if linked:
            listen = self.link(f"{name}-udp", listen)
            args += ["--advertise", listen]
            args += ["--rpc-advertise", self.link(f"{name}-rpc", rpc)]
        args += ["--platform", self.platform_address(name, linked)]
        args += ["--peers", ",".join(self.peers)]
        if listen not in self.peers:
            self.peers.append(listen)
        self._start_daemon(name, args)

    def platform_address(self, name: str, linked: bool) -> str:
        """Return the address at which one daemon reaches the platform."""
        if not linked:
            return self.address("platform")
        return self.link(f"{name}-platform", self.address("platform"))

    def restart(self, name: str) -> None:
        """Start a daemon or an engine again with the same arguments."""
        previous = self.processes[name]
        process = self._spawn(name, previous.args)
        line = _first_line(process)
        if line.startswith("{"):
            process.addresses |= json.loads(line)

    def _choose_addresses(self, name: str) -> tuple[str, str]:
        """Return a control's UDP and RPC addresses, those of its last start if any."""
        previous = self.processes.get(name)
        if previous is not None:
            return previous.addresses["listen"], previous.addresses["rpc"]
        return f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"

    def entry(
        self,
        name: str,
        control: str,
        region: str,
        domain: str,
        linked: bool = False,
        keep_s: float = 1.0,
    ) -> None:
        """Start an entry daemon; a restart reuses its address."""
        previous = self.processes.get(name)
        listen = (
            previous.addresses["listen"] if previous else f"127.0.0.1:{free_port()}"
        )
        args = [
            "entry",
            *("--name", name, "--region", region, "--failure-domain", domain),
            *("--platform", self.platform_address(name, linked), "--keys", KEYS),
            *("--control", self.address(control, "rpc"), "--listen", listen),
            *("--keep-s", str(keep_s)),
        ]
        self._start_daemon(name, args)

    def apply(self, file: Path, *extra: str) -> subprocess.CompletedProcess:
        """Apply a questionnaire with the operators' command."""
        command = [sys.executable, "-m", "arbutusyard", "workload", "apply", str(file)]
        command += ["--platform", self.address("platform"), *extra]
        command += ["--keys", KEYS, "--admin", ",".join(self._reachable_controls())]
        return subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False
        )

    def _reachable_controls(self) -> list[str]:
        """Return the admin addresses of the controls that run and are not cut off."""
        return [
            process.addresses["admin"]
            for name, process in self.processes.items()
            if "rpc" in process.addresses
            and process.is_running()
            and name not in self.cut_off
        ]

    def configure(self, name: str, **settings: object) -> dict:
        """Change the behaviour of a simulated system and return its answer."""
        resp = self.http.request(
            "POST", f"http://{self.address(name)}/_control", body=json.dumps(settings)
        )
        return json.loads(resp.data)

    def get(self, name: str, path: str, kind: str = "listen") -> dict:
        """Get JSON from a program."""
        resp = self.http.request("GET", f"http://{self.address(name, kind)}{path}")
        return json.loads(resp.data)

    def status(self, name: str) -> dict:
        """Get a daemon's status."""
        return self.get(name, "/status", "admin")

    def wait(self, what: str, condition: Callable[[], bool], within_s: float) -> None:
        """Wait until a condition holds; raise TimeoutError after `within_s` seconds."""
        deadline = time.monotonic() + within_s
        while True:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"{what}: condition not met within {within_s} s")
            time.sleep(0.02)

    def _start_standin(self, name: str, module: str, *extra: str) -> None:
        args = [sys.executable, "-m", f"standins.{module}", *extra]
        process = self._spawn(name, args)
        process.addresses["listen"] = _first_line(process)

    def _start_daemon(self, name: str, args: list[str]) -> None:
        process = self._spawn(name, [sys.executable, "-m", "arbutusyard", *args])
        process.addresses |= json.loads(_first_line(process))

    def _spawn(self, name: str, args: list[str]) -> Process:
        with open(self.log_dir / f"{name}.log", "ab") as log:
            popen = subprocess.Popen(
                args,
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, args, popen)
        if name in self.processes:
            process.addresses |= self.processes[name].addresses
        self.processes[name] = process
        return process


def _first_line(process: Process) -> str:
    """Return the first line that a program prints once it serves."""
    line = process.popen.stdout.readline().decode().strip()
    if not line:
        raise RuntimeError(f"{process.name} exited during startup; see its log")
    return line


def free_port() -> int:
    """Return a port that is free for TCP now; control daemons use it for UDP, too."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
