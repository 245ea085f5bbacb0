"""Test that an answer without end costs a call bounded time and memory."""

import itertools
import tracemalloc

import gevent
import pytest
from gevent.server import StreamServer

from arbutusyard import clock
from arbutusyard.platform import client as store_calls
from arbutusyard.platform import servers as server_calls
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformOutcomeUnknown
from arbutusyard.platform.servers import ServerClient
from arbutusyard.weights.models import LoadOrder, SwitchMode
from tests.turns import TURN_S

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLING = b" " * 65_536


def forever(start, piece):
    return lambda: itertools.chain((start,), itertools.repeat(piece))


def trickle(start, piece):
    """Send a piece every 50 ms, so that no single read takes long."""

    def pieces():
        yield start
        while True:
            gevent.sleep(0.05)
            yield piece

    return pieces


ENDLESS = {
    "status_line": forever(b"HTTP/1.1 200 ", FILLING),
    "header": forever(HEAD + b"X: ", FILLING),
    "headers": forever(HEAD, b"X: y\r\n" * 999),
    "informational": forever(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 999),
    "announced": forever(HEAD + b"Content-Length: 999999999999\r\n\r\n", FILLING),
    "unframed": forever(HEAD + b"\r\n", FILLING),
    "chunks": forever(CHUNKED, b"10000\r\n%s\r\n" % FILLING),
    "small_chunks": forever(CHUNKED, b"1\r\n \r\n" * 9999),
    "chunk_extensions": forever(CHUNKED, b"1;%s\r\n \r\n" % (b"x" * 9000)),
    "trailers": forever(CHUNKED + b"1\r\n \r\n0\r\n", b"X: y\r\n" * 999),
    "no_http": forever(b"", FILLING),
    "slow_head": trickle(HEAD, b"X: y\r\n"),
    "slow_informational": trickle(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "slow_body": trickle(HEAD + b"Content-Length: 999999\r\n\r\n", b" "),
    "slow_chunks": trickle(CHUNKED, b"1\r\n \r\n"),
}


class EndlessServer:
    """Send one kind of endless answer to each call, until the caller closes."""

    def __init__(self, pieces):
        self._pieces = pieces
        self.closed = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _):
        sock.recv(65_536)
        try:
            for piece in self._pieces():
                sock.sendall(piece)
        except OSError:
            self.closed += 1

    def stop(self):
        self._server.stop(timeout=0)


@pytest.fixture
def endless(monkeypatch):
    started = []
    # Whole calls may take longer than a test should.
    monkeypatch.setattr(store_calls, "CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(store_calls, "READ_TIMEOUT_S", 0.3)
    monkeypatch.setattr(store_calls, "WRITE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server_calls, "CALL_TIMEOUT_S", 0.4)
    monkeypatch.setattr(server_calls, "EVENTS_TIMEOUT_S", 0.4)
    monkeypatch.setattr(server_calls, "EVENTS_WAIT_MS", 100)

    def start(kind):
        started.append(EndlessServer(ENDLESS[kind]))
        return started[-1]

    yield start
    for server in started:
        server.stop()


def order(address):
    ServerClient().order_load(
        LoadOrder("s0", address, "m", 2, SwitchMode.KEEP, "n1", 1, 0)
    )


CALLS = {
    "report": (lambda address: ServerClient().report(address, "s0"), 0.4),
    "order": (order, 0.4),
    "events": (lambda address: ServerClient().poll_cache_events(address, 0), 0.5),
    "snapshot": (lambda address: PlatformClient(address).snapshot("t"), 0.5),
    "follow": (lambda address: PlatformClient(address).follow("t", 1, 0.1), 0.6),
    "object": (lambda address: PlatformClient(address).get_object("k"), 1.4),
    "write": (lambda address: PlatformClient(address).write("t", "k", b"v"), 0.5),
}
# What a call holds while it reads, in bytes for each byte that an answer may have.
COPIES = 3


# Guards against LOST: a report without end filled one node's memory after the other's.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("kind", ENDLESS)
def test_a_call_with_an_endless_answer_ends(endless, kind, call):
    server = endless(kind)
    make_call, time_max_s = CALLS[call]
    tracemalloc.start()
    started_at = clock.now()
    try:
        with gevent.Timeout(time_max_s + 1.0), pytest.raises(PlatformOutcomeUnknown):
            make_call(server.address)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert clock.now() - started_at < time_max_s + 0.5
    assert peak < COPIES * store_calls.ANSWER_BYTES_MAX
    with gevent.Timeout(1.0):
        while not server.closed:
            gevent.sleep(0.01)


# Guards against nodes that answer nobody while they read such an answer.
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_answer_leaves_the_process_to_other_tasks(endless, watch, kind):
    with pytest.raises(PlatformOutcomeUnknown):
        PlatformClient(endless(kind).address).snapshot("t")
    assert watch.longest_s() < TURN_S


# Guards against memory that is reserved for bytes that were only announced.
def test_an_announced_length_reserves_no_memory(endless):
    def announce():
        yield HEAD + b"Content-Length: 7000000\r\n\r\n"
        gevent.sleep(5.0)

    server = EndlessServer(announce)
    tracemalloc.start()
    with pytest.raises(PlatformOutcomeUnknown):
        PlatformClient(server.address).get_object("k")
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    server.stop()
    assert peak < 1_000_000


# A table may be larger than one page, but has an end.
def test_a_table_whose_pages_repeat_is_not_read_for_ever():
    body = (
        b'{"rows":[{"table":"t","part":"","key":"k","value":"dg==","ver":1}],'
        b'"ver":1,"more_pages":true}'
    )

    def serve(sock, _):
        while sock.recv(65_536):
            sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = PlatformClient(f"127.0.0.1:{server.server_port}")
    with gevent.Timeout(2.0), pytest.raises(PlatformOutcomeUnknown):
        client.snapshot("t")
    server.stop(timeout=0)
    assert client.calls < 5


# An answer as large as the platform allows is read whole.
def test_the_largest_answers_are_read():
    data = b"x" * 8_388_608

    def serve(sock, _):
        sock.recv(65_536)
        sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(data) + data)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = PlatformClient(f"127.0.0.1:{server.server_port}")
    assert client.get_object("k") == data
    server.stop(timeout=0)
