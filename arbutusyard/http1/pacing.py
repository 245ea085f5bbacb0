"""Bound the share of the processor that peers with many small pieces may take.

Reads of bytes that have arrived suspend no task, so a reader has to let other tasks run
by itself, however its peer splits what it sends.
"""

from typing import Final

import gevent
from msgspec import Struct

from arbutusyard import clock
from arbutusyard.http1.const import (
    BYTES_PER_TURN,
    CONNECTION_PIECES_BURST,
    CONNECTION_PIECES_S,
    PAUSE_FACTOR,
    PAUSE_MAX_S,
    PAUSE_MIN_S,
    PEER_PIECES_BURST,
    PEER_PIECES_S,
    PIECES_PER_TURN,
    SMALL_PIECE_BYTES,
    YIELD_S,
)


class PieceBudget(Struct):
    """Count the small pieces that a peer sends against a rate."""

    rate_s: float
    burst: float
    _used: float = 0.0
    _updated_at: float = 0.0

    def take(self, pieces: int, now: float) -> bool:
        """Charge pieces; return False if the peer is beyond its rate."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._used = max(0.0, self._used - elapsed_s * self.rate_s) + pieces
        if self._used <= self.burst:
            return True
        # What is read slowly anyway must not count against later pieces.
        self._used = self.burst
        return False


def peer_budget() -> PieceBudget:
    """Return the budget that all connections to one peer share."""
    return PieceBudget(PEER_PIECES_S, PEER_PIECES_BURST)


class ReadPacer:
    """Share the time for peers beyond their rate among all readers of a process."""

    __slots__ = ("pausing",)

    def __init__(self) -> None:
        # Number of readers that pause now.
        self.pausing = 0

    def pause(self, turn_s: float = 0.0) -> None:
        """Let other tasks run after a turn of `turn_s` seconds beyond a peer's rate."""
        share_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, PAUSE_FACTOR * turn_s))
        self.pausing += 1
        try:
            gevent.sleep(share_s * self.pausing)
        finally:
            self.pausing -= 1


# All readers of a process share its processor.
PACER: Final = ReadPacer()


class ConnectionPace:
    """Let other tasks run between the pieces that one connection carries."""

    __slots__ = ("_budgets", "_bytes", "_pieces", "_turn_began_at", "slowed_s")

    def __init__(self, now: float, *shared_budgets: PieceBudget) -> None:
        own = PieceBudget(CONNECTION_PIECES_S, CONNECTION_PIECES_BURST)
        self._budgets = (own, *shared_budgets)
        # Since other tasks could last run.
        self._bytes = 0
        self._pieces = 0
        self._turn_began_at = now
        # Time for which the connection was read more slowly, in seconds.
        self.slowed_s = 0.0

    def count_read(self, size: int) -> None:
        """Count a read from the socket, of `size` bytes."""
        self._bytes += size
        self._pieces += size < SMALL_PIECE_BYTES

    def count_piece(self, size: int) -> None:
        """Count a chunk or an event of `size` bytes."""
        self._pieces += size < SMALL_PIECE_BYTES

    def is_turn_over(self) -> bool:
        """Tell whether other tasks should run before more is read."""
        return self._pieces >= PIECES_PER_TURN or self._bytes >= BYTES_PER_TURN

    def end_turn(self) -> bool:
        """Let other tasks run; return whether the peer is beyond its rate."""
        now = clock.now()
        # A list, as each budget has to be charged.
        is_slowed = not all([b.take(self._pieces, now) for b in self._budgets])
        if is_slowed:
            PACER.pause(now - self._turn_began_at)
        else:
            gevent.sleep(YIELD_S)
        self._bytes = self._pieces = 0
        self._turn_began_at = clock.now()
        if is_slowed:
            self.slowed_s += self._turn_began_at - now
        return is_slowed
