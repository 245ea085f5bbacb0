"""Requests at a node that reaches no server are served through another node."""

import contextlib
import socket
from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.gateway.charges import QuotaCharges
from arbutusyard.gateway.models import (
    Account,
    EngineTraits,
    IngressLimits,
    Refusal,
    RetryPolicy,
)
from tests.gateway.support import (
    STAMP,
    FakeNode,
    Gateway,
    RefusingServer,
    ScriptedServer,
    answer,
    chunk,
    event,
    heartbeat_of,
    link,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)


@pytest.fixture
def make():
    started = []

    def start(kind, *args, **kwargs):
        started.append(kind(*args, **kwargs))
        return started[-1]

    yield start
    for item in reversed(started):
        item.stop()


# Guards against refusals by a node that is cut off from servers which others reach.
def test_a_node_that_reaches_no_server_serves_through_another_node(make):
    server = make(ScriptedServer, lambda request: [answer(request)])
    cut = make(Gateway, RefusingServer(), RefusingServer())
    other = make(Gateway, server)
    cut.peers.apply_heartbeat(heartbeat_of(other), clock.now())
    got = cut.call()
    assert (got.status, got.headers.get("response-stamp"), got.body) == (
        200,
        "s",
        b"ok",
    )


@pytest.fixture
def cut(make):
    return make(Gateway, RefusingServer(), RefusingServer())


# Guards against forwarded requests that are refused as those of no node, on a VM with
# several addresses.
def test_a_node_connects_to_others_from_its_own_address(make):
    server = make(ScriptedServer, lambda request: [answer(request)])
    cut = make(Gateway, RefusingServer(), peer_address="127.0.0.2:0")
    other = make(Gateway, server)
    other.nodes = {"127.0.0.2"}
    link(cut, other)
    assert cut.call().status == 200


# Guards against requests that change on their way through another node.
def test_the_other_node_gets_the_request_as_the_client_sent_it(make, cut):
    server = make(ScriptedServer, lambda request: [answer(request)])
    other = make(Gateway, server)
    link(cut, other)
    body = b"x" * 300_000
    got = cut.call(
        request_bytes(body=body, Length_Hint="7", Tenant="other", Resumes="r0")
    )
    assert got.status == 200
    (request,) = server.requests
    assert request.first == "POST /a/x HTTP/1.1"
    assert request.body == body
    assert request.headers["tenant"] == "acc"
    assert (request.headers["length-hint"], request.headers["resumes"]) == ("7", "r0")
    assert 0 < int(request.headers["deadline-ms"]) <= 1500
    assert not {"api-key", "arbutusyard-config-version"} & request.headers.keys()


# Guards against a head at the limit that the other node refuses with 431.
def test_a_head_of_the_largest_size_is_forwarded(make, cut):
    server = make(ScriptedServer, lambda request: [answer(request)])
    other = make(Gateway, server)
    link(cut, other)
    limits = IngressLimits(header_bytes=4_000)
    for gateway in (cut, other):
        gateway.configure_limits(header_bytes=4_000)
    raw = request_bytes(Filler="f" * (limits.header_bytes - 150))
    assert cut.call(raw).status == 200


# Guards against buffered streams: each event has to arrive when it is made.
def test_a_stream_is_forwarded_event_by_event(make):
    go_on = Event()

    def script(request):
        yield stream_head(request)
        yield chunk(event(1))
        go_on.wait(3)
        yield chunk(event(2)) + b"0\r\n\r\n"

    server = make(ScriptedServer, script)
    route = {"streaming": True, "retry_policy": RetryPolicy.RESUME}
    cut = make(Gateway, RefusingServer(), **route)
    other = make(Gateway, server, **route)
    link(cut, other)
    sock = cut.connect()
    sock.sendall(request_bytes())
    seen = b""
    while event(1) not in seen:
        seen += sock.recv(4096)
    go_on.set()
    while not seen.endswith(b"0\r\n\r\n"):
        seen += sock.recv(4096)
    sock.close()
    assert event(2) in seen


# Guards against statuses that change, and refusals that hide their cause.
def test_an_answer_that_is_no_success_is_relayed_unchanged(make, cut):
    failing = make(
        ScriptedServer, lambda request: [answer(request, "404 Not Found", b"gone")]
    )
    other = make(Gateway, failing)
    link(cut, other)
    got = cut.call()
    assert (got.status, got.body) == (404, b"gone")
    assert got.headers["response-stamp"] == "s"
    other.configure(
        *other.fleet_state.catalog.cfg.routes,
        accounts=(Account("acc", ("other",), None, False),),
    )
    assert cut.call(request_bytes(Request_Id="r2")).status == 401


