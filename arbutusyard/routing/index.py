"""Remember which backend servers hold which pieces, in bounded memory."""

from collections import OrderedDict

from msgspec import Struct

from arbutusyard.routing.const import (
    DEFAULT_KEEP_S,
    INDEX_ENTRIES_MAX,
    INDEX_HOLDERS_MAX,
)


class Holder(Struct):
    """Say when a piece was last used on one incarnation of a backend server."""

    incarnation: str
    used_at: float


class PrefixIndex:
    """Map each piece to its holders; forget the least recently used piece."""

    __slots__ = ("_incarnations", "_keep_s", "_max_entries", "_holders")

    def __init__(
        self, max_entries: int = INDEX_ENTRIES_MAX, keep_s: float = DEFAULT_KEEP_S
    ) -> None:
        self._max_entries = max_entries
        self._keep_s = keep_s
        self._holders: OrderedDict[bytes, dict[str, Holder]] = OrderedDict()
        self._incarnations: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def set_incarnation(self, backend: str, incarnation: str) -> None:
        """Name the live incarnation; what an earlier one held no longer counts."""
        self._incarnations[backend] = incarnation

    def incarnation(self, backend: str) -> str | None:
        """Return the live incarnation of a backend server."""
        return self._incarnations.get(backend)

    def forget(self, backend: str) -> None:
        """Count nothing of a backend server until it names an incarnation."""
        self._incarnations.pop(backend, None)

    def learn(
        self, backend: str, incarnation: str, keys: tuple[bytes, ...], now: float
    ) -> None:
        """Record that a backend server holds pieces."""
        if self._incarnations.get(backend) != incarnation:
            return
        for key in keys:
            holders = self._holders.get(key)
            if holders is None:
                holders = self._holders[key] = {}
            holders[backend] = Holder(incarnation, now)
            self._holders.move_to_end(key)
            if len(holders) > INDEX_HOLDERS_MAX:
                self._drop_oldest_holder(holders)
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)

    def unlearn(self, backend: str, keys: tuple[bytes, ...]) -> None:
        """Record that a backend server no longer holds pieces."""
        for key in keys:
            holders = self._holders.get(key)
            if holders is not None:
                holders.pop(backend, None)

    def match(self, keys: tuple[bytes, ...], now: float) -> dict[str, int]:
        """Count the leading pieces that each backend server holds."""
        depths: dict[str, int] = {}
        for depth, key in enumerate(keys):
            holders = self._holders.get(key)
            if not holders:
                break
            found = False
            for backend, holder in holders.items():
                if depths.get(backend, 0) != depth:
                    continue
                if self._valid(backend, holder, now):
                    depths[backend] = depth + 1
                    found = True
            if not found:
                break
        return depths

    def _valid(self, backend: str, holder: Holder, now: float) -> bool:
        if self._incarnations.get(backend) != holder.incarnation:
            return False
        return now - holder.used_at <= self._keep_s

    @staticmethod
    def _drop_oldest_holder(holders: dict[str, Holder]) -> None:
        oldest = min(holders, key=lambda backend: holders[backend].used_at)
        del holders[oldest]
