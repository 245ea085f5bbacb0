"""Let a server reject some long requests before it has read their bodies."""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import (
    KEY,
    MODEL,
    Chan,
    Listener,
    Node,
    Store,
    configuration,
    entry,
    exchange,
    message,
    run_case,
    wait_ready,
)

SERVICE = "llm-hangar"
SLOTS = 64
# Number of servers, and of faulty ones among them.
ENGINES, FAULTY = 5, 3
# Mean work on a request beside its prompt, in seconds, and the tokens of a prompt that
# an engine reads a second; a token has a byte.
WORK_S, PREFILL_TOKENS_S = 0.04, 49_600
# Segment size and receive buffer of a server's connections, in bytes, as on a network
# with small windows.
SEGMENT_BYTES, WINDOW_BYTES = 1400, 2048
# Sizes of long requests, in bytes, and from which size a faulty server rejects them.
LONG_BYTES, EARLY_MIN_BYTES = (17_000, 100_000), 60_000
SHORT_BYTES = 380
# Number of different shared parts of prompts.
PROMPTS = 499
# Fraction of a faulty server's answers in the windows of trouble that it sends early.
EARLY_FRACTION = 0.03
# Pause of a server before it reads the rest of a rejected body, and between two reads
# of it, in seconds.
PAUSE_S, READ_PAUSE_S, READ_BYTES = 0.1, 0.02, 512
# Time before the trouble, and its windows and the pauses between them, in seconds.
WARM_UP_S, WINDOW_S, PAUSE_BETWEEN_S, WINDOWS = 3.0, 5.0, 1.0, 12
# Long requests and groups of short ones a second, and the size of a group.
LONG_S, SHORT_S, SHORT_GROUP = 6.0, 8.0, 20
DEADLINE_MS = 5000


