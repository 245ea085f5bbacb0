"""Callers that leave while their long requests wait on a narrow link or a busy node."""

import socket

import gevent

from arbutusyard import clock
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.models import IngressLimits, ServerEntry, ServerState
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import answer, request_bytes

BODY = b"x" * 8_000_000
PAUSE_S = 0.1


def test_what_a_link_still_holds_when_the_caller_leaves_is_not_sent():
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    entry = ServerEntry("s", 1, "w", address, "z", ServerState.READY, 4, {})
    pool = ServerPool()
    conn = pool.acquire(Server(entry), 4, clock.now())
    conn.send(b"POST", b"/", [(b"host", b"h")], BODY)
    accepted, _ = listener.accept()
    gevent.sleep(PAUSE_S)

    pool.abort(conn)

    came = 0
    try:
        while data := accepted.recv(65_536):
            came += len(data)
        ended = "closed"
    except ConnectionResetError:
        ended = "reset"
    assert ended == "reset"
    assert came < len(BODY)


def test_a_request_that_is_read_together_with_its_callers_end_goes_nowhere(run):
    gateway, (server,) = run(lambda req: [answer(req)])
    assert gateway.call().status == 200
    # A connection to the server is kept; the node is busy while the next caller leaves.
    sock = gateway.connect()
    sock.sendall(request_bytes())
    sock.close()

    gevent.sleep(PAUSE_S)

    assert len(server.requests) == 1


def test_a_callers_end_is_seen_before_it_is_read():
    ours, theirs = socket.socketpair()
    conn = CallerConnection(ours, IngressLimits())
    assert not conn.has_disconnected()
    theirs.close()
    assert conn.has_disconnected()
