"""Read requests from a client's connection and write answers to it."""

import contextlib
import logging
import socket
from collections.abc import Callable

import gevent
import h11
from gevent import Greenlet

from arbutusyard import clock
from arbutusyard.gateway.const import (
    BODY_PIECE_BYTES,
    CALLER_WRITE_TIMEOUT_S,
    NO_LINGER,
    PIPELINED_BYTES,
    PIPELINED_PRESSED_BYTES,
    READ_BYTES,
    RETRY_AFTER_S,
)
from arbutusyard.gateway.exceptions import BadRequest, CallerGone, Overloaded
from arbutusyard.gateway.memory import EndReason, Holding, MemoryBudget, Phase
from arbutusyard.gateway.models import CallerRequest, IngressLimits
from arbutusyard.http1.const import PIECES_PER_TURN, SMALL_PIECE_BYTES
from arbutusyard.http1.pacing import PACER
from arbutusyard.http1.parser import Http1Parser

_LOGGER = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]


class CallerConnection:
    """Read requests and write answers on the connection of one client."""

    __slots__ = (
        "_eof",
        "_h11",
        "_has_length",
        "_holding",
        "_limits",
        "_memory",
        "_pieces",
        "_pipelined_bytes",
        "_sock",
        "sent_head",
    )

    def __init__(
        self,
        sock: socket.socket,
        limits: IngressLimits,
        memory: MemoryBudget,
        holding: Holding,
    ) -> None:
        self._sock = sock
        self._memory = memory
        self._holding = holding
        holding.end = self._end_early
        self._limits = limits
        self._h11 = Http1Parser(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._pipelined_bytes = 0
        # The part of an unfinished body that has been read.
        self._pieces: list[bytearray] = []
        self._eof = False
        self._has_length = False
        self.sent_head = False

    def read_request(self) -> CallerRequest | None:
        """Read a request; return None if the client disconnected or stayed idle.

        Raise BadRequest if the received bytes are not an acceptable request, Overloaded
        if its client holds too much memory or too many descriptors.
        """
        pipelined = len(self._h11.trailing_data[0])
        self._memory.wait_for_request(self._holding, pipelined, clock.now())
        head = self._read_head()
        if head is None:
            return None
        body = self._read_body()
        # Bytes of the next requests that came with this one stay in the HTTP library.
        self._pipelined_bytes = len(self._h11.trailing_data[0])
        self._memory.begin_serving(self._holding, self._pipelined_bytes)
        target = head.target
        return CallerRequest(
            request_id="",
            method=head.method,
            target=target,
            host="",
            path=target.split(b"?", 1)[0].decode("latin-1"),
            headers=list(head.headers),
            body=body,
            arrived_at=clock.now(),
        )

    def watch(self, on_disconnect: Callable[[], None]) -> Greenlet:
        """Call `on_disconnect` if the client disconnects during its request."""
        return gevent.spawn(self._watch_for_eof, on_disconnect)

    def _watch_for_eof(self, on_disconnect: Callable[[], None]) -> None:
        self._sock.settimeout(None)
        while (allowed := self._allowed_pipelined_bytes()) > 0:
            try:
                data = self._sock.recv(allowed)
            except TimeoutError:
                # A concurrent write on this socket has set its own timeout.
                self._sock.settimeout(None)
                continue
            except OSError:
                data = b""
            if not data:
                self._eof = True
                on_disconnect()
                return
            self._pipelined_bytes += len(data)
            self._memory.add_pipelined(self._holding, len(data))
            self._h11.receive_data(data)

    def _allowed_pipelined_bytes(self) -> int:
        """Return how many bytes of the next requests may be read now."""
        pressed = self._memory.is_pressed
        limit = PIPELINED_PRESSED_BYTES if pressed else PIPELINED_BYTES
        return limit + 1 - self._pipelined_bytes

    def send_head(self, status: int, headers: Headers) -> None:
        """Write the head of an answer."""
        self.sent_head = True
        self._has_length = any(name == b"content-length" for name, _ in headers)
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data: bytes) -> None:
        """Write a chunk of an answer's body."""
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """Write the end of an answer."""
        self._send(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer at once."""
        self.sent_head = True
        head = h11.Response(
            status_code=status,
            headers=[*headers, (b"content-length", b"%d" % len(body))],
        )
        data = self._h11.send(head)
        if len(body) > READ_BYTES:
            # Joining them would hold a copy of the body until it is written.
            self._write(data)
            data = self._h11.send(h11.Data(data=body))
        elif body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self._write(data)

    def hold_answer(self, size: int) -> bool:
        """Charge buffered bytes of an answer; return False if memory is short."""
        return self._memory.set_answer(self._holding, size, clock.now())

    def _end_early(self, reason: EndReason) -> None:
        """Wake up the task that waits for this client, which then ends the connection.

        The end of input is seen only after the received bytes, whose request is refused
        as long as no server has it.
        """
        # Released here, as the task may run only after others have filled the memory.
        self._pieces.clear()
        how = socket.SHUT_RD
        if self._holding.phase is Phase.SERVING:
            how = socket.SHUT_RDWR
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    def is_idle(self) -> bool:
        """Return whether no byte of the next request has been received."""
        if self._h11.their_state is not h11.IDLE or self._h11.trailing_data[0]:
            return False
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0.0)
        try:
            # With nothing to read recv raises an error; b"" means that the client has
            # disconnected.
            return not self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True
        finally:
            self._sock.settimeout(timeout_s)

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, with no unread bytes before."""
        if self._eof:
            return True
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0.0)
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self._sock.settimeout(timeout_s)

    def has_received_more(self) -> bool:
        """Return whether bytes after the request have been read, which are due."""
        return bool(self._h11.trailing_data[0])

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        if self._eof or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.sent_head = False
        return True

    def close(self) -> None:
        """Close the connection; reset it if its end would complete a broken answer."""
        self._memory.close(self._holding)
        with contextlib.suppress(OSError):
            # The kernel would keep the unsent bytes of a slow reader for minutes.
            is_slow_reader = self._holding.ended is EndReason.SLOW_READER
            if is_slow_reader or self._end_completes_answer():
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            else:
                self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _end_completes_answer(self) -> bool:
        """Tell whether an answer has begun that only its connection's end delimits."""
        if self._h11.our_state is not h11.SEND_BODY or self._has_length:
            return False
        # Clients of older versions get no chunks.
        return self._h11.their_http_version < b"1.1"

    def _read_head(self) -> h11.Request | None:
        timeout_s = self._limits.idle_timeout_s
        started_at: float | None = None
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._memory.begin_request(self._holding, clock.now())
                self._check_ended()
                self._check_head(event)
                return event
            if event is not h11.NEED_DATA:
                return None
            if started_at is None and self._h11.trailing_data[0]:
                started_at = clock.now()
                self._memory.begin_request(self._holding, started_at)
            if started_at is not None:
                self._check_ended()
            if started_at is not None:
                elapsed_s = clock.now() - started_at
                timeout_s = self._limits.header_timeout_s - elapsed_s
            if timeout_s <= 0 or not self._receive(timeout_s):
                if started_at is None:
                    return None
                raise BadRequest(408, "timed out while reading the request's head")
            if started_at is not None:
                self._check_ended()

    def _check_head(self, head: h11.Request) -> None:
        size = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
        if size > self._limits.header_bytes:
            raise BadRequest(431, "the request's head is too large")
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise BadRequest(
                400, "the request has both Content-Length and Transfer-Encoding"
            )
        if names.count(b"host") != 1:
            raise BadRequest(400, "the request does not have exactly one Host header")
        length = dict(head.headers).get(b"content-length", b"0")
        if int(length) > self._limits.body_bytes:
            raise BadRequest(413, "the request's body is too large")

    def _read_body(self) -> bytes:
        pieces = self._pieces
        size = charged = pieces_in_turn = 0
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            event = self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise BadRequest(413, "the request's body is too large")
                if pieces and len(pieces[-1]) + len(event.data) <= BODY_PIECE_BYTES:
                    pieces[-1] += event.data
                else:
                    pieces.append(bytearray(event.data))
                pieces_in_turn += len(event.data) < SMALL_PIECE_BYTES
                if pieces_in_turn < PIECES_PER_TURN:
                    continue
                pieces_in_turn = 0
                # Clients have no rate of small pieces at which they are read at once.
                PACER.pause()
            elif event is h11.NEED_DATA:
                if not self._receive(self._limits.idle_timeout_s):
                    raise BadRequest(408, "timed out while reading the request's body")
            elif not isinstance(event, h11.EndOfMessage):
                raise CallerGone("the client disconnected while sending its request")
            self._charge_body(size - charged)
            charged = size
            if isinstance(event, h11.EndOfMessage):
                body = b"".join(pieces)
                pieces.clear()
                return body

    def _charge_body(self, size: int) -> None:
        reason = self._memory.add_body(self._holding, size, clock.now())
        if reason is not None:
            self._refuse(reason)

    def _check_ended(self) -> None:
        """Raise Overloaded if this connection has been told to end."""
        if self._holding.ended is not None:
            self._refuse(self._holding.ended)

    def _refuse(self, reason: EndReason) -> None:
        if reason is EndReason.SLOW_BODY:
            raise Overloaded(408, reason.value, None)
        raise Overloaded(503, reason.value, RETRY_AFTER_S)

    def _next_event(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            if self._eof:
                raise CallerGone(
                    "the client disconnected while sending its request"
                ) from exc
            raise BadRequest(exc.error_status_hint, str(exc)) from exc

    def _receive(self, timeout_s: float) -> bool:
        """Read more bytes; return False on timeout."""
        self._sock.settimeout(timeout_s)
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return False
        except OSError as exc:
            raise CallerGone(f"connection to the client failed: {exc}") from exc
        if not data:
            self._eof = True
        self._h11.receive_data(data)
        return True

    def _send(self, event: object) -> None:
        self._write(self._h11.send(event))

    def _write(self, data: bytes) -> None:
        try:
            self._sock.settimeout(0.0)
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            finally:
                self._sock.settimeout(CALLER_WRITE_TIMEOUT_S)
            if sent < len(data):
                self._write_rest(memoryview(data)[sent:])
        except OSError as exc:
            raise CallerGone(f"connection to the client failed: {exc}") from exc

    def _write_rest(self, data: memoryview) -> None:
        """Write what the kernel's buffer did not take at once."""
        held = self._holding.answer
        self._memory.set_answer(self._holding, max(held, len(data)), clock.now())
        until = clock.now() + CALLER_WRITE_TIMEOUT_S
        try:
            while data:
                now = clock.now()
                # Set again after each part: a client that goes on reading is not slow.
                self._memory.set_blocked(self._holding, True, now)
                self._sock.settimeout(max(0.001, until - now))
                data = data[self._sock.send(data) :]
        finally:
            self._memory.set_blocked(self._holding, False, clock.now())
            self._memory.set_answer(self._holding, held, clock.now())
