"""Streams and requests that go on after another node broke them off."""

from types import SimpleNamespace

import gevent

from arbutusyard.admission.coordinator import AdmissionControl
from arbutusyard.gateway.charges import QuotaCharges
from arbutusyard.gateway.models import Account, AccountQuota
from arbutusyard.origins.models import UnknownOrigin
from tests.gateway.support import (
    STAMP,
    CrashingServer,
    Gateway,
    ScriptedServer,
    chunk,
    event,
    request_bytes,
    stream_head,
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
