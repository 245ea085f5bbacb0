"""Decode the platform's settings file of a VM."""

from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct

from arbutusyard.const import MS_PER_S
from arbutusyard.exceptions import SetupFailed
from arbutusyard.gateway.memory import BODY_BYTES_S, MAX_FDS, MEMORY_MB, make_limits
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.limits.const import LIMIT_GRACE_S

SETTINGS_VARIABLE: Final = "ARBUTUSYARD_CONFIG"
# Link bandwidth that one core can use, in Mbit/s. On a slower link the bodies of long
# prompts saturate the link long before a core is busy.
LINK_MBPS_PER_CORE: Final = 50.0
# Entry of `contracts` that enables admission under load.
CONTRACT_PRESSURE: Final = "pressure"


# Numbers with which limits can be computed; a number beyond them is a mistake.
NonNegativeNumber = Annotated[float, Meta(ge=0, le=1e15)]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e15)]


class Listen(Struct):
    """Hold the addresses, IP:port, at which a process listens."""

    # For clients' requests.
    front: str
    # For the readiness check.
    ready: str
    # For clients' look-ups of nodes.
    directory: str
    # For the other nodes.
    control: str | None = None


class Bounds(Struct):
    """Hold the limits that the operators guarantee to clients."""

    revoke_ms: float
    drain_ms: float
    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_slack: float
    lease_ms: float
    # Maximum time until a new target version of weights is in use.
    version_ms: float = 8000
    # Maximum time that clients may cache the list of nodes.
    ttl_max_s: float = 5
    # Time from the first statement of a server's limit until it is enforced.
    contact_ms: float = LIMIT_GRACE_S * MS_PER_S
    # Sliding window in which accounts' quotas are checked, and what it may exceed them
    # by: a ratio, and an amount in the account's unit.
    quota_window_s: PositiveNumber = 8
    quota_overshoot: NonNegativeNumber = 0
    quota_slack: NonNegativeNumber = 0


class Store(Struct):
    """Hold the address of the platform's store."""

    address: str


class VmLimits(Struct):
    """Hold the resource limits of a process on this VM."""

    memory_mb: Annotated[float, Meta(gt=0)] = MEMORY_MB
    max_fds: Annotated[int, Meta(gt=0)] = MAX_FDS
    # Memory for all clients' bytes, in MiB; without it a part of `memory_mb`.
    client_memory_mb: Annotated[float, Meta(ge=8)] | None = None
    # Maximum number of client connections; without it a part of `max_fds`.
    client_connections: Annotated[int, Meta(ge=1)] | None = None
    # Minimum rate of an unfinished body under memory pressure, in bytes/s.
    body_bytes_s: Annotated[float, Meta(ge=0)] = BODY_BYTES_S
    # Fraction of one core; `cores` is that core's speed relative to others.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class SettingsFile(Struct):
    """Hold the fields of the settings file that the router uses."""

    node: str
    ip: str
    # The failure domain.
    zone: str
    region: str
    listen: Listen
    internal_port_range: tuple[int, int]
    bounds: Bounds
    platform: Store
    seeds: list[str] = []
    limits: VmLimits = msgspec.field(default_factory=VmLimits)
    # Names of the guarantees that the operators ask of this deployment.
    contracts: list[str] = []


def read_settings(path: str, metrics_port: int) -> NodeSettings:
    """Read a settings file; raise SetupFailed naming every invalid field."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        raise SetupFailed(f"settings file {path}: {exc.strerror}") from exc
    return decode_settings(data, metrics_port)


def decode_settings(data: bytes, metrics_port: int) -> NodeSettings:
    """Decode a settings file; raise SetupFailed naming every invalid field."""
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise SetupFailed(f"settings file is not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise SetupFailed("settings file is not a JSON object")
    errors = _field_errors(raw, SettingsFile, "")
    if errors:
        raise SetupFailed("settings file: " + "; ".join(errors))
    return _node_settings(msgspec.convert(raw, SettingsFile), metrics_port)


def _field_errors(raw: dict, struct_type: type[Struct], prefix: str) -> list[str]:
    errors = []
    for field in msgspec.structs.fields(struct_type):
        name = prefix + field.encode_name
        if field.encode_name not in raw:
            if field.required:
                errors.append(f"{name} is missing")
            continue
        value = raw[field.encode_name]
        if isinstance(field.type, type) and issubclass(field.type, Struct):
            if isinstance(value, dict):
                errors += _field_errors(value, field.type, name + ".")
            else:
                errors.append(f"{name} is not an object")
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as exc:
            errors.append(f"{name}: {exc}")
    return errors


def _capacity_cores(limits: VmLimits) -> float:
    """Return the capacity of a VM in cores; a narrow link reduces it."""
    cores = limits.cpu_share * limits.cores
    return min(cores, limits.link_mbps / LINK_MBPS_PER_CORE)


def _node_settings(file: SettingsFile, metrics_port: int) -> NodeSettings:
    bounds = file.bounds
    # Nodes use the control port among themselves if there is one, since the seeds name
    # it; otherwise the first port of the internal range.
    internal_address = f"{file.ip}:{file.internal_port_range[0]}"
    return NodeSettings(
        name=file.node,
        failure_domain=file.zone,
        region=file.region,
        callers_address=file.listen.front,
        ready_address=file.listen.ready,
        directory_address=file.listen.directory,
        peer_address=file.listen.control or internal_address,
        seeds=tuple(file.seeds),
        store_address=file.platform.address,
        revoke_s=bounds.revoke_ms / MS_PER_S,
        drain_s=bounds.drain_ms / MS_PER_S,
        grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_slack=bounds.retry_slack,
        lease_s=bounds.lease_ms / MS_PER_S,
        weights_s=bounds.version_ms / MS_PER_S,
        directory_keep_max_s=bounds.ttl_max_s,
        limit_grace_s=bounds.contact_ms / MS_PER_S,
        quota_window_s=bounds.quota_window_s,
        quota_overshoot=bounds.quota_overshoot,
        quota_slack=bounds.quota_slack,
        client_limits=make_limits(
            file.limits.memory_mb,
            file.limits.max_fds,
            file.limits.client_memory_mb,
            file.limits.client_connections,
            file.limits.body_bytes_s,
        ),
        capacity=_capacity_cores(file.limits),
        metrics_address=f"{file.ip}:{metrics_port}",
        admission_control=CONTRACT_PRESSURE in file.contracts,
    )
