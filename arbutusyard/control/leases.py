"""Hold leases in the platform's table, with fencing numbers."""

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


# A fencing number has its era in front, so that none repeats when the store comes back
# from an older copy; so many are left to each era.
FENCES_PER_ERA: Final = 1_000_000


class LeaseRecord(Struct, frozen=True):
    """Name the owner of a lease, its fencing number and the era of its writing."""

    owner: str
    fence: int
    beat: int
    era: int = 0


class LeaseTimes(Struct, frozen=True):
    """Hold how long a lease lasts and how long its orders may be under way, in s."""

    lease_s: float = LEASE_S
    margin_s: float = LEASE_MARGIN_S
    delivery_s: float = DELIVERY_MAX_S


LEASE_TIMES: Final = LeaseTimes()


class LeaseState(Enum):
    """Name whether this node holds a lease."""

    FREE = "free"
    OTHER = "other"
    HELD = "held"


class Lease:
    """Acquire and renew one lease by this node's own monotonic clock.

    A row has no time in it. Another owner's lease has ended when its row has
    stayed the same for the whole lease and the longest delivery of an order.
    A `sole` owner's name is never used by two processes at a time.

    A store that comes back from an older copy may have granted leases since that it
    does not know of. A row of an earlier era, or none, is no proof that nobody holds
    the lease, so it is waited for like another owner's.
    """

    __slots__ = (
        "_clock",
        "_held_until",
        "_platform",
        "_row",
        "_sole",
        "_times",
        "_unchanged_since",
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
        sole: bool = False,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._row: Row | None = None
        self._sole = sole
        self._times = times
        self._unchanged_since = 0.0
        self._held_until = 0.0
        self.group = group
        self.owner = owner
        self.fence = 0
        self.state = LeaseState.FREE

    def valid(self, now: float, needed_s: float = 0.0) -> bool:
        """Tell whether the lease is held for at least so long."""
        return self.state is LeaseState.HELD and now + needed_s < self._held_until

    def refresh(self) -> None:
        """Renew the own lease, or take over one that has ended."""
        try:
            self._refresh()
        except PlatformError:
            if not self.valid(self._clock()):
                self.lose()

    def observe(self, row: Row, now: float) -> None:
        """Take note of the row as it stands at a time."""
        known = self._row
        if known is None or (known.era, known.version) != (row.era, row.version):
            self._row = row
            self._unchanged_since = now

    def expired(self, now: float) -> bool:
        """Tell whether another owner's lease has surely ended."""
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
        record = _record(self._row)
        if self._holds(record, now):
            self._write(record, self.fence, now)
            return
        if self.valid(now) and (record is None or record.era < row.era):
            # The copy lacks what this node wrote; nobody else could take it over.
            self._write(record, self._next_fence(record), now)
            return
        self.lose()
        if self.expired(now) or self._was_mine(record):
            self._write(record, self._next_fence(record), now)

    def _holds(self, record: LeaseRecord | None, now: float) -> bool:
        """Tell whether the row shows this node's own lease."""
        if record is None or self.state is not LeaseState.HELD:
            return False
        if (record.owner, record.fence) != (self.owner, self.fence):
            return False
        return record.era == self._row.era or self.valid(now)

    def _was_mine(self, record: LeaseRecord | None) -> bool:
        """Tell whether an earlier process that this one replaces held the lease."""
        if not self._sole or record is None or record.era != self._row.era:
            return False
        return record.owner == self.owner

    def _next_fence(self, record: LeaseRecord | None) -> int:
        """Return a number greater than any that was granted in this or past eras."""
        last = 0 if record is None else record.fence
        return max(last, self._row.era * FENCES_PER_ERA) + 1

    def _write(self, old: LeaseRecord | None, fence: int, now: float) -> None:
        beat = 1 if old is None else old.beat + 1
        new = LeaseRecord(self.owner, fence, beat, self._row.era)
        value = msgspec.msgpack.encode(new)
        put = Put(TABLE_LEASES, _key(self.group), value, self._row.version)
        if not self._platform.commit(put):
            self.lose()
            return
        if self.state is not LeaseState.HELD:
            _LOGGER.info("Lease %s is held with fence %d", self.group, fence)
        self.state = LeaseState.HELD
        self.fence = fence
        self._held_until = now + self._times.lease_s - self._times.margin_s

    def lose(self) -> None:
        """Give the lease up; another fencing number is needed to hold it again."""
        if self.state is LeaseState.HELD:
            _LOGGER.info("Lease %s is lost", self.group)
        self.state = LeaseState.OTHER


def _key(group: str) -> str:
    return group.replace("/", ".")


def _record(row: Row) -> LeaseRecord | None:
    if row.version == 0:
        return None
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)
