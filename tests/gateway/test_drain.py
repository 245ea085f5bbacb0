"""Draining of a node while clients send requests."""

import gevent

from arbutusyard import clock
from tests.gateway.support import (
    chunk,
    event,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)
from tests.gateway.test_exchange import good


def start_draining(gateway, seconds=3.0):
    """Drain the gateway as the application does when it is asked to stop."""
    now = clock.now()
    gateway.relay.start_draining(now, now + seconds)
    gateway.ingress.set_drain_deadline(now + seconds)
    return gevent.spawn(gateway.ingress.drain)


def test_request_partly_received_before_draining_is_answered(run):
    gateway, (server,) = run(good)
    sock = gateway.connect()
    raw = request_bytes(body=b"x" * 1000)
    sock.sendall(raw[:-500])
    gevent.sleep(0.1)
    draining = start_draining(gateway)
    gevent.sleep(0.2)
    assert not draining.ready()
    sock.sendall(raw[-500:])
    assert read_answer(sock).status == 200
    draining.join(1)
    assert draining.ready()


def test_requests_sent_just_before_draining_are_answered(run):
    gateway, _ = run(good)
    reused = gateway.connect()
    reused.sendall(request_bytes())
    assert read_answer(reused).status == 200
    new = gateway.connect()
    for sock in (reused, new):
        sock.sendall(request_bytes())
    draining = start_draining(gateway)
    assert [read_answer(sock).status for sock in (reused, new)] == [200, 200]
    draining.join(1)
    assert draining.ready()


def test_idle_connections_do_not_delay_draining(run):
    gateway, _ = run(good)
    socks = [gateway.connect() for _ in range(3)]
    gevent.sleep(0.1)
    started_at = clock.now()
    start_draining(gateway).join(2)
    assert clock.now() - started_at < 0.5
    assert socks[0].recv(1) == b""


def test_incomplete_request_delays_draining_only_until_the_deadline(run):
    gateway, _ = run(good)
    sock = gateway.connect()
    sock.sendall(request_bytes()[:-2])
    gevent.sleep(0.1)
    started_at = clock.now()
    start_draining(gateway, 0.6).join(3)
    assert 0.5 < clock.now() - started_at < 1.5


# Guards against LOST around SIGTERM: a request that was read while the one before it
# was served was dropped with its connection.
def test_a_request_read_before_the_end_of_the_one_before_is_answered(run):
    def slow_stream(request):
        yield stream_head(request) + chunk(event(1))
        gevent.sleep(0.4)
        yield chunk(event(2)) + b"0\r\n\r\n"

    gateway, (server,) = run(slow_stream, streaming=True)
    sock = gateway.connect()
    reader = sock.makefile("rb")
    sock.sendall(request_bytes(Request_Id="r1"))
    wait_for(lambda: server.requests)
    gevent.sleep(0.1)
    sock.sendall(request_bytes(Request_Id="r2"))
    gevent.sleep(0.1)
    draining = start_draining(gateway)
    first, second = read_answer(sock, reader), read_answer(sock, reader)
    assert first.complete
    assert second is not None
    assert second.status == 200 and second.complete
    draining.join(2)
    assert draining.ready()
