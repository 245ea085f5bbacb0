"""Decode JSON that others write, with one kind of error for whatever comes."""

from typing import Annotated, Any, Final

import msgspec

# Largest whole number that all JSON encoders agree on; nodes also send numbers of
# servers to each other, in 64 bits.
COUNT_MAX: Final = 2**53
# A whole number that may be encoded again.
Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]


def decode_json(data: bytes, wire_type: Any = Any) -> Any:
    """Decode a value of a type; raise ValueError if it is malformed."""
    try:
        return msgspec.json.decode(data, type=wire_type)
    except RecursionError as exc:
        raise ValueError("the value is nested too deeply") from exc