# Guards against nodes that know no server, drain or have an older configuration.
@pytest.mark.parametrize("reason", ["no_server", "config_outdated"])
def test_a_refusal_that_may_not_apply_to_others_goes_to_the_next_node(make, reason):
    server = make(ScriptedServer, lambda request: [answer(request)])
    cut = make(Gateway, RefusingServer())
    first = make(Gateway, *([] if reason == "no_server" else [server]))
    second = make(Gateway, server)
    for gateway in (cut, second):
        if reason == "config_outdated":
            gateway.configure(*gateway.fleet_state.catalog.cfg.routes, version=2)
    link(cut, first, config_version=2)
    assert cut.call().status == 503
    assert "arbutusyard-refusal" not in cut.call().headers
    link(cut, first, second, seq=2, config_version=2)
    assert cut.call().status == 200
    assert len(server.requests) == 1


# Guards against refusals in a cut in which connections live on and new ones fail.
def test_requests_are_forwarded_while_only_old_connections_work(make):
    go_on = Event()

    def script(request):
        if request.headers["request-id"] == "slow":
            go_on.wait(3)
        return [answer(request, body=b"old")]

    old = make(ScriptedServer, script)
    new = make(ScriptedServer, lambda request: [answer(request)])
    cut = make(Gateway, old)
    link(cut, make(Gateway, new))
    assert cut.call(request_bytes(Request_Id="r0")).body == b"old"
    sock = cut.connect()
    sock.sendall(request_bytes(Request_Id="slow"))
    wait_for(lambda: len(old.requests) == 2)
    old._server.close()
    assert cut.call(request_bytes(Request_Id="r1")).body == b"ok"
    go_on.set()
    assert read_answer(sock).body == b"old"
    sock.close()
    # The connection that lives on is of a server that is suspected.
    assert cut.call(request_bytes(Request_Id="r2")).body == b"ok"


# Guards against streams that wait on a hung connection until their deadline though
# another node reaches servers.
@pytest.mark.parametrize("count", [0, 2])
def test_a_stream_on_a_hung_connection_goes_on_through_another_node(make, count):
    ended = Event()

    def hang(request):
        hung._server.close()
        if count:
            yield stream_head(request)
            yield chunk(b"".join(map(event, range(1, count + 1))))
        ended.wait(8)

    hung = make(ScriptedServer, hang)
    cut = make(Gateway, hung, timeout_s=4.0, **STREAM_ROUTE)
    cut.router.on_check = lambda server: gevent.spawn(cut.pool.probe, server)
    other = make(Gateway, make(ScriptedServer, stream_on), **STREAM_ROUTE)

    def send_heartbeats():
        for seq in range(1, 20):
            link(cut, other, seq=seq)
            gevent.sleep(0.2)

    task = gevent.spawn(send_heartbeats)
    got = cut.call(request_bytes(Deadline_Ms="4000"))
    task.kill()
    ended.set()
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against requests that go back and forth between nodes that are cut off.
def test_a_forwarded_request_is_not_forwarded_again(make, cut):
    server = make(ScriptedServer, lambda request: [answer(request)])
    middle = make(Gateway, RefusingServer())
    last = make(Gateway, server)
    link(cut, middle)
    middle.peers.apply_heartbeat(heartbeat_of(last, "n9"), clock.now())
    assert cut.call().status == 503
    assert server.requests == []
    # Its own clients' requests are.
    assert middle.call().status == 200


# Guards against a second charge, for which the account may have no quota left.
def test_only_the_node_that_serves_a_request_charges_it(make, cut):
    server = make(ScriptedServer, lambda request: [answer(request)])
    other = make(Gateway, server)
    assert cut.call().status == 503
    link(cut, other)
    charged = []

    class Charges(QuotaCharges):
        def charge(self, req, admitted, now):
            charged.append(self)

    for gateway in (cut, other):
        gateway.relay._charges = Charges(None)
    assert cut.call().status == 200
    assert charged == [other.relay._charges]


