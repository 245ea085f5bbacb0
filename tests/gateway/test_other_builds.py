"""Nodes forward requests to nodes of build d6ca590, and serve what those forward.

Nodes of two builds run side by side while they are replaced one by one. Scripted nodes
stand in for those of the older build; the bytes and rules below are its own.
"""

import re
import socket
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import (
    STAMP,
    Gateway,
    ScriptedServer,
    answer,
    chunk,
    event,
    read_answer,
    request_bytes,
    stream_head,
)
from tests.gateway.test_forwarding import FakeNode, RefusingServer, link

STREAM_ROUTE = {"streaming": True, "retry_policy": RetryPolicy.RESUME}
ALL_EVENTS = b"".join(map(event, range(1, 5)))

# A request as the older build forwards it, and its headers after `request-id`.
FORWARDED = (
    b"POST /a/x HTTP/1.1\r\nhost: h.test\r\narbutusyard-config-version: 1\r\n"
    b"request-id: r1\r\n%sdeadline-ms: 1499\r\napi-key: key\r\n%scontent-length: 4"
    b"\r\n\r\nbody"
)
# A refusal of the older build that another node may not give, and one of a stream that
# cannot go on.
NO_SERVER = (
    b"HTTP/1.1 503 \r\nrequest-id: r1\r\nretry-after: 0.30\r\n"
    b"arbutusyard-refusal: no_server\r\ncontent-length: 0\r\n\r\n"
)
CANNOT_RESUME = (
    b"HTTP/1.1 503 \r\nrequest-id: r1\r\ncontent-length: 137\r\n\r\n"
    b"This stream cannot be resumed: no server is known to have the software version "
    b"that began it. Send the request again from its beginning.\n"
)
# Headers of requests that the older build does not pass on to servers, and headers of
# other nodes' answers that it does not pass on to clients. Further ones are listed in
# Connection.
HOP_BY_HOP = {
    *("connection", "keep-alive", "proxy-connection", "proxy-authenticate"),
    *("proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"),
    *("content-length", "expect"),
}
NOT_PASSED_TO_SERVERS = HOP_BY_HOP | {
    *("arbutusyard-config-version", "api-key", "tenant", "expect-instance"),
    *("expect-version", "cache-salt", "kv-fetch", "kv-save", "request-priority"),
    *("deadline-ms", "last-event-id", "hold", "pin-ms", "kv-backup", "kv-from"),
}
NOT_PASSED_TO_CLIENTS = HOP_BY_HOP | {"arbutusyard-refusal"}


@pytest.fixture
def make():
    started = []

    def start(kind, *args, **kwargs):
        started.append(kind(*args, **kwargs))
        return started[-1]

    yield start
    for item in reversed(started):
        item.stop()


def passed_on(headers, dropped):
    """Return the headers that the older build passes on, of pairs as received."""
    listed = {
        item.strip().lower()
        for name, value in headers
        if name == "connection"
        for item in value.split(",")
    }
    return {name: value for name, value in headers if name not in dropped | listed}


def read_head(sock):
    """Read the head of an answer; return its fields as received, and the rest."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        assert part
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")[1:]
    fields = [line.partition(":") for line in lines]
    return [(name.lower(), value.strip()) for name, _, value in fields], rest


def forward(gateway, raw):
    """Send a request as another node; return the fields of the answer and its body."""
    host, port = gateway.node_ingress.address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(raw)
        return read_head(sock)


def set_version(gateway, version, *names):
    table = gateway.fleet_state.servers
    for name in names or tuple(table.servers):
        table.update(replace(table.get(name).entry, software_version=version))


def cut_off_once(gateway):
    """Let a node seem cut off from its servers for one look."""
    looks = iter([True])
    gateway.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(looks, False)
    )


def stream_on(request):
    """Send the events after the last one that the client has."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    yield stream_head(request)
    yield chunk(b"".join(map(event, range(first, 5)))) + b"0\r\n\r\n"


def break_off(request):
    """Break off after two events, as a node of the older build relays them."""
    request.last = True
    yield stream_head(request)
    yield chunk(event(1) + event(2))


# Guards against headers between nodes that an older first node passes to its client,
# and against connections that it takes for closed or for open.
@pytest.mark.parametrize("is_draining", [False, True])
def test_an_older_node_passes_no_header_between_nodes_to_its_client(make, is_draining):
    other = make(Gateway, make(ScriptedServer, stream_on), **STREAM_ROUTE)
    set_version(other, "v7")
    if is_draining:
        other.relay.start_draining(clock.now(), clock.now() + 8)
    headers, body = forward(other, FORWARDED % (b"", b""))
    assert body == chunk(ALL_EVENTS) + b"0\r\n\r\n"
    assert passed_on(headers, NOT_PASSED_TO_CLIENTS) == {
        "request-id": "r1",
        "response-stamp": "s",
        "content-type": "text/event-stream",
    }
    # The older build goes by the last of these headers alone.
    values = [value for name, value in headers if name == "connection"]
    assert ("close" in values[-1]) is is_draining
    # There are such headers to drop.
    assert {"arbutusyard-stream-software"} <= dict(headers).keys()


# Guards against a request of an older node that is refused, or of which servers see
# other headers than before.
@pytest.mark.parametrize("is_resumed", [False, True])
def test_a_request_of_an_older_node_is_served(make, is_resumed):
    server = make(ScriptedServer, stream_on)
    other = make(Gateway, server, **STREAM_ROUTE)
    fields = (b"resumes: r0\r\n", b"last-event-id: 2\r\n") if is_resumed else (b"", b"")
    _, body = forward(other, FORWARDED % fields)
    events = range(3 if is_resumed else 1, 5)
    assert body == chunk(b"".join(map(event, events))) + b"0\r\n\r\n"
    (request,) = server.requests
    resumed = {"last-event-id", "resumes"} if is_resumed else set()
    assert request.headers.keys() == resumed | {
        *("host", "request-id", "expect-instance", "deadline-ms", "tenant"),
        *("request-priority", "content-length"),
    }


