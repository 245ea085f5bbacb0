"""Stop a node while callers are in the middle of their requests."""

import gevent

from arbutusyard import clock
from tests.gateway.support import read_answer, request_bytes
from tests.gateway.test_exchange import good


def stopping(gateway, seconds=3.0):
    """Let the gateway drain, as the application does when it is told to stop."""
    now = clock.now()
    gateway.relay.start_draining(now, now + seconds)
    gateway.ingress.drain_until(now + seconds)
    return gevent.spawn(gateway.ingress.drain)


def test_a_request_that_is_half_read_at_a_stop_is_answered(run):
    gateway, (server,) = run(good)
    sock = gateway.connect()
    raw = request_bytes(body=b"x" * 1000)
    sock.sendall(raw[:-500])
    gevent.sleep(0.1)
    stop = stopping(gateway)
    gevent.sleep(0.2)
    assert not stop.ready()
    sock.sendall(raw[-500:])
    assert read_answer(sock).status == 200
    stop.join(1)
    assert stop.ready()


def test_a_request_that_was_just_sent_at_a_stop_is_answered(run):
    gateway, _ = run(good)
    kept = gateway.connect()
    kept.sendall(request_bytes())
    assert read_answer(kept).status == 200
    new = gateway.connect()
    for sock in (kept, new):
        sock.sendall(request_bytes())
    stop = stopping(gateway)
    assert [read_answer(sock).status for sock in (kept, new)] == [200, 200]
    stop.join(1)
    assert stop.ready()


def test_idle_connections_do_not_hold_up_a_stop(run):
    gateway, _ = run(good)
    socks = [gateway.connect() for _ in range(3)]
    gevent.sleep(0.1)
    started_at = clock.now()
    stopping(gateway).join(2)
    assert clock.now() - started_at < 0.5
    assert socks[0].recv(1) == b""


def test_a_caller_that_never_ends_its_request_holds_up_a_stop_for_a_bounded_time(run):
    gateway, _ = run(good)
    sock = gateway.connect()
    sock.sendall(request_bytes()[:-2])
    gevent.sleep(0.1)
    started_at = clock.now()
    stopping(gateway, 0.6).join(3)
    assert 0.5 < clock.now() - started_at < 1.5
