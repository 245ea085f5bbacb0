"""Split a server-sent event stream into events."""

import re
from typing import Final

from msgspec import Struct

from arbutusyard.gateway.const import EVENT_BYTES_MAX
from arbutusyard.gateway.exceptions import AnswerBroken

# Blank line at the end of an event, after each of the line ends that streams may use.
EVENT_END: Final = re.compile(rb"\n\n|\r\n\r\n|\r\r")


class StreamEvent(Struct, frozen=True):
    """Hold a complete event as received, with its id if it has one."""

    data: bytes
    event_id: str


class EventSplitter:
    """Extract complete events incrementally from received bytes."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are now complete.

        Raise AnswerBroken if an incomplete event exceeds EVENT_BYTES_MAX bytes.
        """
        data = self._buffer + data
        events = []
        start = 0
        for match in EVENT_END.finditer(data):
            raw = data[start : match.end()]
            events.append(StreamEvent(raw, _event_id(raw)))
            start = match.end()
        self._buffer = data[start:]
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise AnswerBroken("an event of the stream exceeds the size limit")
        return events

    def remaining(self) -> bytes:
        """Return the buffered bytes after the last complete event."""
        return self._buffer

    def is_inside_event(self) -> bool:
        """Tell whether an event has begun that is not complete."""
        return bool(self._buffer.strip(b"\r\n"))


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
