"""Define the models of the generated configuration."""

from msgspec import Struct


class Account(Struct, frozen=True):
    """Describe a client account and its limits."""

    name: str
    key_hash: str
    tokens_per_s: int
    concurrency: int
    large: bool = False


class WorkClass(Struct, frozen=True):
    """Describe a class of work; a lower priority number is served first."""

    name: str
    priority: int
    first_token_s: float
    deadline_s: float


class Model(Struct, frozen=True):
    """Name a model and the weights version that its engines must load."""

    name: str
    weights_version: str


class ServiceCall(Struct, frozen=True):
    """Describe calls of a plain service, matched by method and path prefix."""

    method: str
    path: str
    idempotent: bool


class Service(Struct, frozen=True):
    """Describe a plain service and the calls that it accepts."""

    name: str
    timeout_s: float
    calls: tuple[ServiceCall, ...]


class Workload(Struct, frozen=True):
    """Hold everything that is generated from one questionnaire."""

    name: str
    region: str
    recompute_price: float
    default_class: str
    models: tuple[Model, ...]
    classes: tuple[WorkClass, ...]
    accounts: tuple[Account, ...]
    services: tuple[Service, ...]


class Configuration(Struct, frozen=True):
    """Hold every workload at one revision."""

    revision: int
    change_id: str
    workloads: tuple[Workload, ...] = ()
