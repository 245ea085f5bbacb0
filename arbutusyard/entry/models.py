"""Define requests, error bodies, resume tokens and stream chunks."""

import enum
from typing import Any

from msgspec import Struct

from arbutusyard.config.models import Account, WorkClass, Workload
from arbutusyard.routing.chain import BlockHashChain


class OutcomeKind(enum.Enum):
    """State whether a request was run, as far as the entry knows."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DONE = "done"


class ErrorDetail(Struct, frozen=True):
    """Hold the details of an error response."""

    code: str
    message: str
    outcome: OutcomeKind
    request_id: str
    type: str = "arbutusyard_error"
    param: str | None = None
    retry_after_s: float | None = None


class ErrorBody(Struct, frozen=True):
    """Wrap an error in the layout that clients expect."""

    error: ErrorDetail


class Message(Struct, frozen=True):
    """Hold one message of a prompt."""

    role: str
    content: Any = None


class StreamOptions(Struct, frozen=True):
    """Hold the client's options for a stream."""

    include_usage: bool = False


class ChatRequest(Struct, frozen=True):
    """Hold the fields of a chat completion request that an entry uses."""

    model: str
    messages: tuple[Message, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None


class Caller(Struct, frozen=True):
    """Hold an authenticated client account and its workload."""

    workload: Workload
    account: Account

    @property
    def name(self) -> str:
        """Return the account name, prefixed with its workload to be unique."""
        return f"{self.workload.name}/{self.account.name}"


class ChatWork(Struct, frozen=True):
    """Hold a chat request with what routing and relaying need."""

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
    """Identify a stream that a client may resume."""

    account: str
    request_id: str
    backend: str
    incarnation: str
    stream: str
    weights_version: str


class Usage(Struct, frozen=True):
    """Hold the token counts that an engine reports for a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: dict[str, int] = {}
    recomputed_tokens: int = 0

    @property
    def cached_tokens(self) -> int:
        """Return the number of prompt tokens served from the cache."""
        return self.prompt_tokens_details.get("cached_tokens", 0)


class UsageChunk(Struct, frozen=True):
    """Hold the usage field of a stream's last chunk."""

    usage: Usage


class Delta(Struct, frozen=True):
    """Hold the text that a chunk adds."""

    content: str = ""


class ChunkChoice(Struct, frozen=True):
    """Hold one choice of a chunk."""

    delta: Delta = Delta()


class Chunk(Struct, frozen=True):
    """Hold the decoded fields of a stream's chunk."""

    choices: tuple[ChunkChoice, ...] = ()
