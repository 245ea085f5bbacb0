"""Generate and hash the keys of client accounts."""

import secrets
from hashlib import blake2b
from typing import Final

# Number of random bytes in a key.
KEY_BYTES: Final = 32
# Length of the hash of a key, in bytes.
KEY_HASH_BYTES: Final = 32


def new_key() -> str:
    """Return a random key with enough entropy for a fast hash to be safe."""
    return "ay-" + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash that is stored instead of a key."""
    return blake2b(key.encode(), digest_size=KEY_HASH_BYTES).hexdigest()
