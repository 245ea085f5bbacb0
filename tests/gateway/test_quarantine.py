"""Test that requests whose prompts crash servers stop reaching them."""

import logging

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.gateway.models import PromptSegment, RetryPolicy
from arbutusyard.quarantine.coordinator import shared_keys
from arbutusyard.quarantine.models import Sound
from tests.gateway.support import (
    STAMP,
    CrashingServer,
    Gateway,
    event,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)

SERVERS = 8
SHARED = "aa00:30"
CRASHER = "dead01:12"


class FragileServer(CrashingServer):
    """Server that crashes when it begins to answer a prompt with one segment."""

    def __init__(self):
        super().__init__(self._answer)
        self.crash_runs = 0

    def _answer(self, request):
        head = stream_head(request, STAMP)
        yield head
        if CRASHER in request.headers["prefix-hash"]:
            self.crash_runs += 1
            gevent.spawn(self.crash)
            gevent.sleep(5.0)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, 4):
            data = event(number)
            yield b"%x\r\n%s\r\n" % (len(data), data)
            gevent.sleep(0.01)
        yield b"0\r\n\r\n"


@pytest.fixture
def fleet():
    """Start a gateway with servers that a segment that crashes servers crashes."""
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
        got = ask(gateway, number, "5ea1:20", CRASHER)
        assert got is None or got.status in (502, 503)
    assert sum(server.crash_runs for server in servers) <= 2
    assert sum(server.crashed for server in servers) <= 2
    # A request that ran nowhere is told so, and when to come back.
    assert got.status == 503
    assert float(got.headers["retry-after"]) >= 1
    # Sound requests share the caller and all other segments.
    for number in range(8, 12):
        assert ask(gateway, number, "5ea1:20").status == 200


def test_a_refused_request_says_which_segment_and_on_whose_evidence(fleet, caplog):
    caplog.set_level(logging.INFO)
    gateway, _ = fleet
    ask(gateway, 0, "5ea1:20")
    ask(gateway, 1, CRASHER)
    assert ask(gateway, 2, CRASHER).status == 503
    [record] = [r for r in caplog.records if "has quarantined" in r.msg][-1:]
    assert record.request_id == "r2"
    assert record.segments == [CRASHER.partition(":")[0]]
    assert (record.crashes, len(record.servers)) == (2, 2)
    assert record.reporters == ("n1",)
    assert 0 <= record.age_s < 5


def test_connections_that_end_at_a_running_server_are_no_evidence(run):
    def break_off(request):
        request.last = True
        yield stream_head(request, STAMP)

    gateway, servers = run(*[break_off] * 3, streaming=True)
    for number in range(6):
        ask(gateway, number, CRASHER)
    keys = shared_keys("m", (PromptSegment("dead01", 12), PromptSegment("x", 1)))
    assert gateway.relay.quarantine.judge(keys, clock.now()) == Sound()
    assert sum(len(server.requests) for server in servers) >= 6


def test_a_client_that_disconnects_is_no_evidence(fleet):
    gateway, _ = fleet
    for number in range(4):
        sock = gateway.connect()
        prompt = f"{SHARED},5ea1:20,{number:04x}:40"
        headers = {"Model": "m", "Token-Count": "100,8", "Prefix-Hash": prompt}
        sock.sendall(request_bytes(Request_Id=f"r{number}", **headers))
        gevent.sleep(0.005)
        sock.close()
    gevent.sleep(0.1)
    assert ask(gateway, 9, "5ea1:20").status == 200
    assert len(gateway.relay.quarantine) == 0


def test_an_attempt_that_waits_is_given_up_once_its_segment_is_quarantined(run):
    def silent(request):
        yield None

    gateway, (server,) = run(silent, streaming=True, retry_policy=RetryPolicy.ONCE)
    task = gevent.spawn(ask, gateway, 1, CRASHER)
    wait_for(lambda: server.requests)
    keys = shared_keys("m", (PromptSegment("dead01", 12), PromptSegment("x", 1)))
    for number in range(2):
        gateway.relay.quarantine.record_crash((f"x{number}", 1), keys, True, 0.0)
    # It reached a server, so it may have run.
    assert task.get(timeout=1.0).status == 502
    wait_for(lambda: server.closed)
