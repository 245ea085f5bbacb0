"""Define what routing decides on and what it decides."""

from msgspec import Struct

from arbutusyard.routing.chain import BlockHashChain


class Work(Struct, frozen=True):
    """Describe a request to be routed."""

    request_id: str
    account: str
    chain: BlockHashChain
    priority: int
    price: float
    failure_domain: str = ""


class Candidate(Struct):
    """Describe a backend server at the moment of a decision."""

    backend: str
    failure_domain: str
    wait_s: float
    queue_s: float
    full: bool
    cached: int
    prefill_piece_s: float


class Choice(Struct, frozen=True):
    """Name the chosen backend server and what is expected of it."""

    backend: str
    expected_cached: int
    expected_wait_s: float
    work_s: float
