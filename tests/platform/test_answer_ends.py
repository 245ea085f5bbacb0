"""Test that no part of an answer of the store or of a server counts as the whole."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.servers import ServerClient
from arbutusyard.weights.models import LoadOrder, SwitchMode
from tests.framing import FRAMINGS, frame
from tests.raw_server import RawServer

ENDS = (st.sampled_from(FRAMINGS), st.floats(0.0, 1.0), st.booleans())
ROWS = [
    {"table": "t", "part": "", "key": f"k{n}", "value": "", "ver": n} for n in (1, 2)
]
STORE_ANSWER = {"rows": ROWS, "ver": 12, "now_ms": 1}
REPORT = {"busy": False, "sequence": 12, "models": [{"name": "m", "version": 34}]}
EVENTS = {"boot_epoch": 12, "next": 34, "events": [[1, "+", "s", "id", 8, "m"]]}


@pytest.fixture
def server():
    running = RawServer()
    yield running
    running.stop()


def set_answer(server, framing, cut, reset, body):
    data = json.dumps(body).encode()
    headers, framed = frame(framing, [data[:9], data[9:]])
    whole = f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode() + framed
    server.data, server.reset = whole[: int(cut * len(whole))], reset


@given(*ENDS)
def test_rows_and_changes_are_read_whole_or_not_at_all(server, framing, cut, reset):
    set_answer(server, framing, cut, reset, STORE_ANSWER)
    client = PlatformClient(server.address)
    for read in (
        lambda: client.snapshot("t"),
        lambda: client.follow("t", 1, 0.0),
    ):
        try:
            answer = read()
        except PlatformError:
            continue
        assert [row.version for row in answer.rows] == [1, 2]
        assert answer.version == 12


@given(*ENDS)
def test_a_write_counts_as_done_only_with_its_status(server, framing, cut, reset):
    set_answer(server, framing, cut, reset, {"ver": 123})
    try:
        client = PlatformClient(server.address)
        client.write("t", "k", b"v")
    except PlatformError:
        return
    assert b" 200 " in server.data


@given(*ENDS)
def test_reports_and_cache_events_are_read_whole(server, framing, cut, reset):
    client = ServerClient()
    try:
        set_answer(server, framing, cut, reset, REPORT)
        report = client.report(server.address, "s0")
        assert (report.orders_taken, report.weights) == (12, {"m": 34})
        set_answer(server, framing, cut, reset, EVENTS)
        batch = client.poll_cache_events(server.address, 0)
        assert (batch.epoch, batch.position, len(batch.events)) == (12, 34, 1)
    except PlatformError:
        return


# Guards against MIXED: a status that is none in the protocol counts as an answer.
@pytest.mark.parametrize(
    "status",
    ["000", "0", "1", "99", "100", "101", "150", "199"]
    + ["600", "700", "999", "1000", "-1", "2 0", "abc"],
)
def test_an_answer_with_an_invalid_status_is_none(server, status):
    platform, servers = PlatformClient(server.address), ServerClient()
    order = LoadOrder("s0", server.address, "m", 2, SwitchMode.KEEP, "n1", 1, 0)
    for body, call in (
        (STORE_ANSWER, lambda: platform.snapshot("t")),
        (STORE_ANSWER, lambda: platform.follow("t", 1, 0.0)),
        ({"ver": 123}, lambda: platform.write("t", "k", b"v")),
        ({}, lambda: platform.put_object("k", b"v")),
        ({}, lambda: platform.get_object("k")),
        (REPORT, lambda: servers.report(server.address, "s0")),
        (EVENTS, lambda: servers.poll_cache_events(server.address, 0)),
        ({}, lambda: servers.order_load(order)),
    ):
        set_answer(server, "length", 1.0, False, body)
        server.data = server.data.replace(b"200 OK", status.encode() + b" X", 1)
        with pytest.raises(PlatformError):
            call()


# Guards against MIXED: a reset while an object is sent passes for the answer's end.
def test_a_large_object_counts_as_written_only_with_a_whole_answer(server):
    set_answer(server, "close", 1.0, True, {})
    with pytest.raises(PlatformError):
        PlatformClient(server.address).put_object("k", b"x" * 6_000_000)
