"""Define the datagram that nodes send each other."""

from msgspec import Struct


class ServerLoad(Struct, frozen=True, array_like=True):
    """Say what a node has in flight at a backend server."""

    server_id: str
    in_flight: int
    prompt_tokens: int


class EngineStatus(Struct, frozen=True, array_like=True):
    """Say which weights a server has, or for how long it will be loading.

    0 seconds end a load; None says nothing of one, only which weights were reported.
    """

    server_id: str
    model: str
    version: int
    loading_s: float | None


class CacheEvent(Struct, frozen=True, array_like=True):
    """Say that a cache store has taken a part in, or dropped it."""

    stored: bool
    salt: str
    segment_id: str


class CacheEventBatch(Struct, frozen=True, array_like=True):
    """Name a lifetime of a cache store, its events and how far they were read."""

    epoch: int
    position: int
    events: tuple[CacheEvent, ...]


class CacheStoreStatus(Struct, frozen=True, array_like=True):
    """Say which lifetime a cache store has; 0 when it does not answer."""

    address: str
    epoch: int


class CacheStoreUpdate(Struct, frozen=True, array_like=True):
    """Say that a cache store has taken parts in, or dropped them."""

    address: str
    stored: tuple[bytes, ...]
    dropped: tuple[bytes, ...]


class SegmentUpdate(Struct, frozen=True, array_like=True):
    """Say that a server was sent a chain of parts, or has read it by now."""

    server_id: str
    segment_keys: tuple[bytes, ...]
    prefilled: bool


class TargetWeightsAge(Struct, frozen=True, array_like=True):
    """Say how many seconds ago operators named a version of a model's weights."""

    model: str
    version: int
    age_s: float


class ReadConfirmation(Struct, frozen=True, array_like=True, tag="confirm"):
    """Tell one other node what a read of the store has shown.

    `echo` numbers the newest datagram of the receiver's `incarnation` that had come
    before the read was sent, so by its own clock the read is younger than that.
    """

    name: str
    table: str
    digest: bytes
    incarnation: int
    echo: int


class LoadUpdate(Struct, frozen=True, array_like=True, tag="news"):
    """Tell at once what a node now has in flight at one backend server.

    Numbered together with the node's beats; the load is whole, so a lost or late
    datagram is made good by the next one.
    """

    name: str
    incarnation: int
    seq: int
    load: ServerLoad
    segments: SegmentUpdate | None = None


class EngineUpdate(Struct, frozen=True, array_like=True, tag="engine"):
    """Tell at once which weights a server has, or that it will be loading.

    Numbered together with the node's beats; the newest word on a server holds.
    """

    name: str
    incarnation: int
    seq: int
    status: EngineStatus


class ServerUpdate(Struct, frozen=True, array_like=True, tag="servers"):
    """Tell at once of servers out of reach, and of lifetimes that others replaced.

    `leaving` names lifetimes by server id and start that say they take no more.
    """

    name: str
    unresponsive: tuple[str, ...]
    replaced: tuple[str, ...]
    leaving: tuple[tuple[str, int], ...] = ()


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Tell the other nodes of this one."""

    name: str
    incarnation: int
    seq: int
    peer_address: str
    callers_address: str
    failure_domain: str
    region: str
    ready: bool
    leaving: bool
    config_version: int
    fencing_token: int
    loads: tuple[ServerLoad, ...] = ()
    engine_statuses: tuple[EngineStatus, ...] = ()
    cache_store_statuses: tuple[CacheStoreStatus, ...] = ()
    unresponsive: tuple[str, ...] = ()
    segment_updates: tuple[SegmentUpdate, ...] = ()
    cache_store_updates: tuple[CacheStoreUpdate, ...] = ()
    reads_store: bool = True
    up_s: float = 0.0
    leaving_servers: tuple[str, ...] = ()
    target_ages: tuple[TargetWeightsAge, ...] = ()
    leaving_incarnations: tuple[tuple[str, int], ...] = ()
    # Processor cores, or less where the link is narrow.
    capacity: float = 1.0
    # Callers' requests a second.
    rate_s: float = 0.0
    # The receiver hears this node again within so many seconds.
    next_in_s: float = 0.25
    # Callers' addresses of the serving nodes, by region, packed.
    entries: tuple[tuple[str, bytes], ...] = ()


class NodeRow(Struct, frozen=True):
    """Hold a node's row in the store."""

    peer_address: str
    incarnation: int


Datagram = Heartbeat | ReadConfirmation | LoadUpdate | EngineUpdate | ServerUpdate
