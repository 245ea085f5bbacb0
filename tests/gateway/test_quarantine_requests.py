"""Test that whole requests which crash servers stop reaching them."""

import logging

import gevent
import pytest

from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import (
    STAMP,
    CrashingServer,
    Gateway,
    answer,
    event,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)

SERVERS = 8
DEADLY = b"deadly"
# Time for which a server runs a request that crashes it, in seconds.
RUN_S = 0.03
# Number of servers that one request may end.
CRASHES_MAX = 3


class FragileServer(CrashingServer):
    """Server that crashes a moment after it has begun a request with a certain body."""

    def __init__(self):
        super().__init__(self._answer)
        # Whether the head of a stream is sent before the request runs.
        self.sends_head = True

    def _answer(self, request):
        is_prompt = "prefix-hash" in request.headers
        if is_prompt and self.sends_head:
            yield stream_head(request, STAMP)
        gevent.sleep(RUN_S)
        if request.body == DEADLY:
            self.crash()
            gevent.sleep(5.0)
        if not is_prompt:
            yield answer(request)
            return
        if not self.sends_head:
            yield stream_head(request, STAMP)
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, 4):
            data = event(number)
            yield b"%x\r\n%s\r\n" % (len(data), data)
            gevent.sleep(0.05)
        yield b"0\r\n\r\n"


@pytest.fixture
def start():
    """Start a gateway with servers that crash on certain requests."""
    started = []

    def start_fleet(**route):
        servers = [FragileServer() for _ in range(SERVERS)]
        gateway = Gateway(*servers, **route)
        started.extend([gateway, *servers])
        return gateway, servers

    yield start_fleet
    for item in started:
        item.stop()


def crashed(servers):
    return sum(server.crashed for server in servers)


def ask(gateway, body, request_id="r1", **headers):
    sock = gateway.connect()
    sock.sendall(request_bytes(body=body, Request_Id=request_id, **headers))
    try:
        return read_answer(sock)
    finally:
        sock.close()


def prompt(*segments):
    return {"Model": "m", "Token_Count": "100,8", "Prefix_Hash": ",".join(segments)}


# Guards against BUDGET: a request that crashes its server was retried on the next.
def test_a_repeatable_request_crashes_few_servers(start):
    gateway, servers = start()
    statuses = [ask(gateway, DEADLY).status for _ in range(6)]
    assert crashed(servers) <= CRASHES_MAX
    # It did not run in this attempt, and is told so and when to come back.
    got = ask(gateway, DEADLY)
    assert (statuses[-1], got.status) == (503, 503)
    assert float(got.headers["retry-after"]) >= 1
    assert ask(gateway, b"sound").status == 200


# Guards against BUDGET: a request that is not retried comes again from its client.
def test_a_request_that_runs_once_crashes_few_servers(start):
    gateway, servers = start(retry_policy=RetryPolicy.ONCE)
    statuses = [ask(gateway, DEADLY, f"r{n}").status for n in range(6)]
    assert crashed(servers) <= CRASHES_MAX
    assert statuses[0] == 502
    assert statuses[-1] == 503
    assert ask(gateway, b"sound").status == 200


# Guards against BUDGET: a prompt without shared segments is judged by none.
def test_a_prompt_of_one_segment_crashes_few_servers(start):
    gateway, servers = start(streaming=True, retry_policy=RetryPolicy.RESUME)
    for n in range(6):
        ask(gateway, DEADLY, f"r{n}", **prompt("aa:40"))
    assert crashed(servers) <= CRASHES_MAX
    assert ask(gateway, b"sound", **prompt("aa:40")).status == 200


# Guards against BUDGET: sound requests with all segments of a prompt clear them.
def test_a_prompt_whose_shared_segments_are_sound_crashes_few_servers(start):
    gateway, servers = start(streaming=True, retry_policy=RetryPolicy.RESUME)
    for n in range(6):
        assert ask(gateway, b"s%d" % n, **prompt("aa:40", "bb:40")).status == 200
        ask(gateway, DEADLY, f"r{n}", **prompt("aa:40", "bb:40"))
    assert crashed(servers) <= CRASHES_MAX


# Guards against BUDGET: a server that crashes before it sends a head shows no prompt as
# begun. The soak found it.
def test_a_prompt_that_crashes_servers_before_their_heads_crashes_few(start):
    gateway, servers = start(streaming=True, retry_policy=RetryPolicy.RESUME)
    for server in servers:
        server.sends_head = False
    for n in range(6):
        assert ask(gateway, b"s%d" % n, **prompt("aa:40", "bb:40")).status == 200
        ask(gateway, DEADLY, f"r{n}", **prompt("aa:40", "bb:40"))
    assert crashed(servers) <= CRASHES_MAX


# Guards against the refusal of sound requests that are all alike.
def test_alike_requests_beside_the_crashing_one_stay_served(start):
    gateway, servers = start()
    statuses = []

    def keep_asking():
        while True:
            statuses.append(ask(gateway, b"hot", "hot").status)

    tasks = [gevent.spawn(keep_asking) for _ in range(6)]
    for _ in range(4):
        ask(gateway, DEADLY)
    gevent.sleep(0.5)
    gevent.killall(tasks)
    assert crashed(servers) <= CRASHES_MAX
    assert statuses.count(503) == 0
    assert statuses[-6:] == [200] * 6


def test_another_caller_or_path_is_judged_by_itself(start):
    gateway, servers = start()
    for _ in range(4):
        ask(gateway, DEADLY)
    assert ask(gateway, DEADLY).status == 503
    before = crashed(servers)
    assert ask(gateway, DEADLY, path="/a/other").status != 503
    assert crashed(servers) > before


def test_a_refused_request_leads_to_its_crashes_and_reporters(start, caplog):
    caplog.set_level(logging.INFO)
    gateway, servers = start()
    ask(gateway, DEADLY)
    wait_for(lambda: crashed(servers) >= 2)
    assert ask(gateway, DEADLY, "r2").status == 503
    records = [r for r in caplog.records if r.msg == "Request is quarantined"]
    assert len(records) == 1
    assert records[0].request_id == "r2"
    assert records[0].subject == "request"
    assert records[0].reporters == ("n1",)
    assert len(records[0].servers) == records[0].crashes == 2


def test_a_server_that_only_breaks_off_is_checked_for_a_crash_once_in_a_while(
    run, monkeypatch
):
    def break_off(request):
        request.last = True
        yield from ()

    gateway, _ = run(break_off, retry_policy=RetryPolicy.ONCE)
    check, checked = ServerPool.has_crashed, []
    monkeypatch.setattr(
        ServerPool,
        "has_crashed",
        lambda pool, server: checked.append(server) or check(pool, server),
    )
    for n in range(10):
        assert ask(gateway, b"sound", f"r{n}").status == 502
    assert len(checked) == 1
