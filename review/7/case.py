"""Replace the software of model workers in place while clients resume streams."""

import asyncio
import random
import time
from pathlib import Path

from review.stage.http import encode
from review.stage.stage import (
    HOST,
    EventReader,
    model_headers,
    model_service,
    new_id,
    read_answer,
    route,
    run_case,
)
from review.stage.worker import ModelWorker

NODES = 3
WORKERS = 5
STREAMS_PER_S = 5
DEADLINE_S = 15.0
# The time that a worker takes to start again, and the pause between two of them.
DOWN_S = 0.3
PAUSE_S = 3.0
# The pause of a client before it takes its stream up at another node.
CLIENT_PAUSE_S = (0.3, 0.9)
# The rule allows two such streams.
MIXED_MAX = 2


class SoftwareWorker(ModelWorker):
    """Name in each event the version of the software that wrote it."""

    events = 64
    interval_s = 0.1

    async def stream(self, request, writer, events):
        """Stream events from the one after Last-Event-Id on."""
        software = self.software
        await self.begin_stream(request, writer)
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(self.interval_s)
            data = f"id: {number}\ndata: {software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Client:
    """Read one stream, and take it up once at another node if its channel breaks."""

    def __init__(self, stage, rng):
        self.stage = stage
        self.rng = rng
        self.reader = EventReader()
        self.began_id = ""
        self.statuses = []

    @property
    def software(self):
        """Return the versions of the software that wrote the events, in order."""
        return list(dict.fromkeys(text for _, text in self.reader.events))

    async def run(self):
        """Read the stream within its time budget."""
        until = time.monotonic() + DEADLINE_S
        # The other nodes have no traffic of their own.
        node = self.stage.nodes[0]
        complete = await self._attempt(node, until)
        if not complete and self.reader.events:
            node = self.rng.choice(self.stage.nodes[1:])
            await asyncio.sleep(self.rng.uniform(*CLIENT_PAUSE_S))
            await self._attempt(node, until)

    async def _attempt(self, node, until):
        """Make one client attempt; return whether its answer is complete."""
        request_id = new_id()
        left_s = until - time.monotonic()
        headers = {"Host": HOST} | model_headers(
            request_id, left_s * 1000, ["5c1e07a2:55", f"{request_id}:37"]
        )
        if self.reader.events:
            headers["Last-Event-Id"] = self.reader.events[-1][0]
            headers["Resumes"] = self.began_id
        self.stage.log("sent", node.name, request_id, headers.get("Resumes", ""))
        had = len(self.reader.events)
        answer = None
        try:
            async with asyncio.timeout(left_s):
                stream, writer = await asyncio.open_connection(*node.front)
                writer.write(encode("POST /tag/1 HTTP/1.1", headers, b"prompt"))
                answer = await read_answer(stream, self.reader.feed)
        except (OSError, TimeoutError):
            pass
        if not had and self.reader.events:
            self.began_id = request_id
        status = answer.status if answer else None
        complete = answer is not None and answer.complete
        self.statuses.append(status)
        events = " ".join(f"{n}:{text}" for n, text in self.reader.events[had:])
        self.stage.log(
            "answered", request_id, status, "whole" if complete else "broken", events
        )
        return complete


async def play(stage, trouble):
    """Return whether more than two streams hold events of two software versions."""
    stage.configure(
        1,
        [route("tag", "streaming", "llm", 15_000, resumable=True, max_attempts=1)],
        [model_service()],
    )
    stage.store.write("op", "version/m0", {"model": "m0", "version": 1})
    workers = [
        await stage.add_worker(SoftwareWorker(stage, "llm", 64, "m0"))
        for _ in range(WORKERS)
    ]
    await stage.start_nodes(NODES)
    await asyncio.sleep(4)
    rng = random.Random(54)
    clients = []
    tasks = []

    async def send(for_s):
        for _ in range(int(for_s * STREAMS_PER_S)):
            clients.append(Client(stage, rng))
            tasks.append(asyncio.create_task(clients[-1].run()))
            await asyncio.sleep(1 / STREAMS_PER_S)

    traffic = asyncio.create_task(send(4 + WORKERS * (DOWN_S + PAUSE_S)))
    await asyncio.sleep(4)
    for worker in workers:
        # Without the disruption the workers restart with the software that they had.
        await worker.restart(DOWN_S, "s2" if trouble else None)
        await asyncio.sleep(PAUSE_S)
    await traffic
    await asyncio.gather(*tasks)
    mixed = [client for client in clients if len(client.software) > 1]
    resumed = [client for client in clients if len(client.statuses) > 1]
    went_on = [client for client in resumed if client.statuses[1] == 200]
    for client in mixed:
        stage.log(
            "mixed:",
            client.began_id,
            [n for n, _ in client.reader.events],
            "by",
            client.software,
        )
    stage.say(
        f"{len(clients)} streams, {len(resumed)} taken up again, {len(went_on)} of "
        f"them went on, {len(mixed)} hold events of two software versions"
    )
    return len(mixed) > MIXED_MAX


run_case(Path(__file__).parent, play)
