"""Stand in for a model engine with batching, a prefix cache, streams and orders."""

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

KEEPALIVE_S = 0.5
DETACHED_GRACE_S = 10.0
FINISH_TIMEOUT_S = 60.0
EVENT_BACKLOG = 10_000
BYTES_PER_TOKEN = 4
bottle.BaseRequest.MEMFILE_MAX = 16 * 1024 * 1024


@dataclass(slots=True)
class Stream:
    """Keep an answer's numbered events for readers that come back."""

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
    """Run jobs and keep their streams."""

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
        # Time as the engine's steps count it, whatever else the machine does.
        self.stepped_s = 0.0
        self.first_token_s: dict[str, float] = {}
        self.streams: dict[str, Stream] = {}
        self.loads: deque[tuple[float, dict]] = deque(maxlen=200)
        self.events: deque[tuple[float, int, str, str]] = deque(maxlen=EVENT_BACKLOG)
        self.event_seq = 0
        self.work = Event()

    def run(self) -> None:
        """Step the core for ever."""
        while True:
            if self.core.idle():
                self.work.clear()
                self.work.wait(0.1)
                self._sweep()
                continue
            result = self.core.step(time.monotonic())
            gevent.sleep(result.duration_s)
            self.stepped_s += result.duration_s
            self._publish()
            for job in result.emitted:
                self._emit(job)
            for job in result.finished:
                self._finish(job)
            self._sweep()

    def sample(self) -> None:
        """Record the load and report it later."""
        while True:
            self.loads.append((time.monotonic(), self.load()))
            gevent.sleep(0.05)

    def load(self) -> dict:
        """Return the load of this moment."""
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

    def late_load(self) -> dict:
        """Return the load as it was one lag ago, with its age."""
        now = time.monotonic()
        found = self.loads[0] if self.loads else (now, self.load())
        for at, load in self.loads:
            if at > now - self.load_lag_s:
                break
            found = (at, load)
        live = {
            key: getattr(self, key)
            for key in ("leaving", "loading", "fence", "incarnation")
        }
        return {
            **found[1],
            **live,
            "weights_version": self.version,
            "age_s": now - found[0],
        }

    def submit(self, body: dict) -> Stream:
        """Start an answer."""
        ext = body.get("extension", {})
        messages = body["messages"]
        text = "\n".join(str(m.get("content")) for m in messages)
        tokens = max(1, len(text) // BYTES_PER_TOKEN)
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
            self.stepped_s,
        )
        self.accepted += 1
        self.streams[job.job_id] = stream
        self.core.submit(job, time.monotonic())
        self.work.set()
        return stream

    def read(self, stream: Stream, start: int) -> Iterator[bytes]:
        """Yield a stream's events from an index on, as they come."""
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

    def order(self, order: dict) -> tuple[int, dict]:
        """Take an order; an engine that checks refuses an older fencing number."""
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
        self._finish_answers()
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
        self.work.set()

    def _finish_answers(self) -> None:
        give_up_at = time.monotonic() + FINISH_TIMEOUT_S
        while not self.core.idle() and time.monotonic() < give_up_at:
            gevent.sleep(0.02)

    def cancel(self, job_id: str) -> None:
        """Stop an answer and end its stream without the closing event."""
        self.core.cancel(job_id)
        stream = self.streams.pop(job_id, None)
        if stream is not None:
            stream.ended = True
            stream.wake.set()

    def _publish(self) -> None:
        for kind, block in self.core.cache.events:
            self.event_seq += 1
            if os.urandom(1)[0] / 255 >= self.event_loss:
                due = time.monotonic() + self.event_lag_s
                self.events.append((due, self.event_seq, kind, block))
        self.core.cache.events.clear()

    def _emit(self, job: Job) -> None:
        stream = self.streams.get(job.job_id)
        if stream is None:
            return
        index = job.next_index - 1
        if index == stream.first_index:
            waited_s = self.stepped_s - stream.submitted_at_s
            self.first_token_s[job.job_id] = waited_s
        text = token(stream.digest, index)
        delta = {"content": text}
        if index == 0:
            delta["role"] = "assistant"
        self._add(stream, index, {"delta": delta, "finish_reason": None})

    def _finish(self, job: Job) -> None:
        stream = self.streams.get(job.job_id)
        if stream is None:
            return
        index = job.next_index
        self._add(stream, index, {"delta": {}, "finish_reason": "stop"})
        usage = {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.next_index,
            "total_tokens": job.prompt_tokens + job.next_index,
            "prompt_tokens_details": {"cached_tokens": job.cached_tokens()},
            "recomputed_tokens": job.recomputed * BLOCK_TOKENS,
        }
        self._add(stream, index + 1, None, usage)
        stream.events.append(b"id: %d\ndata: [DONE]\n\n" % (index + 2))
        stream.ended = True
        stream.wake.set()

    def _add(
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

    def _sweep(self) -> None:
        now = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.readers or not stream.detached_at:
                continue
            if now - stream.detached_at > DETACHED_GRACE_S:
                self.cancel(stream.job.job_id)


def build(engine: Engine) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    def labels(request_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Incarnation": engine.incarnation,
            "X-Weights-Version": engine.version,
        }

    def refuse(status: int, code: str) -> bottle.HTTPResponse:
        return reply({"error": code, "outcome": "not_run"}, status, **labels(""))

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
        headers = labels(stream.job.job_id)
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
        headers = labels(stream_id) | {"Content-Type": "text/event-stream"}
        return bottle.HTTPResponse(engine.read(stream, start), 200, headers=headers)

    @app.delete("/v1/streams/<stream_id>")
    def cancel(stream_id: str) -> bottle.HTTPResponse:
        engine.cancel(stream_id)
        return reply({"cancelled": stream_id})

    @app.get("/load")
    def load() -> bottle.HTTPResponse:
        return reply(engine.late_load())

    @app.get("/events")
    def events() -> bottle.HTTPResponse:
        after = int(bottle.request.query.get("after", 0))
        now = time.monotonic()
        found = [e[1:] for e in engine.events if e[1] > after and e[0] <= now]
        return reply({"incarnation": engine.incarnation, "events": found})

    @app.post("/orders")
    def orders() -> bottle.HTTPResponse:
        status, data = engine.order(json.loads(bottle.request.body.read()))
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
    """Run the engine."""
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
        cache_pieces=cfg.cache_pieces,
        lapse_s=cfg.lapse_s,
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