# Guards against refusals that an older first node takes for those of the client's
# request, and against clients that see why a node refused.
def test_an_older_node_is_told_that_another_node_may_serve(make):
    headers, _ = forward(make(Gateway), FORWARDED % (b"", b""))
    assert dict(headers)["arbutusyard-refusal"] == "no_server"
    headers = passed_on(headers, NOT_PASSED_TO_CLIENTS)
    assert headers.keys() == {"request-id", "retry-after"}


# Guards against headers between nodes that an older second node passes to a server.
def test_an_older_node_passes_no_new_header_to_a_server(make):
    node = make(FakeNode, stream_on)
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    link(cut, node)
    raw = request_bytes(Other="x", Resumes="r0", Last_Event_Id="2")
    assert cut.call(raw).body == event(3) + event(4)
    (request,) = node.requests
    assert request.headers["arbutusyard-config-version"] == "1"
    assert request.headers["api-key"] == "key"
    assert request.headers["last-event-id"] == "2"
    passed = passed_on(request.headers.items(), NOT_PASSED_TO_SERVERS)
    assert passed == {
        "host": "h.test",
        "request-id": "r1",
        "other": "x",
        "resumes": "r0",
    }


# Guards against streams that begin again, or end without need, after an older second
# node broke off and did not say at which software version they began.
def test_a_stream_that_an_older_node_broke_off_goes_on(make):
    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    set_version(cut, "v1")
    cut_off_once(cut)
    link(cut, make(FakeNode, break_off))
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    assert [r.headers["last-event-id"] for r in server.requests] == ["2"]


# Guards against a stream of two software versions: an older second node does not say
# which one began it, and nothing else proves it.
def test_a_stream_of_an_older_node_ends_where_its_version_is_unknown(make):
    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, server, **STREAM_ROUTE)
    set_version(cut, "v1", "s0")
    set_version(cut, "v2", "s1")
    cut_off_once(cut)
    link(cut, make(FakeNode, break_off))
    got = cut.call()
    assert (got.complete, got.body) == (False, event(1) + event(2))
    assert server.requests == []


# Guards against a rest of a stream that an older node is asked for in a form that it
# reads as a request for the whole.
def test_an_older_node_goes_on_with_a_stream_that_another_one_broke_off(make):
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    second, third = make(FakeNode, break_off), make(FakeNode, stream_on)
    link(cut, second, third)
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    (request,) = third.requests
    # As a client resumes a stream, which the older build knows.
    assert request.headers["last-event-id"] == "2"
    assert request.headers["resumes"] == "r1"
    passed = passed_on(request.headers.items(), NOT_PASSED_TO_SERVERS)
    assert passed.keys() == {"host", "request-id", "resumes"}


# Guards against refusals of an older node that end a request, or a stream that the
# next node can go on with.
@pytest.mark.parametrize("refusal", [NO_SERVER, CANNOT_RESUME])
def test_the_next_node_is_asked_after_a_refusal_of_an_older_one(make, refusal):
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    refusing = make(FakeNode, lambda request: [refusal])
    nodes = [make(FakeNode, break_off), refusing, make(FakeNode, stream_on)]
    link(cut, *nodes)
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    assert [len(node.requests) for node in nodes] == [1, 1, 1]
    assert "arbutusyard-refusal" not in got.headers


# Guards against answers without events that change on their way from an older node.
def test_an_answer_of_an_older_node_is_relayed_unchanged(make):
    node = make(FakeNode, lambda request: [answer(request, body=b"whole")])
    cut = make(Gateway, RefusingServer())
    assert cut.call().status == 503
    link(cut, node)
    sock = cut.connect()
    sock.sendall(request_bytes())
    got = read_answer(sock)
    sock.close()
    assert (got.status, got.body, got.headers["response-stamp"]) == (200, b"whole", "s")
    assert not re.search("arbutusyard", str(got.headers))


# Guards against a software version that a server states in an answer which an older
# node relays: it drops these headers only if Connection lists them.
def test_only_a_node_says_where_a_stream_began(make):
    headers = f"{STAMP}Arbutusyard-Stream-Software: v9\r\n"

    def claim(request):
        request.last = True
        yield stream_head(request, headers)
        yield chunk(event(1) + event(2))

    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    set_version(cut, "v1")
    cut_off_once(cut)
    link(cut, make(FakeNode, claim))
    got = cut.call()
    assert not [name for name in got.headers if name.startswith("arbutusyard")]
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against a client of an older node that limits the attempts at its request: that
# node passes on headers that it does not know, without listing them in Connection.
def test_only_a_node_limits_the_attempts_at_a_request(make):
    server = make(ScriptedServer, lambda request: [answer(request, "500 Error")])
    other = make(Gateway, server, server)
    for number, (field, attempts) in enumerate(
        (
            (b"arbutusyard-attempts: 1\r\n", 2),
            (b"connection: arbutusyard-attempts\r\narbutusyard-attempts: 1\r\n", 1),
        )
    ):
        raw = FORWARDED.replace(b"r1", b"r%d" % number) % (field, b"")
        forward(other, raw)
        requests = [
            r for r in server.requests if r.headers["request-id"] == f"r{number}"
        ]
        assert len(requests) == attempts
        assert not [r for r in requests if "arbutusyard-attempts" in r.headers]