# Guards against running a request twice that can't be repeated.
@pytest.mark.parametrize("policy", [RetryPolicy.ONCE, RetryPolicy.ANY])
def test_a_request_that_may_have_run_is_sent_on_only_if_it_may_be_repeated(
    make, policy
):
    def script(request):
        request.last = True
        return []

    cut = make(Gateway, RefusingServer(), retry_policy=policy)
    assert cut.call().status == 503
    nodes = [make(FakeNode, script), make(FakeNode, script), make(FakeNode, script)]
    link(cut, *nodes)
    assert cut.call().status == 502
    sent = sum(len(node.requests) for node in nodes)
    assert sent == (1 if policy is RetryPolicy.ONCE else 2)


# Guards against an answer that looks complete though the other node died. A part of a
# body that was buffered is not relayed at all.
@pytest.mark.parametrize("size", [3, 2_000_000])
@pytest.mark.parametrize(
    "framing", ["Content-Length: 9000000", "Transfer-Encoding: chunked"]
)
def test_an_answer_that_the_other_node_breaks_off_is_incomplete(
    make, cut, framing, size
):
    def script(request):
        request.last = True
        yield (
            f"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n{framing}"
            "\r\n\r\n"
        ).encode()
        body = b"x" * size
        yield chunk(body) if "chunked" in framing else body

    assert cut.call().status == 503
    link(cut, make(FakeNode, script))
    got = cut.call()
    if size == 3:
        assert (got.status, got.headers.get("response-stamp"), got.body) == (
            502,
            None,
            b"",
        )
    else:
        assert (got.status, got.complete) == (200, False)


# Guards against streams that begin again within one answer: the first node went on from
# the first event when a stream that it had forwarded broke off.
@pytest.mark.parametrize("sent", [b"", event(3)[:-3], b"\n"])
def test_a_forwarded_stream_goes_on_after_what_the_client_has(make, sent):
    def break_off(request):
        request.last = True
        yield stream_head(request)
        yield chunk(event(1) + event(2))
        if sent:
            yield chunk(sent)

    def go_on(request):
        first = int(request.headers.get("last-event-id", 0)) + 1
        yield stream_head(request)
        yield chunk(b"".join(map(event, range(first, 5)))) + b"0\r\n\r\n"

    route = {"streaming": True, "retry_policy": RetryPolicy.RESUME}
    server = make(ScriptedServer, go_on)
    cut = make(Gateway, server, **route)
    # The cut is over by the time of the second attempt.
    cut_off = iter([True])
    cut.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(cut_off, False)
    )
    link(cut, make(FakeNode, break_off))
    got = cut.call()
    assert (got.complete, got.body) == (True, b"".join(map(event, range(1, 5))))
    assert [r.headers["last-event-id"] for r in server.requests] == ["2"]


STREAM_ROUTE = {"streaming": True, "retry_policy": RetryPolicy.RESUME}
ALL_EVENTS = b"".join(map(event, range(1, 5)))


def break_off_after(*numbers, headers=STAMP):
    """Return the script of a server whose stream breaks off after some events."""

    def script(request):
        request.last = True
        yield stream_head(request, headers)
        yield chunk(b"".join(map(event, numbers)))

    return script


