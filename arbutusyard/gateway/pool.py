"""Pool connections to backend servers."""

import contextlib
import fcntl
import logging
import math
import re
import socket
import sys
import termios
from collections.abc import Callable
from typing import Final

import gevent
import h11
from gevent import Greenlet

from arbutusyard import clock
from arbutusyard.const import STATUS_MAX
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.const import (
    ANSWER_HEAD_TIMEOUT_S,
    CARRIED_REQUESTS_MAX,
    CONNECT_TIMEOUT_S,
    CONNECTION_FRACTION,
    CONNECTIONS_MIN,
    END_CHECK_INTERVAL_S,
    END_TIMEOUT_S,
    IDLE_KEEP_S,
    IDLE_MARGIN_S,
    KEEPALIVE_COUNT,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    NO_LINGER,
    PRE_ANSWER_BYTES_MAX,
    PRE_ANSWER_MESSAGES_MAX,
    PROBE_PAUSE_S,
    PROBES_OFF_S,
    READ_BYTES,
    SERVER_RECEIVE_BUFFER_BYTES,
    SLOWED_LOG_INTERVAL_S,
    TCP_CLOSE_WAIT,
    TCP_USER_TIMEOUT_MS,
    UNRESPONSIVE_CHECK_INTERVAL_S,
)
from arbutusyard.gateway.events import StreamEvent
from arbutusyard.gateway.exceptions import (
    AnswerBroken,
    AnswerLate,
    NotSent,
    Unreachable,
)
from arbutusyard.gateway.models import AnswerHead, Framing
from arbutusyard.http1.const import SMALL_PIECE_BYTES
from arbutusyard.http1.pacing import ConnectionPace
from arbutusyard.http1.parser import Http1Parser
from arbutusyard.platform.headers import read_answer

_LOGGER = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

# Socket option of Linux, which Python 3.11 does not define.
IP_BIND_ADDRESS_NO_PORT: Final = 24
STATUS_LINE: Final = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}", re.ASCII)


