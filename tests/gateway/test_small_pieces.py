"""Test that no server holds a node by how it splits its answers."""

import itertools
import time

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import (
    STAMP,
    Gateway,
    ScriptedServer,
    chunk,
    event,
    read_answer,
    request_bytes,
    stream_head,
)
from tests.turns import TURN_S, TurnWatch


def endless(pieces):
    """Return a script that repeats bytes until its caller closes the connection."""

    def script(request):
        yield stream_head(request)
        yield from itertools.repeat(pieces)

    return script


def good(request):
    yield stream_head(request) + chunk(event(1)) + chunk(b"")


def drain_answer(gateway, request_id):
    """Read an answer to the end of its connection and discard it."""
    sock = gateway.connect()
    sock.sendall(
        request_bytes(Request_Id=request_id, Deadline_Ms="1000", Connection="close")
    )
    while sock.recv(65_536):
        gevent.sleep(0)
    sock.close()


EVENT = b"d:abc\n\n"
ENDLESS = {
    "lines": chunk(b"data: " + b"x" * 53 + b"\n") * 900,
    "bytes": chunk(b"x") * 10_000,
    "events": chunk(EVENT) * 5_000,
    "events_in_one_chunk": chunk(EVENT * 9_000),
    "blank_lines": chunk(b"\n" * 60_000),
    "growing_event": (chunk(b"x") * 99 + chunk(b"\n")) * 90,
    "large_chunks": chunk(b"x" * 60_000 + b"\n"),
    "chunk_extensions": b"1;%s\r\nx\r\n" % (b" " * 2_000) * 30,
}


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("streaming", [True, False])
def test_endless_answers_leave_the_process_to_other_tasks(run, watch, name, streaming):
    """Guards against answers whose small pieces hold a node for seconds (review/7)."""
    gateway, _ = run(
        endless(ENDLESS[name]), streaming=streaming, retry_policy=RetryPolicy.ONCE
    )
    calls = [gevent.spawn(drain_answer, gateway, f"r{n}") for n in range(4)]
    began = time.monotonic()
    gevent.joinall(calls, timeout=5)
    # By the platform's specification an answer ends half a second after its time.
    assert time.monotonic() - began < 1.5
    assert watch.longest_s() < TURN_S


@pytest.mark.parametrize("name", ["lines", "bytes", "growing_event", "large_chunks"])
def test_an_event_without_end_is_retried_at_another_server(run, name):
    """Guards against streams that wait for such an event until their deadline."""
    gateway, (first, second) = run(
        endless(ENDLESS[name]), endless(ENDLESS[name]), streaming=True
    )
    second.script = good
    # Which server is asked first may differ.
    for number in range(4):
        sock = gateway.connect()
        sock.sendall(request_bytes(Request_Id=f"r{number}"))
        assert read_answer(sock).body == event(1)
        sock.close()
    assert first.requests


@pytest.mark.parametrize(
    "body",
    [
        chunk(b"".join(event(n) for n in range(1, 20_000))),
        b"".join(chunk(event(n)) for n in range(1, 300)),
        b"".join(chunk(event(n, "x" * 60_000)) for n in range(1, 100)),
    ],
    ids=["packed", "single", "large"],
)
def test_streams_that_come_at_once_are_relayed_whole(run, body):
    def script(request):
        yield stream_head(request) + body + chunk(b"")

    gateway, _ = run(script, streaming=True)
    answer = gateway.call()
    assert answer.complete
    assert chunk(answer.body) == body or answer.body.count(b"id:") == body.count(b"id:")


def test_a_large_fast_answer_is_not_read_slowly(run):
    slowed = []

    def script(request):
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n{STAMP}"
        yield f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        for _ in range(512):
            yield chunk(b"x" * 8192)
        yield chunk(b"")

    gateway, _ = run(script)
    gateway.pool.on_slowed = lambda: slowed.append(1)
    assert len(gateway.call().body) == 512 * 8192
    assert not slowed


@settings(max_examples=20, deadline=None)
@given(
    st.lists(
        st.sampled_from([b"x", b"\n", b"\r", b"id:1", b"data:", b" " * 99, EVENT]),
        min_size=1,
        max_size=8,
    ),
    st.integers(1, 200),
    st.booleans(),
)
def test_any_pieces_cost_bounded_turns(parts, size, in_chunks):
    """Guards against yet another form of answers that hold a node."""
    gateway, server, watch = _start()
    body = b"".join(parts)
    body *= 40_000 // len(body)
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    if in_chunks:
        server.script = endless(b"".join(map(chunk, pieces)))
    else:
        server.script = endless(chunk(body))
    try:
        answer = gateway.call(Deadline_Ms="300")
        assert answer is None or answer.status in (200, 502, 503, 504)
        assert watch.longest_s() < TURN_S
    finally:
        watch.stop()
        server.stop()
        gateway.stop()


def _start():
    server = ScriptedServer(good)
    return Gateway(server, streaming=True), server, TurnWatch()
