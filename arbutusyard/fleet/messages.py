"""Define the datagrams that nodes send each other, and a node's row in the store."""

from typing import Annotated

from msgspec import Meta, Struct

from arbutusyard.origins.models import Digest, OriginBatch
from arbutusyard.quarantine.models import Finite, QuarantineNews

# An IP address or host name and a port, separated by a colon.
Address = Annotated[str, Meta(pattern=r"^[^:]+:[0-9]{1,5}$")]


class ServerLoad(Struct, frozen=True, array_like=True):
    """Hold the number and prompt tokens of a node's requests in flight at a server.

    `held_tokens` are the tokens that they hold in the server's KV memory. `refusals`
    counts the requests that the server has just refused because it was full.
    """

    server_id: str
    in_flight: int
    prompt_tokens: int
    held_tokens: int = 0
    refusals: int = 0


class EngineStatus(Struct, frozen=True, array_like=True):
    """Hold the weights of a server, or how long it will be loading.

    `loading_s` is the remaining loading time in seconds. 0 ends a load; None gives no
    information on loading, only on the reported weights.
    """

    server_id: str
    model: str
    version: int
    loading_s: Finite | None


class CacheEvent(Struct, frozen=True, array_like=True):
    """Hold one event of a cache store: a segment was stored or dropped."""

    stored: bool
    salt: str
    segment_id: str


class CacheEventBatch(Struct, frozen=True, array_like=True):
    """Hold events of one incarnation of a cache store and the position after them."""

    epoch: int
    position: int
    events: tuple[CacheEvent, ...]


class CacheStoreStatus(Struct, frozen=True, array_like=True):
    """Hold the incarnation of a cache store; `epoch` is 0 when it does not answer."""

    address: str
    epoch: int


class CacheStoreUpdate(Struct, frozen=True, array_like=True):
    """Hold the keys of the segments that a cache store has stored or dropped."""

    address: str
    stored: tuple[bytes, ...]
    dropped: tuple[bytes, ...]


class SegmentUpdate(Struct, frozen=True, array_like=True):
    """Report that a server was sent a chain of segments, or has prefilled it."""

    server_id: str
    segment_keys: tuple[bytes, ...]
    prefilled: bool


class TargetWeightsAge(Struct, frozen=True, array_like=True):
    """Hold how many seconds ago operators set a version as a model's target weights.

    Without `is_dated`, it was set at that time or later.
    """

    model: str
    version: int
    age_s: Finite
    is_dated: bool = True


class ServerLimitReport(Struct, frozen=True, array_like=True):
    """Hold how many requests per second an incarnation accepts from all nodes.

    `limit_s` is None when its answers state no limit any more. `age_s` tells how many
    seconds ago the newest of these answers came.
    """

    server_id: str
    started_at_ms: int
    limit_s: Finite | None
    age_s: Finite


class RemovedServer(Struct, frozen=True, array_like=True):
    """Report that an incarnation's entry was gone by a version of the store.

    Only an entry that was written after that version shows that the server runs.
    """

    server_id: str
    started_at_ms: int
    era: int
    version: int


class ReadConfirmation(Struct, frozen=True, array_like=True, tag="confirm"):
    """Report the result of a read of the store to one other node.

    `echo` is the number of the newest datagram of the receiver's `incarnation` that
    had arrived before the read was sent. The receiver dates the read by its own clock:
    the read is newer than that datagram.
    """

    name: str
    table: str
    digest: bytes
    incarnation: int
    echo: int


class LoadUpdate(Struct, frozen=True, array_like=True, tag="news"):
    """Report at once what a node has in flight at one backend server.

    `seq` shares one sequence with the node's heartbeats. The load is a total and not a
    difference, so the next datagram makes up for a lost or late one.
    """

    name: str
    incarnation: int
    seq: int
    load: ServerLoad
    segments: SegmentUpdate | None = None


class EngineUpdate(Struct, frozen=True, array_like=True, tag="engine"):
    """Report at once which weights a server has, or that it will be loading.

    `seq` shares one sequence with the node's heartbeats. Only the newest report on a
    server is valid.
    """

    name: str
    incarnation: int
    seq: int
    status: EngineStatus


class ServerUpdate(Struct, frozen=True, array_like=True, tag="servers"):
    """Report at once which servers are unreachable, superseded, draining or limited.

    `replaced` lists servers that another incarnation superseded. `leaving` lists the
    incarnations that announced that they are draining, by server id and start.
    """

    name: str
    unreachable: tuple[str, ...]
    replaced: tuple[str, ...]
    leaving: tuple[tuple[str, int], ...] = ()
    limits: tuple[ServerLimitReport, ...] = ()


class RemovalUpdate(Struct, frozen=True, array_like=True, tag="removed"):
    """Report removed servers to a node that has missed the reports of them."""

    name: str
    removed: tuple[RemovedServer, ...]


