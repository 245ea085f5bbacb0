"""Test that no request to a WSGI server holds the process."""

import contextlib
import itertools
import socket

import gevent
import pytest
from gevent.pywsgi import WSGIServer

from arbutusyard.http1.wsgi import BodylessHandler, FairHandler
from tests.turns import TURN_S

HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PLAY_S = 0.5


def application(environ, start_response):
    while environ["wsgi.input"].read(65_536):
        pass
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


@pytest.fixture(params=[FairHandler, BodylessHandler])
def address(request):
    server = WSGIServer(
        ("127.0.0.1", 0),
        application,
        log=None,
        error_log=None,
        handler_class=request.param,
    )
    server.start()
    yield server.address
    server.stop(timeout=0)


# Guards against nodes that are not ready while a client of their directory sends this.
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (CHUNKED, b"1\r\nx\r\n" * 9_000),
        (HEAD + b"Content-Length: 99999999\r\n\r\n", b"x" * 60_000),
        (b"", (HEAD + b"\r\n") * 900),
        (HEAD, b"A: b\r\n" * 9_000),
    ],
    ids=["chunks", "length", "pipelined", "headers"],
)
def test_endless_requests_leave_the_process_to_other_tasks(address, watch, head, piece):
    sock = socket.create_connection(address, timeout=PLAY_S)
    reader = gevent.spawn(lambda: list(iter(lambda: sock.recv(65_536), b"")))
    with contextlib.suppress(OSError), gevent.Timeout(PLAY_S, False):
        for data in itertools.chain((head,), itertools.repeat(piece)):
            sock.sendall(data)
    assert watch.longest_s() < TURN_S
    sock.close()
    reader.kill()


def test_a_body_is_not_waited_for():
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, handler_class=BodylessHandler
    )
    server.start()
    sock = socket.create_connection(server.address, timeout=1.0)
    sock.sendall(CHUNKED)
    assert sock.makefile("rb").read().endswith(b"ok")
    server.stop(timeout=0)
