"""Let one engine answer reads of its report with a body that does not end."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import (
    KEY,
    MEMORY_MB,
    MODEL,
    Chan,
    Listener,
    Node,
    Store,
    configuration,
    entry,
    message,
    read_body,
    run_case,
    wait_ready,
)

SERVICE = "llm-hangar"
SLOTS = 64
ENGINES, NODES, CLIENTS = 5, 3, 24
# Time until the first event of a stream, its events, the time between two of them and
# the time of a load, in seconds.
PREFILL_S, EVENTS, EVENT_S, LOAD_S = 0.3, 8, 0.01, 0.57
# Size of a piece of the endless body, in bytes, and how many are sent a second; this
# is a quarter of the bandwidth of a machine's link.
PIECE_BYTES, PIECES_S = 65_536, 500
WARM_UP_S, TROUBLE_S = 5.0, 70.0
# Time until the platform starts a process again, in seconds.
RESTART_S = 1.0
DEADLINE_MS = 5000
# Requests that a machine may lose without breaking the rule.
LOST_MAX = 3


class Engine:
    """Stream answers and load weights when ordered to."""

    def __init__(self, server_id, store, record):
        self.server_id = server_id
        self.garbles = False
        self.version = 1
        self.endless = 0
        # Requests that this server has begun to work on.
        self.runs = set()
        self._accepted = 0
        self._loading = False
        self._store = store
        self._record = record
        self._listener = Listener(self._serve)
        self.stop = self._listener.stop
        self._write()

    def _write(self):
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        line = entry(SERVICE, self._listener.address, SLOTS, models, born=1)
        self._store.put("servers", self.server_id, line)

    async def _serve(self, chan):
        while (head := await chan.read_head()) is not None:
            first, headers = head
            body = await read_body(chan, headers)
            if headers.get("expect-instance") != self.server_id:
                await self._reject(chan, headers, 421)
            elif first.startswith("GET /-/report"):
                await self._report(chan)
            elif first.startswith("POST /-/order"):
                await self._order(chan, json.loads(body))
            elif headers.get("expect-version") not in (None, str(self.version)):
                await self._reject(chan, headers, 421)
            else:
                await self._stream(chan, headers["request-id"])

    async def _reject(self, chan, headers, status):
        names = {"Not-Executed": "1", "Instance-Id": self.server_id}
        names["Request-Id"] = headers.get("request-id", "")
        await chan.send(message(f"HTTP/1.1 {status} X", names))

    async def _report(self, chan):
        if self.garbles:
            self.endless += 1
            self._record.line(f"{self.server_id} begins a report that does not end")
            head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
            await chan.send(head.encode())
            while True:
                await chan.send(b" " * PIECE_BYTES)
                await asyncio.sleep(1 / PIECES_S)
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        report = {"stage": "both", "models": models, "busy": self._loading}
        report |= {"sequence": self._accepted, "queue_depth": 0, "in_flight": 0}
        report |= {"kv_used": 0, "kv_total": 90000, "handles": 0, "born": 1}
        names = {"Content-Type": "application/json"}
        await chan.send(message("HTTP/1.1 200 OK", names, json.dumps(report).encode()))

    async def _order(self, chan, order):
        status = 202
        if order["version"] == self.version:
            status = 200
        elif self._loading or order.get("if_revision") != self._accepted:
            status = 409
        self._record.line(f"{self.server_id} gets an order of {order['holder']}")
        if status == 202:
            self._accepted += 1
            self._loading = True
            loop = asyncio.get_running_loop()
            loop.call_later(LOAD_S, self._finish, order["version"])
        await chan.send(message(f"HTTP/1.1 {status} X", {}))

    def _finish(self, version):
        self._loading = False
        self.version = version
        self._write()

    async def _stream(self, chan, request_id):
        names = {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.server_id}.{request_id}",
            "Content-Type": "text/event-stream",
            "Weight-Versions": self.version,
            "Keep-Alive": "timeout=15",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in names.items()]
        self.runs.add(request_id)
        self._record.line(f"{self.server_id} runs {request_id}")
        await asyncio.sleep(PREFILL_S)
        await chan.send("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            await chan.send(b"%x\r\n%s\r\n" % (len(event), event))
        await chan.send(b"0\r\n\r\n")


class Unanswered(ConnectionError):
    """Report that a connection ended before any byte of an answer."""


class Client:
    """Send one stream after the other on a kept connection to one node."""

    def __init__(self, number, node, record, counts):
        self._number = number
        self.node = node
        self._record = record
        self._counts = counts
        # Requests on kept connections that ended without a byte of an answer.
        self.unanswered = []

    async def run(self):
        """Send requests until cancelled."""
        chan, kept, count = None, False, 0
        while True:
            count += 1
            request_id = f"{self._number:02x}{count:04x}"
            try:
                if chan is None:
                    kept, chan = False, await Chan.connect(self.node.front)
                text = "kept" if kept else "new"
                text = f"client sends {request_id} to {self.node.name}, {text} channel"
                self._record.line(text)
                status = await self._ask(chan, request_id)
                self._record.line(f"client of {request_id} gets {status}")
                kept = True
            except (OSError, ValueError) as exc:
                if chan is not None:
                    text = f"{exc!r}, kept: {kept}, {len(chan.buffer)} bytes came"
                    self._record.line(f"client of {request_id}: {text}")
                    if kept and isinstance(exc, Unanswered):
                        self.unanswered.append(request_id)
                    chan.close()
                chan, status = None, 0
                await asyncio.sleep(0.2)
            self._counts[status] = self._counts.get(status, 0) + 1

    async def _ask(self, chan, request_id):
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Ms": DEADLINE_MS,
            "Api-Key": KEY,
            "Model": MODEL,
            "Token-Count": "400,8",
            "Prefix-Hash": f"a{self._number}:100,{request_id}:300",
        }
        await chan.send(message("POST /ask/ HTTP/1.1", headers, b"question"))
        try:
            head = await asyncio.wait_for(chan.read_head(), DEADLINE_MS / 1000 + 1)
        except ConnectionError as exc:
            raise Unanswered(str(exc)) from exc
        if head is None:
            raise Unanswered("closed without an answer")
        first, names = head
        await asyncio.wait_for(read_body(chan, names), DEADLINE_MS / 1000 + 1)
        return int(first.split(" ")[1])


async def act_as_platform(node, record, ends):
    """Kill a process that exceeds its memory, and start it again."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.05)
        memory_mb = node.memory_mb()
        if memory_mb > peak + 50:
            peak = memory_mb
            record.line(f"{node.name} uses {memory_mb:.0f} MB")
        if memory_mb <= MEMORY_MB and node.running:
            continue
        if node.running:
            record.line(f"{node.name} exceeds {MEMORY_MB} MB: {memory_mb:.0f} MB")
        ends[node.name] = ends.get(node.name, 0) + 1
        node.stop()
        await asyncio.sleep(RESTART_S)
        node.start()
        peak = 0.0


