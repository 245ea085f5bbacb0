"""Call backend servers for their load and give them orders."""

import enum
from typing import Final

import msgspec
import urllib3
from msgspec import Struct
from urllib3.exceptions import HTTPError

from arbutusyard.backends.const import ORDER_TIMEOUT_S, POLL_TIMEOUT_S
from arbutusyard.backends.exceptions import BackendLost, OrderRefused
from arbutusyard.backends.models import EngineReport

STATUS_FENCED: Final = 412
POOL_SIZE: Final = 4


class OrderKind(enum.Enum):
    """Name the orders that an engine takes."""

    LOAD_VERSION = "load_version"


class Order(Struct, frozen=True):
    """State a desired end state under a fencing number."""

    kind: OrderKind
    version: str
    fence: int


class BackendClient:
    """Read reports and send orders."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def report(self, address: str) -> EngineReport:
        """Read a backend server's report; raise BackendLost when it has none."""
        try:
            resp = self._pool.request(
                "GET", f"http://{address}/load", timeout=POLL_TIMEOUT_S
            )
            return msgspec.json.decode(resp.data, type=EngineReport)
        except (HTTPError, OSError, msgspec.DecodeError) as exc:
            raise BackendLost(f"no report from {address}: {exc}") from exc

    def order(self, address: str, order: Order) -> None:
        """Send an order; raise OrderRefused when its fencing number is older."""
        try:
            resp = self._pool.request(
                "POST",
                f"http://{address}/orders",
                body=msgspec.json.encode(order),
                timeout=ORDER_TIMEOUT_S,
            )
        except (HTTPError, OSError) as exc:
            raise BackendLost(f"order to {address} unanswered: {exc}") from exc
        if resp.status == STATUS_FENCED:
            raise OrderRefused(f"{address} refused fencing number {order.fence}")
