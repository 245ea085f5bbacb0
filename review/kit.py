"""Run nodes as processes beside a small store, servers and clients of the review.

Only the standard library is used, so that nothing has to be built or installed.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
MODEL = "model-a"
READ_BYTES = 65_536
# SO_LINGER value with which closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, METRICS_PORT = range(8780, 8785)
# Bounds and limits of the site file qai-yard.
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
    "retry_slack": 56,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 10,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "version_ms": 8000,
    "version_fleet_ms": 11000,
    "ttl_max_s": 5,
}
MEMORY_MB = 300
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": MEMORY_MB,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 25.0
# Time after which a case is given up, in seconds.
TIME_MAX_S = 115.0


class NotRun(Exception):
    """Report that the case could not run."""


class Record:
    """Write what happened to record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def line(self, text):
        """Write one line with its time."""
        line = f"{self.now():8.3f} {text}\n"
        self._lines.append(line)
        self._file.write(line)

    def explain(self, ids, most=3):
        """Repeat at the end the lines on some of the requests that broke a rule."""
        lines = list(self._lines)
        for request_id in list(dict.fromkeys(ids))[:most]:
            self._file.write(f"\nAll lines on {request_id}:\n")
            self._file.writelines(line for line in lines if request_id in line)

    def close(self):
        """Close the file."""
        self._file.close()


class Chan:
    """Read and write on one connection."""

    def __init__(self, sock):
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = b""
        self._loop = asyncio.get_running_loop()

    @classmethod
    async def connect(cls, address, timeout_s=1.0):
        """Open a connection."""
        host, port = address.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        chan = cls(sock)
        try:
            connecting = chan._loop.sock_connect(sock, (host, int(port)))
            await asyncio.wait_for(connecting, timeout_s)
        except OSError:
            sock.close()
            raise ConnectionError(f"no connection to {address}") from None
        return chan

    async def fill(self, most=READ_BYTES):
        """Read some bytes into the buffer; return False at the end."""
        data = await self._loop.sock_recv(self.sock, most)
        self.buffer += data
        return bool(data)

    async def read_until(self, mark):
        """Return the bytes up to and with a mark; None at the end before any byte."""
        while mark not in self.buffer:
            if not await self.fill():
                if self.buffer:
                    raise ConnectionError("ended inside a head")
                return None
        end = self.buffer.index(mark) + len(mark)
        data, self.buffer = self.buffer[:end], self.buffer[end:]
        return data

    async def read_exactly(self, size):
        """Return a number of bytes."""
        while len(self.buffer) < size:
            if not await self.fill():
                raise ConnectionError("ended inside a body")
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    async def read_head(self):
        """Return the first line and the headers of a message, or None at the end."""
        data = await self.read_until(b"\r\n\r\n")
        if data is None:
            return None
        first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    async def send(self, data):
        """Write bytes."""
        await self._loop.sock_sendall(self.sock, data)

    def close(self, reset=False):
        """Close the connection, by a reset if asked to."""
        with contextlib.suppress(OSError):
            if reset:
                option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                self.sock.setsockopt(*option)
        self.sock.close()


