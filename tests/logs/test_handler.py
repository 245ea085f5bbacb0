"""Log lines are queued with limits and written without blocking."""

import json
import logging
import os

import gevent

from arbutusyard.logs.handler import MAX_BURST_LINES, MAX_QUEUED_LINES, BoundedHandler


def record(level=logging.INFO, created=1000.0, **extra):
    log_record = logging.LogRecord("x", level, "f", 1, "message", (), None)
    log_record.created = created
    log_record.__dict__.update(extra)
    return log_record


def test_lines_are_json_with_extra_fields():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    handler.emit(record(request_id="r1"))
    handler.flush_queue()
    line = json.loads(os.read(reader, 10_000))
    assert (line["node"], line["request_id"], line["message"]) == (
        "n1",
        "r1",
        "message",
    )


def test_rate_limit_drops_info_lines_but_keeps_warnings():
    _, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    for _ in range(int(MAX_BURST_LINES) + 100):
        handler.emit(record())
    assert handler.dropped == 100
    handler.emit(record(logging.WARNING))
    assert handler.dropped == 100


def test_full_queue_drops_lines_of_any_level():
    _, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    for _ in range(MAX_QUEUED_LINES + 5):
        handler.emit(record(logging.ERROR))
    assert handler.dropped == 5


def test_stalled_reader_does_not_block_the_process():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    task = gevent.spawn(handler.run_writer)
    for n in range(1500):
        handler.emit(record(logging.WARNING, note="x" * 200, n=n))
    gevent.sleep(0.05)
    assert not task.ready()
    assert os.read(reader, 65_536)
    task.kill()
