"""Results that the client library returns."""

from msgspec import Struct


class Answer(Struct, frozen=True):
    """Complete answer of a model."""

    text: str
    request_id: str
    first_token_s: float
    resumed: int
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class ServiceReply(Struct, frozen=True):
    """Answer of a plain service."""

    status: int
    outcome: str
    body: bytes
