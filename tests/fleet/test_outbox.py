"""Test nodes whose kernel takes no datagrams for a while, as on a full link."""

import errno
import socket

import gevent
import pytest
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import OUTBOX_BYTES_MAX
from arbutusyard.fleet.messages import Heartbeat, ServerLoad
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.platform.client import PlatformClient
from tests.fleet.support import CONFIG, Store
from tests.gateway.support import wait_for

BLANK = Heartbeat("b", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, ())


class NarrowSocket:
    """Datagram socket on a link that is full until its other end is read."""

    def __init__(self, sock):
        self._sock = sock
        self._sender, self.link = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.error = None
        self.tried = 0

    def sendto(self, data, address):
        self.tried += 1
        if self.error is not None:
            raise OSError(self.error, "scripted")
        self._sender.settimeout(self._sock.gettimeout())
        return self._sender.send(data)

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def fill(self):
        self._sender.settimeout(0.0)
        with pytest.raises(BlockingIOError):
            while True:
                self._sender.send(b"filling")

    def read_all(self):
        got = []
        self.link.settimeout(0.0)
        while True:
            try:
                data = self.link.recv(65_536)
            except BlockingIOError:
                return [item for item in got if item != b"filling"]
            got.append(data)


@pytest.fixture
def narrow():
    """Start the peers of a node on a narrow link, with one live peer."""
    store = Store()
    client = PlatformClient(store.address)
    peers = PeerCoordinator(
        "a", "127.0.0.1:0", (), client, 1, lambda seq: replace(BLANK, name="a", seq=seq)
    )
    app = Application("test")
    peers.setup(app)
    sock = peers._socket = NarrowSocket(peers._socket)
    if hasattr(peers, "_outbox"):
        peers._outbox._sock = sock
    host, port = sock.getsockname()
    address = f"{host}:{port}"
    peers.table.apply_heartbeat(
        replace(BLANK, peer_address=address, next_in_s=60.0), clock.now()
    )
    yield peers, sock, store, app
    sock.read_all()
    peers.unload()
    store.stop()


# Guards against LOST: a task that serves a request failed, as another one waited for
# the node's socket.
def test_a_full_link_neither_suspends_nor_fails_the_tasks_that_send(narrow):
    peers, sock, _, _ = narrow
    sock.fill()
    started_at = clock.now()
    tasks = [
        gevent.spawn(peers.broadcast_load, ServerLoad(f"s{n}", n, 0), None)
        for n in range(5)
    ]
    gevent.joinall(tasks, timeout=1.0, raise_error=True)
    assert all(task.successful() for task in tasks)
    assert clock.now() - started_at < 0.2
    sock.read_all()
    gevent.sleep(0.05)
    got = b"".join(sock.read_all())
    assert all(b"s%d" % n in got for n in range(5))


# Guards against LOST around SIGTERM: the stop of a node failed as it told its peers.
def test_a_node_on_a_full_link_drains(narrow):
    peers, sock, _, _ = narrow
    peers._addresses.add("127.0.0.1:9")
    sock.fill()
    waiting = gevent.spawn(peers.send)
    gevent.sleep(0.01)
    with gevent.Timeout(1.0):
        peers.drain()
    waiting.kill()


# Guards against DRAIN and VERSION: the task that follows the servers' table failed as
# it confirmed a read to the peers.
def test_a_full_link_does_not_stop_the_reading_of_tables(narrow, caplog):
    peers, sock, store, app = narrow
    state = FleetState(PlatformClient(store.address))
    state.set_read_hooks(peers.live_heartbeats, peers.confirm)
    sock.fill()
    state.setup(app)
    store.write("op", "config", CONFIG)
    wait_for(lambda: state.catalog is not None)
    for n in range(5):
        store.write("servers", f"s{n}", server_row())
        wait_for(lambda n=n: state.servers.get(f"s{n}") is not None, 2.0)
    state.unload()
    assert "failed" not in caplog.text


def server_row():
    return {
        "service": "svc",
        "address": "127.0.0.1:1",
        "zone": "z",
        "state": "ready",
        "slots": 8,
        "version": "v1",
        "sequence": 1,
        "cold_remaining_ms": 0,
        "born": 1,
    }


# Some kernels report a full queue of the device.
@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.EAGAIN])
def test_datagrams_are_sent_in_order_once_the_kernel_takes_them(narrow, code):
    peers, sock, _, _ = narrow
    sock.error = code
    for n in range(9):
        peers._send_to("127.0.0.1:9", b"%d" % n)
    sock.error = None
    gevent.sleep(0.05)
    assert [d for d in sock.read_all() if len(d) == 1] == [b"%d" % n for n in range(9)]


def test_what_waits_for_too_long_or_is_too_much_is_dropped_and_logged(narrow, caplog):
    peers, sock, _, _ = narrow
    sock.error = errno.EAGAIN
    for _ in range(40):
        peers._send_to("127.0.0.1:9", b"x" * 10_000)
    assert peers._outbox._queued_bytes <= OUTBOX_BYTES_MAX
    gevent.sleep(0.7)
    assert peers._outbox._queued_bytes < 10_000
    assert peers._outbox.dropped >= 40
    assert "Datagrams to other nodes are dropped" in caplog.text


@pytest.mark.parametrize(
    "address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:99999999"]
)
def test_a_malformed_address_of_a_peer_fails_nothing(narrow, address):
    peers, sock, _, _ = narrow
    peers._outbox._sock = sock._sock
    peers._send_to(address, b"x")
