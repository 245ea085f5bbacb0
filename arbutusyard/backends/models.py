"""Define backend servers and their load reports."""

import enum

from msgspec import Struct

from arbutusyard.routing.load import QueuePart


class BackendState(enum.Enum):
    """Name the states of a backend server; only a live one gets new work."""

    LIVE = "live"
    LOADING = "loading"
    LEAVING = "leaving"
    DOWN = "down"


class EngineReport(Struct, frozen=True):
    """Hold the load report of a backend server; age_s is its age, in seconds."""

    kind: str
    leaving: bool = False
    model: str = ""
    weights_version: str = ""
    incarnation: str = ""
    queue_s: float = 0.0
    queue_parts: tuple[QueuePart, ...] = ()
    running: int = 0
    max_batch: int = 32
    prefill_piece_s: float = 0.1
    import_piece_s: float = 0.1
    decode_step_s: float = 0.02
    loading: bool = False
    fence: int = 0
    checks_fence: bool = False
    age_s: float = 0.0


class Backend(Struct, frozen=True):
    """Describe a backend server as known to this node."""

    name: str
    role: str
    serves: str
    address: str
    failure_domain: str
    state: BackendState
    report: EngineReport