async def play(record, folder, trouble, cleanup):
    """Run the case; return the broken rules."""
    rng = random.Random(3)
    store = Store()
    route = {
        "name": "dossier-review",
        "path_prefix": "/ask/",
        "kind": "streaming",
        "resumable": False,
        "timeout_ms": 10000,
        "target_latency_ms": 800,
        "gap_target_ms": 250,
        "service": SERVICE,
        "max_attempts": 1,
    }
    traits = {
        "slots": SLOTS,
        "kv_capacity_tokens": 179745,
        "kv_token_bytes": 163840,
        "link_mbps": 280000,
        "models": [{"name": MODEL}],
    }
    services = [{"name": SERVICE, "max_connections": 370, "engine": traits}]
    store.put("op", "config", configuration(1, [route], services))
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    engines = [Engine(f"i-llm{n}", store, record) for n in range(ENGINES)]
    for engine in engines:
        cleanup.callback(engine.stop)
    nodes = []
    for number in range(1, NODES + 1):
        seeds = [node.control for node in nodes]
        nodes.append(Node(number, folder, store.address, seeds))
        cleanup.callback(nodes[-1].stop)
        nodes[-1].start()
    await wait_ready(nodes)
    ends, counts = {}, {}
    clients = [Client(n, nodes[n % NODES], record, counts) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    tasks += [asyncio.create_task(act_as_platform(n, record, ends)) for n in nodes]
    await asyncio.sleep(WARM_UP_S)
    rng.choice(engines).garbles = trouble
    record.line("weights 2 are named")
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
    until = time.monotonic() + TROUBLE_S
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    return judge(record, engines, clients, ends, counts)


def judge(record, engines, clients, ends, counts):
    """Return the broken rules."""
    versions = {engine.server_id: engine.version for engine in engines}
    sound = {i for engine in engines if not engine.garbles for i in engine.runs}
    lost_ids, lost = [], {}
    for client in clients:
        ids = [request_id for request_id in client.unanswered if request_id in sound]
        lost_ids += ids
        lost[client.node.name] = lost.get(client.node.name, 0) + len(ids)
    endless = sum(engine.endless for engine in engines)
    summary = f"answers by status {counts}; {endless} endless reports; versions "
    summary += f"{versions}; processes that ended by themselves (not judged): {ends}"
    record.line(summary)
    print(summary)
    broken = []
    if max(lost.values()) > LOST_MAX:
        text = f"{len(lost_ids)} requests on kept connections were passed on to sound"
        broken.append(f"LOST: {text} servers and ended without an answer: {lost}")
    for text in broken:
        record.line(text)
    record.explain(lost_ids)
    record.explain([f"exceeds {MEMORY_MB} MB", "that does not end"])
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
