"""Split streams whose events end with an empty line."""

from collections.abc import Iterable, Iterator
from typing import Final

# Size of the largest event, in bytes.
EVENT_BYTES_MAX: Final = 1_048_576
EVENT_END: Final = b"\n\n"


class EventTooLarge(ValueError):
    """Report an event above the size limit."""


def split_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the complete events of a stream, without their empty lines.

    Each byte is searched once, however the stream is split. Raise EventTooLarge if
    an event exceeds EVENT_BYTES_MAX bytes.
    """
    buffer = bytearray()
    for data in chunks:
        # The end of an event may be split.
        search_from = max(0, len(buffer) - 1)
        buffer += data
        start = 0
        while (end := buffer.find(EVENT_END, max(start, search_from))) >= 0:
            yield bytes(buffer[start:end])
            start = end + len(EVENT_END)
        del buffer[:start]
        if len(buffer) > EVENT_BYTES_MAX:
            raise EventTooLarge("an event of the stream exceeds the size limit")
