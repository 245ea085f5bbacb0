"""Parse HTTP/1.1 in time proportional to the number of bytes."""

import re
from typing import Any, Final

import h11

HEAD_END: Final = re.compile(rb"\n\r?\n")
# Control characters that no line of a head may contain; a carriage return may only
# precede the line feed.
CONTROL: Final = re.compile(rb"[\x00\x0b\x0c\x7f]|\r(?!\n|\Z)")
# Bytes of a head that are searched again with new ones: an end of a head may be split.
OVERLAP_BYTES: Final = 3
CRLF: Final = b"\r\n"
# States of a peer in which the head of a message comes next.
HEAD_STATES: Final = (h11.IDLE, h11.SEND_RESPONSE)
LAST_CHUNK: Final = re.compile(rb"0+[ \t]*(;|\r?\n)")


class Http1Parser(h11.Connection):
    """Parse messages as h11 does, but reject malformed lines before h11 reads them.

    The patterns of h11 take time that grows with the square of a run of spaces if the
    line around it contains a control character: 0.5 s for 16 KiB in a header.
    """

    def __init__(self, our_role: Any, **kw: Any) -> None:
        super().__init__(our_role, **kw)
        # The method of the newest request that was sent.
        self._method = b""
        self._is_chunked = False
        self._reset()

    def _reset(self) -> None:
        # Bytes of the present head, or of trailers, that were checked.
        self._checked = 0
        # The next bytes are the line end after a chunk, or what is left of it, and the
        # size of the next chunk.
        self._at_chunk_size = False
        self._footer_bytes = 0
        self._in_trailers = False

    def send(self, event: Any) -> bytes | None:
        """Return the bytes of an event; see h11."""
        if isinstance(event, h11.Request):
            self._method = event.method
        return super().send(event)

    def next_event(self) -> Any:
        """Return the next event; raise RemoteProtocolError for a malformed message."""
        if self._in_trailers or self.their_state in HEAD_STATES:
            self._check_lines()
        elif self._at_chunk_size:
            self._check_chunk_size()
        event = super().next_event()
        match event:
            case h11.Data():
                self._at_chunk_size = self._is_chunked and event.chunk_end
                self._footer_bytes = len(CRLF)
            case h11.Request() | h11.Response():
                self._reset()
                self._is_chunked = self._has_chunks(event)
                self._at_chunk_size = self._is_chunked
            case h11.InformationalResponse() | h11.EndOfMessage():
                self._reset()
        return event

    def _has_chunks(self, head: h11.Request | h11.Response) -> bool:
        """Return whether the body after a head comes in chunks."""
        if isinstance(head, h11.Response) and (
            head.status_code in (204, 304) or self._method == b"HEAD"
        ):
            return False
        return any(name == b"transfer-encoding" for name, _ in head.headers)

    def _check_lines(self) -> None:
        """Check the lines of a head, or trailers, as far as they have come."""
        data = self.trailing_data[0]
        if len(data) == self._checked:
            return
        start = max(0, self._checked - OVERLAP_BYTES)
        self._checked = len(data)
        _reject_control_characters(data, start)

    def _check_chunk_size(self) -> None:
        """Check the line with the size of a chunk, and trailers after the last one."""
        data = self.trailing_data[0]
        start = self._footer_bytes
        end = data.find(b"\n", start)
        if end < 0:
            # Those of the line end are consumed.
            self._footer_bytes = max(0, start - len(data))
            return
        self._at_chunk_size = False
        if data[end - 1 : end] != b"\r" or end == start:
            raise h11.RemoteProtocolError("malformed size of a chunk")
        if LAST_CHUNK.match(data, start):
            self._in_trailers = True
            _reject_control_characters(data, end + 1)


def _reject_control_characters(data: bytes, start: int) -> None:
    """Raise RemoteProtocolError for a malformed line before the next empty one."""
    if data.startswith((b"\n", CRLF), start):
        return
    head_end = HEAD_END.search(data, start)
    end = head_end.end() if head_end else len(data)
    if CONTROL.search(data, start, end):
        raise h11.RemoteProtocolError("a line contains a control character")
