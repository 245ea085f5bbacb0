"""Keep connections to backend servers."""

import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from typing import Final

import gevent
import h11

from arbutusyard import clock
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.const import (
    ANSWER_HEAD_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    CONNECTION_FRACTION,
    CONNECTIONS_MIN,
    IDLE_KEEP_S,
    IDLE_MARGIN_S,
    KEEPALIVE_COUNT,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    PRE_ANSWER_BYTES_MAX,
    PRE_ANSWER_MESSAGES_MAX,
    PROBE_PAUSE_S,
    READ_BYTES,
    TCP_USER_TIMEOUT_MS,
    UNRESPONSIVE_CHECK_INTERVAL_S,
)
from arbutusyard.gateway.exceptions import (
    AnswerBroken,
    AnswerLate,
    NotSent,
    Unreachable,
)
from arbutusyard.gateway.models import AnswerHead
from arbutusyard.platform.headers import read_answer

_LOGGER = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

# On, and no second of waiting: the kernel resets the connection.
NO_LINGER: Final = struct.pack("ii", 1, 0)


class ServerConnection:
    """Hold one connection to a backend server, for one request at a time."""

    __slots__ = (
        "_body",
        "_h11",
        "_head_bytes",
        "_head_since",
        "_reads_head",
        "_request",
        "_server",
        "_sock",
        "address",
        "idle_until",
        "on_quiet",
    )

    def __init__(self, sock: socket.socket, server: Server) -> None:
        self._sock = sock
        self._server = server
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b""
        self._reads_head = False
        self._head_bytes = 0
        self._head_since: float | None = None
        self.address = server.entry.address
        self.idle_until = 0.0
        self.on_quiet: Callable[[], bool] = lambda: False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the lifetime of the server at the other end."""
        return self._server.incarnation

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a request; raise NotSent when no byte left."""
        if body or method in (b"POST", b"PUT", b"PATCH"):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            self._body = body
            data = self._encode()
        except h11.LocalProtocolError as exc:
            raise NotSent(f"request cannot be passed on: {exc}") from exc
        self._sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sent = self._sock.send(data)
        except OSError as exc:
            raise NotSent(f"connection to {self.address} broke: {exc}") from exc
        if sent < len(data):
            # A server may answer before it has read everything.
            gevent.spawn(self._send_rest, data[sent:])

    def _encode(self) -> bytes:
        data = self._h11.send(self._request)
        if self._body:
            data += self._h11.send(h11.Data(data=self._body))
        return data + self._h11.send(h11.EndOfMessage())

    def _send_rest(self, data: bytes) -> None:
        try:
            self._sock.settimeout(None)
            self._sock.sendall(data)
        except OSError as exc:
            _LOGGER.debug("Rest of a request to %s: %s", self.address, exc)

    def read_head(self, request_id: str, until: float) -> AnswerHead:
        """Read the head of the answer to a request, passing over others.

        Raise AnswerBroken when it never comes and AnswerLate when it comes too late.
        """
        self._reads_head = True
        self._head_bytes = 0
        for _ in range(PRE_ANSWER_MESSAGES_MAX):
            self._head_since = None
            event = self._next(until)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken(f"{self.address} sent no answer")
            head = read_answer(event.status_code, list(event.headers))
            if head.request_id == request_id or not (head.request_id or head.stamped):
                self._reads_head = False
                return head
            _LOGGER.warning(
                "Passed over an answer of %s to another request",
                self.address,
                extra={"request_id": request_id, "other": head.request_id},
            )
            self._pass_over(until)
        raise AnswerBroken(f"{self.address} sends messages that are no answer")

    def read_data(self, until: float) -> bytes | None:
        """Read a piece of the body; return None at its end."""
        while True:
            event = self._next(until)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            raise AnswerBroken(f"{self.address} broke its answer off")

    def read_out(self, bytes_max: int, until: float) -> bool:
        """Pass over the rest of a body; return False when it has no end in time."""
        size = 0
        try:
            while (data := self.read_data(until)) is not None:
                size += len(data)
                if size > bytes_max:
                    return False
        except (AnswerBroken, AnswerLate) as exc:
            _LOGGER.debug("Rest of an answer of %s: %s", self.address, exc)
            return False
        return True

    def reusable(self, head: AnswerHead, now: float) -> bool:
        """Prepare for the next request; return False when there can't be one."""
        if head.closes or self._h11.trailing_data[0]:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        keep_s = IDLE_KEEP_S if head.keep_s is None else head.keep_s
        self.idle_until = now + keep_s - IDLE_MARGIN_S
        return self.idle_until > now

    def fresh(self, now: float) -> bool:
        """Tell whether an idle connection may still be used."""
        if now >= self.idle_until:
            return False
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server closed it, or sent bytes that belong to no request.
        return False

    def close(self) -> None:
        """Close the connection, which makes the server stop its work."""
        self._sock.close()

    def abort(self) -> None:
        """Close the connection and throw away what was not sent yet.

        A narrow link may hold a long request for seconds after its caller left.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._sock.close()

    def _pass_over(self, until: float) -> None:
        while self.read_data(until) is not None:
            pass
        try:
            self._h11.start_next_cycle()
            self._encode()
        except h11.LocalProtocolError as exc:
            raise AnswerBroken(f"{self.address} sent a stray answer: {exc}") from exc

    def _next(self, until: float) -> object:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise AnswerBroken(f"{self.address}: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            left_s = until - clock.now()
            if left_s <= 0:
                raise AnswerLate(f"{self.address} did not answer in time")
            if self._reads_head:
                self._check_head(clock.now())
            data = self._receive(left_s, until)
            self._server.last_byte_at = clock.now()
            self._head_bytes += len(data)
            if self._head_since is None:
                self._head_since = self._server.last_byte_at
            self._h11.receive_data(data)

    def _check_head(self, now: float) -> None:
        """Raise AnswerBroken when what comes before an answer has no end."""
        if self._head_bytes > PRE_ANSWER_BYTES_MAX:
            raise AnswerBroken(f"{self.address} sends bytes that are no answer")
        if (
            self._head_since is not None
            and now - self._head_since > ANSWER_HEAD_TIMEOUT_S
        ):
            raise AnswerBroken(f"{self.address} does not end the head of an answer")

    def _receive(self, left_s: float, until: float) -> bytes:
        step_s = min(left_s, UNRESPONSIVE_CHECK_INTERVAL_S)
        self._sock.settimeout(step_s)
        started_at = clock.now()
        while True:
            try:
                return self._sock.recv(READ_BYTES)
            except TimeoutError as exc:
                now = clock.now()
                if now >= until:
                    raise AnswerLate(f"{self.address} did not answer in time") from exc
                # The kernel's own time limits of a dead connection end up here too.
                if now - started_at < step_s * 0.9:
                    raise AnswerBroken(f"{self.address}: {exc}") from exc
                if self.on_quiet():
                    raise AnswerBroken(f"{self.address} is silent") from exc
                started_at = now
                step_s = max(0.001, min(until - now, UNRESPONSIVE_CHECK_INTERVAL_S))
                self._sock.settimeout(step_s)
            except OSError as exc:
                raise AnswerBroken(f"{self.address}: {exc}") from exc


class ServerPool:
    """Hold idle connections by lifetime of a server, within a cap."""

    __slots__ = ("_idle", "_open", "opened")

    def __init__(self) -> None:
        self._idle: dict[object, list[ServerConnection]] = {}
        self._open: dict[object, int] = {}
        self.opened = 0

    def acquire(self, server: Server, cap: int, now: float) -> ServerConnection:
        """Return a connection; raise NotSent when there is none to be had."""
        idle = self._idle.get(server.incarnation, [])
        while idle:
            conn = idle.pop()
            if conn.address == server.entry.address and conn.fresh(now):
                return conn
            self.discard(conn)
        if self._open.get(server.incarnation, 0) >= cap:
            raise NotSent(f"all {cap} connections to {server.entry.address} are busy")
        return self._connect(server)

    def has_idle(self, server: Server, now: float) -> bool:
        """Tell whether a connection to a server is open and free."""
        idle = self._idle.get(server.incarnation)
        return bool(idle) and idle[-1].idle_until > now

    def release(self, conn: ServerConnection, head: AnswerHead, now: float) -> None:
        """Take a connection back after a complete answer."""
        if conn.reusable(head, now):
            self._idle.setdefault(conn.incarnation, []).append(conn)
        else:
            self.discard(conn)

    def discard(self, conn: ServerConnection) -> None:
        """Close a connection."""
        conn.close()
        self._count_closed(conn)

    def abort(self, conn: ServerConnection) -> None:
        """Close a connection whose request is not wanted any more."""
        conn.abort()
        self._count_closed(conn)

    def _count_closed(self, conn: ServerConnection) -> None:
        left = self._open.get(conn.incarnation, 0) - 1
        if left > 0:
            self._open[conn.incarnation] = left
        else:
            self._open.pop(conn.incarnation, None)

    def sweep(self, now: float) -> None:
        """Close connections that were idle too long."""
        for incarnation, idle in list(self._idle.items()):
            old = [conn for conn in idle if now >= conn.idle_until]
            for conn in old:
                idle.remove(conn)
                self.discard(conn)
            if not idle:
                del self._idle[incarnation]

    def probe(self, server: Server) -> None:
        """Try to reach a suspected server; use it again if that succeeds."""
        # Keeps others from trying meanwhile.
        server.suspect_until = clock.now() + PROBE_PAUSE_S
        try:
            conn = self._connect(server)
        except Unreachable:
            server.suspect(server.suspect_until)
            return
        now = clock.now()
        conn.idle_until = now + IDLE_KEEP_S - IDLE_MARGIN_S
        self._idle.setdefault(conn.incarnation, []).append(conn)
        server.reached_at = now
        server.suspected = False
        _LOGGER.info(
            "Server %s can be reached again",
            server.entry.server_id,
            extra={"server": server.entry.server_id, "own_word": server.first_hand},
        )

    def _connect(self, server: Server) -> ServerConnection:
        address = server.entry.address
        incarnation = server.incarnation
        self._open[incarnation] = self._open.get(incarnation, 0) + 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        conn = ServerConnection(sock, server)
        host, port = address.rsplit(":", 1)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect((host, int(port)))
            keep_watch(sock)
        except OSError as exc:
            self.discard(conn)
            raise Unreachable(f"{address} cannot be reached: {exc}") from exc
        except BaseException:
            self.discard(conn)
            raise
        self.opened += 1
        return conn


def keep_watch(sock: socket.socket) -> None:
    """Make the kernel end a connection whose peer fell silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def connection_cap(max_connections: int, nodes: int) -> int:
    """Return how many connections to one server this node may have."""
    return max(
        CONNECTIONS_MIN, int(max_connections * CONNECTION_FRACTION / max(1, nodes))
    )
