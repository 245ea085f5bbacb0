"""Acquire and renew leases in the platform's table, with fencing tokens."""

import logging
from collections.abc import Callable
from enum import Enum
from typing import Final

import msgspec
from msgspec import Struct

from arbutusyard.control.const import (
    DELIVERY_MAX_S,
    LEASE_MARGIN_S,
    LEASE_S,
    TABLE_LEASES,
)
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.models import Put, Row

_LOGGER = logging.getLogger(__name__)


# Number of fencing tokens in each era of the store. A token's high digits are its era,
# so that no token is granted twice after a store rollback.
FENCING_TOKENS_PER_ERA: Final = 1_000_000


class LeaseRecord(Struct, frozen=True):
    """Hold a lease's row: owner, fencing token and the era in which it was written.

    `beat` grows with every write, so that a renewal changes the row.
    """

    owner: str
    fence: int
    beat: int
    era: int = 0


class LeaseTimes(Struct, frozen=True):
    """Hold a lease's duration, safety margin and its orders' maximum delivery time.

    All times are in seconds.
    """

    lease_s: float = LEASE_S
    margin_s: float = LEASE_MARGIN_S
    delivery_s: float = DELIVERY_MAX_S


LEASE_TIMES: Final = LeaseTimes()


class LeaseState(Enum):
    """Name the states of a lease: free, held by another node or held by this node."""

    FREE = "free"
    OTHER = "other"
    HELD = "held"


class Lease:
    """Acquire and renew one lease by this node's own monotonic clock.

    A row contains no time. Another owner's lease has expired when its row has not
    changed for the duration of a lease plus the maximum delivery time of an order.
    With `unique_owner`, the owner's name is never used by two processes at a time.

    After a store rollback, the store may lack leases that it granted since the copy
    was made. A row of an earlier era, or a missing row, does not prove that the lease
    is free, so it must expire like another owner's.
    """

    __slots__ = (
        "_clock",
        "_held_until",
        "_platform",
        "_row",
        "_times",
        "_unchanged_since",
        "_unique_owner",
        "fence",
        "group",
        "owner",
        "state",
    )

    def __init__(
        self,
        platform: PlatformClient,
        group: str,
        owner: str,
        clock: Callable[[], float],
        times: LeaseTimes = LEASE_TIMES,
        unique_owner: bool = False,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._row: Row | None = None
        self._unique_owner = unique_owner
        self._times = times
        self._unchanged_since = 0.0
        self._held_until = 0.0
        self.group = group
        self.owner = owner
        self.fence = 0
        self.state = LeaseState.FREE

    def valid(self, now: float, needed_s: float = 0.0) -> bool:
        """Return whether the lease is held for at least `needed_s` more seconds."""
        return self.state is LeaseState.HELD and now + needed_s < self._held_until

    def refresh(self) -> None:
        """Renew the lease if this node holds it, or acquire it if it has expired."""
        try:
            self._refresh()
        except PlatformError:
            if not self.valid(self._clock()):
                self.lose()

    def observe(self, row: Row, now: float) -> None:
        """Store a row read at `now`, and that time, if the row has changed."""
        known = self._row
        if known is None or (known.era, known.version) != (row.era, row.version):
            self._row = row
            self._unchanged_since = now

    def expired(self, now: float) -> bool:
        """Return whether another owner's lease has certainly expired."""
        if self._row is None:
            return False
        if self._row.version == 0 and self._row.era == 0:
            return True
        times = self._times
        return now - self._unchanged_since > times.lease_s + times.delivery_s

    def _refresh(self) -> None:
        row = self._platform.get(TABLE_LEASES, _key(self.group))
        now = self._clock()
        self.observe(row, now)
        record = _decode_record(self._row)
        if self._holds(record, now):
            self._write(record, self.fence, now)
            return
        if self.valid(now) and (record is None or record.era < row.era):
            # The restored copy lacks this node's write. The lease is still valid, so no
            # other node can have acquired it.
            self._write(record, self._next_fencing_token(record), now)
            return
        self.lose()
        if self.expired(now) or self._held_by_predecessor(record):
            self._write(record, self._next_fencing_token(record), now)

    def _holds(self, record: LeaseRecord | None, now: float) -> bool:
        """Return whether the row records the lease that this node holds."""
        if record is None or self.state is not LeaseState.HELD:
            return False
        if (record.owner, record.fence) != (self.owner, self.fence):
            return False
        return record.era == self._row.era or self.valid(now)

    def _held_by_predecessor(self, record: LeaseRecord | None) -> bool:
        """Return whether an earlier process of the same owner held the lease."""
        if not self._unique_owner or record is None or record.era != self._row.era:
            return False
        return record.owner == self.owner

    def _next_fencing_token(self, record: LeaseRecord | None) -> int:
        """Return a token greater than any granted in this or past eras."""
        last = 0 if record is None else record.fence
        return max(last, self._row.era * FENCING_TOKENS_PER_ERA) + 1

    def _write(self, old: LeaseRecord | None, fence: int, now: float) -> None:
        writes = 1 if old is None else old.beat + 1
        new = LeaseRecord(self.owner, fence, writes, self._row.era)
        value = msgspec.msgpack.encode(new)
        put = Put(TABLE_LEASES, _key(self.group), value, self._row.version)
        if not self._platform.commit(put):
            self.lose()
            return
        if self.state is not LeaseState.HELD:
            _LOGGER.info("Acquired lease %s with fencing token %d", self.group, fence)
        self.state = LeaseState.HELD
        self.fence = fence
        self._held_until = now + self._times.lease_s - self._times.margin_s

    def lose(self) -> None:
        """Stop holding the lease; acquiring it again takes a new fencing token."""
        if self.state is LeaseState.HELD:
            _LOGGER.info("Lost lease %s", self.group)
        self.state = LeaseState.OTHER


def _key(group: str) -> str:
    return group.replace("/", ".")


def _decode_record(row: Row) -> LeaseRecord | None:
    if row.version == 0:
        return None
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)
