"""Read the server-sent events of an answer and track the progress of reading them."""

from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from arbutusyard import clock
from arbutusyard.client.exceptions import ClientError, StreamBroken
from arbutusyard.client.models import Answer
from arbutusyard.http1.events import EventTooLarge, split_events

# Maximum size of one read from a stream, in bytes.
READ_BYTES = 65_536


class StreamInterrupted(ClientError):
    """Report that the stream ended early and may be resumed."""


class Progress:
    """Track the state of an answer that is being received."""

    __slots__ = (
        "_started_at",
        "_text_chunks",
        "_usage",
        "done",
        "first_token_at",
        "last_event_id",
        "request_id",
        "resumed",
        "resume_token",
    )

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._text_chunks: list[str] = []
        self._usage: dict[str, Any] = {}
        self.done = False
        self.first_token_at = 0.0
        self.last_event_id = -1
        self.request_id = ""
        self.resumed = 0
        self.resume_token = ""

    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self._text_chunks)

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

    def apply_event(self, event: bytes) -> None:
        """Apply one event; ignore an event that was already received."""
        fields = dict(
            line.split(b": ", 1) for line in event.split(b"\n") if b": " in line
        )
        data = fields.get(b"data", b"")
        if fields.get(b"event") == b"error":
            raise StreamBroken(data.decode())
        index = int(fields.get(b"id", b"-1"))
        if index <= self.last_event_id:
            return
        if data == b"[DONE]":
            self.done = True
            self.last_event_id = index
            return
        if index != self.last_event_id + 1:
            raise StreamInterrupted(
                f"received event {index} after event {self.last_event_id}"
            )
        self.last_event_id = index
        self._apply_chunk(msgspec.json.decode(data))

    def _apply_chunk(self, chunk: dict[str, Any]) -> None:
        self.request_id = chunk["id"]
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk["choices"]:
            content = choice["delta"].get("content")
            if content:
                if not self.first_token_at:
                    self.first_token_at = clock.now()
                self._text_chunks.append(content)


def read_stream(resp: urllib3.BaseHTTPResponse, progress: Progress) -> None:
    """Read events to the end; raise StreamInterrupted if it ends early."""
    try:
        for raw_event in split_events(resp.stream(READ_BYTES)):
            if not raw_event.startswith(b":"):
                progress.apply_event(raw_event)
    except EventTooLarge as exc:
        raise StreamBroken(str(exc)) from exc
    except (HTTPError, OSError) as exc:
        raise StreamInterrupted(f"stream was interrupted: {exc}") from exc
    if not progress.done:
        raise StreamInterrupted("stream ended without its closing event")
