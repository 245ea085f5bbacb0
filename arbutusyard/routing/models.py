"""Define the inputs and results of routing decisions."""

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
    """Hold the state of a backend server when a request is routed."""

    backend: str
    failure_domain: str
    wait_s: float
    queue_s: float
    full: bool
    cached: int
    block_prefill_s: float


class Choice(Struct, frozen=True):
    """Hold the chosen backend server, its expected cache hits, wait and prompt work."""

    backend: str
    expected_cached: int
    expected_wait_s: float
    work_s: float
