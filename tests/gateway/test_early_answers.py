"""Test servers that answer before they have read a long request."""

import socket

import gevent
import pytest
from gevent.server import StreamServer

from arbutusyard.gateway import pool
from arbutusyard.gateway.const import NO_LINGER
from arbutusyard.gateway.models import RetryPolicy
from tests.framing import FRAMINGS
from tests.gateway.support import (
    Gateway,
    ScriptedServer,
    answer,
    chunk,
    event,
    not_run,
    read_message,
    request_bytes,
    stream_head,
)
from tests.gateway.test_answer_ends import framed_answer
from tests.gateway.test_hedged_dispatch import turn_on

# Larger than the socket buffers of a connection with small windows, in bytes.
LONG_BYTES = 6_000_000
WINDOW_BYTES = 65_536
SMALL_WINDOW_BYTES = 16_384


class EarlyServer:
    """Answer long requests early, then read their bodies; keep all bytes received.

    It pauses whenever it has read another `step` bytes of a body.
    """

    def __init__(self, script, short, step, pause_s):
        self._script = script
        self._short = short
        self._step = step
        self._pause_s = pause_s
        self.early = True
        # For each long request, its expected size and the bytes received.
        self.bodies = []
        self.first_lines = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _):
        reader = sock.makefile("rb")
        while request := read_message(reader, with_body=False):
            self.first_lines.append(request.first)
            size = int(request.headers["content-length"])
            is_long = size >= LONG_BYTES
            if is_long and self.early:
                sock.sendall(self._script(request))
            body = b""
            if is_long:
                self.bodies.append([size, b""])
                record = self.bodies[-1]
            pause_at = 0
            while len(body) < size:
                if is_long and len(body) >= pause_at:
                    gevent.sleep(self._pause_s)
                    pause_at = len(body) + self._step
                try:
                    data = reader.read1(size - len(body))
                except OSError:
                    return
                if not data:
                    return
                body += data
                if is_long:
                    record[1] = body
            if not (is_long and self.early):
                sock.sendall(self._short(request))

    def stop(self):
        self._server.stop(timeout=0)


def whole_stream(request):
    return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"


def long_request(request_id):
    return request_bytes(
        body=b"x" * LONG_BYTES, Request_Id=request_id, Deadline_Ms="6000"
    )


@pytest.fixture
def early():
    """Start a gateway in front of one server that answers early."""
    started = []

    def start(script, short=answer, step=1, pause_s=0.1, **route):
        server = EarlyServer(script, short, step, pause_s)
        gateway = Gateway(server, timeout_s=8.0, **route)
        gateway.configure_limits(body_bytes=2 * LONG_BYTES)
        started.extend([gateway, server])
        return gateway, server

    yield start
    for item in started:
        item.stop()


# Guards against UNASKED: the head of another request was written into the rest of a
# body that its server had not yet read, as the connection was taken for free.
@pytest.mark.parametrize(
    ("script", "streaming"),
    [
        (not_run, False),
        (answer, False),
        (lambda request: answer(request, "500 Error"), False),
        (lambda request: answer(request, "404 Not Found"), False),
        (whole_stream, True),
    ],
    ids=["rejection", "success", "error", "not_found", "stream"],
)
def test_no_other_request_is_written_into_a_body_that_is_still_due(
    early, script, streaming
):
    short = whole_stream if streaming else answer
    gateway, server = early(
        script, short, retry_policy=RetryPolicy.ONCE, streaming=streaming
    )
    gateway.call(long_request("long"))
    others = [
        gevent.spawn(gateway.call, Request_Id=f"other{n}", Deadline_Ms="4000")
        for n in range(4)
    ]
    gevent.joinall(others, timeout=8.0)
    # The server has read what is left of each connection.
    gevent.sleep(0.5)
    for _, body in server.bodies:
        assert body == b"x" * len(body)
    assert all(line.startswith("POST /a/x ") for line in server.first_lines)
    assert [other.value.status for other in others] == [200] * 4


# Guards against UNASKED: a connection whose request is not written whole was kept.
def test_a_connection_is_not_used_again_before_its_request_is_written_whole(early):
    gateway, server = early(answer)
    assert gateway.call(long_request("long")).status == 200
    assert not any(gateway.pool._idle.values())
    assert not gateway.pool._open_counts


# Guards against LOST: the reader's timeout ended the task that writes the rest of the
# body, so that the server never got it.
def test_a_long_request_reaches_a_server_that_reads_it_slowly(early):
    gateway, server = early(answer, step=1_500_000, pause_s=0.5)
    server.early = False
    assert gateway.call(long_request("long")).status == 200
    assert [len(body) for _, body in server.bodies] == [LONG_BYTES]
    # Its connection is free.
    assert [len(idle) for idle in gateway.pool._idle.values()] == [1]


