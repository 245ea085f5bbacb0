"""Test connections to servers whose link is cut while a request is under way."""

import errno
import socket

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.const import TCP_USER_TIMEOUT_MS
from arbutusyard.gateway.exceptions import AnswerBroken
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.pool import ServerConnection, ServerPool
from tests.gateway.support import answer

# State of a connection that has failed or was reset, in the kernel's numbering.
TCP_CLOSE = 7


@pytest.fixture
def silent_server():
    """Listen without ever accepting, as a server behind a cut link."""
    sock = socket.create_server(("127.0.0.1", 0))
    host, port = sock.getsockname()
    entry = ServerEntry("s0", 1, "svc", f"{host}:{port}", "z", ServerState.READY, 8, {})
    yield Server(entry)
    sock.close()


def is_probed(conn):
    return bool(conn._sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))


# Guards against DRAIN: a connection that ends by its keep-alive probes during a cut may
# still deliver the request that waits in it once the link is back.
def test_a_request_under_way_is_only_ended_by_the_timeout_that_discards_it(
    silent_server,
):
    pool = ServerPool()
    conn = pool.acquire(silent_server, "r1", 8, clock.now())
    conn.send("r1", b"POST", b"/", [(b"host", b"h")], b"body")
    assert not is_probed(conn)
    deadline = clock.now() + 5.0
    reader = gevent.spawn(conn.read_head, "r1", deadline)
    try:
        # What was sent is either acknowledged or discarded by then.
        gevent.sleep(TCP_USER_TIMEOUT_MS / 1000 + 0.5)
        assert is_probed(conn)
    finally:
        reader.kill()
        pool.abort(conn)


# A request may be sent on an idle connection at any time.
def test_an_idle_connection_is_not_probed(run):
    def slow(request):
        gevent.sleep(TCP_USER_TIMEOUT_MS / 1000 + 0.6)
        yield answer(request)

    gateway, _ = run(slow, timeout_s=5.0)
    assert gateway.call(Deadline_Ms="4000").status == 200
    ((conn,),) = gateway.pool._idle.values()
    assert not is_probed(conn)


# Guards against DRAIN: a server says that it leaves while a connection to it opens.
def test_a_server_that_leaves_while_its_connection_opens_gets_no_request(
    run, monkeypatch
):
    def good(request):
        yield answer(request)

    gateway, servers = run(good, good)
    connect = ServerPool._connect
    chosen = []

    def connect_slowly(pool, server):
        conn = connect(pool, server)
        if not chosen:
            chosen.append(server)
            gateway.fleet_state.servers.mark_leaving(*server.incarnation)
        return conn

    monkeypatch.setattr(ServerPool, "_connect", connect_slowly)
    assert gateway.call().status == 200
    sent = {f"s{n}": len(server.requests) for n, server in enumerate(servers)}
    assert sent[chosen[0].entry.server_id] == 0
    assert sum(sent.values()) == 1


class EndlessSocket:
    """Socket on which bytes of an endless answer have always arrived."""

    def __init__(self):
        self.reads = 0

    def settimeout(self, timeout_s):
        pass

    def sendmsg(self, parts):
        return sum(map(len, parts))

    def recv(self, size):
        self.reads += 1
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"
        return head if self.reads == 1 else b"x" * size


# Guards against late answers: while a server sent without end, no other request of the
# node was served, for up to seconds.
def test_an_endless_answer_leaves_other_tasks_their_turns(silent_server):
    conn = ServerConnection(EndlessSocket(), silent_server)
    turns = []

    def read():
        deadline = clock.now() + 5.0
        conn.send("r1", b"GET", b"/", [(b"host", b"h")], b"")
        conn.read_head("r1", deadline)
        while conn._sock.reads < 200:
            conn.read_data(deadline)

    def serve():
        while not reader.dead:
            turns.append(conn._sock.reads)
            gevent.sleep(0)

    reader = gevent.spawn(read)
    other = gevent.spawn(serve)
    gevent.joinall([reader, other], timeout=5.0, raise_error=True)
    assert len(turns) >= 15


class TimedOutSocket(EndlessSocket):
    """Socket whose link fails within an answer, just as the reader's wait ends."""

    def settimeout(self, timeout_s):
        self.timeout_s = timeout_s

    def getsockopt(self, level, option, size):
        return bytes([TCP_CLOSE])

    def recv(self, size):
        self.reads += 1
        if self.reads == 2:
            gevent.sleep(self.timeout_s * 0.95)
            raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        return b"" if self.reads > 2 else b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"


# Guards against MIXED: the kernel's timeout for a dead link passed for the end of the
# reader's wait, and the next read for the end of the answer.
def test_an_answer_whose_link_fails_is_not_complete(silent_server):
    conn = ServerConnection(TimedOutSocket(), silent_server)
    deadline = clock.now() + 5.0
    conn.send("r1", b"GET", b"/", [(b"host", b"h")], b"")
    conn.read_head("r1", deadline)
    with pytest.raises(AnswerBroken):
        conn.read_data(deadline)
