"""Run attempts at one request side by side; only the first to respond is relayed."""

from collections.abc import Callable

import gevent
from gevent import Greenlet
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.gateway.caller import CallerConnection, Headers
from arbutusyard.gateway.exceptions import AttemptLost
from arbutusyard.gateway.exchange import AttemptResult, Exchange
from arbutusyard.gateway.router import Placement

Dispatch = Callable[[Exchange, Placement], AttemptResult | None]

# Results in the order in which they decide how a request goes on, the last one first.
RESULT_ORDER = (
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_RUN,
    AttemptResult.FAILED,
    AttemptResult.BROKEN,
    AttemptResult.LATE,
)


class AttemptConnection:
    """Write to the client for one attempt, which wins by its first write."""

    __slots__ = ("_attempt", "_conn")

    def __init__(self, conn: CallerConnection, attempt: "Attempt") -> None:
        self._conn = conn
        self._attempt = attempt

    @property
    def sent_head(self) -> bool:
        """Return whether this attempt has written the head of its answer."""
        return self._attempt.has_won and self._conn.sent_head

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self._conn.has_disconnected()

    def hold_answer(self, size: int) -> bool:
        """Charge buffered bytes of an answer, beside those of the other attempts."""
        return self._conn.hold_answer(self._attempt.hold_answer(size))

    def send_head(self, status: int, headers: Headers) -> None:
        """Write the head of an answer; raise AttemptLost if another one has begun."""
        self._attempt.win(status)
        self._conn.send_head(status, headers)

    def send_data(self, data: bytes) -> None:
        """Write a chunk of an answer's body; raise AttemptLost if it is not relayed."""
        self._attempt.check_won()
        self._conn.send_data(data)

    def end(self) -> None:
        """Write the end of an answer; raise AttemptLost if it is not relayed."""
        self._attempt.check_won()
        self._conn.end()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer; raise AttemptLost if another one has begun."""
        self._attempt.win(status)
        self._conn.answer(status, headers, body)


class Attempt:
    """Hold one attempt, its own copy of the request's progress, and how it ended."""

    __slots__ = (
        "_held_bytes",
        "_race",
        "ended_at",
        "error",
        "exchange",
        "held_tokens",
        "placement",
        "responded_at",
        "result",
        "status",
        "task",
        "tokens",
    )

    def __init__(self, race: "Race", placement: Placement, executions: int) -> None:
        origin = race.exchange
        self._race = race
        # Buffered bytes of this attempt's answer.
        self._held_bytes = 0
        # KV memory counted at the server for this attempt alone, in tokens.
        self.held_tokens = 0
        self.placement = placement
        # Tokens to prefill, which the placement does not count any more afterwards.
        self.tokens = placement.prefill_tokens
        self.exchange = replace(
            origin,
            conn=AttemptConnection(origin.conn, self),
            executions=executions,
            excluded=set(origin.excluded),
            delivery=origin.delivery.fork(),
            placement=placement,
        )
        self.task: Greenlet | None = None
        # None if the attempt answered, or if it was cancelled.
        self.result: AttemptResult | None = None
        self.error: Exception | None = None
        self.status = 0
        self.responded_at: float | None = None
        self.ended_at = 0.0

    @property
    def has_won(self) -> bool:
        """Return whether this attempt's answer is relayed."""
        return self._race.winner is self

    @property
    def was_sent(self) -> bool:
        """Return whether the attempt may have reached its server."""
        return self.placement.sent_at > 0 and self.result is not AttemptResult.NOT_SENT

    @property
    def is_cancelled(self) -> bool:
        """Return whether the attempt was ended before it responded or failed."""
        return self.result is None and self.error is None and not self.has_won

    def hold_answer(self, size: int) -> int:
        """Record buffered bytes; return those of all attempts of the race."""
        self._held_bytes = size if self._race.winner in (None, self) else 0
        return sum(attempt._held_bytes for attempt in self._race.attempts)

    def win(self, status: int) -> None:
        """Become the attempt that is relayed, and cancel the others.

        Raise AttemptLost if another attempt is.
        """
        if self._race.winner is None:
            self._race.winner = self
            self.status = status
            self.responded_at = clock.now()
            self._race.cancel_others(self)
        self.check_won()

    def check_won(self) -> None:
        """Raise AttemptLost if this attempt is not the one that is relayed."""
        if not self.has_won:
            raise AttemptLost("another attempt has begun its answer")

    def run(self, dispatch: Dispatch) -> None:
        """Make the attempt and keep its result."""
        try:
            self.result = dispatch(self.exchange, self.placement)
        except AttemptLost:
            pass
        except Exception as exc:
            self.error = exc
            if self._race.winner in (None, self):
                self._race.cancel_others(self)
        finally:
            self.ended_at = clock.now()


