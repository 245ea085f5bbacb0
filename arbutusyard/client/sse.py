"""Read an answer's events and remember how far it has come."""

from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from arbutusyard import clock
from arbutusyard.client.exceptions import ClientError, StreamBroken
from arbutusyard.client.models import Answer

READ_BYTES = 65_536


class StreamCut(ClientError):
    """Report a stream that ended early and may be resumed."""


class Progress:
    """Hold what has come of an answer."""

    __slots__ = (
        "_parts",
        "_started_at",
        "_usage",
        "done",
        "first_token_at",
        "last_id",
        "request_id",
        "resumed",
        "token",
    )

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._parts: list[str] = []
        self._usage: dict[str, Any] = {}
        self.done = False
        self.first_token_at = 0.0
        self.last_id = -1
        self.request_id = ""
        self.resumed = 0
        self.token = ""

    def text(self) -> str:
        """Return the text so far."""
        return "".join(self._parts)

    def answer(self) -> Answer:
        """Return the finished answer."""
        details = self._usage.get("prompt_tokens_details", {})
        return Answer(
            text=self.text(),
            request_id=self.request_id,
            first_token_s=self.first_token_at - self._started_at,
            resumed=self.resumed,
            prompt_tokens=self._usage.get("prompt_tokens", 0),
            completion_tokens=self._usage.get("completion_tokens", 0),
            cached_tokens=details.get("cached_tokens", 0),
        )

    def take(self, event: bytes) -> None:
        """Take one event; an event that came before changes nothing."""
        fields = dict(
            line.split(b": ", 1) for line in event.split(b"\n") if b": " in line
        )
        data = fields.get(b"data", b"")
        if fields.get(b"event") == b"error":
            raise StreamBroken(data.decode())
        index = int(fields.get(b"id", b"-1"))
        if index <= self.last_id:
            return
        if data == b"[DONE]":
            self.done = True
            self.last_id = index
            return
        if index != self.last_id + 1:
            raise StreamCut(f"event {index} came after {self.last_id}")
        self.last_id = index
        self._take_chunk(msgspec.json.decode(data))

    def _take_chunk(self, chunk: dict[str, Any]) -> None:
        self.request_id = chunk["id"]
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk["choices"]:
            content = choice["delta"].get("content")
            if content:
                if not self.first_token_at:
                    self.first_token_at = clock.now()
                self._parts.append(content)


def read_stream(resp: urllib3.BaseHTTPResponse, progress: Progress) -> None:
    """Read events to the end; raise StreamCut when the end is missing."""
    rest = b""
    try:
        for data in resp.stream(READ_BYTES):
            parts = (rest + data).split(b"\n\n")
            rest = parts.pop()
            for part in parts:
                if not part.startswith(b":"):
                    progress.take(part)
    except (HTTPError, OSError) as exc:
        raise StreamCut(f"stream broke off: {exc}") from exc
    if not progress.done:
        raise StreamCut("stream ended without its closing event")
