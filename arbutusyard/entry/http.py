"""Limit the time, size and form of HTTP requests."""

import socket
from typing import Any, Final

import bottle
import gevent
import msgspec
from gevent.pywsgi import WSGIServer

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
from arbutusyard.http1.wsgi import FairHandler


class InvalidHeaders(ValueError):
    """Report that headers are malformed, ambiguous, too long or too slow."""


class BodyTooLarge(ValueError):
    """Report that a Content-Length is above the allowed size."""


def _closing_response(status: str, code: str, message: str) -> bytes:
    """Return a complete response after which the connection is closed."""
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


class EntryHandler(FairHandler):
    """Limit the time and form of each request."""

    def read_requestline(self) -> str:
        """Wait up to the idle timeout for a request."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers within a timeout; raise ValueError for a bad request."""
        try:
            timeout_error = InvalidHeaders("headers came too slowly")
            with gevent.Timeout(HEADER_READ_TIMEOUT_S, timeout_error):
                valid = super().read_request(raw_requestline)
        finally:
            self.socket.settimeout(WRITE_TIMEOUT_S)
        if (self.content_length or 0) > MAX_BODY_BYTES:
            raise BodyTooLarge(f"Content-Length is {self.content_length} bytes")
        if self.server.is_draining():
            self.close_connection = True
        return valid

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the headers; raise InvalidHeaders before the server drops any."""
        headers = super().MessageClass(*args)
        check_headers(headers)
        return headers

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, BodyTooLarge):
            return "413", TOO_LARGE
        return "400", BAD_REQUEST


def check_headers(headers: Any) -> None:
    """Raise InvalidHeaders for headers that could be interpreted in two ways."""
    if headers.status or headers.defects:
        raise InvalidHeaders("a header line is malformed")
    names = [name.lower() for name in headers]
    lengths = names.count("content-length")
    encodings = names.count("transfer-encoding")
    if lengths > 1 or encodings > 1 or (lengths and encodings):
        raise InvalidHeaders("the length of the body is given more than once")
    if any("_" in name for name in names):
        raise InvalidHeaders("a header name contains an underscore")
    if sum(map(len, headers.headers)) > MAX_HEADERS_BYTES:
        raise InvalidHeaders("the headers are too long")


class EntryServer(WSGIServer):
    """Serve client connections; close them after a request while draining."""

    def __init__(self, address: tuple[str, int], app: Any, state: EntryState) -> None:
        super().__init__(
            address, app, log=None, error_log=None, handler_class=EntryHandler
        )
        self._state = state

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; send each token at once, without Nagle's algorithm."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def is_draining(self) -> bool:
        """Return whether connections close after their current request."""
        return self._state.draining


def read_body() -> bytes:
    """Return the request body; raise Refused if it is too large, slow or cut off."""
    environ = bottle.request.environ
    length = environ.get("CONTENT_LENGTH") or "0"
    if int(length) > MAX_BODY_BYTES:
        raise Refused(413, "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes")
    source = environ["wsgi.input"]
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    limit = MAX_BODY_BYTES + 1 if chunked else int(length)
    timeout_error = Refused(
        408, "body_too_slow", f"body took over {BODY_READ_TIMEOUT_S} s"
    )
    try:
        with gevent.Timeout(BODY_READ_TIMEOUT_S, timeout_error):
            data = _read_all(source, limit)
    except OSError as exc:
        raise Refused(400, "body_cut", f"body could not be read: {exc}") from exc
    if len(data) > MAX_BODY_BYTES:
        raise Refused(413, "body_too_large", f"body exceeds {MAX_BODY_BYTES} bytes")
    if not chunked and len(data) < limit:
        raise Refused(400, "body_cut", f"body has {len(data)} of {limit} bytes")
    return data


def _read_all(source: Any, limit: int) -> bytes:
    chunks = []
    remaining = limit
    while remaining > 0:
        chunk = source.read(remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)
