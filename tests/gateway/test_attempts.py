"""Test that an answer to one attempt never passes for an answer to another one."""

import gevent
import pytest

from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import (
    STAMP,
    answer,
    chunk,
    event,
    not_run,
    read_answer,
    request_bytes,
    stream_head,
)

NAMELESS = (
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
COPIES = {
    "503": not_run,
    "429": lambda request: not_run(request, "429 Too Many Requests"),
    "421": lambda request: not_run(request, "421 Misdirected Request"),
    "400": lambda request: not_run(request, "400 Bad Request"),
    "500": lambda request: answer(request, "500 Error"),
    "nameless": lambda request: NAMELESS,
}


class FullServer:
    """Script that rejects each request once and runs it when it comes again.

    On the connection on which it rejected the request, it sends a copy of the rejection
    before the answer.
    """

    def __init__(self, copy, pieces=1, pause_s=0.0, streaming=False):
        self.runs = []
        self._rejected = set()
        self._copy = copy
        self._pieces = pieces
        self._pause_s = pause_s
        self._streaming = streaming

    def __call__(self, request):
        request_id = request.headers["request-id"]
        if request_id not in self._rejected:
            self._rejected.add(request_id)
            yield not_run(request)
            return
        self.runs.append(request_id)
        if request_id in request.carried:
            data = self._copy(request)
            size = -(-len(data) // self._pieces)
            for start in range(0, len(data), size):
                yield data[start : start + size]
                gevent.sleep(self._pause_s)
        if self._streaming:
            yield stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"
        else:
            yield answer(request)


def call_on(sock, reader, request_id):
    sock.sendall(request_bytes(Request_Id=request_id, Deadline_Ms="1900"))
    return read_answer(sock, reader)


# Guards against TWICE and REFUSED: a late copy of the rejection of the first attempt
# passed for a rejection of the second one, which ran.
@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("pieces", [1, 2])
@pytest.mark.parametrize("name", COPIES)
def test_a_late_copy_of_a_rejection_does_not_end_the_next_attempt(
    run, name, pieces, servers
):
    script = FullServer(COPIES[name], pieces, 0.02)
    gateway, _ = run(*[script] * servers, retry_policy=RetryPolicy.ONCE)
    sock = gateway.connect()
    reader = sock.makefile("rb")
    for n in range(6):
        got = call_on(sock, reader, f"r{n}")
        assert got.status == 200, got
        assert got.headers["request-id"] == f"r{n}"
    sock.close()
    assert sorted(script.runs) == [f"r{n}" for n in range(6)]


# Guards against TWICE: the same for streams, which run again after a rejection too.
@pytest.mark.parametrize("policy", [RetryPolicy.ONCE, RetryPolicy.RESUME])
def test_a_late_copy_of_a_rejection_does_not_begin_a_stream_again(run, policy):
    script = FullServer(not_run, streaming=True)
    gateway, _ = run(script, retry_policy=policy, streaming=True)
    for n in range(4):
        assert gateway.call(Request_Id=f"r{n}").status == 200
    assert sorted(script.runs) == [f"r{n}" for n in range(4)]


# Guards against REFUSED: an answer without an ID may be a copy of an earlier one.
@pytest.mark.parametrize("first_named", [True, False])
def test_a_copy_without_an_id_is_not_trusted_on_a_used_connection(run, first_named):
    runs = []

    def nameless(request):
        if not request.carried and request.headers["request-id"] == "r0":
            yield not_run(request) if first_named else NAMELESS
            return
        runs.append(request.headers["request-id"])
        if request.carried:
            yield NAMELESS
            gevent.sleep(0.02)
        yield answer(request)

    gateway, _ = run(nameless, retry_policy=RetryPolicy.ONCE)
    gateway.call(Request_Id="r0")
    statuses = [gateway.call(Request_Id=f"r{n}").status for n in range(1, 5)]
    # A request that has run is neither said not to have run nor run again.
    assert not {503, 429, 421, 408} & set(statuses)
    assert len(runs) == len(set(runs))


TORN = [
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nDate: ",
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r0\r\nDate: x",
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r0\r\n",
    b"HTTP/1.1 503 Service Unav",
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 200\r\n\r\nx",
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nContent-Length: 9\r\n\r\nx",
    b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\nx",
]


# Guards against REFUSED and MIXED: the head of a copy that is torn continues with the
# head of the answer that is due.
@pytest.mark.parametrize("torn", TORN)
def test_a_torn_copy_does_not_lend_its_status_to_the_next_answer(run, torn):
    runs = []

    def tearing(request):
        runs.append(request.headers["request-id"])
        if request.carried:
            yield torn
        yield answer(request)

    gateway, _ = run(tearing, retry_policy=RetryPolicy.ONCE)
    assert gateway.call(Request_Id="r0").status == 200
    got = gateway.call(Request_Id="r1")
    assert got.status == 502
    assert runs == ["r0", "r1"]


# Guards against LOST: an answer to another request that only the end of its connection
# delimits was read until the deadline, with the answer that is due in its body.
def test_an_unexpected_answer_without_a_length_ends_the_attempt_at_once(run):
    def unframed(request):
        if request.carried:
            yield f"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n{STAMP}\r\nx".encode()
        yield answer(request)

    gateway, _ = run(unframed, retry_policy=RetryPolicy.ANY)
    assert gateway.call(Request_Id="r0").status == 200
    with gevent.Timeout(1.0):
        assert gateway.call(Request_Id="r1", Deadline_Ms="1900").status in (200, 502)


# A status that states that a request ran takes precedence over Not-Executed.
@pytest.mark.parametrize("status", ["200 OK", "500 Error", "504 Gateway Timeout"])
def test_an_answer_that_a_server_gives_after_a_run_is_no_rejection(run, status):
    def contradictory(request):
        yield answer(request, status, b"x", f"Not-Executed: 1\r\n{STAMP}")

    gateway, (server,) = run(contradictory, retry_policy=RetryPolicy.ONCE)
    assert gateway.call().status not in (503, 429)
    assert len(server.requests) == 1


# The connections that a request may not use again stay open for others, unless the
# server accepts no further connection.
def test_connections_that_carried_a_request_stay_within_the_limit(run, monkeypatch):
    script = FullServer(not_run)
    gateway, (server,) = run(script, retry_policy=RetryPolicy.ONCE)
    monkeypatch.setattr(ServerPool, "open_count", counted := CountedLimit(1))
    for n in range(3):
        assert gateway.call(Request_Id=f"r{n}").status == 200
    assert counted.most == 1
    assert len(server.requests) == 6


class CountedLimit:
    """Open count of a pool whose servers accept one connection."""

    def __init__(self, limit):
        self._limit = limit
        self.most = 0

    def __get__(self, pool, _):
        def open_count(server):
            count = pool._open_counts.get(server.incarnation, 0)
            self.most = max(self.most, count)
            # The configured limit is larger.
            return 10**6 if count >= self._limit else 0

        return open_count
