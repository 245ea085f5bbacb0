"""Turn a prompt into a chain of piece hashes."""

from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from arbutusyard.routing.const import (
    BYTES_PER_TOKEN,
    MAX_PIECES,
    PIECE_BYTES,
    PIECE_HASH_BYTES,
)


class Chain(Struct, frozen=True):
    """Hold the piece hashes of a prompt; each covers all pieces before it."""

    pieces: tuple[bytes, ...]
    tokens: int


def salt(account: str, model: str, weights_version: str) -> bytes:
    """Return the salt that keeps accounts and weights versions apart."""
    digest = blake2b(digest_size=PIECE_HASH_BYTES)
    for part in (account, model, weights_version):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def build_chain(text: bytes, chain_salt: bytes) -> Chain:
    """Hash the whole pieces of a prompt; a short tail piece is hashed too."""
    pieces = []
    previous = chain_salt
    for start in range(0, min(len(text), MAX_PIECES * PIECE_BYTES), PIECE_BYTES):
        piece = text[start : start + PIECE_BYTES]
        previous = blake2b(piece, key=previous, digest_size=PIECE_HASH_BYTES).digest()
        pieces.append(previous)
    return Chain(tuple(pieces), max(1, len(text) // BYTES_PER_TOKEN))


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash, alike on every node."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: bytes, name: str) -> bytes:
    return blake2b(name.encode(), key=key[:64], digest_size=8).digest()
