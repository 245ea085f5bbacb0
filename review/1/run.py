"""Let a server send late copies of its answers "not executed" in small numbers."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import (
    KEY,
    Chan,
    Listener,
    Node,
    Store,
    configuration,
    entry,
    exchange,
    message,
    read_body,
    run_case,
    wait_ready,
)

SERVICE, OTHER_SERVICE = "exchange-desk", "stock-room"
SLOTS, QUEUE = 6, 2
# Mean work on a request, in seconds.
WORK_S = 0.045
# Time before the trouble, and its windows and the pauses between them, in seconds.
WARM_UP_S, WINDOW_S, PAUSE_S, WINDOWS = 12.0, 5.0, 1.0, 10
# Fraction of the faulty server's answers in these windows that it sends twice.
COPIES_FRACTION = 0.03
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
ARRIVALS_S = 115.0
DEADLINE_MS = 1000


class Desk:
    """Run requests that may not be repeated; reject what it has no room for."""

    def __init__(self, server_id, record, rng):
        self.server_id = server_id
        self.garbles = False
        self.runs = {}
        self.answers = self.copies = 0
        self._record = record
        self._rng = rng
        self._admitted = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.stop = self._listener.stop

    async def _serve(self, chan):
        copy, copy_of = b"", ""
        while (head := await chan.read_head()) is not None:
            _, headers = head
            await read_body(chan, headers)
            request_id = headers.get("request-id", "")
            if copy:
                text = f"a late copy of its answer 503, Not-Executed, to {copy_of}"
                text += f", as {request_id} comes on that connection"
                self._record.line(f"{self.server_id} sends {text}")
                await chan.send(copy)
                copy = b""
            data = await self._answer(request_id, headers)
            await chan.send(data)
            self.answers += self.garbles
            if self.garbles and b"Not-Executed" in data and self._may_copy():
                self.copies += 1
                copy, copy_of = data, request_id

    def _may_copy(self):
        """Tell whether another copy stays within the fraction of all answers."""
        return self.copies + 1 <= COPIES_FRACTION * self.answers

    async def _answer(self, request_id, headers):
        names = {"Request-Id": request_id, "Keep-Alive": "timeout=15"}
        if headers.get("expect-instance") != self.server_id:
            names |= {"Not-Executed": "1", "Instance-Id": self.server_id}
            return message("HTTP/1.1 421 Misdirected Request", names)
        if self._admitted >= SLOTS + QUEUE:
            self._record.line(f"{self.server_id} rejects {request_id}: it is full")
            names["Not-Executed"] = "1"
            return message("HTTP/1.1 503 Service Unavailable", names)
        self._admitted += 1
        try:
            async with self._slots:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
                self._record.line(f"{self.server_id} runs {request_id}")
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * WORK_S)
        finally:
            self._admitted -= 1
        names["Response-Stamp"] = f"{self.server_id}.{request_id}"
        return message("HTTP/1.1 200 OK", names, b"reserved " + request_id.encode())


async def reserve(request_id, address, idle, record, statuses):
    """Send one reservation on a kept connection, or on a new one."""
    headers = {"Request-Id": request_id, "Deadline-Ms": DEADLINE_MS, "Api-Key": KEY}
    chan = None
    record.line(f"client sends {request_id} to {address}")
    try:
        chan = idle.pop() if idle else await Chan.connect(address)
        sending = exchange(chan, "POST", "/reserve/part", headers, b"part")
        answer = await asyncio.wait_for(sending, DEADLINE_MS / 1000 + 1)
    except (OSError, ValueError) as exc:
        record.line(f"client of {request_id}: {exc!r}")
        statuses[request_id] = 0
        if chan is not None:
            chan.close()
        return
    record.line(f"client of {request_id} gets {answer.status}")
    statuses[request_id] = answer.status
    if answer.headers.get("connection") == "close":
        chan.close()
    else:
        idle.append(chan)


async def play(record, folder, trouble, cleanup):
    """Run the case; return the broken rules."""
    rng = random.Random(1)
    store = Store()
    desk = Desk("i-desk", record, rng)
    # A sound server of another service, which gets no request.
    other = Desk("i-stock", record, rng)
    route = {
        "name": "part-reserve",
        "path_prefix": "/reserve/",
        "kind": "non_idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "service": SERVICE,
        "max_attempts": 1,
    }
    services = [
        {"name": name, "max_connections": 110} for name in (SERVICE, OTHER_SERVICE)
    ]
    store.put("op", "config", configuration(1, [route], services))
    for server, service in ((desk, SERVICE), (other, OTHER_SERVICE)):
        cleanup.callback(server.stop)
        address = server.address
        store.put("servers", server.server_id, entry(service, address, SLOTS))
    nodes = []
    for number in (1, 2):
        seeds = [node.control for node in nodes]
        nodes.append(Node(number, folder, store.address, seeds))
        cleanup.callback(nodes[-1].stop)
        nodes[-1].start()
    await wait_ready(nodes)
    statuses, tasks = {}, set()
    idle = {node.front: [] for node in nodes}

    async def arrive(for_s):
        until = record.now() + for_s
        while record.now() < until:
            await asyncio.sleep(rng.expovariate(ARRIVALS_S))
            request_id = f"{len(statuses):06x}"
            statuses[request_id] = None
            front = rng.choice(nodes).front
            sending = reserve(request_id, front, idle[front], record, statuses)
            task = asyncio.create_task(sending)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    await arrive(WARM_UP_S)
    for _ in range(WINDOWS):
        desk.garbles = trouble
        await arrive(WINDOW_S)
        desk.garbles = False
        await arrive(PAUSE_S)
    await asyncio.sleep(3.0)
    return judge(record, desk, statuses)


def judge(record, desk, statuses):
    """Return the broken rule; report refused requests that ran, another rule, too."""
    twice = [request_id for request_id, count in desk.runs.items() if count > 1]
    refused = [i for i, s in statuses.items() if s in PROMISES and i in desk.runs]
    counts = {s: list(statuses.values()).count(s) for s in set(statuses.values())}
    summary = f"{len(statuses)} requests, answers by status {counts}; {desk.server_id} "
    summary += f"sent {desk.copies} copies of {desk.answers} answers in the windows; "
    summary += f"REFUSED, not judged here: {len(refused)} requests {refused[:5]}"
    record.line(summary)
    print(summary)
    broken = []
    if twice:
        broken.append(f"TWICE: {len(twice)} requests ran more than once: {twice[:5]}")
    for text in broken:
        record.line(text)
    record.explain(twice)
    record.explain(refused)
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
