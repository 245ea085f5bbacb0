"""Give orders to backend servers and ask for their reports."""

from typing import Any, Final

import msgspec
from msgspec import Struct

from arbutusyard.const import MS_PER_S
from arbutusyard.fleet.messages import CacheEvent, CacheEventBatch
from arbutusyard.platform.exceptions import (
    CallUnsettled,
    ConnectFailed,
    PlatformUnsettled,
)
from arbutusyard.platform.http import HttpAnswer, HttpPool
from arbutusyard.weights.models import LoadOrder, OrderOutcome, ServerReport

# A server answers an order at once; a second without an answer leaves it open.
CALL_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5
POOL_SIZE: Final = 4

PATH_ORDER: Final = "/-/order"
PATH_REPORT: Final = "/-/report"
PATH_EVENTS: Final = "/-/kv-events"
# Calls that wait less are priced like health checks.
EVENTS_WAIT_MS: Final = 1000
EVENT_FIELDS: Final = 4

OUTCOMES: Final = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_SERVER,
    400: OrderOutcome.REFUSED,
}


class WireReportModel(Struct):
    """Decode a model that a report names."""

    name: str
    version: int


class WireReport(Struct):
    """Decode a backend server's report on itself."""

    busy: bool
    # Counts the orders that were accepted; in entries it counts heartbeats.
    sequence: int
    models: list[WireReportModel] = []
    queue_depth: int = 0
    in_flight: int = 0
    kv_used: int = 0
    born: int = 0


class WireEvents(Struct):
    """Decode what a cache store has taken in and dropped."""

    boot_epoch: int
    next: int
    # Each is [number, "+" or "-", salt, part, tokens, model].
    events: list[list[Any]] = []


class ServerClient:
    """Call the interfaces of backend servers that serve no caller."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = HttpPool(CONNECT_TIMEOUT_S, POOL_SIZE)

    def order_load(self, order: LoadOrder) -> OrderOutcome:
        """Order a server to load weights; raise PlatformUnsettled without an answer."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "switch_mode": order.mode.value,
            "holder": order.owner,
            "fencing_token": order.fencing_token,
            "if_revision": order.orders_taken,
        }
        resp = self._call("POST", order.address, PATH_ORDER, order.server_id, body)
        outcome = OUTCOMES.get(resp.status)
        if outcome is None:
            raise PlatformUnsettled(f"order: status {resp.status}")
        return outcome

    def report(self, address: str, server_id: str) -> ServerReport:
        """Ask a server for its report; raise PlatformUnsettled without one."""
        resp = self._call("GET", address, PATH_REPORT, server_id, None)
        if resp.status != 200:
            raise PlatformUnsettled(f"report: status {resp.status}")
        try:
            wire = msgspec.json.decode(resp.data, type=WireReport)
        except msgspec.DecodeError as exc:
            raise PlatformUnsettled(f"report cannot be read: {exc}") from exc
        return ServerReport(
            loading=wire.busy,
            orders_taken=wire.sequence,
            weights={model.name: model.version for model in wire.models},
            waiting=wire.queue_depth,
            running=wire.in_flight,
            started_at_ms=wire.born,
        )

    def watch_cache(self, address: str, since: int) -> CacheEventBatch:
        """Wait for a sign of life of a cache store; raise PlatformUnsettled on none."""
        path = f"{PATH_EVENTS}?since={since}"
        headers = {"Wait-Ms": str(EVENTS_WAIT_MS)}
        wait_s = EVENTS_WAIT_MS / MS_PER_S
        resp = self._request("GET", address, path, headers, None, wait_s)
        if resp.status != 200:
            raise PlatformUnsettled(f"events of {address}: status {resp.status}")
        try:
            wire = msgspec.json.decode(resp.data, type=WireEvents)
        except msgspec.DecodeError as exc:
            raise PlatformUnsettled(f"events cannot be read: {exc}") from exc
        events = tuple(
            CacheEvent(item[1] == "+", str(item[2]), str(item[3]))
            for item in wire.events
            if len(item) >= EVENT_FIELDS
        )
        return CacheEventBatch(wire.boot_epoch, wire.next, events)

    def _call(
        self, method: str, address: str, path: str, server_id: str, body: Any
    ) -> HttpAnswer:
        return self._request(
            method, address, path, {"Expect-Instance": server_id}, body, 0.0
        )

    def _request(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: Any,
        wait_s: float,
    ) -> HttpAnswer:
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = msgspec.json.encode(body)
        read_s = CALL_TIMEOUT_S + wait_s
        try:
            return self._pool.request(method, address, path, headers, data, read_s)
        except (ConnectFailed, CallUnsettled) as exc:
            raise PlatformUnsettled(f"{method} {address}{path}: {exc}") from exc