class Race:
    """Run a first and perhaps an extra attempt at one request."""

    __slots__ = ("_dispatch", "attempts", "exchange", "winner")

    def __init__(self, exchange: Exchange, dispatch: Dispatch) -> None:
        self._dispatch = dispatch
        self.exchange = exchange
        self.attempts: list[Attempt] = []
        self.winner: Attempt | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the attempts so far are all waiting for their response."""
        return self.winner is None and not any(a.task.ready() for a in self.attempts)

    def start(self, placement: Placement) -> Attempt:
        """Start an attempt; each other one counts as one that may have run."""
        for other in self.attempts:
            other.exchange.executions += 1
        executions = self.exchange.executions + len(self.attempts)
        attempt = Attempt(self, placement, executions)
        self.attempts.append(attempt)
        attempt.task = gevent.spawn(attempt.run, self._dispatch)
        return attempt

    def cancel_others(self, attempt: Attempt) -> None:
        """Cancel the other attempts, which resets their connections."""
        for other in self.attempts:
            if other is not attempt:
                other._held_bytes = 0
                other.task.kill(block=False)

    def join(self) -> None:
        """Wait until every attempt has ended."""
        gevent.joinall([attempt.task for attempt in self.attempts])

    def end(self) -> None:
        """Cancel what still runs and wait until it has ended."""
        gevent.killall([attempt.task for attempt in self.attempts])

    def deciding(self) -> Attempt:
        """Return the attempt that decides how the request goes on."""
        if self.winner is not None:
            return self.winner
        for attempt in self.attempts:
            if attempt.error is not None:
                return attempt
        failed = [a for a in self.attempts if a.result is not None]
        return max(
            failed, key=lambda a: RESULT_ORDER.index(a.result), default=self.attempts[0]
        )

    def merge(self) -> None:
        """Apply the ended attempts to the progress of the request.

        The result of the deciding attempt is left to the caller to count.
        """
        exchange = self.exchange
        deciding = self.deciding()
        for attempt in self.attempts:
            branch = attempt.exchange
            exchange.excluded |= branch.excluded
            exchange.request_key = exchange.request_key or branch.request_key
            if branch.fallback_answer is not None:
                exchange.fallback_answer = branch.fallback_answer
            if attempt is not deciding:
                # It was slow, so a retry goes elsewhere.
                exchange.excluded.add(attempt.placement.server.entry.server_id)
                _count_failure(exchange, attempt)
        branch = deciding.exchange
        exchange.placement = deciding.placement
        exchange.head = branch.head
        if self.winner is None:
            return
        exchange.delivery = branch.delivery
        exchange.software_version = branch.software_version


def _count_failure(exchange: Exchange, attempt: Attempt) -> None:
    """Count an attempt that another one replaced."""
    match attempt.result:
        case AttemptResult.NOT_SENT:
            exchange.connect_failures += 1
        case AttemptResult.NOT_RUN:
            exchange.attempts += 1
        case AttemptResult.BROKEN | AttemptResult.FAILED:
            exchange.attempts += 1
            exchange.executions += 1
        case _ if attempt.was_sent:
            exchange.executions += 1
