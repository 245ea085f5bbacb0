"""Authenticate messages by a keyed hash and detect replays."""

import hmac
from hashlib import blake2b
from typing import Final, TypeVar

import msgspec
from msgspec import Struct

from arbutusyard.rpc.exceptions import MessageRejected

# Length of a keyed hash, in bytes.
MAC_BYTES: Final = 16
# Maximum length of a message with its keyed hash, in bytes.
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
# Distance below a sender's highest sequence number from which messages are rejected.
REPLAY_WINDOW: Final = 1024

T = TypeVar("T")


class Envelope(Struct, frozen=True, array_like=True):
    """Hold a datagram with its sender and the sender's sequence number."""

    sender: str
    incarnation: int
    seq: int
    payload: msgspec.Raw


class MessageAuthenticator:
    """Sign and verify messages by keyed hashes.

    The first key signs; every key is accepted, so that keys can be changed while nodes
    run.
    """

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def sign(self, payload: bytes) -> bytes:
        """Return a payload prefixed with its keyed hash."""
        return _mac(self._keys[0], payload) + payload

    def verify(self, data: bytes) -> bytes:
        """Return a message's payload; raise MessageRejected when no key matches."""
        if not MAC_BYTES <= len(data) <= MAX_MESSAGE_BYTES:
            raise MessageRejected(
                f"message of {len(data)} bytes is too short or too long"
            )
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(mac, _mac(key, payload)):
                return payload
        raise MessageRejected("keyed hash of the message matches no key")

    def encode(self, message: object) -> bytes:
        """Encode and sign a message."""
        return self.sign(msgspec.msgpack.encode(message))

    def decode(self, data: bytes, kind: type[T]) -> T:
        """Decode a message; raise MessageRejected if its hash or content is invalid."""
        payload = self.verify(data)
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise MessageRejected(f"message is not a valid {kind}: {exc}") from exc


class ReplayGuard:
    """Accept each sequence number of a sender once, within a window."""

    __slots__ = ("_highest", "_incarnations", "_seen")

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._highest: dict[str, int] = {}
        self._seen: dict[str, set[int]] = {}

    def check(self, envelope: Envelope) -> None:
        """Raise MessageRejected for a replay or an outdated incarnation."""
        sender = envelope.sender
        known_incarnation = self._incarnations.get(sender, -1)
        if envelope.incarnation < known_incarnation:
            raise MessageRejected(f"incarnation of {sender!r} is outdated")
        if envelope.incarnation > known_incarnation:
            self._incarnations[sender] = envelope.incarnation
            self._highest[sender] = -1
            self._seen[sender] = set()
        self._accept(sender, envelope.seq)

    def forget(self, sender: str) -> None:
        """Remove the sequence numbers seen from a sender but keep its incarnation."""
        self._seen.pop(sender, None)

    def _accept(self, sender: str, seq: int) -> None:
        highest = self._highest[sender]
        seen = self._seen.setdefault(sender, set())
        if seq in seen or seq <= highest - REPLAY_WINDOW:
            raise MessageRejected(
                f"message {seq} of {sender!r} is a replay or outside the window"
            )
        seen.add(seq)
        self._highest[sender] = max(highest, seq)
        if len(seen) > 2 * REPLAY_WINDOW:
            newest_expired = self._highest[sender] - REPLAY_WINDOW
            self._seen[sender] = {number for number in seen if number > newest_expired}


def _mac(key: bytes, payload: bytes) -> bytes:
    return blake2b(payload, key=key[:64], digest_size=MAC_BYTES).digest()
