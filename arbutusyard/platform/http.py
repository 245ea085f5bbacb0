"""Call HTTP interfaces of the platform over connections that are kept open."""

import http.client
import socket
from typing import Final

from msgspec import Struct

from arbutusyard.platform.exceptions import CallUnsettled, ConnectFailed

# Unacknowledged bytes close the connection instead of hanging on it.
TCP_USER_TIMEOUT_MS: Final = 2000


class HttpAnswer(Struct, frozen=True):
    """Hold a whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes


class HttpPool:
    """Keep idle connections by address, a limited number to each."""

    __slots__ = ("_connect_s", "_idle", "_idle_max")

    def __init__(self, connect_s: float, idle_max: int) -> None:
        self._connect_s = connect_s
        self._idle_max = idle_max
        self._idle: dict[str, list[http.client.HTTPConnection]] = {}

    def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        read_s: float,
    ) -> HttpAnswer:
        """Return the answer to a request.

        Raise ConnectFailed when nothing was sent, CallUnsettled without an answer.
        """
        conn = self._acquire(address)
        whole = False
        try:
            conn.sock.settimeout(read_s)
            conn.request(method, path, body, headers)
            resp = conn.getresponse()
            data = resp.read()
            whole = True
        except (http.client.HTTPException, OSError) as exc:
            raise CallUnsettled(f"{type(exc).__name__}: {exc}") from exc
        finally:
            if not whole:
                conn.close()
        self._release(address, conn)
        names = {name.lower(): value for name, value in resp.getheaders()}
        return HttpAnswer(resp.status, names, data)

    def clear(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()

    def _acquire(self, address: str) -> http.client.HTTPConnection:
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if _quiet(conn.sock):
                return conn
            conn.close()
        host, port = address.rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=self._connect_s)
        try:
            conn.connect()
            conn.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except OSError as exc:
            conn.close()
            raise ConnectFailed(f"{address} cannot be reached: {exc}") from exc
        except BaseException:
            conn.close()
            raise
        return conn

    def _release(self, address: str, conn: http.client.HTTPConnection) -> None:
        """Keep a connection whose answer was read whole, unless that ended it."""
        idle = self._idle.setdefault(address, [])
        if conn.sock is None or len(idle) >= self._idle_max:
            conn.close()
            return
        idle.append(conn)


def _quiet(sock: socket.socket) -> bool:
    """Tell whether an idle connection stands and carries no unasked bytes."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
