"""Simulate a model engine with batching, a prefix cache, streams and orders."""

from gevent import monkey

monkey.patch_all()

import json
import os
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import bottle
import gevent
import urllib3
from gevent.event import Event

from standins.answers import prompt_digest, token
from standins.common import parser, reply, serve
from standins.enginecore import BLOCK_TOKENS, EngineCore, EngineParams, Job

# Interval of keep-alive comments on a stream without events, in seconds.
KEEPALIVE_S = 0.5
# Time after which an answer without readers is cancelled, in seconds.
DETACHED_GRACE_S = 10.0
# Maximum wait for running answers before new weights are loaded, in seconds.
FINISH_TIMEOUT_S = 60.0
# Number of cache events kept for readers.
EVENT_BACKLOG = 10_000
# Prompt characters per token.
CHARACTERS_PER_TOKEN = 4
bottle.BaseRequest.MEMFILE_MAX = 16 * 1024 * 1024


@dataclass(slots=True)
class Stream:
    """Hold an answer's numbered events, so that a reader can resume."""

    stream_id: str
    job: Job
    digest: str
    first_index: int
    submitted_at_s: float = 0.0
    events: list[bytes] = field(default_factory=list)
    ended: bool = False
    readers: int = 0
    detached_at: float = 0.0
    wake: Event = field(default_factory=Event)


