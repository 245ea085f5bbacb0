"""Test clients that disconnect while their requests wait on a link or a busy node."""

import socket

import gevent

from arbutusyard import clock
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.caller import CallerConnection
from arbutusyard.gateway.memory import MemoryBudget
from arbutusyard.gateway.models import IngressLimits, ServerEntry, ServerState
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import SETTINGS, answer, request_bytes

BODY = b"x" * 8_000_000
PAUSE_S = 0.1


def test_unsent_bytes_of_an_aborted_request_are_discarded():
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    entry = ServerEntry("s", 1, "w", address, "z", ServerState.READY, 4, {})
    pool = ServerPool()
    conn = pool.acquire(Server(entry), "r1", 4, clock.now())
    conn.send("r1", b"POST", b"/", [(b"host", b"h")], BODY)
    accepted, _ = listener.accept()
    gevent.sleep(PAUSE_S)

    pool.abort(conn)

    received = 0
    try:
        while data := accepted.recv(65_536):
            received += len(data)
        ending = "closed"
    except ConnectionResetError:
        ending = "reset"
    assert ending == "reset"
    assert received < len(BODY)


def test_a_request_read_together_with_its_clients_disconnect_is_not_sent(run):
    gateway, (server,) = run(lambda req: [answer(req)])
    assert gateway.call().status == 200
    # A connection to the server stays open, so the next request could be sent at once;
    # the node is busy while the next client disconnects.
    sock = gateway.connect()
    sock.sendall(request_bytes())
    sock.close()

    gevent.sleep(PAUSE_S)

    assert len(server.requests) == 1


def test_a_disconnect_is_detected_before_it_is_read():
    ours, theirs = socket.socketpair()
    memory = MemoryBudget(SETTINGS.client_limits)
    holding = memory.open(lambda reason: None, 0.0)
    conn = CallerConnection(ours, IngressLimits(), memory, holding)
    assert not conn.has_disconnected()
    theirs.close()
    assert conn.has_disconnected()
