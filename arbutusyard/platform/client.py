"""Call the platform's metadata store over HTTP.

The store has three interfaces: transactions on table rows, a feed of changed rows,
and objects under keys.
"""

import base64
import binascii
import logging
import math
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec

from arbutusyard import clock
from arbutusyard.const import MS_PER_S
from arbutusyard.platform.decode import COUNT_MAX, decode_json
from arbutusyard.platform.exceptions import (
    CallOutcomeUnknown,
    ConnectFailed,
    HistoryUnavailable,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from arbutusyard.platform.http import CallLimits, HttpAnswer, HttpPool
from arbutusyard.platform.models import (
    Changes,
    Check,
    Delete,
    Operation,
    Put,
    Row,
    Snapshot,
    Vm,
    VmList,
)

_LOGGER = logging.getLogger(__name__)

# Timeout of opening a connection, in seconds. The store answers in milliseconds, so a
# second without a connection is an outage.
CONNECT_TIMEOUT_S: Final = 1.0
# Timeout of a read, in seconds; a call that waits for changes adds its waiting time.
READ_TIMEOUT_S: Final = 1.2
# Timeout of a write, in seconds; it may queue behind other writes for up to a second.
WRITE_TIMEOUT_S: Final = 2.0
# Maximum time of a whole call beyond the time that it waits for changes, in seconds. A
# page of 1 MB may come over a slow link.
CALL_TIMEOUT_S: Final = 5.0
# Maximum number of bytes of an answer. The platform's specification limits a page of
# rows to 1 MB before it is encoded, and an object to 8 MiB; the rest is for its head.
ANSWER_BYTES_MAX: Final = 8_388_608 + 65_536
# Maximum number of pages of a table and of bytes of its values, in case the store never
# says that a page is the last.
TABLE_PAGES_MAX: Final = 200
TABLE_BYTES_MAX: Final = 33_554_432
# Maximum number of idle connections to the store.
IDLE_CONNECTIONS_MAX: Final = 8
# Interval for which the offset of the store's clock is measured, in seconds; longer
# than any answer takes.
CLOCK_INTERVAL_S: Final = 30.0
# Maximum number of rows in one page of a read.
PAGE_ROWS_MAX: Final = 500
TABLE_VMS: Final = "vms"

PATH_TRANSACTION: Final = "/-/rows-tx"
PATH_ROWS: Final = "/-/rows-get"
PATH_FEED: Final = "/-/rows-feed"
PATH_OBJECT_PUT: Final = "/-/blob-put/"
PATH_OBJECT_GET: Final = "/-/blob-get/"

# Header with the store's era: how often the store was restored from an older copy.
HEADER_ERA: Final = "store-era"
ERA_DIGITS_MAX: Final = 12


class PlatformClient:
    """Read and write the store's tables and objects."""

    __slots__ = (
        "_address",
        "_clock_offset_at",
        "_clock_offset_before_s",
        "_clock_offset_s",
        "_pool",
        "calls",
        "era",
    )

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = HttpPool(CONNECT_TIMEOUT_S, IDLE_CONNECTIONS_MAX)
        self.calls = 0
        self.era: int | None = None
        # The store's steady clock minus this node's, in the interval that began at
        # a time and in the one before; -inf before the first answer.
        self._clock_offset_s = -math.inf
        self._clock_offset_before_s = -math.inf
        self._clock_offset_at = -math.inf

    def commit(self, *operations: Operation) -> bool:
        """Commit operations in one transaction; return False on a version mismatch."""
        return self._transact(operations) > 0

    def put(self, operation: Put) -> int:
        """Write one row; return its new version, or 0 on a version mismatch."""
        return self._transact((operation,))

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write one row regardless of its version."""
        put = {"table": table, "part": "", "key": key, "value": _to_base64(value)}
        self._post(PATH_TRANSACTION, {"puts": [put]})

    def get(self, table: str, key: str) -> Row:
        """Read one row; an absent row has version 0."""
        for row in self._read_range(table, key, key + "\x00")[0]:
            if row.key == key:
                return row
        return Row(key, b"", 0, self.era or 0)

    def scan(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """Read the rows of a table whose keys start with a prefix."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ""
        return tuple(self._read_range(table, prefix, end)[0])

    def snapshot(self, table: str) -> Snapshot:
        """Read a complete table and the version from which to follow its changes."""
        rows, version = self._read_range(table, "", "")
        return Snapshot(tuple(rows), version, self.era or 0)

    def follow(self, table: str, after: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` for changes after a version.

        Raise HistoryUnavailable when the store no longer has all of them.
        """
        query = {"table": table, "after": after, "wait_ms": int(wait_s * MS_PER_S)}
        resp = self._get(PATH_FEED, query, READ_TIMEOUT_S + wait_s)
        answer, era = _decode_object(resp.data, PATH_FEED), _era(resp)
        answered_s = self._record_clock(answer, clock.now())
        version = _store_version(answer)
        return Changes(_decode_rows(answer, era), version, era, answered_s)

    def put_object(self, key: str, data: bytes) -> None:
        """Write an object under a key."""
        path = PATH_OBJECT_PUT + quote(key, safe="")
        self._request("PUT", path, data, timeout_s=WRITE_TIMEOUT_S)

    def get_object(self, key: str) -> bytes:
        """Read an object; return empty bytes when it is absent.

        An answer without a length may be incomplete, which only its content shows.
        """
        path = PATH_OBJECT_GET + quote(key, safe="")
        resp = self._request("GET", path, accept=(200, 404))
        if resp.status == 404:
            return b""
        if not resp.data:
            raise PlatformOutcomeUnknown(f"GET {path}: answer is empty")
        return resp.data

    def store_time_s(self, now: float) -> float:
        """Return the time of the store's steady clock, in seconds.

        It survives restarts of nodes and is the same for all of them, but for the time
        that an answer takes. 0 before the first answer.
        """
        offset_s = max(self._clock_offset_s, self._clock_offset_before_s)
        return now + offset_s if offset_s > -math.inf else 0.0

    def _record_clock(self, answer: dict[str, Any], now: float) -> float | None:
        """Record the store's clock in an answer; return it, in seconds, if it is valid.

        An answer that came late shows a clock that is behind, so the highest one of
        recent answers counts.
        """
        now_ms = answer.get("now_ms")
        if not isinstance(now_ms, int | float) or not 0 <= now_ms <= COUNT_MAX:
            return None
        store_s = now_ms / MS_PER_S
        if now - self._clock_offset_at > CLOCK_INTERVAL_S:
            self._clock_offset_at = now
            self._clock_offset_before_s = self._clock_offset_s
            self._clock_offset_s = -math.inf
        self._clock_offset_s = max(self._clock_offset_s, store_s - now)
        return store_s

    def vms(self) -> VmList:
        """Read the operators' list of VMs, which the own interface uses."""
        vms = []
        for row in self.scan(TABLE_VMS):
            try:
                vms.append(msgspec.msgpack.decode(row.value, type=Vm))
            except msgspec.DecodeError as exc:
                _LOGGER.warning(
                    "Ignored malformed VM %s in the list of VMs: %s", row.key, exc
                )
        return VmList(tuple(vms))

    def _transact(self, operations: tuple[Operation, ...]) -> int:
        body: dict[str, list[Any]] = {"if_revision": [], "puts": [], "remove": []}
        for operation in operations:
            row_id = {"table": operation.table, "part": "", "key": operation.key}
            body["if_revision"].append({**row_id, "ver": operation.if_version})
            match operation:
                case Put(value=value):
                    body["puts"].append({**row_id, "value": _to_base64(value)})
                case Delete():
                    body["remove"].append(row_id)
                case Check():
                    pass
        era = self.era
        answer = self._post(PATH_TRANSACTION, body)
        if era is not None and era != self.era:
            # The restored store reuses version numbers, so a version that the
            # conditions name may now stand for different content.
            raise PlatformOutcomeUnknown("the store was restored from an older copy")
        return 0 if answer is None else _store_version(answer)

    def _read_range(self, table: str, start: str, end: str) -> tuple[list[Row], int]:
        rows: list[Row] = []
        version = size = 0
        for _ in range(TABLE_PAGES_MAX):
            query = {"table": table, "part": "", "limit": PAGE_ROWS_MAX}
            if start:
                query["from"] = start
            if end:
                query["to"] = end
            resp = self._get(PATH_ROWS, query, READ_TIMEOUT_S)
            answer = _decode_object(resp.data, PATH_ROWS)
            self._record_clock(answer, clock.now())
            if rows and _era(resp) != rows[0].era:
                raise PlatformUnavailable("store rollback between two pages of a table")
            page = _decode_rows(answer, _era(resp))
            rows += page
            size += sum(len(row.value) for row in page)
            # Later pages may be newer than the first one. Following the table from the
            # first page's version may repeat changes but misses none.
            version = version or _store_version(answer)
            if not answer.get("more_pages") or not page:
                return rows, version
            if size > TABLE_BYTES_MAX or page[-1].key < start:
                break
            start = page[-1].key + "\x00"
        raise PlatformOutcomeUnknown(f"table {table} has no end")

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpAnswer:
        return self._request("GET", f"{path}?{urlencode(query)}", timeout_s=timeout_s)

    def _post(self, path: str, body: dict[str, Any]) -> Any:
        data = msgspec.json.encode(body)
        resp = self._request("POST", path, data, (200, 412), WRITE_TIMEOUT_S)
        return _decode_object(resp.data, path) if resp.status == 200 else None

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        accept: tuple[int, ...] = (200,),
        timeout_s: float = READ_TIMEOUT_S,
    ) -> HttpAnswer:
        self.calls += 1
        headers = {"Content-Type": "application/json"} if body is not None else {}
        # A call that waits for changes has a longer timeout than READ_TIMEOUT_S.
        limits = CallLimits(timeout_s, timeout_s + CALL_TIMEOUT_S, ANSWER_BYTES_MAX)
        try:
            resp = self._pool.request(
                method, self._address, path, headers, body, limits
            )
        except ConnectFailed as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc}") from exc
        except CallOutcomeUnknown as exc:
            # Connections become unresponsive together, so the idle ones are closed
            # and the next call opens a new one.
            self._pool.clear()
            raise PlatformOutcomeUnknown(f"{method} {path}: {exc}") from exc
        self._check_era(resp, f"{method} {path}")
        if resp.status in accept:
            return resp
        if resp.status == 410:
            raise HistoryUnavailable(
                f"{method} {path}: the store dropped these changes"
            )
        if resp.status in (429, 503):
            raise PlatformUnavailable(f"{method} {path}: status {resp.status}")
        raise PlatformOutcomeUnknown(f"{method} {path}: status {resp.status}")

    def _check_era(self, resp: HttpAnswer, call: str) -> None:
        """Record an answer's era; raise PlatformOutcomeUnknown if it is earlier."""
        era = _era(resp)
        if self.era is not None and era < self.era:
            raise PlatformOutcomeUnknown(
                f"{call}: answer is from an earlier era of the store"
            )
        if self.era is not None and era > self.era:
            _LOGGER.warning(
                "Store was restored from an older copy; its era is now %d",
                era,
                extra={"era": era, "era_before": self.era},
            )
            self._clock_offset_s = self._clock_offset_before_s = -math.inf
        self.era = era


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode_object(data: bytes, path: str) -> Any:
    try:
        answer = decode_json(data)
    except ValueError as exc:
        raise PlatformOutcomeUnknown(f"{path}: answer is not JSON: {exc}") from exc
    if not isinstance(answer, dict):
        raise PlatformOutcomeUnknown(f"{path}: answer is not a JSON object")
    return answer


def _store_version(answer: dict[str, Any]) -> int:
    version = answer.get("ver")
    if not _is_count(version):
        raise PlatformOutcomeUnknown("answer has no version of the store")
    return version


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= COUNT_MAX


def _era(resp: HttpAnswer) -> int:
    """Return the era of the store in an answer's headers; 0 without the header."""
    text = resp.headers.get(HEADER_ERA, "0").strip()
    if not text.isascii() or not text.isdecimal() or len(text) > ERA_DIGITS_MAX:
        return 0
    return int(text)


def _decode_rows(answer: dict[str, Any], era: int) -> tuple[Row, ...]:
    rows = answer.get("rows")
    # Without its rows an answer's version would hide the changes that it stands for.
    if not isinstance(rows, list):
        raise PlatformOutcomeUnknown("answer has no list of rows")
    decoded = (_decode_row(item, era) for item in rows)
    return tuple(row for row in decoded if row is not None)


def _decode_row(item: Any, era: int) -> Row | None:
    """Decode one row, version 0 if it was removed; return None if it is malformed."""
    try:
        if item.get("removed"):
            return Row(str(item["key"]), b"", 0, era)
        value = base64.b64decode(item["value"], validate=True)
        if not _is_count(item["ver"]):
            raise ValueError(f"version {item['ver']!r} is no version of a row")
        return Row(str(item["key"]), value, item["ver"], era)
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as exc:
        _LOGGER.warning("Ignored a malformed row of the store: %r", exc)
        return None
