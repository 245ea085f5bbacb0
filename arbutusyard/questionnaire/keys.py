"""Make and hash the keys of client accounts."""

import secrets
from hashlib import blake2b
from typing import Final

KEY_BYTES: Final = 32
KEY_HASH_BYTES: Final = 32


def new_key() -> str:
    """Return a random key; it has enough entropy for a fast hash."""
    return "ay-" + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash under which a key is kept."""
    return blake2b(key.encode(), digest_size=KEY_HASH_BYTES).hexdigest()
