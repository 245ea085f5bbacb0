"""Encode and decode grpclib calls as msgpack messages with a keyed hash."""

from typing import Any

from grpclib.encoding.base import CodecBase

from arbutusyard.rpc.authentication import MessageAuthenticator


class AuthenticatedCodec(CodecBase):
    """Encode and decode messages with a keyed hash."""

    __content_subtype__ = "msgpack"

    def __init__(self, authenticator: MessageAuthenticator) -> None:
        self._authenticator = authenticator

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode and sign a message."""
        return self._authenticator.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message; raise MessageRejected if its hash or content is invalid."""
        return self._authenticator.decode(data, message_type)
