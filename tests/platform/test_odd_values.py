"""Test that odd values in answers and rows are usable or give one kind of error."""

import json

import gevent
import msgspec
import pytest
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.fleet.messages import CacheStoreStatus, EngineStatus
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import MalformedRow, PlatformError
from arbutusyard.platform.rows import read_configuration, read_server, read_weights
from arbutusyard.platform.servers import ServerClient
from tests.fleet.support import CONFIG, entry

DEEP = b"[" * 100_000
HUGE = 10**30
REPORT = {"busy": False, "sequence": 12, "models": [{"name": "m", "version": 34}]}
EVENTS = {"boot_epoch": 12, "next": 34, "events": [[1, "+", "s", "id", 8, "m"]]}
ROW = {"table": "t", "part": "", "key": "k", "value": "dg==", "ver": 3}
ROWS = {"rows": [ROW], "ver": 12, "now_ms": 1}
ODD = [None, True, -1, 1.5, HUGE, -HUGE, 1e308, "", "x", "1e400", [], {}, [[]]]
JSON_VALUES = st.sampled_from(ODD) | st.integers() | st.text(max_size=4)


class FixedServer:
    """Answer each call with the same bytes."""

    def __init__(self):
        self.body = b""
        self.headers = b""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, _):
        while sock.recv(65_536):
            sock.sendall(
                b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s"
                % (self.headers, len(self.body), self.body)
            )

    def stop(self):
        self._server.stop(timeout=0)


@pytest.fixture
def server():
    running = FixedServer()
    yield running
    running.stop()


def changed(base, path, value):
    """Return a copy of a JSON value with one field replaced."""
    if not path:
        return value
    copy = dict(base) if isinstance(base, dict) else list(base)
    copy[path[0]] = changed(copy[path[0]], path[1:], value)
    return copy


def check_report(client, address):
    report = client.report(address, "s0")
    numbers = [report.orders_taken, report.started_at_ms, *report.weights.values()]
    # Nodes send these to each other and to servers.
    status = EngineStatus("s0", "m", max(numbers), 0.0)
    assert msgspec.msgpack.encode(status)
    assert json.dumps(numbers)


def check_events(client, address):
    batch = client.poll_cache_events(address, 0)
    assert msgspec.msgpack.encode(CacheStoreStatus("a:1", batch.epoch))
    assert 0 <= batch.position <= 2**53


def check_changes(client, address):
    changes = PlatformClient(address).follow("t", 1, 0.0)
    assert msgspec.msgpack.encode([changes.version, changes.era])
    assert all(0 <= row.version <= 2**53 for row in changes.rows)


def check_snapshot(client, address):
    store = PlatformClient(address)
    store.snapshot("t")
    assert 0 <= store.store_time_s(1e6) < 1e15


CHECKS = [
    (check_report, REPORT, st.sampled_from([("sequence",), ("models", 0, "version")])),
    (check_report, {**REPORT, "born": 5}, st.sampled_from([("born",), ("models",)])),
    (check_events, EVENTS, st.sampled_from([("boot_epoch",), ("next",), ("events",)])),
    (check_events, EVENTS, st.sampled_from([("events", 0), ("events", 0, 2)])),
    (check_changes, ROWS, st.sampled_from([("ver",), ("rows", 0, "ver"), ("rows",)])),
    (
        check_snapshot,
        ROWS,
        st.sampled_from([("now_ms",), ("rows", 0, "key"), ("ver",)]),
    ),
]


# Guards against tasks that fail: a number of a server that no node can encode ended
# each heartbeat, and other odd values ended the task that read them.
@given(st.sampled_from(CHECKS), st.data(), JSON_VALUES)
def test_odd_values_in_answers_are_errors_or_usable(server, kind, data, value):
    check, base, paths = kind
    server.body = json.dumps(changed(base, data.draw(paths), value)).encode()
    with gevent.Timeout(2.0):
        try:
            check(ServerClient(), server.address)
        except PlatformError:
            return


@pytest.mark.parametrize(
    "check", [check_report, check_events, check_changes, check_snapshot]
)
@pytest.mark.parametrize("body", [DEEP, b"", b"\xff", b"NaN", b"1", b'{"a":1e999}'])
def test_answers_that_are_no_such_value_are_errors(server, check, body):
    server.body = body
    with pytest.raises(PlatformError):
        check(ServerClient(), server.address)


# Guards against DRAIN: an answer without its rows counted as "no changes", and its
# version hid them for good.
@pytest.mark.parametrize("rows", [None, {}, "x", 5])
def test_an_answer_without_a_list_of_rows_is_no_answer(server, rows):
    server.body = json.dumps({"rows": rows, "ver": 9, "now_ms": 1}).encode()
    client = PlatformClient(server.address)
    for read in (lambda: client.snapshot("t"), lambda: client.follow("t", 1, 0.0)):
        with pytest.raises(PlatformError):
            read()


@pytest.mark.parametrize("era", ["9" * 40, "²", "-1", "x", "1.5"])
def test_an_odd_era_is_the_first_one(server, era):
    server.headers = f"Store-Era: {era}\r\n".encode("latin-1")
    server.body = json.dumps(ROWS).encode()
    client = PlatformClient(server.address)
    client.snapshot("t")
    assert client.era == 0


ROWS_READ = [
    (lambda value: read_server("s1", value), entry()),
    (read_weights, {"model": "m", "version": 2}),
    (read_configuration, CONFIG),
]


@pytest.mark.parametrize(("read", "value"), ROWS_READ)
def test_deep_and_huge_rows_are_malformed(read, value):
    for data in (DEEP, b"\xff", json.dumps({**value, "version": HUGE}).encode()):
        with pytest.raises(MalformedRow):
            read(data)


# A connection to such an address raised what no request expects.
@pytest.mark.parametrize(
    "address",
    ["", ":80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:99999999", "1.2.3.4:²", "host:80"]
    + ["1.2.3.4:-1", "1.2.3:80", "::1:80", "1.2.3.4:" + "9" * 9000],
)
def test_an_entry_with_an_unusable_address_names_no_server(address):
    data = json.dumps(entry(address)).encode()
    with pytest.raises(MalformedRow):
        read_server("s1", data)


@given(st.sampled_from(list(entry())), JSON_VALUES)
def test_any_entry_is_read_or_malformed(name, value):
    try:
        known = read_server("s1", json.dumps({**entry(), name: value}).encode())
    except MalformedRow:
        return
    assert msgspec.msgpack.encode([known.started_at_ms, known.weights])
