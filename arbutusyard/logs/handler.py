"""Queue log records and write them from one task."""

import logging
import sys
from collections import deque
from typing import Final

import gevent
from gevent import os as gevent_os
from gevent.event import Event
from pythonjsonlogger.json import JsonFormatter

LOG_FIELDS: Final = "%(created)f %(levelname)s %(name)s %(message)s"
# Lines that wait at most; a line has some 300 bytes.
QUEUE_LINES: Final = 2000
# Lines below WARNING a second; above it they are counted and dropped.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0
DROP_REPORT_S: Final = 1.0


class BoundedHandler(logging.Handler):
    """Keep a bounded number of records until a task writes them."""

    def __init__(self, fd: int, node: str) -> None:
        super().__init__()
        self.setFormatter(JsonFormatter(LOG_FIELDS, static_fields={"node": node}))
        self._fd = fd
        self._queue: deque[logging.LogRecord] = deque()
        self._wake = Event()
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        if len(self._queue) >= QUEUE_LINES or not self._allowed(record):
            self.dropped += 1
            return
        self._queue.append(record)
        self._wake.set()

    def write_forever(self) -> None:
        """Write queued records."""
        reported = 0
        gevent_os.make_nonblocking(self._fd)
        while True:
            self._wake.wait()
            self._wake.clear()
            self.flush_queue()
            if self.dropped > reported:
                self._write(f'{{"message": "dropped {self.dropped} lines so far"}}\n')
                reported = self.dropped
                gevent.sleep(DROP_REPORT_S)

    def flush_queue(self) -> None:
        """Write what is queued now."""
        while self._queue:
            lines = [self._line(self._queue.popleft()) for _ in range(len(self._queue))]
            self._write("".join(lines))

    def _line(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record) + "\n"
        except (TypeError, ValueError) as exc:
            return f'{{"message": "a line cannot be written: {exc}"}}\n'

    def _write(self, text: str) -> None:
        data = text.encode()
        try:
            while data:
                data = data[gevent_os.nb_write(self._fd, data) :]
        except OSError:
            # Nobody the output any more; there is nowhere to say so.
            self.dropped += 1

    def _allowed(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return True
        filled = self._tokens + (record.created - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, filled)
        self._filled_at = record.created
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def configure_node_logging(node: str) -> BoundedHandler:
    """Send all log lines of a node to standard output."""
    handler = BoundedHandler(sys.stdout.fileno(), node)
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.raiseExceptions = False
    gevent.spawn(handler.write_forever)
    return handler
