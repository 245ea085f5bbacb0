"""Encode the messages of grpclib calls with msgpack and a keyed hash."""

from typing import Any

from grpclib.encoding.base import CodecBase

from arbutusyard.rpc.seal import Sealer


class SealedCodec(CodecBase):
    """Encode and decode sealed messages."""

    __content_subtype__ = "msgpack"

    def __init__(self, sealer: Sealer) -> None:
        self._sealer = sealer

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return self._sealer.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message; raise MessageRejected when it is not one."""
        return self._sealer.decode(data, message_type)