class Engine:
    """Run jobs in real time, and serve their streams, the load and cache events."""

    def __init__(self, cfg: object, params: EngineParams) -> None:
        self.core = EngineCore(params)
        self.model = cfg.model
        self.version = cfg.weights_version
        self.platform = cfg.platform
        self.checks_fence = not cfg.ignore_fencing
        self.load_lag_s = cfg.load_lag_s
        self.event_lag_s = cfg.event_lag_s
        self.event_loss = cfg.event_loss
        self.incarnation = f"{time.time_ns():x}-{os.getpid()}"
        self.role = "answer"
        self.adapters: list[str] = []
        self.fence = 0
        self.orders: list[dict] = []
        self.loading = False
        self.leaving = False
        self.accepted = 0
        # Sum of the step durations, which does not depend on the machine's load.
        self.stepped_time_s = 0.0
        self.first_token_s: dict[str, float] = {}
        self.streams: dict[str, Stream] = {}
        self.load_samples: deque[tuple[float, dict]] = deque(maxlen=200)
        self.cache_events: deque[tuple[float, int, str, str]] = deque(
            maxlen=EVENT_BACKLOG
        )
        self.event_seq = 0
        self.work_available = Event()

    def run(self) -> None:
        """Step the core while it has work, until the process ends."""
        while True:
            if self.core.idle():
                self.work_available.clear()
                self.work_available.wait(0.1)
                self._cancel_abandoned()
                continue
            result = self.core.step(time.monotonic())
            gevent.sleep(result.duration_s)
            self.stepped_time_s += result.duration_s
            self._publish_cache_events()
            for job in result.emitted:
                self._append_token(job)
            for job in result.finished:
                self._finish_stream(job)
            self._cancel_abandoned()

    def sample(self) -> None:
        """Record the load every 0.05 s for the delayed reports."""
        while True:
            self.load_samples.append((time.monotonic(), self.load()))
            gevent.sleep(0.05)

    def load(self) -> dict:
        """Return the current load."""
        return {
            "kind": "engine",
            "model": self.model,
            "weights_version": self.version,
            "incarnation": self.incarnation,
            "queue_s": self.core.queue_s(),
            "queue_parts": self.core.queue_parts(),
            "running": len(self.core.running),
            "max_batch": self.core.params.max_batch,
            "waiting": self.core.waiting(),
            "prefill_piece_s": self.core.params.prefill_piece_s,
            "import_piece_s": self.core.params.import_piece_s,
            "decode_step_s": self.core.params.decode_step_s,
            "loading": self.loading,
            "leaving": self.leaving,
            "fence": self.fence,
            "checks_fence": self.checks_fence,
        }

    def delayed_load(self) -> dict:
        """Return the load of `load_lag_s` ago with its age.

        State that decides whether the engine may be used is current.
        """
        now = time.monotonic()
        sample = self.load_samples[0] if self.load_samples else (now, self.load())
        for at, load in self.load_samples:
            if at > now - self.load_lag_s:
                break
            sample = (at, load)
        current = {
            key: getattr(self, key)
            for key in ("leaving", "loading", "fence", "incarnation")
        }
        return {
            **sample[1],
            **current,
            "weights_version": self.version,
            "age_s": now - sample[0],
        }

    def submit(self, body: dict) -> Stream:
        """Queue a request for an answer and return the answer's stream."""
        ext = body.get("extension", {})
        messages = body["messages"]
        text = "\n".join(str(m.get("content")) for m in messages)
        tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
        blocks = ext.get("pieces") or [f"{text[:99]}{i}" for i in range(tokens // 1000)]
        start = ext.get("continue_from", 0)
        job = Job(
            job_id=ext.get("request_id") or os.urandom(6).hex(),
            blocks=list(blocks),
            prompt_tokens=max(tokens, 1),
            max_tokens=body.get("max_tokens") or 16,
            priority=ext.get("priority", 1),
            next_index=start,
            import_until=ext.get("import_until", 0),
        )
        stream = Stream(
            f"{job.job_id}-{self.accepted}",
            job,
            prompt_digest(messages, self.version),
            start,
            self.stepped_time_s,
        )
        self.accepted += 1
        self.streams[job.job_id] = stream
        self.core.submit(job, time.monotonic())
        self.work_available.set()
        return stream

    def read(self, stream: Stream, start: int) -> Iterator[bytes]:
        """Yield a stream's events from an index on, as they are added."""
        stream.readers += 1
        position = start - stream.first_index
        try:
            while True:
                batch = stream.events[position:]
                if batch:
                    position += len(batch)
                    yield b"".join(batch)
                elif stream.ended:
                    return
                else:
                    stream.wake.clear()
                    if not stream.wake.wait(KEEPALIVE_S):
                        yield b": keepalive\n\n"
        finally:
            stream.readers -= 1
            stream.detached_at = time.monotonic()

    def apply_order(self, order: dict) -> tuple[int, dict]:
        """Apply an order; return the HTTP status and the answer.

        An engine that checks fencing tokens refuses an older one with 412.
        """
        fence = order["fence"]
        if self.checks_fence and fence < self.fence:
            return 412, {"error": "fencing number is older", "fence": self.fence}
        self.fence = max(self.fence, fence) if self.checks_fence else fence
        self.orders.append(order)
        match order["kind"]:
            case "load_version":
                gevent.spawn(self._load_version, order["version"], fence)
            case "load_adapter":
                self.adapters.append(order["adapter"])
            case "change_role":
                self.role = order["role"]
        return 200, {"fence": self.fence}

    def _load_version(self, version: str, fence: int) -> None:
        if version == self.version and not self.loading:
            return
        self.loading = True
        self._wait_until_idle()
        url = f"http://{self.platform}/weights/{self.model}/{version}"
        try:
            urllib3.request("GET", url, retries=5, timeout=10)
        except urllib3.exceptions.HTTPError:
            return
        finally:
            self.loading = False
        if self.checks_fence and fence < self.fence:
            return
        self.version = version
        self.core.cache.clear()
        self.work_available.set()

    def _wait_until_idle(self) -> None:
        deadline = time.monotonic() + FINISH_TIMEOUT_S
        while not self.core.idle() and time.monotonic() < deadline:
            gevent.sleep(0.02)

    def cancel(self, job_id: str) -> None:
        """Stop an answer and end its stream without the final [DONE] event."""
        self.core.cancel(job_id)
        stream = self.streams.pop(job_id, None)
        if stream is not None:
            stream.ended = True
            stream.wake.set()

    def _publish_cache_events(self) -> None:
        """Publish the core's cache events after a lag; a fraction of them is lost."""
        for kind, block in self.core.cache.events:
            self.event_seq += 1
            if os.urandom(1)[0] / 255 >= self.event_loss:
                due = time.monotonic() + self.event_lag_s
                self.cache_events.append((due, self.event_seq, kind, block))
        self.core.cache.events.clear()

    def _append_token(self, job: Job) -> None:
        stream = self.streams.get(job.job_id)
        if stream is None:
            return
        index = job.next_index - 1
        if index == stream.first_index:
            waited_s = self.stepped_time_s - stream.submitted_at_s
            self.first_token_s[job.job_id] = waited_s
        text = token(stream.digest, index)
        delta = {"content": text}
        if index == 0:
            delta["role"] = "assistant"
        self._append_event(stream, index, {"delta": delta, "finish_reason": None})

    def _finish_stream(self, job: Job) -> None:
        stream = self.streams.get(job.job_id)
        if stream is None:
            return
        index = job.next_index
        self._append_event(stream, index, {"delta": {}, "finish_reason": "stop"})
        usage = {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.next_index,
            "total_tokens": job.prompt_tokens + job.next_index,
            "prompt_tokens_details": {"cached_tokens": job.cached_tokens()},
            "recomputed_tokens": job.recomputed * BLOCK_TOKENS,
        }
        self._append_event(stream, index + 1, None, usage)
        stream.events.append(b"id: %d\ndata: [DONE]\n\n" % (index + 2))
        stream.ended = True
        stream.wake.set()

    def _append_event(
        self, stream: Stream, index: int, choice: dict | None, usage: dict | None = None
    ) -> None:
        chunk = {
            "id": f"chatcmpl-{stream.job.job_id}",
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": self.model,
            "choices": [] if choice is None else [{"index": 0, **choice}],
        }
        if usage is not None:
            chunk["usage"] = usage
        data = json.dumps(chunk, separators=(",", ":")).encode()
        stream.events.append(b"id: %d\ndata: %s\n\n" % (index, data))
        stream.wake.set()

    def _cancel_abandoned(self) -> None:
        """Cancel answers that have had no reader for DETACHED_GRACE_S."""
        now = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.readers or not stream.detached_at:
                continue
            if now - stream.detached_at > DETACHED_GRACE_S:
                self.cancel(stream.job.job_id)


def build(engine: Engine) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    def identity_headers(request_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Incarnation": engine.incarnation,
            "X-Weights-Version": engine.version,
        }

    def refuse(status: int, code: str) -> bottle.HTTPResponse:
        return reply(
            {"error": code, "outcome": "not_run"}, status, **identity_headers("")
        )

    @app.post("/v1/chat/completions")
    def chat() -> bottle.HTTPResponse:
        body = json.loads(bottle.request.body.read())
        ext = body.get("extension", {})
        if engine.leaving:
            return refuse(503, "leaving")
        if engine.loading:
            return refuse(503, "loading")
        if ext.get("weights_version", engine.version) != engine.version:
            return refuse(409, "weights_version")
        stream = engine.submit(body)
        headers = identity_headers(stream.job.job_id)
        headers |= {
            "Content-Type": "text/event-stream",
            "X-Stream-Id": stream.job.job_id,
        }
        return bottle.HTTPResponse(
            engine.read(stream, stream.first_index), 200, headers=headers
        )

    @app.get("/v1/streams/<stream_id>")
    def resume(stream_id: str) -> bottle.HTTPResponse:
        stream = engine.streams.get(stream_id)
        wanted = bottle.request.get_header("X-Incarnation", engine.incarnation)
        start = int(bottle.request.query.get("from", 0))
        if stream is None or wanted != engine.incarnation:
            return refuse(404, "stream")
        if start < stream.first_index:
            return refuse(404, "offset")
        headers = identity_headers(stream_id) | {"Content-Type": "text/event-stream"}
        return bottle.HTTPResponse(engine.read(stream, start), 200, headers=headers)

    @app.delete("/v1/streams/<stream_id>")
    def cancel(stream_id: str) -> bottle.HTTPResponse:
        engine.cancel(stream_id)
        return reply({"cancelled": stream_id})

    @app.get("/load")
    def load() -> bottle.HTTPResponse:
        return reply(engine.delayed_load())

    @app.get("/events")
    def events() -> bottle.HTTPResponse:
        after = int(bottle.request.query.get("after", 0))
        now = time.monotonic()
        due = [e[1:] for e in engine.cache_events if e[1] > after and e[0] <= now]
        return reply({"incarnation": engine.incarnation, "events": due})

    @app.post("/orders")
    def orders() -> bottle.HTTPResponse:
        status, data = engine.apply_order(json.loads(bottle.request.body.read()))
        return reply(data, status)

    @app.post("/_control")
    def control() -> bottle.HTTPResponse:
        order = json.loads(bottle.request.body.read())
        engine.leaving = order.get("leaving", engine.leaving)
        return reply({"ok": True})

    @app.get("/_state")
    def state() -> bottle.HTTPResponse:
        return reply(
            {
                "accepted": engine.accepted,
                "orders": engine.orders,
                "first_token_s": engine.first_token_s,
                **engine.load(),
            }
        )

    return app


def main() -> None:
    """Run a simulated engine."""
    args = parser(main.__doc__)
    args.add_argument("--model", default="assistant")
    args.add_argument("--weights-version", default="v1")
    args.add_argument("--platform", default="")
    args.add_argument("--ignore-fencing", action="store_true")
    args.add_argument("--load-lag-s", type=float, default=0.3)
    args.add_argument("--event-lag-s", type=float, default=0.5)
    args.add_argument("--event-loss", type=float, default=0.05)
    args.add_argument("--cache-pieces", type=int, default=120)
    args.add_argument("--lapse-s", type=float, default=20.0)
    args.add_argument("--prefill-piece-s", type=float, default=0.1)
    args.add_argument("--decode-step-s", type=float, default=0.02)
    args.add_argument("--max-batch", type=int, default=32)
    cfg = args.parse_args()
    params = EngineParams(
        cache_blocks=cfg.cache_pieces,
        ttl_s=cfg.lapse_s,
        prefill_piece_s=cfg.prefill_piece_s,
        decode_step_s=cfg.decode_step_s,
        max_batch=cfg.max_batch,
    )
    engine = Engine(cfg, params)
    gevent.spawn(engine.run)
    gevent.spawn(engine.sample)
    serve(build(engine), cfg.listen)


if __name__ == "__main__":
    main()
