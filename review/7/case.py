"""Let a model worker send bytes without end in the body of its answers."""

import asyncio
import os
import time
from pathlib import Path

from review.stage.stage import (
    call,
    is_ready,
    model_headers,
    model_service,
    new_id,
    route,
    run_case,
)
from review.stage.worker import ModelWorker, Worker

# Requests a second to the sound application workers, and to the model workers.
FETCHES_PER_S = 10
TAGS_PER_S = 16
FETCH_TIMEOUT_S = 2.0
DEADLINE_S = 4.0
# Time before the trouble, of the trouble and after it.
BEFORE_S, TROUBLE_S, AFTER_S = 4.0, 6.0, 6.0
# A line of 60 bytes, as a line of an event is, in a chunk of its own. No blank line
# follows, so that no event ends.
LINE = b"data: " + b"x" * 53 + b"\n"
LINES_AT_ONCE = 100
PAUSE_S = 0.005
# By the rule an answer is late half a second after the route's timeout, and eight late
# ones that are more than half of those which last so long break it.
GRACE_S = 0.5
LATE_MIN = 8
LATE_SHARE = 0.5


class EndlessWorker(ModelWorker):
    """Stream events, but while it is in trouble lines without end."""

    in_trouble = False

    async def stream(self, request, writer, events):
        """Send lines until the caller closes the channel."""
        if not self.in_trouble:
            await super().stream(request, writer, events)
            return
        await self.begin_stream(request, writer)
        self.stage.log("begins lines without end", self.server_id, request.request_id)
        chunk = b"%x\r\n%s\r\n" % (len(LINE), LINE)
        while True:
            writer.write(chunk * LINES_AT_ONCE)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)


class Request:
    """Send one request and note when it was answered."""

    def __init__(self, stage, kind):
        self.stage = stage
        self.kind = kind
        self.sent_at = time.monotonic()
        self.answered_at = None
        self.result = "no answer"
        self.request_id = new_id()

    async def run(self):
        """Wait for the answer until the time budget has passed."""
        node = self.stage.nodes[0]
        request_id = self.request_id
        headers = {"Request-Id": request_id, "Deadline-Ms": int(DEADLINE_S * 1000)}
        method = "GET"
        if self.kind == "tag":
            parts = ["5c1e07a2:55", f"{request_id}:37"]
            headers, method = (
                model_headers(request_id, DEADLINE_S * 1000, parts),
                "POST",
            )
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await call(node.front, method, f"/{self.kind}/1", headers)
            if answer is not None:
                self.answered_at = time.monotonic()
                self.result = answer.status
        except (OSError, TimeoutError) as exc:
            self.result = type(exc).__name__
        took_s = time.monotonic() - self.sent_at
        self.stage.log("answered", self.kind, request_id, self.result, f"{took_s:.3f}")

    def lasts(self, limit_s):
        """Return whether there was no answer at this time after the sending."""
        return self.answered_at is None or self.answered_at - self.sent_at > limit_s


async def play(stage, trouble):
    """Return whether requests to sound workers stay unanswered past their timeout."""
    stage.configure(
        1,
        [
            route("tag", "streaming", "llm", 4000, resumable=True),
            route("fetch", "idempotent", "app", FETCH_TIMEOUT_S * 1000),
        ],
        [model_service(), {"name": "app", "max_connections": 100}],
    )
    stage.store.write("op", "version/m0", {"model": "m0", "version": 1})
    apps = [await stage.add_worker(Worker(stage, "app")) for _ in range(2)]
    models = [
        await stage.add_worker(EndlessWorker(stage, "llm", 64, "m0")) for _ in range(3)
    ]
    await stage.start_nodes(1)
    await asyncio.sleep(3)
    requests, tasks, ready, lags = [], [], [], []

    async def send(kind, per_s):
        while True:
            requests.append(Request(stage, kind))
            tasks.append(asyncio.create_task(requests[-1].run()))
            await asyncio.sleep(1 / per_s)

    async def check_ready():
        while True:
            began = time.monotonic()
            ready.append(await is_ready(stage.nodes[0]))
            stage.log("readyz", "200" if ready[-1] else "no 200 within a second")
            await asyncio.sleep(max(0.0, began + 1 - time.monotonic()))

    async def measure_lag():
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            lags.append(time.monotonic() - began)

    senders = [
        asyncio.create_task(task)
        for task in (
            send("fetch", FETCHES_PER_S),
            send("tag", TAGS_PER_S),
            check_ready(),
            measure_lag(),
        )
    ]
    await asyncio.sleep(BEFORE_S)
    # One of the three gets into trouble, the one that is used most.
    endless = max(models, key=lambda worker: len(worker.runs))
    endless.in_trouble = trouble
    runs_before = len(endless.runs)
    stage.log("trouble begins" if trouble else "no trouble")
    await asyncio.sleep(TROUBLE_S)
    endless.in_trouble = False
    stage.log("trouble ends")
    await asyncio.sleep(AFTER_S)
    for task in senders:
        task.cancel()
    await asyncio.gather(*tasks)
    fetches = [request for request in requests if request.kind == "fetch"]
    long = [request for request in fetches if request.lasts(FETCH_TIMEOUT_S)]
    late = [request for request in long if request.lasts(FETCH_TIMEOUT_S + GRACE_S)]
    runs = sum(len(app.runs) for app in apps)
    ran_at = {
        request.request_id: (app.server_id, at - stage.began)
        for app in apps
        for at, request in app.runs
    }
    stage.show(
        f"requests to sound workers without an answer {FETCH_TIMEOUT_S + GRACE_S} s "
        f"after they were sent (their route's timeout is {FETCH_TIMEOUT_S} s)",
        [
            f"{request.request_id} sent at {request.sent_at - stage.began:.3f}, "
            + (
                f"answered at {request.answered_at - stage.began:.3f}"
                if request.answered_at
                else f"not answered within {DEADLINE_S} s"
            )
            + "; reached a worker: "
            + "{} at {:.3f}".format(*ran_at.get(request.request_id, ("none", 0.0)))
            for request in late
        ],
    )
    reached = len(endless.runs) - runs_before
    stage.say(
        f"{len(fetches)} requests to sound workers, which ran {runs} of them; "
        f"{len(long)} without an answer at the route's timeout, {len(late)} of these "
        f"still without one {GRACE_S} s later"
    )
    stage.say(
        f"{ready.count(False)} of {len(ready)} readiness checks without a 200; "
        f"{reached} requests at the worker in trouble; largest lag of the stand-ins "
        f"{max(lags):.3f} s"
    )
    return len(late) >= LATE_MIN and len(late) > LATE_SHARE * len(long)


# TROUBLE=0 does the same without the disruption.
run_case(Path(__file__).parent, play, os.environ.get("TROUBLE", "1") != "0")
