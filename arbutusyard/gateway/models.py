"""Define the configuration, requests, answers and refusals."""

import enum

from msgspec import Struct


class RetryPolicy(enum.Enum):
    """Name how a request may be retried after a server may have executed it."""

    ANY = "any"
    ONCE = "once"
    RESUME = "resume"


class ServiceShare(Struct, frozen=True):
    """Hold the weight of a service to which a route sends requests."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Hold where the requests of a host and path prefix go; times in seconds."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    retry_policy: RetryPolicy
    streaming: bool
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    max_attempts: int
    public: bool


class EngineTraits(Struct, frozen=True):
    """Describe the model engines of a service."""

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]


class CacheStore(Struct, frozen=True):
    """Describe a store of KV cache."""

    address: str
    failure_domain: str
    cache_tokens: int
    link_mbps: float


class Service(Struct, frozen=True):
    """Describe a service and the connections that its servers accept."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


class AccountQuota(Struct, frozen=True):
    """Limit what an account's requests cost, in tokens or in requests.

    Without `valid` the operators' values cannot be used, and the account gets no
    service.
    """

    # Cost per second over all nodes, and cost above it that may be used at once.
    rate_s: float
    burst: float
    by_tokens: bool = False
    # Cost of a request that states no tokens.
    promptless_cost: float = 0.0
    valid: bool = True


class Account(Struct, frozen=True):
    """Describe a client account; without a priority the route's applies."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    isolated: bool
    quota: AccountQuota | None = None


class IngressLimits(Struct, frozen=True):
    """Limit what clients may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(Struct, frozen=True):
    """Hold one version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    cache_stores: tuple[CacheStore, ...]
    accounts: tuple[Account, ...]
    limits: IngressLimits


class ServerState(enum.Enum):
    """Name the states that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(Struct, frozen=True):
    """Describe one incarnation of a backend server, as it registered itself."""

    server_id: str
    started_at_ms: int
    service: str
    address: str
    failure_domain: str
    state: ServerState
    slots: int
    weights: dict[str, int]
    cold_s: float = 0.0
    # Version of the server's software, not of its weights.
    software_version: str = ""
    # Era and version of the store with which the entry was written.
    row_version: tuple[int, int] = (0, 0)


class WeightsTarget(Struct, frozen=True):
    """Hold the target version of a model's weights."""

    model: str
    version: int


class PromptSegment(Struct, frozen=True):
    """Hold a segment of a prompt and its size."""

    segment_id: str
    tokens: int


class CallerRequest(Struct):
    """Hold a client's request as it was read; times in seconds."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at: float
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    segments: tuple[PromptSegment, ...] = ()
    resume_after: str = ""
    # Id of the attempt that brought the first event of a stream that is resumed.
    resumed_id: str = ""
    # Another node has forwarded it, and that node's version of the configuration.
    from_node: bool = False
    config_version: int = 0
    # Number of servers to which the node that forwarded it lets it be sent.
    attempts_max: int | None = None


class Dispatch(Struct, frozen=True):
    """Hold what a request to one backend server carries in its headers."""

    server_id: str
    account: str | None
    time_left_s: float
    weights_version: int | None = None
    cache_salt: str = ""
    cache_source: str = ""
    cache_sink: str = ""
    urgency: int | None = None
    resume_after: str = ""


class Framing(enum.Enum):
    """Name how the end of an answer's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # The body ends with its connection.
    CLOSE = "close"


class AnswerHead(Struct):
    """Hold the head of a backend server's answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    request_id: str = ""
    not_run: bool = False
    stamped: bool = False
    server_id: str = ""
    weights_version: int | None = None
    encoded: bool = False
    closes: bool = False
    keep_s: float | None = None
    length: int | None = None
    framing: Framing = Framing.CLOSE
    # The headers exclude each other, as if parts of two answers had been joined.
    contradictory: bool = False
    # The server is draining and takes no more requests in this incarnation.
    leaving: bool = False
    # Pause that a full server asks for, in seconds; None if absent or malformed.
    pause_s: float | None = None
    pause_text: str = ""
    # Requests per second that the server accepts from all nodes together; None if
    # absent or malformed.
    limit_s: float | None = None
    limit_text: str = ""
    # Why a node refused a request that another one may be able to serve.
    node_refusal: str = ""
    # Service, software version and incarnation that began a stream that a node relays;
    # empty if it does not say.
    stream_service: str = ""
    stream_software: str = ""
    stream_server: tuple[str, int] | None = None


class Refusal(Struct, frozen=True):
    """Hold a refusal that this node answers itself."""

    status: int
    reason: str
    retry_after_s: float | None = None