class ServerConnection:
    """Carry requests over a connection to a backend server, one at a time."""

    __slots__ = (
        "_body",
        "_carried",
        "_h11",
        "_head_bytes",
        "_head_started_at",
        "_pace",
        "_pending",
        "_probed",
        "_reading_head",
        "_request",
        "_sent_at",
        "_server",
        "_sock",
        "_writer",
        "address",
        "ended",
        "idle_until",
        "on_slowed",
        "should_abandon",
    )

    def __init__(self, sock: socket.socket, server: Server) -> None:
        self._sock = sock
        self._server = server
        self._h11 = Http1Parser(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b""
        # IDs of all requests that were sent on this connection.
        self._carried: set[str] = set()
        self._reading_head = False
        self._head_bytes = 0
        self._head_started_at: float | None = None
        # Writes what the socket did not take at once; None once it has written all.
        self._writer: Greenlet | None = None
        # Whether the kernel probes the link, and when the last byte was sent.
        self._probed = False
        self._sent_at = math.inf
        self._pace = ConnectionPace(clock.now(), server.pieces)
        # What followed the chunks that were read together.
        self._pending: object = None
        self.address = server.entry.address
        # The server ended or reset the connection.
        self.ended = False
        self.idle_until = 0.0
        self.should_abandon: Callable[[], bool] = lambda: False
        self.on_slowed: Callable[[], None] = lambda: None

    @property
    def slowed_s(self) -> float:
        """Return for how long the connection was read more slowly, in seconds."""
        return self._pace.slowed_s

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the incarnation of the connected server: its id and start in ms."""
        return self._server.incarnation

    def may_carry(self, request_id: str) -> bool:
        """Return whether an answer can be attributed to an attempt at a request.

        An answer's ID names a request but not an attempt at it, so a late copy of the
        answer to an earlier attempt on this connection would pass for a new answer.
        """
        return not self._carried or (
            bool(request_id) and request_id not in self._carried
        )

    def send(
        self,
        request_id: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a request; raise NotSent if no byte of it was sent."""
        if body or method in (b"POST", b"PUT", b"PATCH"):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        try:
            self._request = h11.Request(method=method, target=target, headers=headers)
            self._body = body
            parts = self._encode()
        except h11.LocalProtocolError as exc:
            raise NotSent(f"request cannot be forwarded: {exc}") from exc
        size = sum(map(len, parts))
        self._sock.settimeout(CONNECT_TIMEOUT_S)
        self._sent_at = math.inf
        try:
            # The parts are not joined: a copy of the body would stay until it is sent.
            sent = self._sock.sendmsg(parts)
        except OSError as exc:
            raise NotSent(
                f"connection to {self.address} failed before a byte was sent: {exc}"
            ) from exc
        self._carried.add(request_id)
        if sent < size:
            # The server may answer before it has read the whole request.
            self._writer = gevent.spawn(self._send_remaining, parts, sent)
        else:
            self._sent_at = clock.now()

    def _encode(self) -> list[bytes]:
        parts = [self._h11.send(self._request)]
        if self._body:
            parts.append(self._h11.send(h11.Data(data=self._body)))
        self._h11.send(h11.EndOfMessage())
        return parts

    def _send_remaining(self, parts: list[bytes], sent: int) -> None:
        head, *body = parts
        remaining = memoryview(head)[sent:]
        if body and not remaining:
            remaining = memoryview(body.pop())[sent - len(head) :]
        while remaining:
            try:
                remaining = remaining[self._sock.send(remaining) :]
                if body and not remaining:
                    remaining = memoryview(body.pop())
            except TimeoutError:
                # The concurrent reader of this socket has set its own timeout.
                continue
            except OSError as exc:
                _LOGGER.info(
                    "Failed to send the last %d bytes of a request to %s: %s",
                    len(remaining),
                    self.address,
                    exc,
                )
                return
        self._sent_at = clock.now()
        self._writer = None

    def read_head(self, request_id: str, deadline: float) -> AnswerHead:
        """Read the head of the answer to a request; skip answers to other requests.

        Raise AnswerBroken if the server does not send one, and AnswerLate if it is not
        complete before the deadline.
        """
        self._reading_head = True
        self._head_bytes = 0
        for _ in range(PRE_ANSWER_MESSAGES_MAX):
            self._head_started_at = None
            event = self._next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken(f"{self.address} did not send the head of an answer")
            if event.status_code > STATUS_MAX:
                raise AnswerBroken(
                    f"{self.address} sent an invalid status: {event.status_code}"
                )
            head = read_answer(event.status_code, list(event.headers))
            if head.contradictory or _contains_status_line(event):
                raise AnswerBroken(f"{self.address} sent parts of several answers")
            if head.request_id == request_id or not (head.request_id or head.stamped):
                self._check_attribution(head)
                self._reading_head = False
                return head
            _LOGGER.warning(
                "Skipped an answer from %s to another request",
                self.address,
                extra={"request_id": request_id, "other": head.request_id},
            )
            if head.framing is Framing.CLOSE:
                raise AnswerBroken(
                    f"{self.address} sent an answer to another request that ends with "
                    "the connection"
                )
            self._skip_answer(deadline)
        raise AnswerBroken(f"{self.address} sent too many messages before the answer")

    def _check_attribution(self, head: AnswerHead) -> None:
        """Raise AnswerBroken if an answer may belong to an earlier request."""
        if not head.request_id and len(self._carried) > 1:
            raise AnswerBroken(
                f"{self.address} sent an answer without an ID on a connection that has "
                "carried other requests"
            )

    def read_data(self, deadline: float) -> bytes | None:
        """Read the next bytes of the body; return None at its end.

        Small chunks that have arrived together are joined.
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.EndOfMessage):
            if self.ended:
                self._check_end(deadline)
            return None
        if not isinstance(event, h11.Data):
            raise AnswerBroken(f"{self.address} ended its answer early")
        chunks = [bytes(event.data)]
        while len(chunks[-1]) < SMALL_PIECE_BYTES and not self._pace.is_turn_over():
            try:
                event = self._parse()
            except AnswerBroken as exc:
                self._pending = exc
                break
            if not isinstance(event, h11.Data):
                self._pending = event
                break
            chunks.append(bytes(event.data))
        return b"".join(chunks)

    def count_events(self, events: list[StreamEvent], deadline: float) -> None:
        """Count events of the answer; let other tasks run after some.

        Raise AnswerLate after the deadline.
        """
        for event in events:
            self._pace.count_piece(len(event.data))
        if self._pace.is_turn_over():
            self._end_turn(deadline)

    def _check_end(self, deadline: float) -> None:
        """Raise AnswerBroken unless the server itself ended an answer without length.

        That takes until it has received the whole request: before, the end may be that
        of a crashed server, which resets the connection at the next byte.
        """
        until = min(deadline, clock.now() + END_TIMEOUT_S)
        while _is_ended_by_peer(self._sock):
            if self._writer is None and not _unacknowledged_bytes(self._sock):
                return
            if clock.now() >= until:
                raise AnswerBroken(
                    f"{self.address} ended its answer without reading the request"
                )
            gevent.sleep(END_CHECK_INTERVAL_S)
        raise AnswerBroken(f"{self.address} reset the connection within its answer")

    def discard_body(self, bytes_max: int, deadline: float) -> bool:
        """Discard the rest of a body; return False if it is too large or too late."""
        size = 0
        try:
            while (data := self.read_data(deadline)) is not None:
                size += len(data)
                if size > bytes_max:
                    return False
        except (AnswerBroken, AnswerLate) as exc:
            _LOGGER.debug(
                "Failed to read the rest of an answer from %s: %s", self.address, exc
            )
            return False
        return True

    def prepare_for_reuse(self, head: AnswerHead, now: float) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        if head.closes or self._h11.trailing_data[0]:
            return False
        # A late copy of an answer without an ID could not be told from another answer.
        if not head.request_id or len(self._carried) >= CARRIED_REQUESTS_MAX:
            return False
        # For h11 a request is sent as soon as it is encoded.
        if self._writer is not None:
            _LOGGER.info(
                "Closing a connection to %s, which answered before it had read the "
                "request",
                self.address,
            )
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        # An idle connection must not keep the body of its last request.
        self._body = b""
        self._pending = None
        self.should_abandon = lambda: False
        self._set_probed(False)
        keep_s = IDLE_KEEP_S if head.keep_s is None else head.keep_s
        self.idle_until = now + keep_s - IDLE_MARGIN_S
        return self.idle_until > now

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may still be used."""
        if now >= self.idle_until:
            return False
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server closed the connection or sent bytes that belong to no request.
        return False

    def close(self) -> None:
        """Close the connection, which makes the server stop processing its request."""
        if self._writer is not None:
            self.abort()
            return
        self._sock.close()

    def abort(self) -> None:
        """Reset the connection and discard unsent bytes.

        Otherwise a slow link could go on sending a long request for seconds after its
        client has disconnected.
        """
        if self._writer is not None:
            self._writer.kill(block=False)
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._sock.close()

    def _skip_answer(self, deadline: float) -> None:
        """Discard the body of an unexpected answer and make h11 expect another one."""
        while self.read_data(deadline) is not None:
            pass
        try:
            self._h11.start_next_cycle()
            self._encode()
        except h11.LocalProtocolError as exc:
            raise AnswerBroken(
                f"{self.address} sent an unexpected answer: {exc}"
            ) from exc

    def _set_probed(self, probed: bool) -> None:
        """Set whether the kernel probes the link while no bytes come."""
        if probed is self._probed:
            return
        self._probed = probed
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, probed)
        except OSError as exc:
            # The next read or write reports the broken connection.
            _LOGGER.debug("Could not change probes of %s: %s", self.address, exc)

    def _parse(self) -> object:
        """Return what the received bytes contain next; raise AnswerBroken if needed."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise AnswerBroken(f"{self.address} sent an invalid answer: {exc}") from exc
        if isinstance(event, h11.Data):
            self._pace.count_piece(len(event.data))
        return event

    def _take_event(self) -> object:
        """Return the next event of the answer; raise AnswerBroken if needed."""
        if self._pending is None:
            return self._parse()
        event, self._pending = self._pending, None
        if isinstance(event, AnswerBroken):
            raise event
        return event

    def _next_event(self, deadline: float) -> object:
        while True:
            if self._pace.is_turn_over():
                self._end_turn(deadline)
            event = self._take_event()
            if event is not h11.NEED_DATA:
                return event
            remaining_s = deadline - clock.now()
            if remaining_s <= 0:
                raise AnswerLate(f"{self.address} did not answer before the deadline")
            if self._reading_head:
                self._check_head(clock.now())
            data = self._receive(remaining_s, deadline)
            self._server.last_byte_at = clock.now()
            self.ended = not data
            self._head_bytes += len(data)
            if self._head_started_at is None:
                self._head_started_at = self._server.last_byte_at
            self._h11.receive_data(data)
            self._pace.count_read(len(data))

    def _end_turn(self, deadline: float) -> None:
        """Let other tasks run; raise AnswerLate if a slow read passed the deadline."""
        was_slowed = self._pace.slowed_s > 0
        if not self._pace.end_turn():
            return
        now = clock.now()
        if not was_slowed:
            self.on_slowed()
        if now - self._server.slowed_log_at >= SLOWED_LOG_INTERVAL_S:
            self._server.slowed_log_at = now
            _LOGGER.warning(
                "Server %s sends its answers in many small pieces; reading it slowly",
                self._server.entry.server_id,
                extra={"server": self._server.entry.server_id, "address": self.address},
            )
        if now >= deadline:
            raise AnswerLate(f"{self.address} did not answer before the deadline")

    def _check_head(self, now: float) -> None:
        """Raise AnswerBroken if the head exceeds its size or time limit."""
        if self._head_bytes > PRE_ANSWER_BYTES_MAX:
            raise AnswerBroken(f"{self.address} sent too many bytes before the answer")
        if (
            self._head_started_at is not None
            and now - self._head_started_at > ANSWER_HEAD_TIMEOUT_S
        ):
            raise AnswerBroken(
                f"{self.address} did not complete the head of its answer in time"
            )

    def _receive(self, remaining_s: float, deadline: float) -> bytes:
        poll_s = min(remaining_s, UNRESPONSIVE_CHECK_INTERVAL_S)
        self._sock.settimeout(poll_s)
        started_at = clock.now()
        while True:
            try:
                return self._sock.recv(READ_BYTES)
            except TimeoutError as exc:
                now = clock.now()
                if now >= deadline:
                    raise AnswerLate(
                        f"{self.address} did not answer before the deadline"
                    ) from exc
                # The kernel's timeouts for a dead connection raise TimeoutError too,
                # before the socket's own timeout has passed.
                if now - started_at < poll_s * 0.9:
                    raise AnswerBroken(
                        f"{self.address}: connection failed: {exc}"
                    ) from exc
                if now - self._sent_at > PROBES_OFF_S:
                    self._set_probed(True)
                if self.should_abandon():
                    raise AnswerBroken(
                        f"{self.address} is unresponsive or must not answer"
                    ) from exc
                started_at = now
                poll_s = max(0.001, min(deadline - now, UNRESPONSIVE_CHECK_INTERVAL_S))
                self._sock.settimeout(poll_s)
            except OSError as exc:
                self.ended = True
                raise AnswerBroken(f"{self.address}: connection failed: {exc}") from exc


class ServerPool:
    """Hold idle connections and the number of open ones, by server incarnation.

    Connections are opened from `source_ip`, without one from the address that the
    kernel chooses.
    """

    __slots__ = ("_idle", "_open_counts", "_source_ip", "on_slowed", "opened")

    def __init__(self, source_ip: str = "") -> None:
        self._source_ip = source_ip
        self._idle: dict[object, list[ServerConnection]] = {}
        self._open_counts: dict[object, int] = {}
        self.opened = 0
        self.on_slowed: Callable[[], None] = lambda: None

    def acquire(
        self, server: Server, request_id: str, cap: int, now: float
    ) -> ServerConnection:
        """Return a connection that has not carried a request with this ID.

        Raise NotSent if none can be provided.
        """
        idle = self._idle.get(server.incarnation, [])
        carried: list[ServerConnection] = []
        found: ServerConnection | None = None
        while idle and found is None:
            conn = idle.pop()
            if conn.address != server.entry.address or not conn.is_usable(now):
                self.discard(conn)
            elif conn.may_carry(request_id):
                found = conn
            else:
                carried.append(conn)
        if found is None and carried and self.open_count(server) >= cap:
            # Makes room for a new connection.
            self.discard(carried.pop())
        idle += reversed(carried)
        if found is not None:
            return found
        if self.open_count(server) >= cap:
            raise NotSent(f"all {cap} connections to {server.entry.address} are in use")
        return self._connect(server)

    def open_count(self, server: Server) -> int:
        """Return the number of open connections to a server's incarnation."""
        return self._open_counts.get(server.incarnation, 0)

    def has_idle_connection(self, server: Server, now: float) -> bool:
        """Return whether an idle connection to a server is available."""
        idle = self._idle.get(server.incarnation)
        return bool(idle) and idle[-1].idle_until > now

    def release(self, conn: ServerConnection, head: AnswerHead, now: float) -> None:
        """Return a connection to the pool after a complete answer, or close it."""
        if conn.prepare_for_reuse(head, now):
            self._idle.setdefault(conn.incarnation, []).append(conn)
        else:
            self.discard(conn)

    def discard(self, conn: ServerConnection) -> None:
        """Close a connection and stop counting it as open."""
        conn.close()
        self._count_closed(conn)

    def abort(self, conn: ServerConnection) -> None:
        """Reset a connection whose request is no longer needed."""
        conn.abort()
        self._count_closed(conn)

    def _count_closed(self, conn: ServerConnection) -> None:
        remaining = self._open_counts.get(conn.incarnation, 0) - 1
        if remaining > 0:
            self._open_counts[conn.incarnation] = remaining
        else:
            self._open_counts.pop(conn.incarnation, None)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle too long."""
        for incarnation, idle in list(self._idle.items()):
            expired = [conn for conn in idle if now >= conn.idle_until]
            for conn in expired:
                idle.remove(conn)
                self.discard(conn)
            if not idle:
                del self._idle[incarnation]

    def probe(self, server: Server) -> None:
        """Connect to a server, and suspect it only if that fails."""
        # Prevents concurrent probes of the same server.
        server.suspect_until = clock.now() + PROBE_PAUSE_S
        was_suspected = server.suspected
        try:
            conn = self._connect(server)
        except Unreachable:
            server.suspect(server.suspect_until)
            server.unreachable_since = min(server.unreachable_since, clock.now())
            return
        now = clock.now()
        conn.idle_until = now + IDLE_KEEP_S - IDLE_MARGIN_S
        self._idle.setdefault(conn.incarnation, []).append(conn)
        server.reached_at = now
        server.suspected = False
        if not was_suspected:
            return
        _LOGGER.info(
            "Server %s is reachable again",
            server.entry.server_id,
            extra={"server": server.entry.server_id, "own_word": server.first_hand},
        )

    def has_crashed(self, server: Server) -> bool:
        """Tell whether the address of a server refuses connections.

        The port of a process closes with it. A server that only ended a connection, or
        that cannot be reached, does not refuse another one.
        """
        try:
            conn = self._connect(server)
        except Unreachable as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        server.reached_at = clock.now()
        conn.idle_until = server.reached_at + IDLE_KEEP_S - IDLE_MARGIN_S
        self._idle.setdefault(conn.incarnation, []).append(conn)
        return False

    def _connect(self, server: Server) -> ServerConnection:
        address = server.entry.address
        incarnation = server.incarnation
        self._open_counts[incarnation] = self._open_counts.get(incarnation, 0) + 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        conn = ServerConnection(sock, server)
        conn.on_slowed = self.on_slowed
        host, port = address.rsplit(":", 1)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_RECEIVE_BUFFER_BYTES
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._source_ip:
                _bind_source(sock, self._source_ip)
            sock.connect((host, int(port)))
            set_timeouts(sock)
        except OSError as exc:
            self.discard(conn)
            raise Unreachable(f"{address} is unreachable: {exc}") from exc
        except BaseException:
            self.discard(conn)
            raise
        self.opened += 1
        server.connected_at = clock.now()
        return conn


def _contains_status_line(event: h11.Response) -> bool:
    """Return whether another answer begins in the head, so that the first is torn."""
    values = (event.reason, *(value for _, value in event.headers))
    return any(STATUS_LINE.search(value) for value in values)


def _is_ended_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has ended a connection without resetting it.

    Of tasks that share a socket, only one gets the error of a reset; to the other it
    looks like an end of input.
    """
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of bytes that the peer has not acknowledged."""
    data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(data, sys.byteorder)


def _bind_source(sock: socket.socket, source_ip: str) -> None:
    """Bind a socket to a source address; its port is chosen when it connects."""
    with contextlib.suppress(OSError):
        # Without it, each bound socket reserves a port for all destinations.
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
    sock.bind((source_ip, 0))


def set_timeouts(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer is unresponsive.

    Keep-alive probes run only while an answer is awaited and all bytes of the request
    were acknowledged.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def connection_cap(max_connections: int, nodes: int) -> int:
    """Return the maximum number of connections from this node to one server."""
    return max(
        CONNECTIONS_MIN, int(max_connections * CONNECTION_FRACTION / max(1, nodes))
    )
