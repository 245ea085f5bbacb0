"""Relay one answer to its client, continuing it on another engine after a failure."""

from collections.abc import Callable, Iterator

import gevent
import msgspec

from arbutusyard import clock
from arbutusyard.backends.exceptions import (
    BackendAnswerLost,
    BackendError,
    BackendRefused,
    BackendUnreachable,
)
from arbutusyard.backends.stream import (
    EngineStream,
    EngineStreamClient,
    EventKind,
    StreamEvent,
)
from arbutusyard.entry.const import (
    ATTEMPTS_AFTER_FIRST_TOKEN,
    ATTEMPTS_BEFORE_FIRST_TOKEN,
    BUDGET_RETRY_AFTER_S,
    NO_BACKEND_RETRY_AFTER_S,
    REROUTE_DELAY_S,
    REROUTE_TIMEOUT_S,
)
from arbutusyard.entry.exceptions import AnswerBroken, Refused
from arbutusyard.entry.models import (
    ChatWork,
    Chunk,
    OutcomeKind,
    ResumeToken,
    Usage,
    UsageChunk,
)
from arbutusyard.entry.state import EntryState
from arbutusyard.limits.const import MIN_RETRY_AFTER_S
from arbutusyard.limits.coordinator import RetryBudget
from arbutusyard.routing.models import Choice, Work


