"""Remember who holds which parts of prompts, and where to fetch them from."""

import math
from hashlib import blake2b
from typing import Final

from msgspec import Struct

from arbutusyard.routing.index import PrefixIndex

# An engine is believed to keep a part so long after its last use, in seconds.
KEEP_S: Final = 12.0
# Others fetch a part from an engine only so long after it was read there; later the
# cache store is the surer source.
SOURCE_KEEP_S: Final = 4.0
# A cache store has room for all shared parts and keeps them much longer.
STORE_KEEP_S: Final = 300.0
# Engines keep parts by blocks of so many tokens.
FETCH_TOKENS_MIN: Final = 16
# Another failure domain is at the end of a link half as fast.
CROSS_DOMAIN_FACTOR: Final = 2.0
# A transfer that is ahead of another on a link is taken to be of so many tokens, the
# size from which on prompts count as large.
TRANSFER_AHEAD_TOKENS: Final = 4096
BITS_PER_MB: Final = 1e6
# Prompt tokens that an engine reads in a second, until answers teach better.
PREFILL_TOKENS_PER_S: Final = 40_000.0
# Nodes tell each other of parts by keys of that size.
SEGMENT_KEY_BYTES: Final = 8


class Source(Struct, frozen=True):
    """Describe who may hand parts over, and the speed of its link in Mbit/s."""

    name: str
    address: str
    failure_domain: str
    link_mbps: float


class Fetch(Struct, frozen=True):
    """Say from where parts come, how many tokens of them and how long it takes."""

    address: str
    tokens: int
    expected_s: float


def segment_key(salt: str, segment_id: str) -> bytes:
    """Return the key of a part that is kept under a salt.

    It only finds a source to fetch from, which looks parts up by salt and id itself.
    """
    return blake2b(
        f"{salt}/{segment_id}".encode(), digest_size=SEGMENT_KEY_BYTES
    ).digest()


class SegmentMap:
    """Keep who was sent parts, who has read them, and what cache stores hold."""

    __slots__ = ("_engines", "_sent", "_stores")

    def __init__(self) -> None:
        self._sent = PrefixIndex(keep_s=KEEP_S)
        self._engines = PrefixIndex(keep_s=SOURCE_KEEP_S)
        self._stores = PrefixIndex(keep_s=STORE_KEEP_S)

    def learn_engine(
        self,
        server_id: str,
        started_at_ms: int,
        segment_keys: tuple[bytes, ...],
        prefilled: bool,
        now: float,
    ) -> None:
        """Take note that a lifetime of an engine was sent parts, or has read them."""
        incarnation = str(started_at_ms)
        for index in (self._sent, self._engines) if prefilled else (self._sent,):
            if index.incarnation(server_id) != incarnation:
                index.set_incarnation(server_id, incarnation)
            index.learn(server_id, incarnation, segment_keys, now)

    def forget_engine(self, server_id: str, segment_keys: tuple[bytes, ...]) -> None:
        """Take note that an engine has not read parts after all."""
        self._sent.unlearn(server_id, segment_keys)

    def see_store(self, address: str, epoch: int) -> None:
        """Take note of a cache store's lifetime; 0 when it does not answer."""
        if epoch == 0:
            self._stores.forget(address)
        elif self._stores.incarnation(address) != str(epoch):
            self._stores.set_incarnation(address, str(epoch))

    def store_epoch(self, address: str) -> int:
        """Return the lifetime of a cache store; 0 when it does not answer."""
        return int(self._stores.incarnation(address) or 0)

    def learn_store(
        self, address: str, segment_keys: tuple[bytes, ...], now: float
    ) -> None:
        """Take note that a cache store was given parts."""
        epoch = self._stores.incarnation(address)
        if epoch is not None:
            self._stores.learn(address, epoch, segment_keys, now)

    def forget_store(self, address: str, segment_keys: tuple[bytes, ...]) -> None:
        """Take note that a cache store has dropped parts."""
        self._stores.unlearn(address, segment_keys)

    def sent_to_engines(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading pieces that each engine holds or is about to read."""
        return self._sent.match(segment_keys, now)

    def cached_by_engines(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading pieces that each engine has read lately."""
        return self._engines.match(segment_keys, now)

    def cached_by_stores(
        self, segment_keys: tuple[bytes, ...], now: float
    ) -> dict[str, int]:
        """Count the leading pieces that each cache store holds."""
        return self._stores.match(segment_keys, now)


def least_fetch(token_bytes: int, link_mbps: float) -> float:
    """Return from how many tokens on a part is worth a fetch, infinite if never.

    Transfers of a link run one after another, so a small part may wait for a large one;
    below that size it is read sooner.
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
    """Return the quickest source of the most tokens beyond those kept, if any.

    A source from which they take longer to fetch than to read is none.

    Each source comes with the number of leading tokens that it holds.
    """
    best: Fetch | None = None
    for source, tokens in sources:
        gain = tokens - cached_tokens
        if gain < least_fetch(token_bytes, source.link_mbps):
            continue
        expected_s = _transfer_s(gain, token_bytes, source.link_mbps)
        if source.failure_domain != failure_domain:
            expected_s *= CROSS_DOMAIN_FACTOR
        if expected_s >= gain / PREFILL_TOKENS_PER_S:
            continue
        fetch = Fetch(source.address, gain, expected_s)
        if best is None or (-gain, expected_s) < (-best.tokens, best.expected_s):
            best = fetch
    return best
