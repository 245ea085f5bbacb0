"""Streams and requests that go on after another node broke them off."""

from types import SimpleNamespace

import gevent
from gevent.event import Event
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.admission.coordinator import AdmissionControl
from arbutusyard.gateway.charges import QuotaCharges
from arbutusyard.gateway.incarnations import IncarnationCheck
from arbutusyard.gateway.models import Account, AccountQuota, ServiceShare
from arbutusyard.origins.models import UnknownOrigin
from tests.gateway.support import (
    STAMP,
    CrashingServer,
    Gateway,
    ScriptedServer,
    chunk,
    event,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)
from tests.gateway.test_forwarding import (
    ALL_EVENTS,
    STREAM_ROUTE,
    FakeNode,
    RefusingServer,
    break_off_after,
    link,
    make,
    stream_on,
)

__all__ = ["make"]


def stream_names(service, version):
    """Return the headers of a node that tells where a stream began."""
    names = "arbutusyard-stream-service, arbutusyard-stream-software"
    return (
        f"{STAMP}Connection: {names}\r\nArbutusyard-Stream-Service: {service}\r\n"
        f"Arbutusyard-Stream-Software: {version}\r\n"
    )


def cut_off_times(gateway, times):
    """Let a gateway be cut off at a number of its next checks."""
    checks = iter([True] * times)
    gateway.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(checks, False)
    )


# Guards against events that are missing from an answer that looks complete: those of an
# answer of another software version were refused, but recorded as relayed.
def test_events_of_another_version_are_not_taken_for_relayed_ones(make):
    def other_version(request):
        request.last = True
        yield stream_head(request, stream_names("svc", "v2"))
        yield chunk(event(3))

    third = make(FakeNode, stream_on)
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE, max_attempts=4)
    assert cut.call().status == 503
    first = make(FakeNode, break_off_after(1, 2, headers=stream_names("svc", "v1")))
    link(cut, first, make(FakeNode, other_version), third)
    got = cut.call(request_bytes(Request_Id="r2"))
    assert [r.headers["last-event-id"] for r in third.requests] == ["2"]
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against a refusal that promises that a request has not run, though the node to
# which it was forwarded may have run it.
def test_a_resume_that_may_have_run_elsewhere_is_not_refused_as_not_run(make):
    def script(request):
        request.last = True
        return []

    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    cut_off_times(cut, 1)
    cut.relay.origins = SimpleNamespace(
        find=lambda *args: UnknownOrigin("store_unreadable", is_final=False),
        versions=SimpleNamespace(of_service=lambda service, now: set()),
    )
    link(cut, make(FakeNode, script))
    got = cut.call(request_bytes(Last_Event_Id="2", Resumes="r0"))
    assert server.requests == []
    assert got.status == 502


# Guards against a run of a node's own that is charged twice because another node, which
# charges its own runs, ran the request before.
def test_a_run_that_follows_a_forwarded_one_is_charged_once(make):
    charged = []

    class Quotas:
        def acquire(self, account, req, time_limit_s, now):
            charged.append("first")
            return SimpleNamespace(charges=[1.0], charged_at=now)

        def charge_again(self, grant, now):
            charged.append("again")
            grant.charges.append(1.0)
            return True

        def give_back_unused(self, grant, runs):
            pass

    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, server, **STREAM_ROUTE)
    cut.relay._charges = QuotaCharges(Quotas())
    account = Account("acc", ("key",), None, False, AccountQuota(1.0, 10.0))
    cut.configure(*cut.fleet_state.catalog.cfg.routes, accounts=(account,))
    cut_off_times(cut, 1)
    link(cut, make(FakeNode, break_off_after(1, 2)))
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    assert charged == ["first"]


# Guards against streams that are broken off although another node can go on with them,
# where the cut began after the request had come.
def test_a_stream_goes_on_through_a_third_node_after_an_own_attempt(make):
    def crash_after_one(request):
        yield stream_head(request)
        yield chunk(event(1))
        server.crash()
        yield chunk(event(9))

    server = make(CrashingServer, crash_after_one)

    def break_off_late(request):
        request.last = True
        yield stream_head(request)
        gevent.sleep(0.3)
        yield chunk(event(2))

    cut = make(Gateway, server, **STREAM_ROUTE, max_attempts=4)
    second = make(FakeNode, break_off_late)
    third = make(FakeNode, stream_on)
    link(cut, second, third)
    got = cut.call()
    assert [r.headers["last-event-id"] for r in second.requests] == ["1"]
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against streams that are rejected for load after their clients have a part of
# them, which another node relayed.
def test_a_forwarded_stream_that_goes_on_here_counts_as_begun(make, monkeypatch):
    begun = []
    enter = AdmissionControl.enter

    def spy(self, ticket, now):
        begun.append(ticket.begun)
        return enter(self, ticket, now)

    monkeypatch.setattr(AdmissionControl, "enter", spy)
    cut = make(Gateway, make(ScriptedServer, stream_on), **STREAM_ROUTE)
    cut.relay._control.enabled = True
    cut.relay._set_hooks()
    # The cut is noticed once the request has been admitted.
    checks = iter([False, True])
    cut.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(checks, False)
    )
    link(cut, make(FakeNode, break_off_after(1, 2)))
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)
    assert begun == [True]