class Relay:
    """Hold one answer: its current engine and the events relayed so far."""

    __slots__ = (
        "_budget",
        "_client",
        "_dispatched",
        "_done",
        "_excluded",
        "_iterator",
        "_may_have_run",
        "_next_index",
        "_received_text",
        "_relayed_tokens",
        "_release",
        "_state",
        "_stream",
        "_work",
        "backend",
        "first_token_at",
        "last_token_at",
        "retries",
        "usage",
    )

    def __init__(
        self,
        state: EntryState,
        client: EngineStreamClient,
        budget: RetryBudget,
        work: ChatWork,
        release: Callable[["Relay"], None],
    ) -> None:
        self._state = state
        self._client = client
        self._budget = budget
        self._work = work
        self._release = release
        self._excluded: set[str] = set()
        self._stream: EngineStream | None = None
        self._iterator: Iterator[StreamEvent] = iter(())
        self._next_index = 0
        self._received_text = ""
        self._relayed_tokens: list[bytes] = []
        self._may_have_run = False
        self._dispatched = False
        self._done = False
        self.backend = ""
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.retries = 0
        self.usage = Usage()

    def token(self) -> ResumeToken:
        """Return the token with which a client can resume this answer."""
        return ResumeToken(
            account=self._work.caller.name,
            request_id=self._work.request_id,
            backend=self.backend,
            incarnation=self._stream.incarnation,
            stream=self._work.request_id,
            weights_version=self._work.weights_version,
        )

    def resume(self, token: ResumeToken, next_index: int, answer: str) -> StreamEvent:
        """Resume an answer; regenerate its rest if its stream cannot be resumed."""
        self._next_index = next_index
        self._received_text = answer
        if token.weights_version != self._work.weights_version:
            raise Refused(
                410,
                "answer_gone",
                "the weights that began this answer are no longer in force",
                OutcomeKind.UNKNOWN,
            )
        backend = self._state.backends.get(token.backend)
        if backend is not None:
            try:
                self._use_stream(
                    self._client.resume(
                        backend.name,
                        backend.address,
                        token.request_id,
                        token.stream,
                        token.incarnation,
                        next_index,
                    )
                )
                return self._first_event()
            except BackendError:
                self._drop_stream()
        return self.open()

    def open(self) -> StreamEvent:
        """Return the first event; raise Refused if no engine delivers one."""
        attempts = 0
        while True:
            try:
                self._connect()
                return self._first_event()
            except BackendError:
                self._exclude_engine()
            attempts += 1
            self._check_retry(attempts)

    def events(self, first: StreamEvent) -> Iterator[StreamEvent]:
        """Yield the whole answer; raise AnswerBroken if it cannot be continued."""
        attempts = 0
        event: StreamEvent | None = first
        while True:
            try:
                if event is None:
                    event = self._continue_elsewhere()
                yield event
                if event.kind is EventKind.DONE:
                    return
                yield from self._remaining_events()
                return
            except BackendAnswerLost as exc:
                self._exclude_engine()
                event = None
                attempts += 1
                if attempts > ATTEMPTS_AFTER_FIRST_TOKEN:
                    raise AnswerBroken(f"gave up after {attempts} engines") from exc

    def close(self) -> None:
        """Close the stream; for a while the engine keeps the answer to be resumed."""
        self._drop_stream()
        self._release(self)

    def cancel(self) -> None:
        """Cancel the answer on the engine if the request may have reached it."""
        backend = self._state.backends.get(self.backend)
        if backend is not None and self._may_have_run:
            gevent.spawn(self._client.cancel, backend.address, self._work.request_id)

    def _remaining_events(self) -> Iterator[StreamEvent]:
        for event in self._iterator:
            if event.kind is EventKind.KEEPALIVE:
                continue
            self._record_event(event)
            yield event
            if event.kind is EventKind.DONE:
                return
        raise BackendAnswerLost("the stream ended without its closing event")

    def _record_event(self, event: StreamEvent) -> None:
        if event.kind is EventKind.TOKEN:
            self._relayed_tokens.append(event.raw)
            self.last_token_at = clock.now()
        elif event.kind is EventKind.USAGE:
            self._record_usage(event)
        else:
            self._done = True
        # A refused event is not relayed, so another engine has to send it.
        self._next_index = event.index + 1

    def _first_event(self) -> StreamEvent:
        for event in self._iterator:
            if event.kind is not EventKind.KEEPALIVE:
                self._state.router.first_token(self.backend, self._work.request_id)
                if not self.first_token_at:
                    self.first_token_at = clock.now()
                self._record_event(event)
                return event
            if clock.now() > self._work.deadline_at and not self.first_token_at:
                self.cancel()
                raise Refused(
                    504,
                    "deadline_exceeded",
                    "the answer did not begin before its deadline",
                    OutcomeKind.UNKNOWN,
                    NO_BACKEND_RETRY_AFTER_S,
                )
        raise BackendAnswerLost("the stream ended before its first event")

    def _connect(self) -> None:
        now = clock.now()
        work = self._routing_work()
        targets = self._state.targets(self._work.serves, self._work.weights_version)
        if self._excluded:
            targets = [t for t in targets if t.name not in self._excluded]
        if not targets:
            raise self._no_backend()
        choice = self._state.router.route(work, targets, now)
        if not self._may_have_run:
            capacity = len(targets) / len(self._state.entries)
            self._check_wait(choice, capacity, now)
        self._send(work, choice, now)

    def _send(self, work: Work, choice: Choice, now: float) -> None:
        self.backend = choice.backend
        self._state.router.dispatched(work, choice, now)
        self._dispatched = True
        address = self._state.backends[choice.backend].address
        try:
            stream = self._client.start(
                choice.backend, address, self._work.request_id, self._engine_request()
            )
        except BackendAnswerLost:
            self._may_have_run = True
            raise
        self._use_stream(stream)

    def _use_stream(self, stream: EngineStream) -> None:
        self._may_have_run = True
        self._stream = stream
        self.backend = stream.backend
        if stream.weights_version != self._work.weights_version:
            raise BackendAnswerLost(
                f"unexpected weights version {stream.weights_version!r}"
            )
        self._state.router.set_incarnation(stream.backend, stream.incarnation)
        self._iterator = stream.events(self._next_index)

    def _routing_work(self) -> Work:
        return Work(
            request_id=self._work.request_id,
            account=self._work.caller.name,
            chain=self._work.chain,
            priority=self._work.work_class.priority,
            price=self._work.caller.workload.recompute_price,
            failure_domain=self._state.own_entry.failure_domain,
        )

    def _engine_request(self) -> bytes:
        extension = {
            "request_id": self._work.request_id,
            "weights_version": self._work.weights_version,
            "priority": self._work.work_class.priority,
            "pieces": [block.hex() for block in self._work.chain.blocks],
            "continue_from": self._next_index,
        }
        if self._next_index:
            extension["answer_so_far"] = self.text()
        fields = dict(self._work.fields)
        fields.pop("max_completion_tokens", None)
        fields |= {
            "stream": True,
            "max_tokens": self._work.max_tokens,
            "stream_options": {"include_usage": True},
            "extension": extension,
        }
        return msgspec.json.encode(fields)

    def text(self) -> str:
        """Return the text of the answer so far."""
        return self._received_text + "".join(
            event_text(raw) for raw in self._relayed_tokens
        )

    def _check_wait(self, choice: Choice, capacity: float, now: float) -> None:
        bound_s = self._work.work_class.first_token_s
        late_s = choice.expected_wait_s - bound_s
        total_s = choice.expected_wait_s + choice.work_s
        late_s = max(late_s, now + total_s - self._work.deadline_at)
        if late_s > 0:
            raise Refused(
                429,
                "deadline_unreachable",
                f"the answer would begin {late_s:.1f} s too late",
                retry_after_s=max(late_s, MIN_RETRY_AFTER_S),
            )
        if not self._state.fair_share.admit(
            self._work.caller.name,
            choice.work_s,
            choice.expected_wait_s,
            bound_s,
            capacity,
            now,
        ):
            raise Refused(
                429,
                "fair_share",
                "the client account takes more than its share of a full system",
                retry_after_s=max(choice.expected_wait_s, MIN_RETRY_AFTER_S),
            )

    def _check_retry(self, attempts: int) -> None:
        outcome = OutcomeKind.UNKNOWN if self._may_have_run else OutcomeKind.NOT_RUN
        if attempts >= ATTEMPTS_BEFORE_FIRST_TOKEN:
            raise Refused(
                503,
                "no_backend",
                f"{attempts} engines did not answer",
                outcome,
                NO_BACKEND_RETRY_AFTER_S,
            )
        if not self._budget.spend():
            raise Refused(
                503,
                "retry_budget",
                "too many requests are being retried",
                outcome,
                BUDGET_RETRY_AFTER_S,
            )
        self.retries += 1

    def _no_backend(self) -> Refused:
        outcome = OutcomeKind.UNKNOWN if self._may_have_run else OutcomeKind.NOT_RUN
        message = f"no engine of {self._work.serves!r} takes work now"
        return Refused(503, "no_backend", message, outcome, NO_BACKEND_RETRY_AFTER_S)

    def _continue_elsewhere(self) -> StreamEvent:
        """Continue the answer on another engine with the same weights.

        Retry for up to REROUTE_TIMEOUT_S while none is available.
        """
        retry_until = clock.now() + REROUTE_TIMEOUT_S
        while True:
            try:
                self.retries += 1
                self._connect()
                return self._first_event()
            except (BackendRefused, BackendUnreachable):
                self._exclude_engine()
            except Refused as exc:
                if clock.now() > retry_until:
                    raise AnswerBroken(str(exc)) from exc
                self._excluded.clear()
            gevent.sleep(REROUTE_DELAY_S)

    def _exclude_engine(self) -> None:
        self._drop_stream()
        self._excluded.add(self.backend)
        self._state.mark_unreachable(self.backend, clock.now())

    def _drop_stream(self) -> None:
        if self._stream is not None:
            if self._done:
                self._stream.finish(self._iterator)
            else:
                self._stream.close()
            self._stream = None
        if self._dispatched:
            self._dispatched = False
            self._state.router.finish(self.backend, self._work.request_id)

    def _record_usage(self, event: StreamEvent) -> None:
        data = event.raw.partition(b"data: ")[2]
        try:
            self.usage = msgspec.json.decode(data, type=UsageChunk).usage
        except msgspec.DecodeError as exc:
            raise BackendAnswerLost(f"the usage chunk is malformed: {exc}") from exc
        self._state.router.record_blocks(
            self.backend, self._stream.incarnation, self._work.chain, clock.now()
        )


def event_text(raw: bytes) -> str:
    """Return the text that an event adds to its answer."""
    data = raw.partition(b"data: ")[2]
    try:
        chunk = msgspec.json.decode(data, type=Chunk)
    except msgspec.DecodeError:
        return ""
    return "".join(choice.delta.content for choice in chunk.choices)
