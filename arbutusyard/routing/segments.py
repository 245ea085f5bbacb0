"""Track which servers hold which prompt segments, and choose where to fetch them."""

import math
from functools import lru_cache
from hashlib import blake2b
from typing import Final

from msgspec import Struct

from arbutusyard.routing.index import PrefixIndex

# Time for which an engine is assumed to cache a segment after its last use, in seconds.
SENT_TTL_S: Final = 12.0
# Time after its prefill during which other engines fetch a segment from an engine, in
# seconds; later the cache store is the more reliable source.
PREFILLED_TTL_S: Final = 4.0
# Time for which a cache store is assumed to hold a segment, in seconds. It has room for
# all shared segments and keeps them much longer than engines.
STORED_TTL_S: Final = 300.0
# Minimum size of a fetch, in tokens: engines cache segments in blocks of this size.
FETCH_TOKENS_MIN: Final = 16
# Factor on the time of a transfer between failure domains, whose link is half as fast.
CROSS_DOMAIN_FACTOR: Final = 2.0
# Assumed size of a transfer that is ahead of another one on a link, in tokens: the size
# above which prompts count as large.
TRANSFER_AHEAD_TOKENS: Final = 4096
BITS_PER_MB: Final = 1e6
# Assumed prefill rate of an engine, in tokens per second, until answers show its own.
PREFILL_TOKENS_PER_S: Final = 40_000.0
# Length of the segment keys that nodes send each other, in bytes.
SEGMENT_KEY_BYTES: Final = 8


class Source(Struct, frozen=True):
    """Describe an engine or cache store as a segment source; `link_mbps` in Mbit/s."""

    name: str
    address: str
    failure_domain: str
    link_mbps: float


class Fetch(Struct, frozen=True):
    """Hold the source address, number of tokens and expected time of a fetch."""

    address: str
    tokens: int
    expected_s: float


def segment_key(salt: str, segment_id: str) -> bytes:
    """Return the key of a segment that is cached under a salt.

    It only serves to find a source; the source itself looks segments up by salt and id.
    """
    return blake2b(
        f"{salt}/{segment_id}".encode(), digest_size=SEGMENT_KEY_BYTES
    ).digest()


class SegmentMap:
    """Track segments sent to engines, prefilled there and held by cache stores."""

    __slots__ = ("_prefilled", "_sent", "_stored")

    def __init__(self) -> None:
        self._sent = PrefixIndex(ttl_s=SENT_TTL_S)
        self._prefilled = PrefixIndex(ttl_s=PREFILLED_TTL_S)
        self._stored = PrefixIndex(ttl_s=STORED_TTL_S)

    def record_engine_segments(
        self,
        server_id: str,
        started_at_ms: int,
        segment_keys: tuple[bytes, ...],
        prefilled: bool,
        now: float,
    ) -> None:
        """Record that an engine incarnation was sent or has prefilled segments."""
        incarnation = str(started_at_ms)
        for index in (self._sent, self._prefilled) if prefilled else (self._sent,):
            if index.incarnation(server_id) != incarnation:
                index.set_incarnation(server_id, incarnation)
            index.record(server_id, incarnation, segment_keys, now)

    def remove_sent_segments(
        self, server_id: str, segment_keys: tuple[bytes, ...]
    ) -> None:
        """Record that an engine will not prefill segments that it was sent."""
        self._sent.remove(server_id, segment_keys)

    def set_store_epoch(self, address: str, epoch: int) -> None:
        """Set a cache store's epoch; 0 if it does not answer."""
        if epoch == 0:
            self._stored.clear_incarnation(address)
        elif self._stored.incarnation(address) != str(epoch):
            self._stored.set_incarnation(address, str(epoch))

    def store_epoch(self, address: str) -> int:
        """Return a cache store's epoch; 0 if it does not answer."""
        return int(self._stored.incarnation(address) or 0)

    def record_store_segments(
        self, address: str, segment_keys: tuple[bytes, ...], now: float
    ) -> None:
        """Record that a cache store holds segments."""
        epoch = self._stored.incarnation(address)
        if epoch is not None:
            self._stored.record(address, epoch, segment_keys, now)

    def remove_store_segments(
        self, address: str, segment_keys: tuple[bytes, ...]
    ) -> None:
        """Record that a cache store has dropped segments."""
        self._stored.remove(address, segment_keys)

    def sent_to_engines(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading segments that each engine holds or is about to prefill."""
        return self._sent.match(segment_keys, now)

    def cached_by_engines(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading segments that each engine has prefilled recently."""
        return self._prefilled.match(segment_keys, now)

    def cached_by_stores(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading segments that each cache store holds."""
        return self._stored.match(segment_keys, now)


@lru_cache(maxsize=256)
def min_fetch_tokens(token_bytes: int, link_mbps: float) -> float:
    """Return the minimum number of tokens worth a fetch; infinite if none is.

    Transfers on a link run one after another, so a small segment may wait for a large
    one. Below the minimum, prefilling it is faster.
    """
    if link_mbps <= 0:
        return math.inf
    wait_s = _transfer_s(TRANSFER_AHEAD_TOKENS, token_bytes, link_mbps)
    return max(FETCH_TOKENS_MIN, wait_s * PREFILL_TOKENS_PER_S)


def _transfer_s(tokens: int, token_bytes: int, link_mbps: float) -> float:
    return tokens * token_bytes * 8 / (link_mbps * BITS_PER_MB)


def best_fetch(
    sources: list[tuple[Source, int]],
    cached_tokens: int,
    token_bytes: int,
    failure_domain: str,
) -> Fetch | None:
    """Return the fetch that adds the most tokens to those cached, if any is worth it.

    Each source comes with the number of leading tokens that it holds. Of sources that
    add the same number, the fastest is chosen. Sources from which fetching takes longer
    than prefilling are left out.
    """
    best: Fetch | None = None
    for source, tokens in sources:
        added = tokens - cached_tokens
        if added < min_fetch_tokens(token_bytes, source.link_mbps):
            continue
        expected_s = _transfer_s(added, token_bytes, source.link_mbps)
        if source.failure_domain != failure_domain:
            expected_s *= CROSS_DOMAIN_FACTOR
        if expected_s >= added / PREFILL_TOKENS_PER_S:
            continue
        fetch = Fetch(source.address, added, expected_s)
        if best is None or (-added, expected_s) < (-best.tokens, best.expected_s):
            best = fetch
    return best
