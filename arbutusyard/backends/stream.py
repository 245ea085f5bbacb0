"""Read streamed answers of engines, as numbered server-sent events."""

import enum
from collections.abc import Iterator
from typing import Final

import msgspec
import urllib3
from msgspec import Struct
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from arbutusyard import clock
from arbutusyard.backends.const import (
    CONNECT_TIMEOUT_S,
    READ_BYTES,
    STALL_TIMEOUT_S,
    STREAM_CONNECTIONS_MAX,
)
from arbutusyard.backends.exceptions import (
    AnswerMismatched,
    BackendAnswerLost,
    BackendRefused,
    BackendUnreachable,
)
from arbutusyard.const import (
    HEADER_INCARNATION,
    HEADER_REQUEST_ID,
    HEADER_WEIGHTS_VERSION,
)
from arbutusyard.http1.events import split_events
from arbutusyard.http1.pacing import ConnectionPace

ID_PREFIX: Final = b"id: "
DONE_LINE: Final = b"data: [DONE]"
USAGE_FIELD: Final = b'"usage":'
STATUS_OK: Final = 200
OUTCOME_NOT_RUN: Final = "not_run"


class EventKind(enum.Enum):
    """Name the kinds of events in an answer."""

    KEEPALIVE = "keepalive"
    TOKEN = "token"
    USAGE = "usage"
    DONE = "done"


class StreamEvent(Struct, frozen=True):
    """Hold an event of an answer, with its bytes as received."""

    index: int
    kind: EventKind
    raw: bytes


KEEPALIVE: Final = StreamEvent(-1, EventKind.KEEPALIVE, b"")


class Refusal(Struct, frozen=True):
    """Hold the error body of an engine; outcome states whether the request was run."""

    error: str = "unknown"
    outcome: str = "unknown"


class EngineStream:
    """Read an open answer; its connection is reused only after a read to the end."""

    __slots__ = ("_resp", "backend", "incarnation", "weights_version")

    def __init__(self, backend: str, resp: urllib3.BaseHTTPResponse) -> None:
        self.backend = backend
        self._resp = resp
        self.incarnation = resp.headers.get(HEADER_INCARNATION, "")
        self.weights_version = resp.headers.get(HEADER_WEIGHTS_VERSION, "")

    def events(self, first_index: int) -> Iterator[StreamEvent]:
        """Yield events in order from an index.

        Raise BackendAnswerLost on a gap, a malformed event or an interruption.
        """
        expected = first_index
        try:
            for raw_event in split_events(self._read_chunks()):
                event = _parse_event(raw_event)
                if event.kind is not EventKind.KEEPALIVE:
                    if event.index != expected:
                        raise AnswerMismatched(
                            f"received event {event.index} instead of {expected}"
                        )
                    expected += 1
                yield event
        except (HTTPError, OSError, ValueError) as exc:
            raise BackendAnswerLost(
                f"answer of {self.backend!r} was interrupted: {exc}"
            ) from exc

    def _read_chunks(self) -> Iterator[bytes]:
        """Yield the chunks of the body; let other tasks run between small ones."""
        pace = ConnectionPace(clock.now())
        for data in self._resp.stream(READ_BYTES):
            yield data
            pace.count_read(len(data))
            if pace.is_turn_over():
                pace.end_turn()

    def finish(self, remaining: Iterator[StreamEvent]) -> None:
        """Read a completed answer to its end, so that its connection can be reused."""
        try:
            for event in remaining:
                if event.kind is not EventKind.KEEPALIVE:
                    raise AnswerMismatched("received an event after the closing one")
        except BackendAnswerLost:
            self.close()

    def close(self) -> None:
        """Close the connection, so that a late answer is not delivered."""
        self._resp.close()


class EngineStreamClient:
    """Open, resume and cancel answers of engines."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            maxsize=STREAM_CONNECTIONS_MAX,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=STALL_TIMEOUT_S),
        )

    def start(
        self, backend: str, address: str, request_id: str, body: bytes
    ) -> EngineStream:
        """Start an answer; raise BackendError when the engine does not start it."""
        url = f"http://{address}/v1/chat/completions"
        return self._open(backend, "POST", url, request_id, body, {})

    def resume(
        self,
        backend: str,
        address: str,
        request_id: str,
        stream: str,
        incarnation: str,
        first_index: int,
    ) -> EngineStream:
        """Resume an answer at an event index; raise BackendError when that fails."""
        url = f"http://{address}/v1/streams/{stream}?from={first_index}"
        headers = {HEADER_INCARNATION: incarnation}
        return self._open(backend, "GET", url, request_id, None, headers)

    def cancel(self, address: str, stream: str) -> None:
        """Ask an engine to stop an answer; ignore errors, as nothing depends on it."""
        try:
            self._pool.request("DELETE", f"http://{address}/v1/streams/{stream}")
        except (HTTPError, OSError):
            return

    def _open(
        self,
        backend: str,
        method: str,
        url: str,
        request_id: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> EngineStream:
        headers = {"Content-Type": "application/json", **headers}
        try:
            resp = self._pool.request(
                method, url, body=body, headers=headers, preload_content=False
            )
        except (NewConnectionError, ConnectTimeoutError, MaxRetryError) as exc:
            raise BackendUnreachable(f"{backend!r} is unreachable: {exc}") from exc
        except (HTTPError, OSError) as exc:
            raise BackendAnswerLost(f"{backend!r} did not answer: {exc}") from exc
        if resp.status != STATUS_OK:
            raise _error_from_response(backend, resp)
        if resp.headers.get(HEADER_REQUEST_ID) != request_id:
            resp.close()
            raise AnswerMismatched(f"{backend!r} answered a different request")
        return EngineStream(backend, resp)


def _parse_event(raw_event: bytes) -> StreamEvent:
    if raw_event.startswith(b":"):
        return KEEPALIVE
    head, _, data = raw_event.partition(b"\n")
    if not head.startswith(ID_PREFIX):
        raise ValueError(f"event without an id: {head[:40]!r}")
    index = int(head[len(ID_PREFIX) :])
    if data == DONE_LINE:
        return StreamEvent(index, EventKind.DONE, raw_event)
    if USAGE_FIELD in data:
        return StreamEvent(index, EventKind.USAGE, raw_event)
    return StreamEvent(index, EventKind.TOKEN, raw_event)


def _error_from_response(
    backend: str, resp: urllib3.BaseHTTPResponse
) -> BackendRefused | BackendAnswerLost:
    """Return BackendRefused only if the engine states that the request was not run."""
    try:
        refusal = msgspec.json.decode(resp.data, type=Refusal)
    except (msgspec.DecodeError, HTTPError, OSError):
        refusal = Refusal()
    if refusal.outcome == OUTCOME_NOT_RUN:
        return BackendRefused(backend, refusal.error)
    return BackendAnswerLost(f"{backend!r} answered {resp.status}")
