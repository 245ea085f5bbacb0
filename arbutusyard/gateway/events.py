"""Split a stream into its events."""

from msgspec import Struct

from arbutusyard.gateway.const import EVENT_BYTES_MAX
from arbutusyard.gateway.exceptions import AnswerBroken


class StreamEvent(Struct, frozen=True):
    """Hold one complete event as it came, and its id if it has one."""

    data: bytes
    event_id: str


class EventSplitter:
    """Cut complete events out of the bytes of a stream."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def take(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; return the events that are complete now.

        Raise AnswerBroken for an event of more than EVENT_BYTES_MAX bytes.
        """
        parts = (self._rest + data).split(b"\n\n")
        self._rest = parts.pop()
        if len(self._rest) > EVENT_BYTES_MAX:
            raise AnswerBroken("an event of the stream has no end")
        return [StreamEvent(part + b"\n\n", _event_id(part)) for part in parts]

    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