def body_of(request_id, size):
    """Return a body each of whose lines names its request."""
    line = f"{request_id} ".encode()
    return (line * (size // len(line) + 1))[:size]


class Engine:
    """Answer requests, and check that each gets the bytes that its client sent."""

    def __init__(self, server_id, record, rng, sizes):
        self.server_id = server_id
        self.garbles = False
        self.answers = self.early = self.long = 0
        self.foreign = []
        self.unasked = []
        self._record = record
        self._rng = rng
        self._sizes = sizes
        options = (
            (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
            (socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES),
        )
        self._listener = Listener(self._serve, options=options)
        self.address = self._listener.address
        self.stop = self._listener.stop

    async def _serve(self, chan):
        while (head := await chan.read_head()) is not None:
            first, headers = head
            request_id = headers.get("request-id", "")
            size = int(headers.get("content-length", 0))
            if self._sizes.get(request_id) != size:
                self.unasked.append(request_id)
                self._record.line(f"{self.server_id} reads an unsent request: {first}")
                return
            self.answers += self.garbles
            self.long += size >= EARLY_MIN_BYTES
            if self._rejects(size):
                self.early += 1
                self._record.line(f"{self.server_id} rejects {request_id} early")
                names = {"Request-Id": request_id, "Not-Executed": "1"}
                await chan.send(message("HTTP/1.1 503 Service Unavailable", names))
                await asyncio.sleep(PAUSE_S)
                if not await self._read_body(chan, request_id, size, READ_PAUSE_S):
                    return
                continue
            if not await self._read_body(chan, request_id, size, 0.0):
                return
            work_s = self._rng.uniform(0.5, 1.5) * WORK_S + size / PREFILL_TOKENS_S
            self._record.line(f"{self.server_id} runs {request_id}")
            await asyncio.sleep(work_s)
            await chan.send(self._stream(request_id))

    def _rejects(self, size):
        return (
            self.garbles
            and size >= EARLY_MIN_BYTES
            and self.early + 1 <= EARLY_FRACTION * self.answers
        )

    async def _read_body(self, chan, request_id, size, pause_s):
        """Read a body; return False if the connection ends or it has other bytes."""
        expected = body_of(request_id, size)
        at = 0
        while at < size:
            if not chan.buffer:
                await asyncio.sleep(pause_s)
                if not await chan.fill(READ_BYTES):
                    self._record.line(f"{self.server_id}: {request_id} ends at {at}")
                    return False
            data, chan.buffer = chan.buffer[: size - at], chan.buffer[size - at :]
            if data != expected[at : at + len(data)]:
                self.foreign.append(request_id)
                self._record.line(
                    f"{self.server_id} reads, where bytes {at} to {at + len(data)} of "
                    f"the body of {request_id} are due: "
                    f"{_first_other(data, expected[at : at + len(data)])}"
                )
                return False
            at += len(data)
        return True

    def _stream(self, request_id):
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Stamp: {self.server_id}.{request_id}\r\n"
            "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
            "Keep-Alive: timeout=15\r\n"
        )
        events = b"".join(
            f"id: {n}\ndata: piece {n} of {request_id}\n\n".encode() for n in (1, 2, 3)
        )
        return f"{head}Content-Length: {len(events)}\r\n\r\n".encode() + events


def _first_other(data, expected):
    """Return the bytes from the first one that is not of the body."""
    at = next(n for n, byte in enumerate(data) if byte != expected[n])
    return data[at : at + 120]


async def ask(request_id, address, size, record, statuses):
    """Send one request on a new connection."""
    shared = f"a{int(request_id, 16) % PROMPTS}:{size // 2}"
    headers = {
        "Request-Id": request_id,
        "Deadline-Ms": DEADLINE_MS,
        "Api-Key": KEY,
        "Model": MODEL,
        "Token-Count": f"{size},3",
        "Prefix-Hash": f"{shared},{request_id}:{size - size // 2}",
    }
    chan = None
    record.line(f"client sends {request_id}, {size} bytes, to {address}")
    try:
        chan = await Chan.connect(address)
        sending = exchange(chan, "POST", "/ask/", headers, body_of(request_id, size))
        answer = await asyncio.wait_for(sending, DEADLINE_MS / 1000 + 1)
        statuses[request_id] = answer.status
        record.line(f"client of {request_id} gets {answer.status}")
    except (OSError, ValueError) as exc:
        record.line(f"client of {request_id}: {exc!r}")
        statuses[request_id] = 0
    finally:
        if chan is not None:
            chan.close()


async def play(record, folder, trouble, cleanup):
    """Run the case; return the broken rules."""
    rng = random.Random(2)
    store = Store()
    sizes, statuses, tasks = {}, {}, set()
    engines = [Engine(f"i-llm{n}", record, rng, sizes) for n in range(ENGINES)]
    route = {
        "name": "dossier-review",
        "path_prefix": "/ask/",
        "kind": "streaming",
        "resumable": True,
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "gap_target_ms": 250,
        "service": SERVICE,
        "max_attempts": 2,
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
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    for engine in engines:
        cleanup.callback(engine.stop)
        line = entry(SERVICE, engine.address, SLOTS, models)
        store.put("servers", engine.server_id, line)
    nodes = []
    for number in (1, 2):
        seeds = [node.control for node in nodes]
        nodes.append(Node(number, folder, store.address, seeds))
        cleanup.callback(nodes[-1].stop)
        nodes[-1].start()
    await wait_ready(nodes)

    def send(size, front):
        request_id = f"{len(sizes):06x}"
        sizes[request_id] = size
        task = asyncio.create_task(ask(request_id, front, size, record, statuses))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def arrive(for_s):
        until = record.now() + for_s
        while record.now() < until:
            await asyncio.sleep(rng.expovariate(LONG_S + SHORT_S))
            front = rng.choice(nodes).front
            if rng.random() < LONG_S / (LONG_S + SHORT_S):
                send(rng.randint(*LONG_BYTES), front)
                continue
            for _ in range(SHORT_GROUP):
                send(SHORT_BYTES, front)

    await arrive(WARM_UP_S)
    for _ in range(WINDOWS):
        for engine in engines[:FAULTY]:
            engine.garbles = trouble
        await arrive(WINDOW_S)
        for engine in engines[:FAULTY]:
            engine.garbles = False
        await arrive(PAUSE_BETWEEN_S)
    await asyncio.sleep(3.0)
    return judge(record, engines, statuses)


def judge(record, engines, statuses):
    """Return the broken rules."""
    counts = {s: list(statuses.values()).count(s) for s in set(statuses.values())}
    early = [
        f"{engine.early} of {engine.long} long and {engine.answers} in the windows"
        for engine in engines
    ]
    summary = f"{len(statuses)} requests, answers by status {counts}; "
    summary += f"rejected early by server: {', '.join(early)}"
    record.line(summary)
    print(summary)
    foreign = [i for engine in engines for i in engine.foreign]
    unasked = [i for engine in engines for i in engine.unasked]
    broken = []
    if foreign:
        text = f"{len(foreign)} times a server got other bytes where a body was due"
        broken.append(f"UNASKED: {text}: {foreign[:5]}")
    if unasked:
        broken.append(f"UNASKED: {len(unasked)} requests that nobody sent")
    for text in broken:
        record.line(text)
    record.explain(foreign + unasked)
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
