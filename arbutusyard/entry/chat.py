"""Serve chat completions, as streams or as complete responses."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import bottle
import msgspec

from arbutusyard import clock
from arbutusyard.backends.stream import EngineStreamClient, EventKind, StreamEvent
from arbutusyard.const import (
    HEADER_DEADLINE_MS,
    HEADER_LAST_EVENT_ID,
    HEADER_REQUEST_ID,
    HEADER_RESUME_TOKEN,
    HEADER_WORK_CLASS,
)
from arbutusyard.entry.errors import error_event
from arbutusyard.entry.exceptions import AnswerBroken, Refused
from arbutusyard.entry.models import (
    Caller,
    ChatRequest,
    ChatWork,
    OutcomeKind,
    ResumeToken,
)
from arbutusyard.entry.parse import build_work, decode_chat_request, find_model
from arbutusyard.entry.relay import Relay
from arbutusyard.entry.resume import ResumeTokens
from arbutusyard.entry.state import EntryState
from arbutusyard.limits.coordinator import LimitExceeded, RetryBudget
from arbutusyard.metrics.registry import EntryMetrics

FIELD_EXTENSION = "arbutusyard"
FIELD_ANSWER_SO_FAR = "answer_so_far"


class ChatService:
    """Admit chat requests, relay their answers and record metrics."""

    __slots__ = ("_budget", "_client", "_metrics", "_state", "_tokens")

    def __init__(
        self, state: EntryState, tokens: ResumeTokens, metrics: EntryMetrics
    ) -> None:
        self._state = state
        self._tokens = tokens
        self._metrics = metrics
        self._client = EngineStreamClient()
        self._budget = RetryBudget()

    def handle(self, caller: Caller, body: bytes, request_id: str) -> Any:
        """Return the response to a request; raise Refused if it is not served."""
        req, fields = decode_chat_request(body)
        extension = fields.pop(FIELD_EXTENSION, None) or {}
        token = self._read_resume_token(caller)
        if token is not None:
            request_id = token.request_id
        work = self._build_work(request_id, caller, req, fields, token)
        self._admit(work)
        relay = Relay(
            self._state, self._client, self._budget, work, self._release_callback(work)
        )
        try:
            if token is None:
                first = relay.open()
            else:
                first = self._resume(relay, token, extension)
        except BaseException:
            relay.close()
            raise
        if req.stream:
            return self._stream_response(work, relay, first)
        return self._complete_response(work, relay, first)

    def _build_work(
        self,
        request_id: str,
        caller: Caller,
        req: ChatRequest,
        fields: dict[str, Any],
        token: ResumeToken | None,
    ) -> ChatWork:
        model = find_model(caller, req.model)
        version = self._state.most_common_version(
            f"{caller.workload.name}/{model.name}", model.weights_version
        )
        return build_work(
            request_id,
            caller,
            req,
            fields,
            version if token is None else token.weights_version,
            bottle.request.get_header(HEADER_WORK_CLASS),
            bottle.request.get_header(HEADER_DEADLINE_MS),
            clock.now(),
        )

    def _read_resume_token(self, caller: Caller) -> ResumeToken | None:
        text = bottle.request.get_header(HEADER_RESUME_TOKEN)
        if not text:
            return None
        return self._tokens.read(text, caller.name)

    def _resume(
        self, relay: Relay, token: ResumeToken, extension: dict[str, Any]
    ) -> StreamEvent:
        last = bottle.request.get_header(HEADER_LAST_EVENT_ID, "-1")
        if not last.lstrip("-").isdigit():
            raise Refused(400, "invalid_event_id", f"event id {last!r} is not a number")
        answer = extension.get(FIELD_ANSWER_SO_FAR, "")
        return relay.resume(token, max(0, int(last) + 1), str(answer))

    def _admit(self, work: ChatWork) -> None:
        tokens = work.chain.tokens + work.max_tokens
        result = self._state.limiter.admit(
            work.caller.name, work.caller.account, tokens, work.arrived_at
        )
        if result.is_error():
            raise _limit_refusal(result.error)
        self._state.in_flight += 1
        self._budget.count_request()

    def _release_callback(self, work: ChatWork) -> Callable[[Relay], None]:
        def release(relay: Relay) -> None:
            unused = work.max_tokens - relay.usage.completion_tokens
            if not relay.first_token_at:
                unused = work.chain.tokens + work.max_tokens
            elif not relay.usage.completion_tokens:
                unused = 0
            self._state.limiter.release(work.caller.name, unused, clock.now())
            self._state.in_flight -= 1
            self._record_metrics(work, relay)

        return release

    def _record_metrics(self, work: ChatWork, relay: Relay) -> None:
        account, work_class = work.caller.name, work.work_class.name
        self._metrics.count_retries(relay.retries)
        if not relay.usage.completion_tokens:
            outcome = "incomplete" if relay.first_token_at else "refused"
            self._metrics.count_request(account, work_class, outcome)
            return
        self._metrics.count_request(account, work_class, "complete")
        self._metrics.record_answer(
            account,
            work_class,
            relay.first_token_at - work.arrived_at,
            relay.last_token_at - work.arrived_at,
            relay.usage.completion_tokens,
        )
        self._metrics.count_tokens(
            account,
            relay.usage.cached_tokens,
            relay.usage.prompt_tokens - relay.usage.cached_tokens,
        )

    def _stream_response(
        self, work: ChatWork, relay: Relay, first: StreamEvent
    ) -> bottle.HTTPResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            HEADER_REQUEST_ID: work.request_id,
            HEADER_RESUME_TOKEN: self._tokens.issue(relay.token()),
        }
        body = self._stream_body(work, relay, first)
        return bottle.HTTPResponse(body, 200, headers=headers)

    def _stream_body(
        self, work: ChatWork, relay: Relay, first: StreamEvent
    ) -> Iterator[bytes]:
        options = work.request.stream_options
        with_usage = options is not None and options.include_usage
        try:
            for event in relay.events(first):
                if event.kind is EventKind.USAGE and not with_usage:
                    continue
                yield event.raw + b"\n\n"
        except AnswerBroken as exc:
            yield error_event(work.request_id, "answer_broken", str(exc))
        finally:
            relay.close()

    def _complete_response(
        self, work: ChatWork, relay: Relay, first: StreamEvent
    ) -> bottle.HTTPResponse:
        try:
            for _ in relay.events(first):
                pass
        except AnswerBroken as exc:
            raise Refused(
                502, "answer_broken", str(exc), OutcomeKind.UNKNOWN, 1.0
            ) from exc
        finally:
            relay.close()
        return bottle.HTTPResponse(
            msgspec.json.encode(_completion(work, relay)),
            200,
            headers={
                "Content-Type": "application/json",
                HEADER_REQUEST_ID: work.request_id,
            },
        )


def _completion(work: ChatWork, relay: Relay) -> dict[str, Any]:
    return {
        "id": f"chatcmpl-{work.request_id}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": work.request.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": relay.text()},
                "finish_reason": "stop",
            }
        ],
        "usage": relay.usage,
    }


def _limit_refusal(limit: LimitExceeded) -> Refused:
    return Refused(
        429,
        limit.kind.value,
        f"the client account is at its limit ({limit.kind.value})",
        retry_after_s=limit.retry_after_s,
    )