class BreakingServer(ScriptedServer):
    """Answer a request whose body it does not read, then end the connection.

    It resets the connection, ends its own direction before ("fin"), or ends its own
    direction and reads on ("half") or neither reads nor resets ("hold").
    """

    def __init__(self, script, end):
        self.script = script
        self.requests = []
        self._end = end
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def _serve(self, sock, _):
        with sock.makefile("rb") as reader:
            request = read_message(reader, with_body=False)
            if request is None:
                return
            self.requests.append(request)
            data = self.script(request)
            # The gateway's reader waits again, so its writer sees the end first.
            for part in (data[:-1], data[-1:]):
                sock.sendall(part)
                gevent.sleep(0.05)
            if self._end != "reset":
                sock.shutdown(socket.SHUT_WR)
            if self._end == "half":
                reader.read(int(request.headers["content-length"]))
                return
            # The end arrives before the reset.
            gevent.sleep(3.0 if self._end == "hold" else 0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def answer_slowly(request, sound):
    """Answer an extra attempt only after the first attempt has broken off."""
    gevent.sleep(0.2)
    yield sound(request)


@pytest.fixture
def breaking(monkeypatch):
    """Start a gateway whose first server breaks off; its other server is sound."""
    started = []
    set_timeouts = pool.set_timeouts

    def limit_buffer(sock):
        # As on a link with a small window, the kernel takes a part of a long request.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_WINDOW_BYTES)
        set_timeouts(sock)

    monkeypatch.setattr(pool, "set_timeouts", limit_buffer)

    def start(script, end, sound, hedged=False, **route):
        first = BreakingServer(script, end)
        second = ScriptedServer(lambda request: answer_slowly(request, sound))
        gateway = Gateway(first, second, timeout_s=8.0, **route)
        gateway.fleet_state.servers.get("s1").in_flight = 3
        if hedged:
            turn_on(gateway)
        started.extend([gateway, first, second])
        return gateway, first

    yield start
    for item in started:
        item.stop()


def two_events(framing, cut_bytes=0):
    """Return a script that sends an answer of two events without its last bytes."""

    def script(request):
        after = int(request.headers.get("last-event-id", 0))
        parts = [event(n) for n in (1, 2) if n > after]
        data = b"".join(framed_answer(request, framing, parts))
        return data[: len(data) - cut_bytes]

    return script


WHOLE = event(1) + event(2)
# Bytes at the end of an answer whose loss leaves a whole event.
CUT_BYTES = {"length": len(event(2)), "chunked": 5, "close": len(event(2))}


# Guards against MIXED: a server answered a long request at once, without a length, and
# reset the connection; the task that wrote the request took the socket's error, and a
# part of the answer reached the client as a complete one. So it did if the server ended
# its own direction before the reset.
@pytest.mark.parametrize("end", ["reset", "fin"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("body_bytes", [200_000, 3_000_000])
@pytest.mark.parametrize(
    ("policy", "streaming", "hedged"),
    [
        (RetryPolicy.ANY, False, False),
        (RetryPolicy.ANY, False, True),
        (RetryPolicy.ONCE, False, False),
        (RetryPolicy.ONCE, True, False),
        (RetryPolicy.RESUME, True, False),
        (RetryPolicy.RESUME, True, True),
    ],
)
def test_an_answer_that_is_reset_during_its_request_is_not_complete(
    breaking, policy, streaming, hedged, body_bytes, framing, end
):
    gateway, first = breaking(
        two_events(framing, CUT_BYTES[framing]),
        end,
        two_events("chunked"),
        hedged,
        retry_policy=policy,
        streaming=streaming,
    )
    got = gateway.call(request_bytes(body=b"x" * body_bytes, Deadline_Ms="6000"))
    assert first.requests
    if policy is RetryPolicy.ONCE:
        assert got.status == 502 or not got.complete
    elif got.complete or not (streaming and hedged):
        assert (got.status, got.body, got.complete) == (200, WHOLE, True)
    else:
        # An extra attempt was the last one that the route allows.
        assert (got.status, got.body) == (200, event(1))


# Guards against MIXED: an answer that was relayed as it arrived ended as a complete one
# when its connection was reset.
@pytest.mark.parametrize("end", ["reset", "fin"])
def test_a_large_answer_that_is_reset_during_its_request_is_not_complete(breaking, end):
    def large(request):
        return b"".join(framed_answer(request, "close", [b"x" * 1_500_000]))

    gateway, _ = breaking(large, end, answer, retry_policy=RetryPolicy.ANY)
    got = gateway.call(request_bytes(body=b"x" * 3_000_000, Deadline_Ms="6000"))
    assert (got.status, got.complete) == (200, False)


# Guards against MIXED: an end was trusted though the server had not read the request;
# and against a wait for that until the deadline.
def test_a_server_that_reads_no_more_of_its_request_is_given_up_soon(breaking):
    gateway, _ = breaking(two_events("close"), "hold", answer)
    with gevent.Timeout(2.0):
        got = gateway.call(request_bytes(body=b"x" * 200_000, Deadline_Ms="6000"))
    assert (got.status, got.body) == (200, b"ok")


# Guards against rejecting whole answers: a server may end its own direction and read
# the rest of the request.
@pytest.mark.parametrize("streaming", [False, True])
def test_an_answer_that_ends_before_its_request_is_read_is_complete(
    breaking, streaming
):
    gateway, _ = breaking(
        two_events("close"),
        "half",
        answer,
        retry_policy=RetryPolicy.ONCE,
        streaming=streaming,
    )
    got = gateway.call(request_bytes(body=b"x" * 3_000_000, Deadline_Ms="6000"))
    assert (got.status, got.body, got.complete) == (200, WHOLE, True)
