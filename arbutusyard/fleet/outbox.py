"""Send datagrams without ever making their senders wait."""

import errno
import logging
import socket
from collections import deque

import gevent
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.fleet.const import (
    OUTBOX_BYTES_MAX,
    OUTBOX_LOG_INTERVAL_S,
    OUTBOX_RETENTION_S,
    OUTBOX_RETRY_S,
)

_LOGGER = logging.getLogger(__name__)

# Errors of a kernel whose buffers are full at the moment.
BUSY_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.ENOBUFS})


class DatagramOutbox:
    """Queue the datagrams that the kernel does not take at the moment.

    Any task may send. A blocking send would suspend the first of them on a full link,
    and fail in each further one, as only one task may wait for a socket.
    """

    __slots__ = ("_logged_at", "_queue", "_queued_bytes", "_sock", "_wake", "dropped")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._queue: deque[tuple[float, str, bytes]] = deque()
        self._queued_bytes = 0
        self._wake = Event()
        self._logged_at = float("-inf")
        self.dropped = 0

    def send(self, address: str, data: bytes, now: float) -> None:
        """Send a datagram, or queue it behind those that wait already."""
        if not self._queue and self._try_send(address, data):
            return
        self._queue.append((now, address, data))
        self._queued_bytes += len(data)
        while self._queued_bytes > OUTBOX_BYTES_MAX:
            self._drop_oldest(now)
        self._wake.set()

    def run(self) -> None:
        """Send queued datagrams as soon as the kernel takes them."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queue:
                self.flush(clock.now())
                if self._queue:
                    gevent.sleep(OUTBOX_RETRY_S)

    def flush(self, now: float) -> None:
        """Send what the kernel takes; drop what has waited for too long."""
        while self._queue:
            queued_at, address, data = self._queue[0]
            if now - queued_at > OUTBOX_RETENTION_S:
                self._drop_oldest(now)
                continue
            if not self._try_send(address, data):
                return
            self._queue.popleft()
            self._queued_bytes -= len(data)

    def _drop_oldest(self, now: float) -> None:
        _, _, data = self._queue.popleft()
        self._queued_bytes -= len(data)
        self.dropped += 1
        if now - self._logged_at >= OUTBOX_LOG_INTERVAL_S:
            self._logged_at = now
            _LOGGER.warning(
                "Datagrams to other nodes are dropped, since the kernel takes none",
                extra={"dropped": self.dropped, "queued": len(self._queue)},
            )

    def _try_send(self, address: str, data: bytes) -> bool:
        """Return False if the datagram may be sent later; log any other failure."""
        timeout_s = self._sock.gettimeout()
        # Another task waits on this socket for datagrams that arrive.
        self._sock.settimeout(0.0)
        try:
            host, port = address.rsplit(":", 1)
            self._sock.sendto(data, (host, int(port)))
        except OSError as exc:
            if exc.errno in BUSY_ERRORS:
                return False
            _LOGGER.debug("Could not send a datagram to %s: %s", address, exc)
        except (OverflowError, ValueError) as exc:
            _LOGGER.warning("No datagram can be sent to %r: %s", address, exc)
        finally:
            self._sock.settimeout(timeout_s)
        return True