class QuarantineUpdate(Struct, frozen=True, array_like=True, tag="quarantine"):
    """Report at once what a node found out about segments that may crash servers."""

    name: str
    news: QuarantineNews


class OriginUpdate(Struct, frozen=True, array_like=True, tag="origins"):
    """Report which software versions began streams, to the nodes that keep that."""

    name: str
    batches: tuple[OriginBatch, ...]


class OriginQuery(Struct, frozen=True, array_like=True, tag="origin_query"):
    """Ask for the origin of a stream."""

    name: str
    digest: Digest


class OriginAnswer(Struct, frozen=True, array_like=True, tag="origin_answer"):
    """Answer a query; `batch` is None if the node does not know the origin."""

    name: str
    digest: Digest
    batch: OriginBatch | None


class QuotaAsk(Struct, frozen=True, array_like=True):
    """Ask whether one request of an account may pass, whose cost is given."""

    ask_id: int
    account: str
    cost: Finite


class QuotaSync(Struct, frozen=True, array_like=True, tag="quota"):
    """Lend the sender's share of all quotas to a leader, and ask it for grants.

    The share is lent for `vote_s` seconds after the leader sent the answer with the
    number `echo`, as its incarnation `leader_incarnation`; 0 seconds lend nothing.
    `needs` names accounts and the credit that the sender lacks. `returns` names grants
    of that incarnation which were not used, and when the leader made them.
    """

    name: str
    incarnation: int
    seq: int
    vote_s: Finite = 0.0
    leader_incarnation: int = 0
    echo: int = 0
    ask: QuotaAsk | None = None
    needs: tuple[tuple[str, Finite], ...] = ()
    returns: tuple[tuple[str, Finite, Finite], ...] = ()


class QuotaAnswer(Struct, frozen=True, array_like=True, tag="quota_answer"):
    """Answer the datagram `seq` of a node's incarnation.

    `number` is 0 if it answers a question, and cannot be echoed. `at` is the leader's
    time. `retry_after_s` answers the question `ask_id`: None grants it, and a negative
    number tells that the leader has no votes. `credits` names accounts and the credit
    granted.
    """

    name: str
    incarnation: int
    number: int
    node_incarnation: int
    seq: int
    at: Finite
    leads: bool
    ask_id: int = 0
    asked_at: Finite = 0.0
    retry_after_s: Finite | None = None
    credits: tuple[tuple[str, Finite], ...] = ()


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Report the state of a node to the other nodes."""

    name: str
    incarnation: int
    seq: int
    peer_address: Address
    callers_address: Address
    failure_domain: str
    region: str
    ready: bool
    leaving: bool
    config_version: int
    fencing_token: int
    loads: tuple[ServerLoad, ...] = ()
    engine_statuses: tuple[EngineStatus, ...] = ()
    cache_store_statuses: tuple[CacheStoreStatus, ...] = ()
    unreachable: tuple[str, ...] = ()
    segment_updates: tuple[SegmentUpdate, ...] = ()
    cache_store_updates: tuple[CacheStoreUpdate, ...] = ()
    # The node may lead the roll-out of weights.
    may_lead: bool = True
    up_s: Finite = 0.0
    leaving_servers: tuple[str, ...] = ()
    target_ages: tuple[TargetWeightsAge, ...] = ()
    leaving_incarnations: tuple[tuple[str, int], ...] = ()
    # Capacity in processor cores; lower where the network link is narrow.
    capacity: Finite = 1.0
    # Clients' requests per second.
    rate_s: Finite = 0.0
    # Time within which the receiver gets the next heartbeat, in seconds.
    next_in_s: Finite = 0.25
    # Packed addresses of the serving nodes for clients, by region.
    entries: tuple[tuple[str, bytes], ...] = ()
    limits: tuple[ServerLimitReport, ...] = ()
    quarantine: QuarantineNews | None = None
    # Servers whose entries were recently removed.
    removed_servers: tuple[RemovedServer, ...] = ()
    # Time for which the node itself has read the servers' entries without
    # interruption, and age of its newest confirmed read, in seconds.
    store_read_s: Finite = 0.0
    servers_age_s: Finite = 0.0
    # Services all of whose servers the node cannot reach.
    cut_off: tuple[str, ...] = ()


class NodeRow(Struct, frozen=True):
    """Hold a node's row in the store: its address and incarnation."""

    peer_address: Address
    incarnation: int


Datagram = (
    Heartbeat
    | ReadConfirmation
    | LoadUpdate
    | EngineUpdate
    | ServerUpdate
    | QuarantineUpdate
    | RemovalUpdate
    | OriginUpdate
    | OriginQuery
    | OriginAnswer
    | QuotaSync
    | QuotaAnswer
)
