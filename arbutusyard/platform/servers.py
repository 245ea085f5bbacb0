"""Send orders to backend servers and read their reports and cache events."""

from typing import Any, Final

import msgspec
from msgspec import Struct

from arbutusyard.const import MS_PER_S
from arbutusyard.fleet.messages import CacheEvent, CacheEventBatch
from arbutusyard.platform.decode import Count, decode_json
from arbutusyard.platform.exceptions import (
    AnswerInvalid,
    CallOutcomeUnknown,
    ConnectFailed,
    PlatformAnswerInvalid,
    PlatformOutcomeUnknown,
)
from arbutusyard.platform.http import CallLimits, HttpAnswer, HttpPool
from arbutusyard.weights.models import LoadOrder, OrderOutcome, ServerReport

# Timeout of an answer, in seconds. A server answers an order at once; after a second
# without an answer the order's outcome counts as unknown.
CALL_TIMEOUT_S: Final = 1.0
# Maximum time of a whole call to a cache store beyond its wait for events,
# in seconds. Requests wait for no such call.
EVENTS_TIMEOUT_S: Final = 3.0
# Maximum number of bytes of a report or of the answer to an order. A report lists some
# fifty bytes for each request that runs or waits.
REPORT_BYTES_MAX: Final = 262_144
# Maximum number of bytes of an answer with cache events, some sixty for each event.
EVENTS_BYTES_MAX: Final = 2_097_152
# Timeout of opening a connection, in seconds.
CONNECT_TIMEOUT_S: Final = 0.5
# Maximum number of idle connections to each cache store.
IDLE_CONNECTIONS_MAX: Final = 4

PATH_ORDER: Final = "/-/order"
PATH_REPORT: Final = "/-/report"
PATH_EVENTS: Final = "/-/kv-events"
# Maximum time that a cache store waits for events before it answers, in milliseconds.
# Calls with a shorter wait are priced like health checks.
EVENTS_WAIT_MS: Final = 1000
# Minimum number of fields of a cache event.
EVENT_FIELDS_MIN: Final = 4

OUTCOMES_BY_STATUS: Final = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_SERVER,
    400: OrderOutcome.REFUSED,
}


class WireReportModel(Struct):
    """Decode a model that a server has loaded."""

    name: str
    version: Count


class WireReport(Struct):
    """Decode a backend server's report of its state."""

    # The server is loading weights.
    busy: bool
    # Number of accepted orders; in entries it is the number of heartbeats.
    sequence: Count
    models: list[WireReportModel] = []
    # Number of waiting requests.
    queue_depth: Count = 0
    # Number of running requests.
    in_flight: Count = 0
    kv_used: Count = 0
    # Start time of the incarnation, in milliseconds.
    born: Count = 0


class WireEvents(Struct):
    """Decode the segments that a cache store has stored and dropped."""

    # The incarnation of the cache store.
    boot_epoch: Count
    # The position from which to read further events.
    next: Count
    # Each is [number, "+" or "-", salt, segment ID, tokens, model]; "+" means stored.
    events: list[list[Any]] = []


class ServerClient:
    """Call the interfaces of backend servers that clients do not use."""

    __slots__ = ("_pool", "_single_calls")

    def __init__(self) -> None:
        self._pool = HttpPool(CONNECT_TIMEOUT_S, IDLE_CONNECTIONS_MAX)
        # Orders and reports have no IDs, so on a connection that was used before a late
        # copy of an answer would pass for the next one.
        self._single_calls = HttpPool(CONNECT_TIMEOUT_S, idle_max=0)

    def order_load(self, order: LoadOrder) -> OrderOutcome:
        """Order a load of weights; raise PlatformOutcomeUnknown without an answer."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "switch_mode": order.mode.value,
            "holder": order.owner,
            "fencing_token": order.fencing_token,
            "if_revision": order.orders_taken,
        }
        resp = self._call_incarnation(
            "POST", order.address, PATH_ORDER, order.server_id, body
        )
        outcome = OUTCOMES_BY_STATUS.get(resp.status)
        if outcome is None:
            raise PlatformOutcomeUnknown(f"order: unexpected status {resp.status}")
        return outcome

    def report(self, address: str, server_id: str) -> ServerReport:
        """Read a server's report; raise PlatformOutcomeUnknown if there is none."""
        resp = self._call_incarnation("GET", address, PATH_REPORT, server_id, None)
        if resp.status != 200:
            raise PlatformAnswerInvalid(f"report: status {resp.status}")
        try:
            wire = decode_json(resp.data, WireReport)
        except ValueError as exc:
            raise PlatformAnswerInvalid(f"report is malformed: {exc}") from exc
        return ServerReport(
            loading=wire.busy,
            orders_taken=wire.sequence,
            weights={model.name: model.version for model in wire.models},
            waiting=wire.queue_depth,
            running=wire.in_flight,
            started_at_ms=wire.born,
        )

    def poll_cache_events(self, address: str, since: int) -> CacheEventBatch:
        """Wait for events of a cache store.

        The store answers within EVENTS_WAIT_MS even if there are no events; raise
        PlatformOutcomeUnknown without an answer.
        """
        path = f"{PATH_EVENTS}?since={since}"
        headers = {"Wait-Ms": str(EVENTS_WAIT_MS)}
        wait_s = EVENTS_WAIT_MS / MS_PER_S
        limits = CallLimits(
            CALL_TIMEOUT_S + wait_s, EVENTS_TIMEOUT_S + wait_s, EVENTS_BYTES_MAX
        )
        resp = self._request(self._pool, "GET", address, path, headers, None, limits)
        if resp.status != 200:
            raise PlatformOutcomeUnknown(
                f"cache events of {address}: status {resp.status}"
            )
        try:
            wire = decode_json(resp.data, WireEvents)
        except ValueError as exc:
            raise PlatformAnswerInvalid(f"cache events are malformed: {exc}") from exc
        events = tuple(
            CacheEvent(item[1] == "+", str(item[2]), str(item[3]))
            for item in wire.events
            if len(item) >= EVENT_FIELDS_MIN
        )
        return CacheEventBatch(wire.boot_epoch, wire.next, events)

    def _call_incarnation(
        self, method: str, address: str, path: str, server_id: str, body: Any
    ) -> HttpAnswer:
        limits = CallLimits(CALL_TIMEOUT_S, CALL_TIMEOUT_S, REPORT_BYTES_MAX)
        headers = {"Expect-Instance": server_id}
        return self._request(
            self._single_calls, method, address, path, headers, body, limits
        )

    def _request(
        self,
        pool: HttpPool,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: Any,
        limits: CallLimits,
    ) -> HttpAnswer:
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = msgspec.json.encode(body)
        try:
            return pool.request(method, address, path, headers, data, limits)
        except AnswerInvalid as exc:
            raise PlatformAnswerInvalid(f"{method} {address}{path}: {exc}") from exc
        except (ConnectFailed, CallOutcomeUnknown) as exc:
            raise PlatformOutcomeUnknown(f"{method} {address}{path}: {exc}") from exc
