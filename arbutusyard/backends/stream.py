"""Read the numbered events of an engine's answer."""

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

from arbutusyard.backends.const import (
    CONNECT_TIMEOUT_S,
    READ_BYTES,
    STALL_TIMEOUT_S,
    STREAM_CONNECTIONS_MAX,
)
from arbutusyard.backends.exceptions import (
    AnswerMismatched,
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from arbutusyard.const import (
    HEADER_INCARNATION,
    HEADER_REQUEST_ID,
    HEADER_WEIGHTS_VERSION,
)

EVENT_END: Final = b"\n\n"
ID_PREFIX: Final = b"id: "
DONE_LINE: Final = b"data: [DONE]"
USAGE_MARK: Final = b'"usage":'
STATUS_OK: Final = 200
OUTCOME_NOT_RUN: Final = "not_run"


class EventKind(enum.Enum):
    """Name the kinds of event in an answer."""

    KEEPALIVE = "keepalive"
    TOKEN = "token"
    USAGE = "usage"
    DONE = "done"


class StreamEvent(Struct, frozen=True):
    """Hold one event as it came."""

    index: int
    kind: EventKind
    raw: bytes


KEEPALIVE: Final = StreamEvent(-1, EventKind.KEEPALIVE, b"")


class Refusal(Struct, frozen=True):
    """Read why an engine refused, and its word that it did not run a request."""

    error: str = "unknown"
    outcome: str = "unknown"


class EngineStream:
    """Hold one open answer; its connection is used again only when it is read out."""

    __slots__ = ("_resp", "backend", "incarnation", "weights_version")

    def __init__(self, backend: str, resp: urllib3.BaseHTTPResponse) -> None:
        self.backend = backend
        self._resp = resp
        self.incarnation = resp.headers.get(HEADER_INCARNATION, "")
        self.weights_version = resp.headers.get(HEADER_WEIGHTS_VERSION, "")

    def events(self, first: int) -> Iterator[StreamEvent]:
        """Yield events in order from an index; raise BackendLost on a break."""
        rest = b""
        expected = first
        try:
            for data in self._resp.stream(READ_BYTES):
                parts = (rest + data).split(EVENT_END)
                rest = parts.pop()
                for part in parts:
                    event = _parse(part)
                    if event.kind is not EventKind.KEEPALIVE:
                        if event.index != expected:
                            raise AnswerMismatched(
                                f"event {event.index} came instead of {expected}"
                            )
                        expected += 1
                    yield event
        except (HTTPError, OSError, ValueError) as exc:
            raise BackendLost(f"answer of {self.backend!r} broke off: {exc}") from exc

    def finish(self, rest: Iterator[StreamEvent]) -> None:
        """Read an ended answer out, so that its connection can be used again."""
        try:
            for event in rest:
                if event.kind is not EventKind.KEEPALIVE:
                    raise AnswerMismatched("an event came after the closing one")
        except BackendLost:
            self.close()

    def close(self) -> None:
        """Close the connection, so that a late answer reaches nobody."""
        self._resp.close()


class EngineStreamClient:
    """Open answers of engines."""

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
        """Start an answer; raise BackendError when the engine does not."""
        url = f"http://{address}/v1/chat/completions"
        return self._open(backend, "POST", url, request_id, body, {})

    def resume(
        self,
        backend: str,
        address: str,
        request_id: str,
        stream: str,
        incarnation: str,
        first: int,
    ) -> EngineStream:
        """Take up an answer at an index; raise BackendError when it is gone."""
        url = f"http://{address}/v1/streams/{stream}?from={first}"
        headers = {HEADER_INCARNATION: incarnation}
        return self._open(backend, "GET", url, request_id, None, headers)

    def cancel(self, address: str, stream: str) -> None:
        """Ask an engine to stop an answer; nothing depends on it."""
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
            raise BackendUnreachable(f"{backend!r}: {exc}") from exc
        except (HTTPError, OSError) as exc:
            raise BackendLost(f"{backend!r}: {exc}") from exc
        if resp.status != STATUS_OK:
            raise _failure(backend, resp)
        if resp.headers.get(HEADER_REQUEST_ID) != request_id:
            resp.close()
            raise AnswerMismatched(f"{backend!r} answered another request")
        return EngineStream(backend, resp)


def _parse(part: bytes) -> StreamEvent:
    if part.startswith(b":"):
        return KEEPALIVE
    head, _, data = part.partition(b"\n")
    if not head.startswith(ID_PREFIX):
        raise ValueError(f"event without a number: {head[:40]!r}")
    index = int(head[len(ID_PREFIX) :])
    if data == DONE_LINE:
        return StreamEvent(index, EventKind.DONE, part)
    if USAGE_MARK in data:
        return StreamEvent(index, EventKind.USAGE, part)
    return StreamEvent(index, EventKind.TOKEN, part)


def _failure(
    backend: str, resp: urllib3.BaseHTTPResponse
) -> BackendRefused | BackendLost:
    """Return a refusal only on the engine's own word that nothing was run."""
    try:
        refusal = msgspec.json.decode(resp.data, type=Refusal)
    except (msgspec.DecodeError, HTTPError, OSError):
        refusal = Refusal()
    if refusal.outcome == OUTCOME_NOT_RUN:
        return BackendRefused(backend, refusal.error)
    return BackendLost(f"{backend!r} answered {resp.status}")
