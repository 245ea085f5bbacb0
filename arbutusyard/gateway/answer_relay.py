"""Relay answers of servers and of other nodes to clients."""

from typing import TYPE_CHECKING, Final

from arbutusyard import clock
from arbutusyard.gateway.admission import Admission
from arbutusyard.gateway.const import (
    GAP_MARGIN_S,
    GAP_MIN_S,
    GAP_OBJECTIVE_FACTOR,
    GAP_TARGET_FACTOR,
    READ_BYTES,
)
from arbutusyard.gateway.events import EventSplitter, StreamEvent
from arbutusyard.gateway.exceptions import AnswerBroken, AnswerLate
from arbutusyard.gateway.models import AnswerHead, Framing, Route
from arbutusyard.gateway.pool import ServerConnection
from arbutusyard.http1.const import PIECES_PER_TURN, SLOWED_EVENT_S
from arbutusyard.platform.headers import Headers, stream_headers

if TYPE_CHECKING:
    from arbutusyard.gateway.exchange import Exchange

# Size up to which an answer is buffered until it is complete, in bytes.
BUFFERED_ANSWER_BYTES_MAX: Final = 1_048_576


class StreamObserver:
    """Observe the events of one attempt at a stream."""

    def begin(self, now: float) -> None:
        """Handle the attempt's first event, before the head of the answer is sent."""

    def relay(self, events: list[StreamEvent], now: float) -> None:
        """Handle events that are sent to the client next."""


class AnswerRelay:
    """Relay answers, and record in each exchange what its client has received.

    All bodies go through it, so that an answer that breaks off is continued after what
    the client has, or not at all.
    """

    __slots__ = ("_admission",)

    def __init__(self, admission: Admission) -> None:
        self._admission = admission

    def with_connection_header(self, headers: Headers) -> Headers:
        """Return the headers, with `Connection: close` if this node is draining."""
        if not self._admission.leaving:
            return headers
        return [*headers, (b"connection", b"close")]

    def check_head(
        self, exchange: "Exchange", conn: ServerConnection, head: AnswerHead
    ) -> None:
        """Raise AnswerBroken if an answer is malformed or can't continue a stream."""
        if head.encoded:
            raise AnswerBroken(f"{conn.address} sent an encoded body")
        if exchange.conn.sent_head and head.status >= 300:
            raise AnswerBroken(f"status {head.status} does not continue the stream")
        if head.status < 300 and not head.stamped:
            raise AnswerBroken(f"{conn.address} sent no Response-Stamp header")

    def relay_stream(
        self,
        exchange: "Exchange",
        conn: ServerConnection,
        head: AnswerHead,
        observer: StreamObserver,
    ) -> None:
        """Relay complete events as they arrive, without those that the client has.

        Raise AnswerBroken if the stream ends inside an event, however it is framed.
        """
        splitter = EventSplitter()
        delivery = exchange.delivery
        caller = exchange.conn
        gap_limit_s = client_gap_s(exchange.route) + GAP_MARGIN_S
        event_at = clock.now()
        slowed_s = conn.slowed_s
        has_events = False
        while True:
            data = _read_event_data(conn, exchange.deadline, event_at + gap_limit_s)
            if data is None:
                break
            while complete := splitter.feed(data, PIECES_PER_TURN):
                data = b""
                events, gap = delivery.sequence.accept(complete)
                if events:
                    event_at = clock.now()
                    slowed_s = conn.slowed_s
                    if not has_events:
                        has_events = True
                        observer.begin(event_at)
                    self._relay_events(exchange, head, events, observer, event_at)
                if gap:
                    raise AnswerBroken(f"{conn.address} sent {gap}")
                conn.count_events(complete, exchange.deadline)
            if conn.slowed_s - slowed_s > SLOWED_EVENT_S:
                raise AnswerBroken(f"{conn.address} sent an event in too many pieces")
        delivery.incomplete_bytes = len(splitter.remaining())
        if splitter.is_inside_event():
            raise AnswerBroken(f"{conn.address} ended its stream inside an event")
        if head.framing is Framing.CLOSE and not has_events:
            raise AnswerBroken(f"{conn.address} ended its stream before an event")
        if not caller.sent_head:
            caller.send_head(head.status, self._stream_headers(exchange, head))
        if splitter.remaining():
            caller.send_data(splitter.remaining())
        caller.end()

    def _stream_headers(self, exchange: "Exchange", head: AnswerHead) -> Headers:
        """Return the headers of a stream; another node is told where it began."""
        headers = head.headers
        version, placement = exchange.software_version, exchange.placement
        if exchange.req.from_node and version is not None and placement is not None:
            server = placement.server.incarnation
            headers = [*headers, *stream_headers(exchange.service, version, server)]
        return self.with_connection_header(headers)

    def _relay_events(
        self,
        exchange: "Exchange",
        head: AnswerHead,
        events: list[StreamEvent],
        observer: StreamObserver,
        now: float,
    ) -> None:
        caller, delivery = exchange.conn, exchange.delivery
        if delivery.first_event_at is None:
            delivery.first_event_at = now
        if not caller.sent_head:
            caller.send_head(head.status, self._stream_headers(exchange, head))
        observer.relay(events, now)
        caller.send_data(b"".join(event.data for event in events))
        delivery.events += len(events)

    def read_or_relay_body(
        self, exchange: "Exchange", conn: ServerConnection, head: AnswerHead
    ) -> bytes | None:
        """Return a complete body; relay a large one as it arrives and return None.

        As long as a body is buffered, another answer can replace it.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            while (data := conn.read_data(exchange.deadline)) is not None:
                size += len(data)
                chunks.append(data)
                is_short = not exchange.conn.hold_answer(size) and size > READ_BYTES
                if is_short or size > BUFFERED_ANSWER_BYTES_MAX:
                    self._relay_large_body(exchange, conn, head, chunks)
                    return None
        except (AnswerBroken, AnswerLate):
            exchange.conn.hold_answer(0)
            raise
        return b"".join(chunks)

    def _relay_large_body(
        self,
        exchange: "Exchange",
        conn: ServerConnection,
        head: AnswerHead,
        buffered: list[bytes],
    ) -> None:
        caller = exchange.conn
        headers = self.with_connection_header(head.headers)
        if head.length is not None:
            headers = [*headers, (b"content-length", b"%d" % head.length)]
        exchange.delivery.has_body = True
        caller.send_head(head.status, headers)
        while buffered:
            caller.send_data(buffered.pop(0))
        caller.hold_answer(0)
        while (data := conn.read_data(exchange.deadline)) is not None:
            caller.send_data(data)
        caller.end()

    def answer(self, exchange: "Exchange", head: AnswerHead, body: bytes) -> None:
        """Relay a complete answer."""
        exchange.conn.answer(
            head.status, self.with_connection_header(head.headers), body
        )


def client_gap_s(route: Route) -> float:
    """Return the longest gap between events, in seconds, that a client waits for."""
    gaps = (
        GAP_MIN_S,
        GAP_OBJECTIVE_FACTOR * route.objective_s,
        GAP_TARGET_FACTOR * route.gap_s,
    )
    return max(gaps)


def _read_event_data(
    conn: ServerConnection, deadline: float, event_until: float
) -> bytes | None:
    """Read the next bytes of a stream; raise AnswerBroken when it has stalled."""
    try:
        return conn.read_data(min(deadline, event_until))
    except AnswerLate as exc:
        if event_until < deadline:
            raise AnswerBroken(
                f"{conn.address} sent no complete event in time"
            ) from exc
        raise
