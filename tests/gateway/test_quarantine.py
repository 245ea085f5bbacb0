"""Test that requests whose prompts crash servers stop reaching them."""

import contextlib
import socket

import gevent
import pytest

from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import (
    STAMP,
    Gateway,
    ScriptedServer,
    event,
    read_answer,
    request_bytes,
    stream_head,
)

SERVERS = 8
SHARED = "aa00:30"
DEADLY = "dead01:12"


class FragileServer(ScriptedServer):
    """Server that crashes when it begins to answer a prompt with a deadly segment."""

    def __init__(self):
        super().__init__(self._answer)
        self.crashed = False
        self.deadly_runs = 0
        self._socks = set()

    def _serve(self, sock, address):
        self._socks.add(sock)
        try:
            super()._serve(sock, address)
        finally:
            self._socks.discard(sock)

    def _answer(self, request):
        head = stream_head(request, STAMP)
        yield head
        if DEADLY in request.headers["prefix-hash"]:
            self.deadly_runs += 1
            gevent.spawn(self.crash)
            gevent.sleep(5.0)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, 4):
            data = event(number)
            yield b"%x\r\n%s\r\n" % (len(data), data)
            gevent.sleep(0.01)
        yield b"0\r\n\r\n"

    def crash(self):
        """Close the port and all connections, as the end of a process does."""
        self.crashed = True
        socks = list(self._socks)
        self.stop()
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@pytest.fixture
def fleet():
    """Start a gateway with servers that a deadly segment crashes."""
    servers = [FragileServer() for _ in range(SERVERS)]
    gateway = Gateway(
        *servers, retry_policy=RetryPolicy.RESUME, streaming=True, max_attempts=2
    )
    yield gateway, servers
    gateway.stop()
    for server in servers:
        server.stop()


def ask(gateway, number, *segments):
    """Send a request with a prompt of shared segments and one of its own."""
    prompt = ",".join([SHARED, *segments, f"{number:04x}:40"])
    sock = gateway.connect()
    headers = {"Model": "m", "Token-Count": "100,8", "Prefix-Hash": prompt}
    sock.sendall(request_bytes(Request_Id=f"r{number}", **headers))
    try:
        return read_answer(sock)
    finally:
        sock.close()


# Guards against the second matter of issue 30: a request that crashes the server which
# begins to answer it, and whose like come again, crashed one server after another.
def test_a_segment_that_crashes_servers_is_sent_to_no_more_than_two(fleet):
    gateway, servers = fleet
    assert ask(gateway, 1, "5ea1:20").status == 200
    for number in range(2, 8):
        got = ask(gateway, number, "5ea1:20", DEADLY)
        assert got is None or got.status in (502, 503)
    assert sum(server.deadly_runs for server in servers) <= 2
    assert sum(server.crashed for server in servers) <= 2
    # A request that ran nowhere is told so, and when to come back.
    assert got.status == 503
    assert float(got.headers["retry-after"]) >= 1
    # Sound requests share the caller and all other segments.
    for number in range(8, 12):
        assert ask(gateway, number, "5ea1:20").status == 200
