"""Call the platform's HTTP interfaces over persistent connections."""

import contextlib
import socket
from typing import Final

import h11
from msgspec import Struct

from arbutusyard import clock
from arbutusyard.http1.pacing import ConnectionPace
from arbutusyard.http1.parser import Http1Parser
from arbutusyard.platform.exceptions import (
    AnswerInvalid,
    CallOutcomeUnknown,
    ConnectFailed,
)

# Maximum time that sent bytes may stay unacknowledged before the kernel closes the
# connection, in milliseconds; without it, a call on a dead connection would hang.
TCP_USER_TIMEOUT_MS: Final = 2000
# Maximum number of bytes read from a socket at once.
READ_BYTES: Final = 65_536
# Maximum number of bytes of an answer's head, and of its trailers.
HEAD_BYTES_MAX: Final = 16_384
# Maximum number of informational responses before an answer.
INFORMATIONAL_MAX: Final = 8


class CallLimits(Struct, frozen=True):
    """Bound what one answer may cost, whatever the other end sends."""

    # Timeout of each read, in seconds.
    read_timeout_s: float
    # Time from the first byte of the request to the last one of the answer, in seconds.
    total_timeout_s: float
    # Bytes of the answer as they are sent, with its head and its framing.
    bytes_max: int


class HttpAnswer(Struct, frozen=True):
    """Hold a complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes


class HttpPool:
    """Reuse connections; hold up to `idle_max` idle ones to each address."""

    __slots__ = ("_connect_timeout_s", "_idle", "_idle_max")

    def __init__(self, connect_timeout_s: float, idle_max: int) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._idle: dict[str, list[HttpConnection]] = {}

    def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        limits: CallLimits,
    ) -> HttpAnswer:
        """Send a request and return the answer.

        Raise ConnectFailed when nothing was sent, CallOutcomeUnknown when the request
        was sent, at least in part, without a complete answer within the limits, and
        AnswerInvalid if what came is malformed or too large.
        """
        conn = self._acquire(address)
        complete = False
        try:
            answer = conn.call(method, path, headers, body, limits)
            complete = True
        except h11.RemoteProtocolError as exc:
            raise AnswerInvalid(str(exc)) from exc
        except OSError as exc:
            raise CallOutcomeUnknown(f"{type(exc).__name__}: {exc}") from exc
        finally:
            if not complete:
                conn.close()
        self._release(address, conn)
        return answer

    def clear(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()

    def _acquire(self, address: str) -> "HttpConnection":
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable():
                return conn
            conn.close()
        return HttpConnection(address, self._connect_timeout_s)

    def _release(self, address: str, conn: "HttpConnection") -> None:
        """Keep a connection as idle unless it ended or enough are idle."""
        idle = self._idle.setdefault(address, [])
        if not conn.prepare_for_reuse() or len(idle) >= self._idle_max:
            conn.close()
            return
        idle.append(conn)


class HttpConnection:
    """Carry calls over a connection, one at a time."""

    __slots__ = ("_address", "_bytes_left", "_deadline", "_h11", "_pace", "_sock")

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        """Connect to an address; raise ConnectFailed if that fails."""
        self._address = address
        self._h11 = Http1Parser(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX)
        self._bytes_left = 0
        self._deadline = 0.0
        self._pace = ConnectionPace(clock.now())
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            host, port = address.rsplit(":", 1)
            self._sock.settimeout(connect_timeout_s)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sock.connect((host, int(port)))
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except (OSError, OverflowError, ValueError) as exc:
            self.close()
            raise ConnectFailed(f"{address} is unreachable: {exc}") from exc
        except BaseException:
            self.close()
            raise

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        limits: CallLimits,
    ) -> HttpAnswer:
        """Send a request and read its answer whole.

        Raise ConnectFailed if the request can't be sent at all, OSError or
        h11.RemoteProtocolError without a complete answer within the limits.
        """
        data = self._encode(method, path, headers, body)
        self._deadline = clock.now() + limits.total_timeout_s
        self._bytes_left = limits.bytes_max
        self._sock.settimeout(limits.read_timeout_s)
        self._sock.sendall(data)
        head = self._read_head(limits)
        body_data = bytearray()
        while isinstance(event := self._next_event(limits), h11.Data):
            body_data += event.data
            self._pace.count_piece(len(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("the answer ended early")
        return HttpAnswer(
            head.status_code,
            {name.decode(): value.decode("latin-1") for name, value in head.headers},
            bytes(body_data),
        )

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unexpected bytes."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next call; return False if the connection must close."""
        if self._h11.trailing_data[0]:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def _encode(
        self, method: str, path: str, headers: dict[str, str], body: bytes | None
    ) -> bytes:
        fields = [
            ("Host", self._address),
            ("Accept-Encoding", "identity"),
            *headers.items(),
        ]
        if body is not None:
            fields.append(("Content-Length", str(len(body))))
        try:
            data = self._h11.send(
                h11.Request(method=method, target=path, headers=fields)
            )
            if body:
                data += self._h11.send(h11.Data(data=body))
            return data + self._h11.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise ConnectFailed(f"request cannot be sent: {exc}") from exc

    def _read_head(self, limits: CallLimits) -> h11.Response:
        for _ in range(INFORMATIONAL_MAX + 1):
            event = self._next_event(limits)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("no answer was sent")
        raise h11.RemoteProtocolError("too many informational responses")

    def _next_event(self, limits: CallLimits) -> object:
        if self._pace.is_turn_over():
            self._pace.end_turn()
        # One read may contain thousands of chunks, which a busy VM decodes for longer
        # than the time left.
        if clock.now() > self._deadline:
            raise TimeoutError("the answer was not complete in time")
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            left_s = self._deadline - clock.now()
            if left_s <= 0:
                raise TimeoutError("the answer was not complete in time")
            if self._bytes_left <= 0:
                raise h11.RemoteProtocolError(
                    f"the answer exceeds {limits.bytes_max} bytes"
                )
            self._sock.settimeout(min(limits.read_timeout_s, left_s))
            data = self._sock.recv(min(READ_BYTES, self._bytes_left))
            self._bytes_left -= len(data)
            self._h11.receive_data(data)
            self._pace.count_read(len(data))
        return event