def stream_on(request):
    """Send the events after the last one that the client has."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    yield stream_head(request)
    yield chunk(b"".join(map(event, range(first, 5)))) + b"0\r\n\r\n"


# Guards against streams that are broken off although another node can go on with them.
def test_a_forwarded_stream_goes_on_through_a_third_node(make):
    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    second = make(FakeNode, break_off_after(1, 2))
    third = make(Gateway, server, **STREAM_ROUTE)
    link(cut, second, third)
    got = cut.call(request_bytes(Request_Id="r2"))
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    (request,) = server.requests
    assert request.headers["last-event-id"] == "2"
    # As if the client resumed it, so that the third node looks for where it began.
    assert request.headers["resumes"] == "r2"


# Guards against a stream of two software versions, and against headers between nodes
# that reach clients.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_forwarded_stream_goes_on_at_the_version_that_began_it(make, version):
    names = "arbutusyard-stream-service, arbutusyard-stream-software"
    headers = (
        f"{STAMP}Connection: {names}\r\nArbutusyard-Stream-Service: svc\r\n"
        f"Arbutusyard-Stream-Software: v1\r\n"
    )
    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    known = cut.fleet_state.servers.get("s0")
    known.entry = replace(known.entry, software_version=version)
    cut_off = iter([True])
    cut.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(cut_off, False)
    )
    link(cut, make(FakeNode, break_off_after(1, 2, headers=headers)))
    got = cut.call()
    assert not {"arbutusyard-stream-service", "connection"} & got.headers.keys()
    expected = ALL_EVENTS if version == "v1" else event(1) + event(2)
    assert (got.complete, got.body) == (version == "v1", expected)


# Guards against a node that does not say where the stream that it relays began.
def test_the_other_node_says_where_a_stream_began(make):
    server = make(ScriptedServer, stream_on)
    other = make(Gateway, server, **STREAM_ROUTE)
    known = other.fleet_state.servers.get("s0")
    known.entry = replace(known.entry, software_version="v7")
    assert "arbutusyard-stream-software" not in other.call().headers
    host, port = other.node_ingress.address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(request_bytes())
        headers = read_answer(sock).headers
    assert headers["arbutusyard-stream-software"] == "v7"
    # Nodes that do not know the headers drop those that Connection lists.
    listed = {name.strip() for name in headers["connection"].split(",")}
    names = {f"arbutusyard-stream-{name}" for name in ("service", "software", "server")}
    assert listed == names <= headers.keys()


# Guards against a second head within an answer when no quota is left to go on.
def test_a_forwarded_stream_ends_where_it_broke_off_without_quota(make, caplog):
    class Charges(QuotaCharges):
        def charge(self, req, admitted, now):
            return Refusal(429, "quota", 1.0)

    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    cut.relay._charges = Charges(None)
    cut_off = iter([True])
    cut.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(cut_off, False)
    )
    link(cut, make(FakeNode, break_off_after(1, 2)))
    got = cut.call()
    assert (got.complete, got.body) == (False, event(1) + event(2))
    assert "failed unexpectedly" not in caplog.text


# Guards against work that goes on for a client that has left.
def test_a_client_that_leaves_ends_its_request_at_the_server(make, cut):
    server = make(ScriptedServer, lambda request: [None])
    other = make(Gateway, server)
    assert cut.call().status == 503
    link(cut, other)
    sock = cut.connect()
    sock.sendall(request_bytes())
    wait_for(lambda: server.requests)
    sock.close()
    wait_for(lambda: server.closed)


# Guards against clients that use the listener for nodes.
def test_the_listener_for_nodes_closes_connections_from_elsewhere(make):
    server = make(ScriptedServer, lambda request: [answer(request)])
    other = make(Gateway, server)
    host, port = other.node_ingress.address.rsplit(":", 1)
    with socket.create_connection(
        (host, int(port)), timeout=5, source_address=("127.0.0.2", 0)
    ) as sock:
        sock.sendall(request_bytes())
        with contextlib.suppress(ConnectionResetError):
            assert read_answer(sock) is None
    assert server.requests == []


# Guards against forwarding by a node that reaches a server, and to nodes that do not.
def test_requests_are_forwarded_only_while_it_is_needed(make, cut):
    server = make(ScriptedServer, lambda request: [answer(request)])
    node = make(FakeNode, lambda request: [answer(request)])
    healthy = make(Gateway, server)
    link(healthy, node)
    assert healthy.call().status == 200
    for seq, fields in enumerate(
        ({"cut_off": ("svc",)}, {"ready": False}, {"leaving": True}), 1
    ):
        link(cut, node, seq=seq, **fields)
        assert cut.call().status == 503
    assert node.requests == []


# Guards against a leader of the roll-out of weights that cannot reach the engines, and
# against no leader at all when the engines are gone.
def test_a_node_reaches_engines_as_well_as_the_others_do(make, cut):
    node = make(FakeNode, lambda request: [answer(request)])
    cfg = cut.fleet_state.catalog.cfg
    engine = EngineTraits(8, 1000, 1, 1.0, ("m",))
    services = {"svc": replace(cfg.services["svc"], engine=engine)}
    cut.fleet_state.catalog = Catalog(replace(cfg, services=services))
    reaches = cut.relay.forwarder.reaches_engines
    assert reaches(clock.now())
    assert cut.call().status == 503
    assert reaches(clock.now())
    link(cut, node)
    assert not reaches(clock.now())
    link(cut, node, seq=2, cut_off=("svc",))
    assert reaches(clock.now())
