"""Call the platform's HTTP interfaces over persistent connections."""

import http.client
import socket
from typing import Final

from msgspec import Struct

from arbutusyard.platform.exceptions import CallOutcomeUnknown, ConnectFailed

# Maximum time that sent bytes may stay unacknowledged before the kernel closes the
# connection, in milliseconds; without it, a call on a dead connection would hang.
TCP_USER_TIMEOUT_MS: Final = 2000


class HttpAnswer(Struct, frozen=True):
    """Hold a complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes


class HttpPool:
    """Reuse connections; hold up to `idle_max` idle ones to each address."""

    __slots__ = ("_connect_timeout_s", "_idle", "_idle_max")

    def __init__(self, connect_timeout_s: float, idle_max: int) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._idle: dict[str, list[http.client.HTTPConnection]] = {}

    def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        read_timeout_s: float,
    ) -> HttpAnswer:
        """Send a request and return the answer.

        Raise ConnectFailed when nothing was sent, CallOutcomeUnknown when the request
        was sent, at least in part, without a complete answer.
        """
        conn = self._acquire(address)
        complete = False
        try:
            conn.sock.settimeout(read_timeout_s)
            conn.request(method, path, body, headers)
            resp = conn.getresponse()
            data = resp.read()
            complete = True
        except (http.client.HTTPException, OSError) as exc:
            raise CallOutcomeUnknown(f"{type(exc).__name__}: {exc}") from exc
        finally:
            if not complete:
                conn.close()
        self._release(address, conn)
        response_headers = {name.lower(): value for name, value in resp.getheaders()}
        return HttpAnswer(resp.status, response_headers, data)

    def clear(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()

    def _acquire(self, address: str) -> http.client.HTTPConnection:
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if _is_reusable(conn.sock):
                return conn
            conn.close()
        host, port = address.rsplit(":", 1)
        conn = http.client.HTTPConnection(
            host, int(port), timeout=self._connect_timeout_s
        )
        try:
            conn.connect()
            conn.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except OSError as exc:
            conn.close()
            raise ConnectFailed(f"{address} is unreachable: {exc}") from exc
        except BaseException:
            conn.close()
            raise
        return conn

    def _release(self, address: str, conn: http.client.HTTPConnection) -> None:
        """Keep a connection as idle unless it was closed or enough are idle."""
        idle = self._idle.setdefault(address, [])
        if conn.sock is None or len(idle) >= self._idle_max:
            conn.close()
            return
        idle.append(conn)


def _is_reusable(sock: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unexpected bytes."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
