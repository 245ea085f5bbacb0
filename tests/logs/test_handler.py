"""Write log lines without blocking, and say what was dropped."""

import json
import logging
import os

import gevent

from arbutusyard.logs.handler import BURST_LINES, QUEUE_LINES, BoundedHandler


def record(level=logging.INFO, created=1000.0, **extra):
    made = logging.LogRecord("x", level, "f", 1, "message", (), None)
    made.created = created
    made.__dict__.update(extra)
    return made


def test_lines_are_json_with_their_fields():
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


def test_a_flood_of_lines_is_bounded_but_failures_are_kept():
    _, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    for _ in range(int(BURST_LINES) + 100):
        handler.emit(record())
    assert handler.dropped == 100
    handler.emit(record(logging.WARNING))
    assert handler.dropped == 100


def test_the_queue_is_bounded_whoever_writes():
    _, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    for _ in range(QUEUE_LINES + 5):
        handler.emit(record(logging.ERROR))
    assert handler.dropped == 5


def test_a_reader_that_stands_still_blocks_nobody():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, "n1")
    task = gevent.spawn(handler.write_forever)
    for n in range(1500):
        handler.emit(record(logging.WARNING, note="x" * 200, n=n))
    gevent.sleep(0.05)
    assert not task.ready()
    assert os.read(reader, 65_536)
    task.kill()
