"""Define what the caller library returns."""

from msgspec import Struct


class Answer(Struct, frozen=True):
    """Hold a whole answer."""

    text: str
    request_id: str
    first_token_s: float
    resumed: int
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class ServiceReply(Struct, frozen=True):
    """Hold a plain service's answer."""

    status: int
    outcome: str
    body: bytes
