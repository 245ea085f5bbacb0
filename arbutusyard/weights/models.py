"""Define orders to load weights and what servers report."""

import enum

from msgspec import Struct


class SwitchMode(enum.Enum):
    """Say what becomes of the runs that a load of weights meets."""

    WAIT = "wait"
    CUT = "cut"
    KEEP = "keep"


class OrderOutcome(enum.Enum):
    """Name a server's answer to an order."""

    HOLDS = "holds"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"


class LoadOrder(Struct, frozen=True):
    """Order one lifetime of a server to load a version of a model's weights.

    The server carries it out only while it has taken `orders_taken` orders.
    """

    server_id: str
    address: str
    model: str
    version: int
    mode: SwitchMode
    owner: str
    fencing_token: int
    orders_taken: int


class ServerReport(Struct, frozen=True):
    """Hold what a server reported of itself."""

    loading: bool
    orders_taken: int
    weights: dict[str, int]
    waiting: int
    running: int
    started_at_ms: int = 0
