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


class LeaseRecord(Struct, frozen=True):
    """Name the owner of a lease and its fencing number."""

    owner: str
    fence: int
    beat: int


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
        if self._row is None or self._row.version != row.version:
            self._row = row
            self._unchanged_since = now

    def expired(self, now: float) -> bool:
        """Tell whether another owner's lease has surely ended."""
        if self._row is None:
            return False
        if self._row.version == 0:
            return True
        times = self._times
        return now - self._unchanged_since > times.lease_s + times.delivery_s

    def _refresh(self) -> None:
        row = self._platform.get(TABLE_LEASES, _key(self.group))
        now = self._clock()
        self.observe(row, now)
        record = _record(self._row)
        if record is not None and self._holds(record):
            self._write(record, record.fence, now)
            return
        self.lose()
        if self.expired(now) or self._was_mine(record):
            fence = 1 if record is None else record.fence + 1
            self._write(record, fence, now)

    def _holds(self, record: LeaseRecord) -> bool:
        mine = record.owner == self.owner and record.fence == self.fence
        return mine and self.state is LeaseState.HELD

    def _was_mine(self, record: LeaseRecord | None) -> bool:
        """Tell whether an earlier process that this one replaces held the lease."""
        return self._sole and record is not None and record.owner == self.owner

    def _write(self, old: LeaseRecord | None, fence: int, now: float) -> None:
        beat = 1 if old is None else old.beat + 1
        value = msgspec.msgpack.encode(LeaseRecord(self.owner, fence, beat))
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
