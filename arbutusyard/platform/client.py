"""Call the platform over HTTP."""

from typing import Final, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from arbutusyard.platform.exceptions import PlatformUnavailable, PlatformUnsettled
from arbutusyard.platform.models import (
    Operation,
    Put,
    Row,
    RowList,
    Transaction,
    TransactionResult,
    VmList,
)

CONNECT_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 2.0
POOL_SIZE: Final = 32

T = TypeVar("T")


class PlatformClient:
    """Read and write the table service and the object store."""

    __slots__ = ("_base", "_pool", "calls")

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(
            maxsize=POOL_SIZE, timeout=timeout, retries=False
        )
        self.calls = 0

    def commit(self, *ops: Operation) -> bool:
        """Commit operations together; return False on a version mismatch."""
        return self._transact(ops).committed

    def put(self, op: Put) -> int:
        """Write one row; return its new version, or 0 on a version mismatch."""
        result = self._transact((op,))
        return result.versions[0] if result.committed else 0

    def get(self, table: str, key: str) -> Row:
        """Read one row; version 0 stands for an absent row."""
        return self._read(f"/table/{table}/row/{key}", Row)

    def scan(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """Read the rows of a table whose keys start with a prefix."""
        return self._read(f"/table/{table}/scan/{prefix}", RowList).rows

    def put_object(self, key: str, data: bytes) -> None:
        """Store an object under a key."""
        self._call("PUT", f"/objects/{key}", data)

    def get_object(self, key: str) -> bytes:
        """Read an object; return no bytes when it is absent."""
        return self._call("GET", f"/objects/{key}")

    def vms(self) -> VmList:
        """Read the platform's lagging list of VMs."""
        return self._read("/vms", VmList)

    def _transact(self, ops: tuple[Operation, ...]) -> TransactionResult:
        body = msgspec.msgpack.encode(Transaction(ops))
        data = self._call("POST", "/table/txn", body)
        return msgspec.msgpack.decode(data, type=TransactionResult)

    def _read(self, path: str, kind: type[T]) -> T:
        return msgspec.msgpack.decode(self._call("GET", path), type=kind)

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        self.calls += 1
        try:
            resp = self._pool.request(method, self._base + path, body=body)
        except (NewConnectionError, ConnectTimeoutError, MaxRetryError) as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc}") from exc
        except (HTTPError, OSError) as exc:
            raise PlatformUnsettled(f"{method} {path}: {exc}") from exc
        if resp.status == 503:
            raise PlatformUnavailable(f"{method} {path}: the platform is down")
        if resp.status >= 400:
            raise PlatformUnsettled(f"{method} {path}: status {resp.status}")
        return resp.data
