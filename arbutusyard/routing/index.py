"""Index the backend servers that hold each key of a prompt prefix.

Keys stand for hashed blocks or for segments. The index uses bounded memory.
"""

from collections import OrderedDict

from msgspec import Struct

from arbutusyard.routing.const import (
    DEFAULT_TTL_S,
    INDEX_ENTRIES_MAX,
    INDEX_HOLDERS_MAX,
)


class Holder(Struct):
    """Record which incarnation of a server holds a key, and when it last used it."""

    incarnation: str
    used_at: float


class PrefixIndex:
    """Map each key to its holders and evict the least recently used keys."""

    __slots__ = ("_incarnations", "_ttl_s", "_max_entries", "_holders")

    def __init__(
        self, max_entries: int = INDEX_ENTRIES_MAX, ttl_s: float = DEFAULT_TTL_S
    ) -> None:
        self._max_entries = max_entries
        self._ttl_s = ttl_s
        self._holders: OrderedDict[bytes, dict[str, Holder]] = OrderedDict()
        self._incarnations: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def set_incarnation(self, backend: str, incarnation: str) -> None:
        """Set the live incarnation; keys held by an earlier one no longer count."""
        self._incarnations[backend] = incarnation

    def incarnation(self, backend: str) -> str | None:
        """Return the live incarnation of a backend server."""
        return self._incarnations.get(backend)

    def clear_incarnation(self, backend: str) -> None:
        """Ignore the keys of a backend server until its incarnation is set."""
        self._incarnations.pop(backend, None)

    def record(
        self, backend: str, incarnation: str, keys: tuple[bytes, ...], now: float
    ) -> None:
        """Record that a backend server holds keys; ignored for another incarnation."""
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

    def remove(self, backend: str, keys: tuple[bytes, ...]) -> None:
        """Record that a backend server no longer holds keys."""
        for key in keys:
            holders = self._holders.get(key)
            if holders is not None:
                holders.pop(backend, None)

    def match(self, keys: tuple[bytes, ...], now: float) -> dict[str, int]:
        """Return the number of leading keys that each backend server holds."""
        depths: dict[str, int] = {}
        for depth, key in enumerate(keys):
            holders = self._holders.get(key)
            if not holders:
                break
            any_extended = False
            for backend, holder in holders.items():
                if depths.get(backend, 0) != depth:
                    continue
                if self._is_valid(backend, holder, now):
                    depths[backend] = depth + 1
                    any_extended = True
            if not any_extended:
                break
        return depths

    def _is_valid(self, backend: str, holder: Holder, now: float) -> bool:
        if self._incarnations.get(backend) != holder.incarnation:
            return False
        return now - holder.used_at <= self._ttl_s

    @staticmethod
    def _drop_oldest_holder(holders: dict[str, Holder]) -> None:
        oldest = min(holders, key=lambda backend: holders[backend].used_at)
        del holders[oldest]
