"""Define the results that the client library returns."""

from msgspec import Struct


class Answer(Struct, frozen=True):
    """Hold the complete answer of a model."""

    text: str
    request_id: str
    first_token_s: float
    resumed: int
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class ServiceReply(Struct, frozen=True):
    """Hold the answer of a plain service."""

    status: int
    outcome: str
    body: bytes
