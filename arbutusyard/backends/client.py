"""Read backend servers' load reports and send them orders over HTTP."""

import enum
from typing import Final

import msgspec
import urllib3
from msgspec import Struct
from urllib3.exceptions import HTTPError

from arbutusyard.backends.const import ORDER_TIMEOUT_S, POLL_TIMEOUT_S
from arbutusyard.backends.exceptions import BackendAnswerLost, OrderRefused
from arbutusyard.backends.models import EngineReport

# HTTP status of a load report.
STATUS_OK: Final = 200
# HTTP status of an order refused for its fencing token.
STATUS_FENCED: Final = 412
# Maximum number of idle connections kept per backend server.
POOL_SIZE: Final = 4


class OrderKind(enum.Enum):
    """Name the orders that an engine accepts."""

    LOAD_VERSION = "load_version"


class Order(Struct, frozen=True):
    """Hold an engine's desired state and the fencing token of the sender's lease."""

    kind: OrderKind
    version: str
    fence: int


class BackendClient:
    """Read load reports and send orders."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def fetch_report(self, address: str) -> EngineReport:
        """Read a backend server's report; raise BackendAnswerLost if that fails."""
        try:
            resp = self._pool.request(
                "GET", f"http://{address}/load", timeout=POLL_TIMEOUT_S
            )
            if resp.status != STATUS_OK:
                raise BackendAnswerLost(
                    f"{address} answered {resp.status} in place of a load report"
                )
            return msgspec.json.decode(resp.data, type=EngineReport)
        except (HTTPError, OSError, msgspec.DecodeError) as exc:
            raise BackendAnswerLost(
                f"could not read the load report of {address}: {exc}"
            ) from exc

    def send_order(self, address: str, order: Order) -> None:
        """Send an order; raise OrderRefused when its fencing token is outdated."""
        try:
            resp = self._pool.request(
                "POST",
                f"http://{address}/orders",
                body=msgspec.json.encode(order),
                timeout=ORDER_TIMEOUT_S,
            )
        except (HTTPError, OSError) as exc:
            raise BackendAnswerLost(
                f"order to {address} was not answered: {exc}"
            ) from exc
        if resp.status == STATUS_FENCED:
            raise OrderRefused(
                f"{address} refused an order with outdated fencing token {order.fence}"
            )
