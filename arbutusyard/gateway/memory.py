"""Budget of bytes and connections that all clients of this process share.

It only decides: a connection reports what it holds for its client and is told to end
through the callback of its holding.
"""

import enum
import logging
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from arbutusyard.gateway.const import (
    CONNECTION_BYTES,
    PRESSURE_FRACTION,
    READ_BYTES,
    SLOW_AFTER_S,
    SMALL_BODY_BYTES,
    SMALL_BODY_FRACTION,
    SWEEP_INTERVAL_S,
    WRITE_BUFFER_BYTES,
)

_LOGGER = logging.getLogger(__name__)

MIB: Final = 1 << 20
# Memory in MiB and descriptors of a VM whose settings name none.
MEMORY_MB: Final = 128.0
MAX_FDS: Final = 1024
# Memory of a node without clients' bytes, in MiB: 43 measured with one server, 64
# expected in a fleet with 5,800 servers.
BASE_MIB: Final = 64
# Fraction of the remaining memory for clients' bytes. The rest is for the kernel's
# buffers of sockets, copies of the body at work and the allocator.
BUDGET_FRACTION: Final = 0.5
# Smallest budget in bytes, so that a small VM still serves a body of maximum size.
BUDGET_BYTES_MIN: Final = 8 * MIB
# Number of file descriptors not available to client connections: the platform keeps
# some for files, and connections to backend servers use the others.
RESERVED_DESCRIPTORS: Final = 600
# Number of client connections that a node with few descriptors accepts.
CONNECTIONS_MIN: Final = 64
# Minimum rate of an unfinished body under pressure, in bytes/s. 100 ordinary clients
# that share a link of 5 Mbit/s each send at 6,250.
BODY_BYTES_S: Final = 4096.0


