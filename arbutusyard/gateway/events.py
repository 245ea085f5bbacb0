"""Split a server-sent event stream into events."""

from msgspec import Struct

from arbutusyard.gateway.const import EVENT_BYTES_MAX
from arbutusyard.gateway.exceptions import AnswerBroken


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
        raw_events = (self._buffer + data).split(b"\n\n")
        self._buffer = raw_events.pop()
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise AnswerBroken("an event of the stream exceeds the size limit")
        return [StreamEvent(raw + b"\n\n", _event_id(raw)) for raw in raw_events]

    def remaining(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._buffer


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
