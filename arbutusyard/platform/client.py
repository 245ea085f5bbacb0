"""Call the platform's metadata store over HTTP."""

import base64
import binascii
import logging
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec

from arbutusyard.const import MS_PER_S
from arbutusyard.platform.exceptions import (
    CallUnsettled,
    ConnectFailed,
    HistoryGone,
    PlatformUnavailable,
    PlatformUnsettled,
)
from arbutusyard.platform.http import HttpAnswer, HttpPool
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

# The store answers in milliseconds; a second without a connection is an outage.
CONNECT_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 1.2
# A write may wait for up to a second of others before it.
WRITE_TIMEOUT_S: Final = 2.0
POOL_SIZE: Final = 8
PAGE_ROWS: Final = 500
TABLE_VMS: Final = "vms"

PATH_TRANSACTION: Final = "/-/rows-tx"
PATH_ROWS: Final = "/-/rows-get"
PATH_FEED: Final = "/-/rows-feed"
PATH_OBJECT_PUT: Final = "/-/blob-put/"
PATH_OBJECT_GET: Final = "/-/blob-get/"

# Counts how often the store came back from an older copy of its rows.
HEADER_ERA: Final = "store-era"


class PlatformClient:
    """Read and write the store's tables and objects."""

    __slots__ = ("_address", "_pool", "calls", "era")

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = HttpPool(CONNECT_TIMEOUT_S, POOL_SIZE)
        self.calls = 0
        self.era: int | None = None

    def commit(self, *ops: Operation) -> bool:
        """Commit operations together; return False on a version mismatch."""
        return self._transact(ops) > 0

    def put(self, op: Put) -> int:
        """Write one row; return its new version, or 0 on a version mismatch."""
        return self._transact((op,))

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write one row whatever its version."""
        put = {"table": table, "part": "", "key": key, "value": _text(value)}
        self._call(PATH_TRANSACTION, {"puts": [put]})

    def get(self, table: str, key: str) -> Row:
        """Read one row; version 0 stands for an absent row."""
        for row in self._range(table, key, key + "\x00")[0]:
            if row.key == key:
                return row
        return Row(key, b"", 0, self.era or 0)

    def scan(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """Read the rows of a table whose keys start with a prefix."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ""
        return tuple(self._range(table, prefix, end)[0])

    def snapshot(self, table: str) -> Snapshot:
        """Read a table whole, with the version from which to follow it."""
        rows, version = self._range(table, "", "")
        return Snapshot(tuple(rows), version, self.era or 0)

    def follow(self, table: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a version; raise HistoryGone when they are lost."""
        query = {"table": table, "after": after, "wait_ms": int(wait_s * MS_PER_S)}
        resp = self._get(PATH_FEED, query, READ_TIMEOUT_S + wait_s)
        answer, era = _decode(resp.data, PATH_FEED), _era(resp)
        return Changes(_rows(answer, era), _version(answer), era)

    def put_object(self, key: str, data: bytes) -> None:
        """Store an object under a key."""
        path = PATH_OBJECT_PUT + quote(key, safe="")
        self._request("PUT", path, data, timeout_s=WRITE_TIMEOUT_S)

    def get_object(self, key: str) -> bytes:
        """Read an object; return no bytes when it is absent."""
        path = PATH_OBJECT_GET + quote(key, safe="")
        resp = self._request("GET", path, accept=(200, 404))
        return resp.data if resp.status == 200 else b""

    def vms(self) -> VmList:
        """Read the list of VMs that operators keep for the own interface."""
        vms = []
        for row in self.scan(TABLE_VMS):
            try:
                vms.append(msgspec.msgpack.decode(row.value, type=Vm))
            except msgspec.DecodeError as exc:
                _LOGGER.warning("Ignored VM %s of the list: %s", row.key, exc)
        return VmList(tuple(vms))

    def _transact(self, ops: tuple[Operation, ...]) -> int:
        body: dict[str, list[Any]] = {"if_revision": [], "puts": [], "remove": []}
        for op in ops:
            where = {"table": op.table, "part": "", "key": op.key}
            body["if_revision"].append({**where, "ver": op.if_version})
            match op:
                case Put(value=value):
                    body["puts"].append({**where, "value": _text(value)})
                case Delete():
                    body["remove"].append(where)
                case Check():
                    pass
        era = self.era
        answer = self._call(PATH_TRANSACTION, body)
        if era is not None and era != self.era:
            # Its conditions named versions that the store has given out again.
            raise PlatformUnsettled("the store came back from an older copy")
        return 0 if answer is None else _version(answer)

    def _range(self, table: str, start: str, end: str) -> tuple[list[Row], int]:
        rows: list[Row] = []
        version = 0
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            if end:
                query["to"] = end
            resp = self._get(PATH_ROWS, query, READ_TIMEOUT_S)
            answer = _decode(resp.data, PATH_ROWS)
            if rows and _era(resp) != rows[0].era:
                raise PlatformUnavailable("the pages of a table are of two eras")
            page = _rows(answer, _era(resp))
            rows += page
            # A later page may be newer; following from the first one repeats
            # changes but misses none.
            version = version or _version(answer)
            if not answer.get("more_pages") or not page:
                return rows, version
            start = page[-1].key + "\x00"

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpAnswer:
        return self._request("GET", f"{path}?{urlencode(query)}", timeout_s=timeout_s)

    def _call(self, path: str, body: dict[str, Any]) -> Any:
        data = msgspec.json.encode(body)
        resp = self._request("POST", path, data, (200, 412), WRITE_TIMEOUT_S)
        return _decode(resp.data, path) if resp.status == 200 else None

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
        try:
            resp = self._pool.request(
                method, self._address, path, headers, body, timeout_s
            )
        except ConnectFailed as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc}") from exc
        except CallUnsettled as exc:
            # Connections fall silent together; the next call opens a new one.
            self._pool.clear()
            raise PlatformUnsettled(f"{method} {path}: {exc}") from exc
        self._check_era(resp, f"{method} {path}")
        if resp.status in accept:
            return resp
        if resp.status == 410:
            raise HistoryGone(f"{method} {path}: the history is no longer kept")
        if resp.status in (429, 503):
            raise PlatformUnavailable(f"{method} {path}: status {resp.status}")
        raise PlatformUnsettled(f"{method} {path}: status {resp.status}")

    def _check_era(self, resp: HttpAnswer, call: str) -> None:
        """Take note of the era; raise PlatformUnsettled when it is over."""
        era = _era(resp)
        if self.era is not None and era < self.era:
            raise PlatformUnsettled(f"{call}: the answer is of an earlier era")
        if self.era is not None and era > self.era:
            _LOGGER.warning(
                "The store came back from an older copy: era %d",
                era,
                extra={"era": era, "era_before": self.era},
            )
        self.era = era


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode(data: bytes, path: str) -> Any:
    try:
        answer = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise PlatformUnsettled(f"{path}: answer is not JSON: {exc}") from exc
    if not isinstance(answer, dict):
        raise PlatformUnsettled(f"{path}: answer is not an object")
    return answer


def _list(answer: dict[str, Any], field: str) -> list[Any]:
    value = answer.get(field)
    return value if isinstance(value, list) else []


def _version(answer: dict[str, Any]) -> int:
    version = answer.get("ver")
    if not isinstance(version, int):
        raise PlatformUnsettled("the answer names no version of the store")
    return version


def _era(resp: HttpAnswer) -> int:
    """Return the era that an answer names; 0 when it names none."""
    text = resp.headers.get(HEADER_ERA, "0").strip()
    return int(text) if text.isdecimal() else 0


def _rows(answer: dict[str, Any], era: int) -> tuple[Row, ...]:
    found = (_row(item, era) for item in _list(answer, "rows"))
    return tuple(row for row in found if row is not None)


def _row(item: Any, era: int) -> Row | None:
    """Decode one row; a removed row has version 0."""
    try:
        if item.get("removed"):
            return Row(str(item["key"]), b"", 0, era)
        value = base64.b64decode(item["value"], validate=True)
        return Row(str(item["key"]), value, int(item["ver"]), era)
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as exc:
        _LOGGER.warning("Ignored a row that cannot be read: %r", exc)
        return None