class Phase(enum.Enum):
    """Name what a connection waits for."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"


class EndReason(enum.Enum):
    """Name why a connection is ended or a request refused."""

    MEMORY = "memory"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    CONNECTIONS = "connections"


class MemoryLimits(Struct, frozen=True):
    """Hold the limits of all client connections; see docs/OPERATIONS.md."""

    total_bytes: int
    connections: int
    body_bytes_s: float = BODY_BYTES_S


def make_limits(
    memory_mb: float,
    max_fds: int,
    client_memory_mb: float | None = None,
    client_connections: int | None = None,
    body_bytes_s: float = BODY_BYTES_S,
) -> MemoryLimits:
    """Return the limits of a VM, derived from its size unless they are given."""
    if client_memory_mb is None:
        client_memory_mb = (memory_mb - BASE_MIB) * BUDGET_FRACTION
    if client_connections is None:
        client_connections = max(CONNECTIONS_MIN, max_fds - RESERVED_DESCRIPTORS)
    total_bytes = max(BUDGET_BYTES_MIN, int(client_memory_mb * MIB))
    return MemoryLimits(total_bytes, client_connections, body_bytes_s)


class Holding(Struct, eq=False):
    """Hold what one connection occupies, in bytes, and since when, in seconds."""

    since: float
    # Ends the connection; called at most once.
    end: Callable[["EndReason"], None]
    phase: Phase = Phase.IDLE
    body: int = 0
    pipelined: int = 0
    answer: int = 0
    # Time at which the client stopped taking an answer; None if it takes all.
    blocked_since: float | None = None
    ended: EndReason | None = None

    @property
    def size(self) -> int:
        """Return the number of bytes charged to the budget."""
        size = CONNECTION_BYTES + self.body + self.pipelined + self.answer
        if self.phase is Phase.READING and self.body:
            size += READ_BYTES
        if self.blocked_since is not None:
            size += WRITE_BUFFER_BYTES
        return size

    def waiting_since(self) -> float | None:
        """Return the time since which this node waits for the client, if it does."""
        if self.phase is Phase.SERVING:
            return self.blocked_since
        return self.since


class MemoryBudget:
    """Share the memory for clients' bytes among all client connections."""

    __slots__ = (
        "_holdings",
        "_pressed",
        "_swept_at",
        "limits",
        "on_end",
        "used",
    )

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        # In order of their opening.
        self._holdings: dict[Holding, None] = {}
        self._pressed = False
        self._swept_at = float("-inf")
        self.used = 0
        self.on_end: Callable[[EndReason], None] = lambda reason: None

    @property
    def connections(self) -> int:
        """Return the number of open connections, without those told to end."""
        return len(self._holdings)

    @property
    def is_pressed(self) -> bool:
        """Tell whether slow bodies are refused and little is read in advance."""
        return self.used > PRESSURE_FRACTION * self.limits.total_bytes

    def open(self, end: Callable[[EndReason], None], now: float) -> Holding | None:
        """Add a connection; return None if no other one can be ended for it."""
        while len(self._holdings) >= self.limits.connections:
            if not self._end_longest_waiting(now):
                return None
        while not self._fits(CONNECTION_BYTES):
            if not self._end_worst(now) and not self._end_longest_waiting(now):
                return None
        holding = Holding(now, end)
        self._holdings[holding] = None
        self.used += holding.size
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection."""
        if holding in self._holdings:
            del self._holdings[holding]
            self.used -= holding.size

    def wait_for_request(self, holding: Holding, pipelined: int, now: float) -> None:
        """Release a request; `pipelined` bytes of the next one were read."""
        self._update(holding, phase=Phase.IDLE, body=0, answer=0, pipelined=pipelined)
        holding.since = now

    def begin_request(self, holding: Holding, now: float) -> None:
        """Record that the first byte of a request was read."""
        if holding.phase is Phase.IDLE:
            self._update(holding, phase=Phase.READING)
            holding.since = now

    def begin_serving(self, holding: Holding, pipelined: int = 0) -> None:
        """Record that a request is complete; from now on its body is kept.

        `pipelined` bytes of the next requests have been read with it.
        """
        self._update(holding, phase=Phase.SERVING, pipelined=pipelined)

    def add_body(self, holding: Holding, size: int, now: float) -> EndReason | None:
        """Charge bytes of a body; return why they must be refused if they must be."""
        self._update(holding, body=holding.body + size)
        if holding.ended is not None:
            return holding.ended
        self._sweep(now)
        is_large = holding.body > SMALL_BODY_BYTES
        fraction = SMALL_BODY_FRACTION if is_large else 1.0
        while holding.ended is None and not self._fits(0, fraction):
            worst = self._find_worst(now, holding)
            if worst is None or worst is holding:
                self.on_end(EndReason.MEMORY)
                return EndReason.MEMORY
            self._end(worst, EndReason.MEMORY, now)
        return holding.ended

    def add_pipelined(self, holding: Holding, size: int) -> None:
        """Charge bytes that were read while a request is served."""
        self._update(holding, pipelined=holding.pipelined + size)

    def set_answer(self, holding: Holding, size: int, now: float) -> bool:
        """Charge the bytes of an answer; return False if memory is short."""
        self._update(holding, answer=size)
        while not self._fits(0):
            if not self._end_worst(now):
                return False
        return True

    def set_blocked(self, holding: Holding, is_blocked: bool, now: float) -> None:
        """Record whether the client takes its answer; charge the kernel's buffer."""
        self._update(holding, blocked_since=now if is_blocked else None)
        while is_blocked and not self._fits(0):
            if not self._end_worst(now):
                return

    def _update(self, holding: Holding, **changes: object) -> None:
        before = holding.size
        for name, value in changes.items():
            setattr(holding, name, value)
        if holding in self._holdings:
            self.used += holding.size - before

    def _fits(self, size: int, fraction: float = 1.0) -> bool:
        return self.used + size <= fraction * self.limits.total_bytes

    def _is_slow(self, holding: Holding, now: float) -> bool:
        """Tell whether an unfinished body, or a reader, is below the minimum rate."""
        if holding.blocked_since is not None:
            return now - holding.blocked_since > SLOW_AFTER_S
        age_s = now - holding.since
        return age_s > SLOW_AFTER_S and holding.body < self.limits.body_bytes_s * age_s

    def _find_worst(self, now: float, asking: Holding | None = None) -> Holding | None:
        """Return the unfinished request or blocked reader that is to end first.

        Small bodies that arrive in time are the last: they are ordinary clients'.
        """
        found, found_rank = None, (False, 0.0)
        for holding in self._holdings:
            since = holding.waiting_since()
            if since is None or holding.phase is Phase.IDLE:
                continue
            is_slow = self._is_slow(holding, now)
            if holding.blocked_since is not None and not is_slow:
                continue
            is_suspect = is_slow or holding.body > SMALL_BODY_BYTES
            is_old = now - since > SLOW_AFTER_S
            if not (is_suspect or is_old or holding is asking):
                continue
            rank = (is_suspect, holding.size * max(now - since, 0.001))
            if rank > found_rank:
                found, found_rank = holding, rank
        return found

    def _end_worst(self, now: float) -> bool:
        worst = self._find_worst(now)
        if worst is not None:
            self._end(worst, EndReason.MEMORY, now)
        return worst is not None

    def _end_longest_waiting(self, now: float) -> bool:
        """End the connection whose client has kept this node waiting the longest."""
        waiting = [
            (since, number)
            for number, holding in enumerate(self._holdings)
            if (since := holding.waiting_since()) is not None
        ]
        if not waiting:
            return False
        _, number = min(waiting)
        self._end(list(self._holdings)[number], EndReason.CONNECTIONS, now)
        return True

    def _sweep(self, now: float) -> None:
        """End slow bodies and slow readers while the budget is under pressure."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        if self.is_pressed is not self._pressed:
            self._pressed = self.is_pressed
            _LOGGER.info(
                "Clients' bytes are %s",
                "under pressure" if self._pressed else "no longer under pressure",
                extra=self.usage(),
            )
        if not self._pressed:
            return
        for holding in list(self._holdings):
            if holding.phase is Phase.IDLE or holding.waiting_since() is None:
                continue
            if self._is_slow(holding, now):
                self._end(holding, EndReason.SLOW_BODY, now)

    def _end(self, holding: Holding, reason: EndReason, now: float) -> None:
        """Tell a connection to end; its bytes count as released."""
        if holding.blocked_since is not None:
            reason = EndReason.SLOW_READER
        self.close(holding)
        holding.ended = reason
        self.on_end(reason)
        _LOGGER.info(
            "Ending a client's connection: %s",
            reason.value,
            extra={
                "phase": holding.phase.value,
                "size_bytes": holding.size,
                "waiting_s": round(now - (holding.waiting_since() or now), 3),
                **self.usage(),
            },
        )
        holding.end(reason)

    def usage(self) -> dict[str, int]:
        """Return the log fields of the budget's use."""
        return {
            "used_bytes": self.used,
            "budget_bytes": self.limits.total_bytes,
            "client_connections": self.connections,
        }
