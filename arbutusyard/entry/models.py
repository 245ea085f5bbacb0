"""Define requests, refusals and error bodies."""

import enum
from typing import Any

from msgspec import Struct

from arbutusyard.config.models import Account, WorkClass, Workload
from arbutusyard.routing.chain import BlockHashChain


class OutcomeKind(enum.Enum):
    """Name what is known of a request's run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DONE = "done"


class ErrorDetail(Struct, frozen=True):
    """Hold the typed body of an error answer."""

    code: str
    message: str
    outcome: OutcomeKind
    request_id: str
    type: str = "arbutusyard_error"
    param: str | None = None
    retry_after_s: float | None = None


class ErrorBody(Struct, frozen=True):
    """Wrap an error in the shape that clients expect."""

    error: ErrorDetail


class Message(Struct, frozen=True):
    """Hold one message of a prompt."""

    role: str
    content: Any = None


class StreamOptions(Struct, frozen=True):
    """Hold the caller's wishes about a stream."""

    include_usage: bool = False


class ChatRequest(Struct, frozen=True):
    """Hold the fields of a chat completion request that routing reads."""

    model: str
    messages: tuple[Message, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None


class Caller(Struct, frozen=True):
    """Name an authenticated client account and its workload."""

    workload: Workload
    account: Account

    @property
    def name(self) -> str:
        """Return the account's name, unique over workloads."""
        return f"{self.workload.name}/{self.account.name}"


class ChatWork(Struct, frozen=True):
    """Hold a chat request as it is routed and relayed."""

    request_id: str
    caller: Caller
    request: ChatRequest
    fields: dict[str, Any]
    serves: str
    weights_version: str
    work_class: WorkClass
    chain: BlockHashChain
    max_tokens: int
    arrived_at: float
    deadline_at: float


class ResumeToken(Struct, frozen=True, array_like=True):
    """Name the stream that a caller may take up again."""

    account: str
    request_id: str
    backend: str
    incarnation: str
    stream: str
    weights_version: str


class Usage(Struct, frozen=True):
    """Hold what an engine says of a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, int] = {}
    recomputed_tokens: int = 0

    @property
    def cached_tokens(self) -> int:
        """Return the prompt tokens that were not computed again."""
        return self.prompt_tokens_details.get("cached_tokens", 0)


class UsageChunk(Struct, frozen=True):
    """Read the usage of a stream's last chunk."""

    usage: Usage


class Delta(Struct, frozen=True):
    """Read the text of a chunk."""

    content: str = ""


class ChunkChoice(Struct, frozen=True):
    """Read one choice of a chunk."""

    delta: Delta = Delta()


class Chunk(Struct, frozen=True):
    """Read a chunk of a stream."""

    choices: tuple[ChunkChoice, ...] = ()
