"""Decode the rows that operators and backend servers write to the store.

The Wire classes have the platform's field names; comments explain misleading ones.
"""

import ipaddress
from typing import Any, Final

import msgspec
from msgspec import Struct

from arbutusyard.const import MS_PER_S
from arbutusyard.gateway.models import (
    Account,
    CacheStore,
    Configuration,
    EngineTraits,
    IngressLimits,
    RetryPolicy,
    Route,
    ServerEntry,
    ServerState,
    Service,
    ServiceShare,
    WeightsTarget,
)
from arbutusyard.platform.decode import Count, decode_json
from arbutusyard.platform.exceptions import MalformedRow

TABLE_OPERATOR: Final = "op"
TABLE_SERVERS: Final = "servers"
KEY_CONFIG: Final = "config"
PREFIX_WEIGHTS: Final = "version/"
PORT_MAX: Final = 65_535


class WireShare(Struct):
    """Decode a service that gets a fraction of a route's requests."""

    service: str
    # Relative share of the route's requests.
    weight: float


class WireRoute(Struct):
    """Decode a route."""

    name: str
    host: str
    path_prefix: str
    # "idempotent", "streaming" or "non_idempotent"; unknown kinds count as the last.
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    # Used only without traffic_split.
    service: str | None = None
    traffic_split: list[WireShare] | None = None
    max_attempts: int = 1
    public: bool = False
    # Another server may resume an interrupted stream; applies only to "streaming".
    resumable: bool = False
    # Target of the time between two events of a stream.
    gap_target_ms: float = 0


class WireModel(Struct):
    """Decode a model that a service's engines can serve."""

    name: str


class WireEngine(Struct):
    """Decode the traits of a service's engines."""

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int = 0
    link_mbps: float = 0
    models: list[WireModel] = []


class WireService(Struct):
    """Decode a service, or a KV cache store if kv_store_addr is set."""

    name: str
    max_connections: int = 64
    engine: WireEngine | None = None
    kv_store_addr: str | None = None
    # The cache store's failure domain, capacity and link; unused for services.
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0


class WireTenant(Struct):
    """Decode a client account."""

    name: str
    api_keys: list[str] = []
    # Overrides the priority of the route.
    priority: int | None = None
    # Cached prompts are not shared with other client accounts.
    share_nothing: bool = False


class WireLimits(Struct):
    """Decode the limits on clients' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class WireConfig(Struct):
    """Decode the operators' configuration."""

    version: Count
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


class WireServerModel(Struct):
    """Decode a model that a backend server has loaded."""

    name: str
    # The version of the model's weights.
    version: Count


class WireServer(Struct):
    """Decode a backend server's entry, which the server writes itself."""

    service: str
    address: str
    # The failure domain.
    zone: str
    state: str
    slots: Count
    # The version of the software, not of the weights.
    version: str
    # Number of heartbeats, each of which writes the entry; in reports it is the number
    # of accepted orders.
    sequence: Count
    cold_remaining_ms: float
    models: list[WireServerModel] = []
    # Start time of the incarnation, in milliseconds.
    born: Count = 0


class WireWeights(Struct):
    """Decode the target version of a model's weights."""

    model: str
    version: Count


def read_configuration(data: bytes) -> Configuration:
    """Decode a configuration; raise MalformedRow if it is malformed."""
    wire = _decode(data, WireConfig)
    services = [item for item in wire.services if item.kv_store_addr is None]
    stores = [item for item in wire.services if item.kv_store_addr is not None]
    return Configuration(
        version=wire.version,
        routes=tuple(_route(item) for item in wire.routes),
        services={item.name: _service(item) for item in services},
        cache_stores=tuple(
            CacheStore(
                item.kv_store_addr, item.zone, item.kv_capacity_tokens, item.link_mbps
            )
            for item in stores
        ),
        accounts=tuple(
            Account(item.name, tuple(item.api_keys), item.priority, item.share_nothing)
            for item in wire.tenants
        ),
        limits=IngressLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _route(wire: WireRoute) -> Route:
    shares = tuple(
        ServiceShare(item.service, item.weight) for item in wire.traffic_split or ()
    )
    if not shares and wire.service:
        shares = (ServiceShare(wire.service, 1.0),)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        shares=shares,
        retry_policy=_retry_policy(wire),
        streaming=wire.kind == "streaming",
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        gap_s=wire.gap_target_ms / MS_PER_S,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
    )


def _retry_policy(wire: WireRoute) -> RetryPolicy:
    if wire.kind == "idempotent":
        return RetryPolicy.ANY
    if wire.kind == "streaming" and wire.resumable:
        return RetryPolicy.RESUME
    return RetryPolicy.ONCE


def _service(wire: WireService) -> Service:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            wire.engine.slots,
            wire.engine.kv_capacity_tokens,
            wire.engine.kv_token_bytes,
            wire.engine.link_mbps,
            tuple(model.name for model in wire.engine.models),
        )
    return Service(wire.name, wire.max_connections, engine)


def read_server(server_id: str, data: bytes) -> ServerEntry:
    """Decode a backend server's entry; raise MalformedRow if it is malformed."""
    wire = _decode(data, WireServer)
    try:
        state = ServerState(wire.state)
    except ValueError as exc:
        raise MalformedRow(f"state {wire.state!r} is unknown") from exc
    if not _is_address(wire.address):
        raise MalformedRow(f"address {wire.address!r} is not IP:port")
    return ServerEntry(
        server_id=server_id,
        started_at_ms=wire.born,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        state=state,
        slots=max(1, wire.slots),
        weights={model.name: model.version for model in wire.models},
        cold_s=wire.cold_remaining_ms / MS_PER_S,
        software_version=wire.version,
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) <= PORT_MAX


def read_weights(data: bytes) -> WeightsTarget:
    """Decode a model's target weights; raise MalformedRow if they are malformed."""
    wire = _decode(data, WireWeights)
    return WeightsTarget(wire.model, wire.version)


def _decode(data: bytes, row_type: type[Any]) -> Any:
    try:
        return decode_json(data, row_type)
    except ValueError as exc:
        raise MalformedRow(f"value is not a {row_type.__name__}: {exc}") from exc
