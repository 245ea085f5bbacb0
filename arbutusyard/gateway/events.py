"""Split a server-sent event stream into events."""

import re
import sys
from typing import Final

from msgspec import Struct

from arbutusyard.gateway.const import EVENT_BYTES_MAX
from arbutusyard.gateway.exceptions import AnswerBroken

# Blank line at the end of an event, after each of the line ends that streams may use.
EVENT_END: Final = re.compile(rb"\n\n|\r\n\r\n|\r\r")
# Number of bytes of an end of an event that may come before its last one.
EVENT_END_OVERLAP: Final = 3
ID_LINE: Final = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
DATA_LINE: Final = re.compile(rb"(?:^|[\r\n])data")
# Maximum number of digits of an event id that is compared as a number; 64-bit integers
# have up to 20.
EVENT_ID_DIGITS_MAX: Final = 20


class StreamEvent(Struct, frozen=True):
    """Hold a complete event as received, with its id if it has one."""

    data: bytes
    event_id: str
    # The event carries a piece of the answer, and no id after which to resume.
    unnumbered: bool = False


class EventSplitter:
    """Extract complete events incrementally from received bytes.

    Each byte is searched once, however the bytes are split.
    """

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Number of buffered bytes that contain no end of an event.
        self._searched = 0

    def feed(self, data: bytes, events_max: int = sys.maxsize) -> list[StreamEvent]:
        """Add received bytes; return up to `events_max` events that are now complete.

        Raise AnswerBroken if an incomplete event exceeds EVENT_BYTES_MAX bytes.
        """
        buffer = self._buffer
        buffer += data
        events: list[StreamEvent] = []
        start = 0
        while len(events) < events_max:
            search_from = max(start, self._searched - EVENT_END_OVERLAP)
            match = EVENT_END.search(buffer, search_from)
            if match is None:
                self._searched = len(buffer)
                break
            events.append(_read_event(bytes(buffer[start : match.end()])))
            start = self._searched = match.end()
        del buffer[:start]
        self._searched -= start
        if not events and len(buffer) > EVENT_BYTES_MAX:
            raise AnswerBroken("an event of the stream exceeds the size limit")
        return events

    def remaining(self) -> bytes:
        """Return the buffered bytes after the last event that was returned."""
        return bytes(self._buffer)

    def is_inside_event(self) -> bool:
        """Tell whether an event has begun that is not complete."""
        return bool(self._buffer.strip(b"\r\n"))


class EventSequence:
    """Check that the events of one answer continue one another over its streams.

    Ids only have to increase, so a gap shows only in an answer whose ids were
    consecutive up to it.
    """

    __slots__ = ("_is_consecutive", "has_unnumbered", "last_id")

    def __init__(self, resume_after: str = "") -> None:
        # The id after which another stream has to continue.
        self.last_id = resume_after
        # Unnumbered events were relayed, so no id says where to continue.
        self.has_unnumbered = False
        self._is_consecutive: bool | None = None

    def accept(self, events: list[StreamEvent]) -> tuple[list[StreamEvent], str]:
        """Return the events to relay, without repeated ones, and what is wrong.

        The text is empty, or names the gap that the returned events end before.
        """
        accepted = []
        for event in events:
            if not _is_number(event.event_id):
                self.last_id = event.event_id or self.last_id
                self.has_unnumbered = self.has_unnumbered or event.unnumbered
            elif not _is_number(self.last_id):
                self._is_consecutive = int(event.event_id) in (0, 1)
                self.last_id = event.event_id
            else:
                number, last = int(event.event_id), int(self.last_id)
                if number <= last:
                    continue
                if self._is_consecutive and number > last + 1:
                    return accepted, f"event {number} after event {last}"
                if self._is_consecutive is None:
                    self._is_consecutive = number == last + 1
                self.last_id = event.event_id
            accepted.append(event)
        return accepted, ""


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= EVENT_ID_DIGITS_MAX


def _read_event(raw: bytes) -> StreamEvent:
    match = ID_LINE.search(raw)
    if match is not None:
        return StreamEvent(raw, match[1].strip().decode("latin-1"))
    return StreamEvent(raw, "", DATA_LINE.search(raw) is not None)
