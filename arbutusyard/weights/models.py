"""Define orders to load weights and what servers report."""

import enum

from msgspec import Struct


class SwitchMode(enum.Enum):
    """Name what happens to the runs in flight when weights are loaded."""

    WAIT = "wait"
    CUT = "cut"
    KEEP = "keep"


class OrderOutcome(enum.Enum):
    """Name the answers of a server to an order."""

    HOLDS = "holds"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"


class LoadOrder(Struct, frozen=True):
    """Order one server incarnation to load a version of a model's weights.

    The server executes it only if it has accepted exactly `orders_taken` orders.
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
    """Hold the state that a server reports about itself."""

    loading: bool
    orders_taken: int
    weights: dict[str, int]
    waiting: int
    running: int
    started_at_ms: int = 0
