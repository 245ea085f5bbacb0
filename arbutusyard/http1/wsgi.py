"""Read the requests of a WSGI server without holding the process."""

import io
import socket
from typing import Any, Final

import gevent
from gevent.pywsgi import Input, WSGIHandler

from arbutusyard.http1.const import YIELD_S

# Number of bytes that a handler takes from its socket before other tasks run. Chunks of
# one byte in them take about 5 ms to decode.
READ_BYTES: Final = 4096


class FairSocketReader(io.RawIOBase):
    """Read from a socket; let other tasks run after READ_BYTES bytes.

    Reads of bytes that have arrived suspend no task.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._since_yield = 0

    def readable(self) -> bool:
        """Tell that this can be read from."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read into a buffer; return the number of bytes, 0 at the end of input."""
        size = self._sock.recv_into(buffer)
        self._since_yield += size
        if self._since_yield >= READ_BYTES:
            self._since_yield = 0
            gevent.sleep(YIELD_S)
        return size


class FairHandler(WSGIHandler):
    """Let other tasks run while a request is read, however it is split."""

    def __init__(
        self, sock: socket.socket, address: Any, server: Any, rfile: Any = None
    ) -> None:
        reader = rfile or io.BufferedReader(FairSocketReader(sock), READ_BYTES)
        super().__init__(sock, address, server, reader)


class BodylessHandler(FairHandler):
    """Answer requests without their bodies, which gevent would read to the end."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environment of a request, with an empty body."""
        env = super().get_environ()
        if self.headers.get("transfer-encoding") or self.content_length:
            self.close_connection = True
        self.wsgi_input = env["wsgi.input"] = Input(self.rfile, 0)
        return env
