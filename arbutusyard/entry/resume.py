"""Sign and verify the tokens with which clients resume a stream."""

import base64
import binascii
import hmac
from hashlib import blake2b

import msgspec

from arbutusyard.entry.const import MAX_RESUME_TOKEN_BYTES, RESUME_TOKEN_MAC_BYTES
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import ResumeToken


class ResumeTokens:
    """Sign tokens with the first key and accept signatures of every key."""

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = tuple(
            blake2b(key, person=b"resume-token").digest() for key in keys
        )

    def issue(self, token: ResumeToken) -> str:
        """Return a signed token as text."""
        payload = msgspec.msgpack.encode(token)
        data = self._mac(self._keys[0], payload) + payload
        return base64.urlsafe_b64encode(data).decode()

    def read(self, text: str, account: str) -> ResumeToken:
        """Return the decoded token of an account; raise Refused if it is not valid."""
        if len(text) > MAX_RESUME_TOKEN_BYTES:
            raise _invalid("resume token is too long")
        try:
            data = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as exc:
            raise _invalid("resume token is not base64") from exc
        mac, payload = data[:RESUME_TOKEN_MAC_BYTES], data[RESUME_TOKEN_MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, self._mac(key, payload)) for key in self._keys
        ):
            raise _invalid("resume token is not signed by this system")
        try:
            token = msgspec.msgpack.decode(payload, type=ResumeToken)
        except msgspec.DecodeError as exc:
            raise _invalid("resume token cannot be read") from exc
        if token.account != account:
            raise _invalid("resume token belongs to another client account", 403)
        return token

    @staticmethod
    def _mac(key: bytes, payload: bytes) -> bytes:
        return blake2b(payload, key=key, digest_size=RESUME_TOKEN_MAC_BYTES).digest()


def _invalid(message: str, status: int = 400) -> Refused:
    return Refused(status, "invalid_resume_token", message)
