"""Bound the time, size and shape of what callers send."""

import socket
from typing import Any, Final

import bottle
import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from arbutusyard.entry.const import (
    BODY_READ_TIMEOUT_S,
    HEADER_READ_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADERS_BYTES,
    WRITE_TIMEOUT_S,
)
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import ErrorBody, ErrorDetail, OutcomeKind
from arbutusyard.entry.state import EntryState


class HeadersRefused(ValueError):
    """Report headers that leave the length of a body in doubt."""


class BodyTooLarge(ValueError):
    """Report a body that is announced as longer than allowed."""


def _closing_response(status: str, code: str, message: str) -> bytes:
    """Return a whole response that ends its connection."""
    detail = ErrorDetail(code, message, OutcomeKind.NOT_RUN, "")
    body = msgspec.json.encode(ErrorBody(detail))
    head = (
        f"HTTP/1.1 {status}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


BAD_REQUEST: Final = _closing_response(
    "400 Bad Request", "invalid_request", "the request line or a header is not valid"
)
TOO_LARGE: Final = _closing_response(
    "413 Content Too Large", "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes"
)


class EntryHandler(WSGIHandler):
    """Bound the time and shape of each request."""

    def read_requestline(self) -> str:
        """Wait for a request no longer than the idle timeout."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers in bounded time; raise ValueError for a bad request."""
        try:
            slow = HeadersRefused("headers came too slowly")
            with gevent.Timeout(HEADER_READ_TIMEOUT_S, slow):
                valid = super().read_request(raw_requestline)
        finally:
            self.socket.settimeout(WRITE_TIMEOUT_S)
        if (self.content_length or 0) > MAX_BODY_BYTES:
            raise BodyTooLarge(f"body of {self.content_length} bytes")
        if self.server.draining():
            self.close_connection = True
        return valid

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the headers; raise HeadersRefused before any of them is dropped."""
        headers = super().MessageClass(*args)
        check_headers(headers)
        return headers

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, BodyTooLarge):
            return "413", TOO_LARGE
        return "400", BAD_REQUEST


def check_headers(headers: Any) -> None:
    """Raise HeadersRefused for headers that readers could take in two ways."""
    if headers.status or headers.defects:
        raise HeadersRefused("a header line is not valid")
    names = [name.lower() for name in headers]
    lengths = names.count("content-length")
    encodings = names.count("transfer-encoding")
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        raise HeadersRefused("the length of the body is given twice")
    if any("_" in name for name in names):
        raise HeadersRefused("a header name holds an underscore")
    if sum(map(len, headers.headers)) > MAX_HEADERS_BYTES:
        raise HeadersRefused("headers are too long")


class EntryServer(WSGIServer):
    """Serve callers and tell handlers when the entry drains."""

    def __init__(self, address: tuple[str, int], app: Any, state: EntryState) -> None:
        super().__init__(
            address, app, log=None, error_log=None, handler_class=EntryHandler
        )
        self._state = state

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; send each token without waiting for more."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def draining(self) -> bool:
        """Tell whether connections close after their present request."""
        return self._state.draining


def read_body() -> bytes:
    """Read a bounded body in bounded time; raise Refused otherwise."""
    environ = bottle.request.environ
    length = environ.get("CONTENT_LENGTH") or "0"
    if int(length) > MAX_BODY_BYTES:
        raise Refused(413, "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes")
    source = environ["wsgi.input"]
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    limit = MAX_BODY_BYTES + 1 if chunked else int(length)
    slow = Refused(408, "body_too_slow", f"body took over {BODY_READ_TIMEOUT_S} s")
    try:
        with gevent.Timeout(BODY_READ_TIMEOUT_S, slow):
            data = _read_all(source, limit)
    except OSError as exc:
        raise Refused(400, "body_cut", f"body could not be read: {exc}") from exc
    if len(data) > MAX_BODY_BYTES:
        raise Refused(413, "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes")
    if not chunked and len(data) < limit:
        raise Refused(400, "body_cut", f"body has {len(data)} of {limit} bytes")
    return data


def _read_all(source: Any, limit: int) -> bytes:
    parts = []
    left = limit
    while left > 0:
        part = source.read(left)
        if not part:
            break
        parts.append(part)
        left -= len(part)
    return b"".join(parts)