class Listener:
    """Accept connections and serve each of them in a task."""

    def __init__(self, serve, address="127.0.0.1:0", options=()):
        self._serve = serve
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in options:
            self._sock.setsockopt(*option)
        host, port = address.rsplit(":", 1)
        self._sock.bind((host, int(port)))
        self._sock.listen(512)
        self._sock.setblocking(False)
        self.address = "{}:{}".format(*self._sock.getsockname())
        self._tasks = set()
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            task = loop.create_task(self._run(Chan(sock)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, chan):
        try:
            await self._serve(chan)
        except (OSError, ValueError):
            # The other side has ended the connection.
            pass
        finally:
            chan.close()

    def stop(self):
        """Close the port and every connection."""
        self._accepting.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._sock.close()


def message(first, headers, body=b""):
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_body(chan, headers):
    """Read a body that has a length or chunks, or ends with its connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await chan.read_until(b"\r\n")
            if line is None:
                raise ConnectionError("ended between two chunks")
            size = int(line, 16)
            data = await chan.read_exactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    return await chan.read_exactly(int(headers.get("content-length", 0)))


class Store:
    """Hold tables of rows, as the platform's store does."""

    def __init__(self):
        self._rows = {}
        self._history = []
        self.version = 0
        self.era = 1
        # The store answers every call with 503.
        self.down = False
        self._changed = asyncio.Event()
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def put(self, table, key, value):
        """Write one row as the operator or a server does."""
        self._apply([{"table": table, "key": key}], json.dumps(value).encode())

    def _apply(self, rows, value=None):
        self.version += 1
        for row in rows:
            data = value if value is not None else base64.b64decode(row["value"])
            self._rows[row["table"], row["key"]] = (data, self.version)
            self._history.append((self.version, row["table"], row["key"]))
        self._wake()

    def remove(self, table, key):
        """Remove one row."""
        self.version += 1
        if self._rows.pop((table, key), None) is not None:
            self._history.append((self.version, table, key))
        self._wake()

    def copy(self):
        """Return a copy of all rows and the version."""
        return dict(self._rows), list(self._history), self.version

    def restore(self, copy):
        """Go on from an older copy, as after a drill."""
        self._rows, self._history, self.version = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table, key):
        if (table, key) not in self._rows:
            version = max(v for v, t, k in self._history if (t, k) == (table, key))
            names = {"table": table, "part": "", "key": key}
            return {**names, "ver": version, "removed": True}
        value, version = self._rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}

    async def _serve(self, chan):
        while (head := await chan.read_head()) is not None:
            first, headers = head
            body = await read_body(chan, headers)
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            args = dict(urllib.parse.parse_qsl(query))
            await asyncio.sleep(0.004)
            status, answer = await self._answer(method, path, args, body)
            answer["ver"] = self.version
            answer["now_ms"] = int(time.monotonic() * 1000)
            names = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            data = json.dumps(answer).encode()
            await chan.send(message(f"HTTP/1.1 {status} X", names, data))

    async def _answer(self, method, path, args, body):
        if self.down:
            return 503, {}
        match method, path:
            case "GET", "/-/rows-get":
                return 200, self._read(args)
            case "GET", "/-/rows-feed":
                answer = await self._follow(args)
                return (200, answer) if answer is not None else (410, {})
            case "POST", "/-/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _read(self, args):
        start, end = args.get("from", ""), args.get("to", "")
        keys = sorted(
            key
            for table, key in self._rows
            if table == args["table"] and key >= start and (not end or key < end)
        )
        limit = min(500, int(args.get("limit", 500)))
        rows = [self._row(args["table"], key) for key in keys[:limit]]
        return {"rows": rows, "more_pages": len(keys) > limit}

    async def _follow(self, args):
        table, after = args["table"], int(args["after"])
        if after > self.version:
            return None
        until = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            keys = {k for v, t, k in self._history if t == table and v > after}
            left_s = until - time.monotonic()
            if keys or left_s <= 0:
                rows = [self._row(table, key) for key in keys]
                return {"rows": sorted(rows, key=lambda row: row["ver"])}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body):
        for row in body.get("if_revision", []):
            _, version = self._rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return 412, {"rows": []}
        if body.get("puts"):
            self._apply(body["puts"])
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        return 200, {}

    def stop(self):
        """Stop serving."""
        self._listener.stop()


