"""Remember the origins of streams."""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from arbutusyard.origins.const import DIGEST_BYTES, RECORDS_MAX
from arbutusyard.origins.models import AMBIGUOUS, OriginBatch


class OriginRecord(Struct):
    """Hold the origin of one stream."""

    service: str
    version: str
    expires_at: float
    source: str
    # The server that began it, by id and start, if this node relayed the stream.
    server: tuple[str, int] | None = None


class OriginRecords:
    """Hold a bounded number of origins until streams can no longer be resumed."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, OriginRecord] = OrderedDict()

    def add(self, digest: bytes, record: OriginRecord) -> bool:
        """Add an origin; return whether it is new.

        An id that stands for streams of several versions proves none of them.
        """
        known = self._records.get(digest)
        if known is None:
            self._records[digest] = record
            if len(self._records) > RECORDS_MAX:
                self._records.popitem(last=False)
            return True
        known.expires_at = max(known.expires_at, record.expires_at)
        same = (known.service, known.version) == (record.service, record.version)
        if same or known.version == AMBIGUOUS:
            return False
        known.version = AMBIGUOUS
        return True

    def get(self, digest: bytes, now: float) -> OriginRecord | None:
        """Return a stream's origin, None if none is known that is still valid."""
        record = self._records.get(digest)
        return record if record is not None and now < record.expires_at else None

    def sweep(self, now: float) -> None:
        """Forget the origins of streams that can no longer be resumed."""
        while self._records:
            digest, oldest = next(iter(self._records.items()))
            if now < oldest.expires_at:
                return
            del self._records[digest]

    def revoke(self, server: tuple[str, int]) -> list[bytes]:
        """Mark the origins of one incarnation as unproven; return their digests."""
        digests = []
        for digest, record in self._records.items():
            if record.server == server:
                record.version = AMBIGUOUS
                digests.append(digest)
        return digests

    def own_digests(self, service: str) -> list[bytes]:
        """Return the streams of a service that this node itself relayed."""
        return [
            digest
            for digest, record in self._records.items()
            if record.service == service and record.server is not None
        ]

    def batches(self, digests: Iterable[bytes], now: float) -> tuple[OriginBatch, ...]:
        """Return the origins of streams, grouped by version."""
        groups: dict[tuple[str, str], list[bytes]] = {}
        left_s: dict[tuple[str, str], float] = {}
        for digest in digests:
            record = self.get(digest, now)
            if record is None:
                continue
            key = (record.service, record.version)
            groups.setdefault(key, []).append(digest)
            left_s[key] = max(left_s.get(key, 0.0), record.expires_at - now)
        return tuple(
            OriginBatch(*key, left_s[key], tuple(group))
            for key, group in groups.items()
        )


def stream_digest(account: str, request_id: str) -> bytes:
    """Return the digest of an attempt's id, which is the client account's own."""
    text = f"{len(account)}:{account}{request_id}"
    return blake2b(text.encode(errors="replace"), digest_size=DIGEST_BYTES).digest()
