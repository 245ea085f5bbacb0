"""Codec for grpclib calls: msgpack messages with a keyed hash."""

from typing import Any

from grpclib.encoding.base import CodecBase

from arbutusyard.rpc.seal import Sealer


class SealedCodec(CodecBase):
    """Codec for sealed messages."""

    __content_subtype__ = "msgpack"

    def __init__(self, sealer: Sealer) -> None:
        self._sealer = sealer

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode and seal a message."""
        return self._sealer.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message; raise MessageRejected if its hash or content is invalid."""
        return self._sealer.decode(data, message_type)
