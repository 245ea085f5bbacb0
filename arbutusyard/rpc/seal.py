"""Authenticate messages with a keyed hash and drop replays."""

import hmac
from hashlib import blake2b
from typing import Final, TypeVar

import msgspec
from msgspec import Struct

from arbutusyard.rpc.exceptions import MessageRejected

MAC_BYTES: Final = 16
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
REPLAY_WINDOW: Final = 1024

T = TypeVar("T")


class Envelope(Struct, frozen=True, array_like=True):
    """Name the sender of a datagram and its place in the sender's order."""

    sender: str
    incarnation: int
    seq: int
    payload: msgspec.Raw


class Sealer:
    """Add and check keyed hashes; the first key signs, every key is accepted."""

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def seal(self, payload: bytes) -> bytes:
        """Prefix a payload with its keyed hash."""
        return _mac(self._keys[0], payload) + payload

    def open(self, data: bytes) -> bytes:
        """Return the payload; raise MessageRejected when no key fits."""
        if not MAC_BYTES <= len(data) <= MAX_MESSAGE_BYTES:
            raise MessageRejected(f"message of {len(data)} bytes has no keyed hash")
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(mac, _mac(key, payload)):
                return payload
        raise MessageRejected("keyed hash of the message fits no key")

    def encode(self, message: object) -> bytes:
        """Encode and seal a message."""
        return self.seal(msgspec.msgpack.encode(message))

    def decode(self, data: bytes, kind: type[T]) -> T:
        """Open and decode a message; raise MessageRejected when it is not one."""
        payload = self.open(data)
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise MessageRejected(f"message is not a {kind}: {exc}") from exc


class ReplayGuard:
    """Accept each sequence number of a sender once, within a window."""

    __slots__ = ("_highest", "_incarnations", "_seen")

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._highest: dict[str, int] = {}
        self._seen: dict[str, set[int]] = {}

    def check(self, envelope: Envelope) -> None:
        """Raise MessageRejected for a replay or a stale incarnation."""
        sender = envelope.sender
        known = self._incarnations.get(sender, -1)
        if envelope.incarnation < known:
            raise MessageRejected(f"incarnation of {sender!r} is stale")
        if envelope.incarnation > known:
            self._incarnations[sender] = envelope.incarnation
            self._highest[sender] = -1
            self._seen[sender] = set()
        self._take(sender, envelope.seq)

    def forget(self, sender: str) -> None:
        """Drop the sequence numbers of a sender but keep its incarnation."""
        self._seen.pop(sender, None)

    def _take(self, sender: str, seq: int) -> None:
        highest = self._highest[sender]
        seen = self._seen.setdefault(sender, set())
        if seq in seen or seq <= highest - REPLAY_WINDOW:
            raise MessageRejected(f"message {seq} of {sender!r} is a replay")
        seen.add(seq)
        self._highest[sender] = max(highest, seq)
        if len(seen) > 2 * REPLAY_WINDOW:
            floor = self._highest[sender] - REPLAY_WINDOW
            self._seen[sender] = {item for item in seen if item > floor}


def _mac(key: bytes, payload: bytes) -> bytes:
    return blake2b(payload, key=key[:64], digest_size=MAC_BYTES).digest()
