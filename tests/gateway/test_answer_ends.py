"""Test that an answer whose server broke it off never reaches its client as complete.

Servers send answers in every framing and end them at any byte, with FIN or reset.
"""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.gateway.models import RetryPolicy
from tests.framing import FRAMINGS, frame
from tests.gateway.support import (
    STAMP,
    answer,
    event,
    read_answer,
    request_bytes,
)


def framed_answer(request, framing, parts, headers=STAMP):
    """Return the head of an answer and its body as sent in a framing."""
    framing_headers, body = frame(framing, parts)
    name = request.headers["request-id"]
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n{headers}{framing_headers}\r\n"
    return head.encode(), body


def stream_script(framing, numbers, cut=1.0, reset=False):
    """Return a script that sends numbered events after the last one that is asked for.

    It ends the connection after a fraction of the body's bytes.
    """

    def script(request):
        after = int(request.headers.get("last-event-id", 0))
        parts = [event(number) for number in numbers if number > after]
        head, body = framed_answer(request, framing, parts)
        request.last, request.reset = True, reset
        yield head + body[: int(cut * len(body))]

    return script


def send(gateway, http_version="1.1"):
    """Send a request and return its answer; None without one."""
    sock = gateway.connect()
    raw = request_bytes().replace(b"HTTP/1.1", f"HTTP/{http_version}".encode())
    sock.sendall(raw)
    try:
        return read_answer(sock)
    except ConnectionResetError:
        return None
    finally:
        sock.close()


STREAMS = {
    "total": st.integers(2, 5),
    "fault": st.sampled_from(["none", "repeated", "skipped"]),
    "framing": st.sampled_from(FRAMINGS),
    "next_framing": st.sampled_from(FRAMINGS),
    "cut": st.floats(0.0, 1.0),
    "reset": st.booleans(),
    "resumable": st.booleans(),
    "http_version": st.sampled_from(["1.1", "1.0"]),
}


def event_numbers(total, fault):
    numbers = list(range(1, total + 1))
    if fault == "repeated":
        numbers.insert(2, 2)
    elif fault == "skipped" and total > 2:
        numbers.remove(2)
    return numbers


def may_look_complete(case, numbers, sent):
    """Tell whether the platform's protocol lets a part of a stream look complete.

    A FIN ends an answer without length and chunks. After a whole event nothing tells it
    from the end of a server that stopped.
    """
    return case.framing == "close" and not case.reset and sent.endswith(b"\n\n")


@settings(report_multiple_bugs=False)
@given(st.fixed_dictionaries(STREAMS).map(lambda fields: SimpleNamespace(**fields)))
def test_each_event_reaches_the_client_once_or_it_sees_the_break(run, case):
    numbers = event_numbers(case.total, case.fault)
    whole = b"".join(event(number) for number in range(1, case.total + 1))
    policy = RetryPolicy.RESUME if case.resumable else RetryPolicy.ONCE
    gateway, servers = run(
        stream_script(case.framing, numbers, case.cut, case.reset),
        stream_script(case.next_framing, range(1, case.total + 1)),
        retry_policy=policy,
        streaming=True,
    )
    # The first attempt must reach the server that breaks off.
    gateway.fleet_state.servers.get("s1").in_flight = 3
    got = send(gateway, case.http_version)
    assert case.resumable or len(servers[0].requests) <= 1 and not servers[1].requests
    if got is None or got.status == 502:
        return
    assert got.status == 200
    # No part of an event, and no event out of order, is passed on.
    assert whole.startswith(got.body)
    assert not got.body or got.body.endswith(b"\n\n")
    if got.complete and got.body != whole:
        body = b"".join(map(event, numbers))
        sent = body[: int(case.cut * len(body))]
        assert may_look_complete(case, numbers, sent), got.body


# Guards against incident qai-yard-inc1-order: a stream that ended inside an event
# reached its client as a complete answer.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("http_version", ["1.1", "1.0"])
def test_a_stream_that_ends_inside_an_event_is_visibly_incomplete(
    run, framing, http_version
):
    def script(request):
        request.last = True
        yield b"".join(framed_answer(request, framing, [event(1), event(2)[:-4]]))

    gateway, _ = run(script, retry_policy=RetryPolicy.ONCE, streaming=True)
    got = send(gateway, http_version)
    assert got is None or not got.complete
    assert got is None or got.body in (b"", event(1))


def breaking(framing, parts, cut_bytes):
    """Return a script that ends the connection before the last bytes of its answer."""

    def script(request):
        request.last = True
        data = b"".join(framed_answer(request, framing, parts))
        yield data[: len(data) - cut_bytes]

    return script


def relay_two(run, first, second, **route):
    """Return the answer of a gateway whose first server is asked first, and servers."""
    gateway, servers = run(first, second, **route)
    gateway.fleet_state.servers.get("s1").in_flight = 3
    return send(gateway), servers


def test_nothing_is_retried_after_a_part_of_a_large_body_was_relayed(run):
    body = [b"x" * 1_500_000]
    got, servers = relay_two(
        run, breaking("length", body, 9), breaking("length", body, 0)
    )
    assert not got.complete
    assert [len(server.requests) for server in servers] == [1, 0]


@pytest.mark.parametrize("status", ["404 Not Found", "500 Error", "302 Found"])
def test_another_status_does_not_continue_a_stream(run, caplog, status):
    got, servers = relay_two(
        run,
        breaking("chunked", [event(1), event(2)], 9),
        lambda request: iter([answer(request, status)]),
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
    )
    assert (got.complete, len(servers[1].requests)) == (False, 1)
    assert "failed unexpectedly" not in caplog.text


def test_a_stream_of_events_without_ids_is_not_resumed(run):
    parts = [b"data: x\n\n", b"data: y\n\n"]
    got, servers = relay_two(
        run,
        breaking("chunked", parts, 9),
        breaking("chunked", parts, 0),
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
    )
    assert not got.complete
    assert servers[1].requests == []


# Guards against a stream whose events follow a part of another server's error body.
def test_a_stream_does_not_follow_a_part_of_an_error_body(run):
    def break_off(request):
        request.last = True
        head, body = framed_answer(request, "length", [b"x" * 1_500_000])
        yield head.replace(b"200 OK", b"500 Error") + body[:-9]

    got, servers = relay_two(
        run,
        break_off,
        breaking("chunked", [event(1), event(2)], 0),
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
    )
    assert (got.status, got.complete, event(1) in got.body) == (500, False, False)
    assert servers[1].requests == []
