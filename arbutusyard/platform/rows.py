"""Decode the rows that operators and backend servers write to the store.

The Wire classes have the platform's field names; comments explain misleading ones.
"""

import ipaddress
import json
import logging
import math
from typing import Any, Final

import msgspec
from msgspec import Struct

from arbutusyard.const import MS_PER_S
from arbutusyard.gateway.models import (
    Account,
    AccountQuota,
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
# Unit of quotas that count prompt and output tokens.
UNIT_TOKENS: Final = "tokens"
# Largest number of a quota; larger ones are mistakes, and no more can be counted.
QUOTA_MAX: Final = 1e15
# Digits of the largest integer that is converted; Python refuses to convert 4,301.
INTEGER_DIGITS_MAX: Final = 400
# Maximum number of characters of a malformed value in the log.
LOGGED_VALUE_CHARS: Final = 80

_LOGGER = logging.getLogger(__name__)


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
    # The quota: cost per second and at once, in "tokens" or, with any other unit, in
    # requests. Any values are decoded, as a malformed one concerns one account only.
    rate_per_s: Any = None
    burst: Any = None
    unit: Any = None
    # Cost in tokens of a request that states none.
    plain_tokens: Any = None


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
    wire = _decode_configuration(data)
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
            Account(
                item.name,
                tuple(item.api_keys),
                item.priority,
                item.share_nothing,
                _quota(item, wire.version),
            )
            for item in wire.tenants
        ),
        limits=IngressLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _decode_configuration(data: bytes) -> WireConfig:
    """Decode a configuration whose quotas may contain numbers that JSON has not."""
    try:
        return _decode(data, WireConfig)
    except MalformedRow:
        try:
            value = json.loads(
                data.decode(),
                parse_float=_finite,
                parse_int=_integer,
                parse_constant=_NonFinite,
            )
            return msgspec.convert(value, WireConfig)
        except (ValueError, RecursionError):
            pass
        raise


class _NonFinite:
    """Stand for a number that is infinite or none, in a field that takes any value."""

    def __init__(self, text: str) -> None:
        self._text = text

    def __repr__(self) -> str:
        return self._text


def _finite(text: str) -> object:
    number = float(text)
    return number if math.isfinite(number) else _NonFinite(text)


def _integer(text: str) -> object:
    return int(text) if len(text) <= INTEGER_DIGITS_MAX else _NonFinite(text)


def _quota(wire: WireTenant, config_version: int) -> AccountQuota | None:
    """Return an account's quota, None without one; log malformed values."""
    if wire.rate_per_s is None or _quota_number(wire.rate_per_s) == 0:
        return None
    by_tokens = wire.unit == UNIT_TOKENS
    rate_s = _quota_number(wire.rate_per_s)
    burst = rate_s if wire.burst is None else _quota_number(wire.burst)
    cost = 0.0
    if by_tokens and wire.plain_tokens is not None:
        cost = _quota_number(wire.plain_tokens)
    if rate_s is not None and burst is not None and cost is not None:
        return AccountQuota(rate_s, burst, by_tokens, cost)
    _LOGGER.error(
        "Account %s gets no service: its quota is malformed",
        wire.name,
        extra={
            "account": wire.name,
            "config": config_version,
            "rate_per_s": repr(wire.rate_per_s)[:LOGGED_VALUE_CHARS],
            "burst": repr(wire.burst)[:LOGGED_VALUE_CHARS],
            "plain_tokens": repr(wire.plain_tokens)[:LOGGED_VALUE_CHARS],
        },
    )
    return AccountQuota(0.0, 0.0, by_tokens, valid=False)


def _quota_number(value: Any) -> float | None:
    """Return a number of a quota; None if it is none that can be enforced."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value <= QUOTA_MAX else None


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
