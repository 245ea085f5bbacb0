"""Test servers that report draining, ask for a pause, or send without end."""

import logging

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import (
    STAMP,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from tests.gateway.test_exchange import good, total, whole_stream
from tests.gateway.test_hedged_dispatch import turn_on

DRAINING = STAMP + "Server-Leaving: 1\r\n"


def test_a_server_whose_answer_reports_draining_gets_no_more_requests(run):
    def draining(request):
        yield answer(request, headers=DRAINING)

    gateway, (server,) = run(draining)
    reported = []
    gateway.router.on_leaving = reported.append
    assert gateway.call().status == 200
    assert [gateway.call().status for _ in range(3)] == [503] * 3
    assert len(server.requests) == 1
    assert reported == [("s0", 1)]


def test_a_refusal_and_a_stream_may_report_that_their_server_is_draining(run):
    def refusing(request):
        yield not_run(request, headers="Server-Leaving: 1\r\n")

    def streaming(request):
        yield stream_head(request, DRAINING) + chunk(event(1)) + b"0\r\n\r\n"

    gateway, (first, second) = run(
        refusing, streaming, retry_policy=RetryPolicy.RESUME, streaming=True
    )
    while not (len(first.requests) and len(second.requests)):
        gateway.call()
    sent = total((first, second))
    assert gateway.call().status == 503
    assert total((first, second)) == sent


def test_a_server_leaving_header_of_0_does_not_mean_draining(run):
    def staying(request):
        yield answer(request, headers=STAMP + "Server-Leaving: 0\r\n")

    gateway, (server,) = run(staying)
    assert [gateway.call().status for _ in range(2)] == [200, 200]


def test_a_server_that_asks_for_a_pause_gets_no_requests_until_it_has_passed(run):
    def full_then_good(request):
        if len(server.requests) == 1:
            yield not_run(request, headers="Retry-After: 0.8\r\n")
        else:
            yield answer(request)

    gateway, (server,) = run(full_then_good)
    started_at = clock.now()
    refused = gateway.call()
    assert refused.status == 503
    assert 0.5 < float(refused.headers["retry-after"]) <= 0.8
    while clock.now() < started_at + 0.7:
        assert gateway.call().status == 503
        gevent.sleep(0.05)
    assert len(server.requests) == 1
    gevent.sleep(0.2)
    assert gateway.call().status == 200


def test_a_request_is_refused_at_once_when_all_servers_pause_for_longer(run):
    def full(request):
        yield not_run(request, headers="Retry-After: 5\r\n")

    # For a server that is usable soon the request would wait 0.6 s.
    gateway, _ = run(full, full, objective_s=5.0)
    gateway.call()
    started_at = clock.now()
    assert gateway.call().status == 503
    assert clock.now() - started_at < 0.2


@pytest.mark.parametrize("value", ["soon", "-3", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_a_malformed_pause_is_ignored_and_logged_once(run, caplog, value):
    def full(request):
        yield not_run(request, headers=f"Retry-After: {value}\r\n")

    caplog.set_level(logging.WARNING)
    gateway, (server,) = run(full)
    gateway.call()
    gateway.call()
    assert len(server.requests) >= 2
    assert caplog.text.count("malformed Retry-After header") == 1


def test_a_pause_that_a_server_asks_for_is_limited_to_a_minute(run):
    def full(request):
        yield not_run(request, headers="Retry-After: 1e9\r\n")

    gateway, _ = run(full)
    gateway.call()
    server = gateway.fleet_state.servers.get("s0")
    assert server.facts.paused_until < clock.now() + 61


def endless(first, chunk_bytes):
    """Return a script that sends `first` and then `chunk_bytes` without end."""

    def script(request):
        yield first(request) if callable(first) else first
        while True:
            yield chunk_bytes
            gevent.sleep(0.0005)

    return script


@pytest.mark.parametrize(
    "script",
    [
        endless(b"HTTP/1.1 200 OK\r\nX: ", b"y" * 4096),
        endless(b"\x00\x01", b"\x02" * 4096),
        endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        endless(b"", b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 0\r\n\r\n"),
        endless(
            b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n",
            chunk(b"y" * 4096),
        ),
    ],
    ids=["head", "no_protocol", "informational", "strays", "stray_body"],
)
def test_endless_bytes_before_an_answer_end_the_attempt_soon(run, script):
    gateway, (server, _) = run(script, good, timeout_s=20.0)
    gateway.fleet_state.servers.get("s1").in_flight = 8
    with gevent.Timeout(2.5):
        assert gateway.call(Deadline_Ms="20000").status == 200
    assert len(server.requests) == 1
    assert gateway.fleet_state.servers.get("s0").failures(clock.now()) > 0


def test_an_endless_body_of_a_refusal_delays_the_next_attempt_only_briefly(run):
    def head(request):
        return (
            f"HTTP/1.1 503 x\r\nRequest-Id: {request.headers['request-id']}\r\n"
            "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()

    gateway, (server, _) = run(
        endless(head, chunk(b"y" * 4096)),
        good,
        retry_policy=RetryPolicy.ONCE,
        timeout_s=20.0,
    )
    gateway.fleet_state.servers.get("s1").in_flight = 8
    with gevent.Timeout(2.5):
        assert gateway.call(Deadline_Ms="20000").status == 200
    assert len(server.requests) == 1


def test_an_endless_event_is_cut_off_at_a_maximum_size(run):
    script = endless(stream_head, chunk(b"y" * 16384))
    gateway, _ = run(
        script, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=20.0
    )
    with gevent.Timeout(4):
        got = gateway.call(Deadline_Ms="20000")
    assert got.status == 502 or not got.complete
    assert gateway.fleet_state.servers.get("s0").failures(clock.now()) > 0


def trickle(request):
    yield stream_head(request) + chunk(event(1))
    while True:
        gevent.sleep(0.1)
        yield chunk(b"x")


def test_a_stream_that_trickles_single_bytes_is_ended(run):
    gateway, _ = run(
        trickle,
        retry_policy=RetryPolicy.ONCE,
        streaming=True,
        timeout_s=20.0,
        gap_s=0.05,
    )
    with gevent.Timeout(4):
        assert not gateway.call(Deadline_Ms="20000").complete


def test_a_resumable_stream_moves_away_from_a_server_that_trickles_bytes(run):
    def rest(request):
        yield stream_head(request)
        after = int(request.headers.get("last-event-id", 0))
        for n in range(after + 1, 4):
            yield chunk(event(n))
        yield b"0\r\n\r\n"

    gateway, _ = run(
        trickle,
        rest,
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
        timeout_s=20.0,
        gap_s=0.05,
    )
    gateway.fleet_state.servers.get("s1").in_flight = 1
    with gevent.Timeout(6):
        got = gateway.call(Deadline_Ms="20000")
    assert got.complete
    assert got.body == event(1) + event(2) + event(3)


def test_a_head_that_trickles_ends_the_attempt(run):
    def slow_head(request):
        for byte in b"HTTP/1.1 200 OK\r\nX-Long: " + b"y" * 500:
            yield bytes([byte])
            gevent.sleep(0.05)

    gateway, (server, _) = run(slow_head, good, timeout_s=20.0)
    gateway.fleet_state.servers.get("s1").in_flight = 8
    with gevent.Timeout(4):
        assert gateway.call(Deadline_Ms="20000").status == 200


def test_a_slow_stream_of_complete_events_is_not_cut_off(run):
    def slow(request):
        yield stream_head(request)
        for n in range(1, 4):
            gevent.sleep(1.2)
            yield chunk(event(n)[:5])
            yield chunk(event(n)[5:])
        yield b"0\r\n\r\n"

    gateway, _ = run(
        slow, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=20.0, gap_s=0.2
    )
    got = gateway.call(Deadline_Ms="20000")
    assert got.complete
    assert got.body == event(1) + event(2) + event(3)


def test_a_complete_stream_is_relayed(run):
    gateway, _ = run(whole_stream, retry_policy=RetryPolicy.ONCE, streaming=True)
    assert gateway.call().complete


# Guards against MIXED: a status that is none in the protocol, such as 600, reached the
# client as that of an answer.
@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("hedged", [False, True])
@pytest.mark.parametrize(
    "status",
    ["000", "0", "1", "99", "100", "101", "150", "199"]
    + ["600", "700", "999", "1000", "-1", "2 0", "abc"],
)
def test_an_answer_with_an_invalid_status_is_retried_or_answered_with_502(
    run, status, streaming, hedged
):
    def odd(request):
        sound = whole_stream if streaming else good
        data = b"".join(sound(request))
        yield data.replace(b" 200 OK", f" {status} X".encode(), 1)
        # The attempt ends with the connection if the head counts as informational.
        request.last = True

    route = {"retry_policy": RetryPolicy.RESUME if streaming else RetryPolicy.ANY}
    gateway, (first, _) = run(
        odd, whole_stream if streaming else good, streaming=streaming, **route
    )
    gateway.fleet_state.servers.get("s1").in_flight = 3
    if hedged:
        turn_on(gateway)
    got = gateway.call()
    assert (got.status, got.complete) == (200, True)
    assert len(first.requests) == 1
    gateway, _ = run(odd, retry_policy=RetryPolicy.ONCE, streaming=streaming)
    assert gateway.call().status == 502


# Guards against rejecting valid statuses together with the invalid ones.
@pytest.mark.parametrize(
    ("status", "body"), [(204, b""), (205, b"bad"), (304, b""), (599, b"bad")]
)
def test_an_answer_with_a_rare_status_is_relayed(run, status, body):
    def odd(request):
        yield answer(request, f"{status} X", b"bad")

    gateway, _ = run(odd, retry_policy=RetryPolicy.ONCE)
    got = gateway.call()
    assert (got.status, got.body, got.complete) == (status, body, True)
