"""Queue log records and write them from a single task without blocking."""

import logging
import sys
from collections import deque
from typing import Final

import gevent
from gevent import os as gevent_os
from gevent.event import Event
from pythonjsonlogger.json import JsonFormatter

LOG_FIELDS: Final = "%(created)f %(levelname)s %(name)s %(message)s"
# Maximum number of lines in the queue; a line has about 300 bytes.
MAX_QUEUED_LINES: Final = 2000
# Maximum rate of lines below WARNING, in lines per second, and maximum number of them
# in a burst; more are dropped and counted.
MAX_LINES_PER_S: Final = 300.0
MAX_BURST_LINES: Final = 600.0
# Minimum interval between reports of dropped lines, in seconds.
DROP_REPORT_INTERVAL_S: Final = 1.0


class BoundedHandler(logging.Handler):
    """Hold a bounded queue of records that a separate task writes."""

    def __init__(self, fd: int, node: str) -> None:
        super().__init__()
        self.setFormatter(JsonFormatter(LOG_FIELDS, static_fields={"node": node}))
        self._fd = fd
        self._queue: deque[logging.LogRecord] = deque()
        self._wake = Event()
        self._tokens = MAX_BURST_LINES
        self._refilled_at = 0.0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if a limit is exceeded."""
        if len(self._queue) >= MAX_QUEUED_LINES or not self._within_rate_limit(record):
            self.dropped += 1
            return
        self._queue.append(record)
        self._wake.set()

    def run_writer(self) -> None:
        """Write queued records and report dropped ones until the task is killed."""
        reported = 0
        gevent_os.make_nonblocking(self._fd)
        while True:
            self._wake.wait()
            self._wake.clear()
            self.flush_queue()
            if self.dropped > reported:
                self._write(f'{{"message": "dropped {self.dropped} lines so far"}}\n')
                reported = self.dropped
                gevent.sleep(DROP_REPORT_INTERVAL_S)

    def flush_queue(self) -> None:
        """Write all records that are queued."""
        while self._queue:
            lines = [
                self._format_record(self._queue.popleft())
                for _ in range(len(self._queue))
            ]
            self._write("".join(lines))

    def _format_record(self, record: logging.LogRecord) -> str:
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
            # Nobody reads the output any more, and there is nowhere else to report it.
            self.dropped += 1

    def _within_rate_limit(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return True
        refilled = self._tokens + (record.created - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, refilled)
        self._refilled_at = record.created
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def configure_node_logging(node: str) -> BoundedHandler:
    """Set up logging of a node to standard output and start the writing task."""
    handler = BoundedHandler(sys.stdout.fileno(), node)
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.raiseExceptions = False
    gevent.spawn(handler.run_writer)
    return handler
