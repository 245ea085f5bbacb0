"""Hash a prompt as a chain of blocks, and rank names by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from arbutusyard.routing.const import (
    BLOCK_BYTES,
    BLOCK_HASH_BYTES,
    BYTES_PER_TOKEN,
    MAX_BLOCKS,
)


class BlockHashChain(Struct, frozen=True):
    """Hold the block hashes of a prompt; each covers all blocks before it."""

    blocks: tuple[bytes, ...]
    tokens: int


def salt(account: str, model: str, weights_version: str) -> bytes:
    """Return the salt that keeps accounts, models and weights versions apart."""
    digest = blake2b(digest_size=BLOCK_HASH_BYTES)
    for field in (account, model, weights_version):
        data = field.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def build_chain(text: bytes, chain_salt: bytes) -> BlockHashChain:
    """Hash the blocks of a prompt, including a shorter last one."""
    blocks = []
    previous = chain_salt
    for start in range(0, min(len(text), MAX_BLOCKS * BLOCK_BYTES), BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        previous = blake2b(block, key=previous, digest_size=BLOCK_HASH_BYTES).digest()
        blocks.append(previous)
    return BlockHashChain(tuple(blocks), max(1, len(text) // BYTES_PER_TOKEN))


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash, the same way on every node."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: bytes, name: str) -> bytes:
    return blake2b(name.encode(), key=key[:64], digest_size=8).digest()