# Guards against streams that are broken off because heartbeats are lost, while their
# events come and no other node or server could go on with them.
def test_a_stream_is_not_broken_off_when_nothing_can_go_on_with_it(make):
    def script(request):
        yield stream_head(request)
        yield chunk(event(1) + event(2))
        cut.peers.peers.clear()
        gevent.sleep(0.6)
        yield chunk(event(3) + event(4)) + b"0\r\n\r\n"

    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    link(cut, make(FakeNode, script))
    got = cut.call(request_bytes(Request_Id="r2"))
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against a new stream that is not retried because the server at which it broke
# off before its first event may have started again.
def test_a_stream_that_did_not_begin_is_retried_after_an_unproven_server(
    make, monkeypatch
):
    current = iter([False])
    monkeypatch.setattr(
        IncarnationCheck, "is_current", lambda self, server: next(current, True)
    )

    def script(request):
        if len(first.requests) + len(second.requests) > 1:
            yield from stream_on(request)
        else:
            request.last = True
            yield stream_head(request)

    first, second = make(ScriptedServer, script), make(ScriptedServer, script)
    gateway = make(Gateway, first, second, **STREAM_ROUTE)
    got = gateway.call(request_bytes(Model="m"))
    assert (got.status, got.complete, got.body) == (200, True, ALL_EVENTS)


# Guards against buffered bytes that stay charged to a client after they were dropped.
def test_a_replaced_answer_is_not_charged_to_its_client(make):
    go_on = Event()

    def script(request):
        if len(server.requests) == 1:
            request.last = True
            yield (
                b"HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
                b"Content-Length: 900000\r\n\r\n" + b"x" * 500_000
            )
        else:
            yield stream_head(request)
            yield chunk(event(1))
            go_on.wait(3)
            yield chunk(event(2)) + b"0\r\n\r\n"

    server = make(ScriptedServer, script)
    gateway = make(Gateway, server, server, **STREAM_ROUTE)
    sock = gateway.connect()
    sock.sendall(request_bytes())
    wait_for(lambda: len(server.requests) == 2)
    gevent.sleep(0.1)
    used = gateway.ingress.memory.used
    go_on.set()
    assert read_answer(sock).complete
    sock.close()
    assert used < 200_000


# Guards against streams that are broken off because the only server that can go on with
# them is one whose connection was reset before.
def test_a_stream_goes_on_at_a_server_that_is_reachable_again(make):
    def script(request):
        if len(server.requests) == 1:
            request.last = request.reset = True
            yield stream_head(request)
            gevent.sleep(0.3)
            yield chunk(event(1))
        else:
            yield from stream_on(request)

    server = make(ScriptedServer, script)
    cut = make(Gateway, server, **STREAM_ROUTE, max_attempts=4)
    # Cut off only as the first attempt has broken off.
    checks = iter([False, False, True])
    cut.relay.forwarder._reachability = SimpleNamespace(
        is_cut_off=lambda service, now: next(checks, False)
    )
    link(cut, make(FakeNode, break_off_after(2)))
    got = cut.call()
    assert (got.complete, got.body) == (True, ALL_EVENTS)


# Guards against more servers than a route allows, where each node counts its own only.
def test_nodes_together_send_a_stream_to_no_more_servers_than_allowed(make):
    servers = [make(ScriptedServer, break_off_after(n)) for n in (1, 2, 3, 4, 5, 6)]
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE, max_attempts=3)
    assert cut.call().status == 503
    second = make(Gateway, *servers[:3], **STREAM_ROUTE, max_attempts=3)
    third = make(Gateway, *servers[3:], **STREAM_ROUTE, max_attempts=3)
    link(cut, second, third)
    cut.call(request_bytes(Request_Id="r2"))
    assert sum(len(server.requests) for server in servers) <= 3


# Guards against a resume at the version that a server was thought to have, at the node
# to which the stream came from another one.
def test_the_origin_of_a_forwarded_stream_is_withdrawn_with_its_server(make):
    server = make(ScriptedServer, stream_on)
    cut = make(Gateway, RefusingServer(), **STREAM_ROUTE)
    assert cut.call().status == 503
    other = make(Gateway, server, **STREAM_ROUTE)
    known = other.fleet_state.servers.get("s0")
    known.entry = replace(known.entry, software_version="v7")
    link(cut, other)
    assert cut.call(request_bytes(Request_Id="r2")).body == ALL_EVENTS
    for gateway in (other, cut):
        gateway.relay.origins._revoke(known)
        found = gateway.relay.origins.find("acc", "r2", "svc", clock.now())
        assert isinstance(found, UnknownOrigin)


# Guards against a stream of two services, where a node that does not say where a
# stream began drew another service of a split route.
def test_a_stream_of_a_split_route_does_not_go_on_at_a_service_drawn_anew(make):
    server = make(ScriptedServer, stream_on)
    shares = (ServiceShare("svc", 1.0), ServiceShare("other", 1e-9))
    cut = make(Gateway, server, server, **STREAM_ROUTE, shares=shares)
    for server_id, service, version in (("s0", "svc", "v1"), ("s1", "other", "v2")):
        known = cut.fleet_state.servers.get(server_id)
        known.entry = replace(known.entry, service=service, software_version=version)
    entries = {s: cut.fleet_state.servers.get(s).entry for s in ("s0", "s1")}
    cut.fleet_state.servers.replace(entries, clock.now())
    cut_off_times(cut, 1)
    link(cut, make(FakeNode, break_off_after(1, 2)))
    got = cut.call()
    assert server.requests == []
    assert (got.complete, got.body) == (False, event(1) + event(2))