class Node:
    """Run one node as the deploy file does, on a loopback address of its own."""

    def __init__(self, number, folder, store_address, seeds=()):
        pid = os.getpid()
        self.name = f"front-zona-mixco-{number}"
        self.ip = f"127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}"
        self.front = f"{self.ip}:{FRONT_PORT}"
        self.control = f"{self.ip}:{CONTROL_PORT}"
        self._settings = Path(folder) / f"{self.name}.json"
        self._log = Path(folder) / f"{self.name}.log"
        self._log_file = None
        self.process = None
        settings = {
            "node": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": "zona-mixco",
            "region": "gt-central",
            "zones": {"zona-mixco": "gt-central"},
            "listen": {
                "front": self.front,
                "ready": f"{self.ip}:{READY_PORT}",
                "control": self.control,
                "directory": f"{self.ip}:{DIRECTORY_PORT}",
            },
            "internal_port_range": [7340, 7355],
            "seeds": list(seeds),
            "bootstrap": True,
            "limits": LIMITS,
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "table"},
        }
        self._settings.write_text(json.dumps(settings))

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "ARBUTUSYARD_CONFIG": str(self._settings),
            "ARBUTUSYARD_METRICS_PORT": str(METRICS_PORT),
            # A node looks up the names of its addresses at its start, which would take
            # many seconds where no name server answers.
            "RES_OPTIONS": "timeout:1 attempts:1",
        }
        self._log_file = self._log.open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "arbutusyard.cli.node_start"],
            cwd=ROOT,
            env=environment,
            stdout=self._log_file,
            stderr=subprocess.STDOUT,
        )

    @property
    def running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_lines(self):
        """Return the log so far."""
        return self._log.read_text().splitlines()

    def memory_mb(self):
        """Return the resident memory of the process in MB."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        """Return whether the node says that it is ready and takes connections."""
        try:
            answer = await call(f"{self.ip}:{READY_PORT}", "GET", "/-/readyz", {}, b"")
            (await Chan.connect(self.front)).close()
        except (OSError, ValueError):
            return False
        return answer.status == 200

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)

    def stop(self):
        """Kill the process."""
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        elif self.process is not None:
            print(f"{self.name} had ended with {self.process.returncode}")
        if self._log_file is not None:
            self._log_file.close()


class Answer:
    """Hold a complete answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def exchange(chan, method, path, headers, body):
    """Send a request on an open connection and read its answer."""
    lines = {"Host": HOST, **headers}
    await chan.send(message(f"{method} {path} HTTP/1.1", lines, body))
    head = await chan.read_head()
    if head is None:
        raise ConnectionError("closed without an answer")
    first, names = head
    return Answer(int(first.split(" ")[1]), names, await read_body(chan, names))


async def call(address, method, path, headers, body, timeout_s=5.0):
    """Send a request on a new connection."""
    chan = await Chan.connect(address)
    try:
        sending = exchange(chan, method, path, headers, body)
        return await asyncio.wait_for(sending, timeout_s)
    except TimeoutError:
        raise ConnectionError("no answer in time") from None
    finally:
        chan.close()


def configuration(version, routes, services, keys=(KEY,)):
    """Return the operator's configuration with one tenant."""
    return {
        "version": version,
        "routes": [{"host": HOST, "priority": 1, **route} for route in routes],
        "services": services,
        "tenants": [{"name": TENANT, "api_keys": list(keys), "share_nothing": False}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def entry(service, address, slots, models=(), state="ready", born=0):
    """Return a server's entry."""
    return {
        "service": service,
        "address": address,
        "zone": "zona-mixco",
        "version": "v1",
        "slots": slots,
        "state": state,
        "stage": "both",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "models": list(models),
        "born": born,
    }


async def wait_ready(nodes):
    """Wait until all nodes are ready; raise NotRun if they are not in time."""
    until = time.monotonic() + START_TIMEOUT_S
    while True:
        if all([await node.is_ready() for node in nodes]):
            return
        if time.monotonic() > until or not all(node.running for node in nodes):
            raise NotRun("the nodes did not become ready")
        await asyncio.sleep(0.1)


def _end_early(number, _):
    raise NotRun(f"ended by signal {number}")


def run_case(folder, play):
    """Run a case in a temporary folder and exit with the code of its script."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end_early)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"trouble: {trouble}")
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as scratch, contextlib.ExitStack() as cleanup:
        loop = asyncio.new_event_loop()
        try:
            playing = play(record, Path(scratch), trouble, cleanup)
            broken = loop.run_until_complete(asyncio.wait_for(playing, TIME_MAX_S))
            for text in broken:
                print(text)
            code = EXIT_BROKEN if broken else EXIT_HELD
        except BaseException as exc:
            # An error of the case itself says nothing of the rule.
            text = "".join(traceback.format_exception(exc))
            record.line(f"not run: {text}")
            print(f"not run: {text}")
    record.close()
    sys.stdout.flush()
    # Tasks of the stand-ins still wait for bytes and need no orderly end.
    os._exit(code)
