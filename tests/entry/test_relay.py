"""Relay requests to engines that fail before their first event."""

import pytest

from arbutusyard.backends.exceptions import (
    BackendAnswerLost,
    BackendRefused,
    BackendUnreachable,
)
from arbutusyard.backends.models import Backend, BackendState, EngineReport
from arbutusyard.backends.stream import EngineStreamClient
from arbutusyard.config.models import Account, WorkClass, Workload
from arbutusyard.control.messages import BackendChanges
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import Caller, ChatRequest, ChatWork, Message, OutcomeKind
from arbutusyard.entry.relay import Relay
from arbutusyard.entry.state import EntryState
from arbutusyard.limits.coordinator import Limiter, RetryBudget
from arbutusyard.membership.models import EntryView
from arbutusyard.routing.chain import build_chain
from arbutusyard.routing.coordinator import Router
from standins.cluster import free_port


class FailingClient:
    """Raise the same error for every engine."""

    def __init__(self, error):
        self.error = error
        self.contacted = []

    def start(self, backend, address, request_id, body):
        self.contacted.append(backend)
        raise self.error


def make_state(engines):
    state = EntryState(EntryView("e0", "1:1", "d0"), Router(), Limiter())
    backends = tuple(
        Backend(
            name=f"q{n}",
            role="engine",
            serves="w/m",
            address=f"127.0.0.1:{free_port()}",
            failure_domain="d0",
            state=BackendState.LIVE,
            report=EngineReport("engine", weights_version="v1", incarnation=f"i{n}"),
        )
        for n in range(engines)
    )
    state.apply(BackendChanges(backends, tuple(b.name for b in backends)), 0.0)
    return state


def make_work():
    work_class = WorkClass("lookup", 0, 1.0, 5.0)
    account = Account("a", "h", 1000, 4)
    workload = Workload("w", "r", 4.0, "lookup", (), (work_class,), (account,), ())
    request = ChatRequest("m", (Message("user", "x"),))
    return ChatWork(
        request_id="r1",
        caller=Caller(workload, account),
        request=request,
        fields={},
        serves="w/m",
        weights_version="v1",
        work_class=work_class,
        chain=build_chain(b"x", b"salt"),
        max_tokens=4,
        arrived_at=0.0,
        deadline_at=1e12,
    )


def open_refused(client, engines):
    state = make_state(engines)
    relay = Relay(state, client, RetryBudget(), make_work(), lambda _: None)
    with pytest.raises(Refused) as refusal:
        relay.open()
    return refusal.value


@pytest.mark.parametrize("engines", [1, 2, 5])
@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (BackendAnswerLost("no headers came"), OutcomeKind.UNKNOWN),
        (BackendUnreachable("refused"), OutcomeKind.NOT_RUN),
        (BackendRefused("q", "leaving"), OutcomeKind.NOT_RUN),
    ],
)
def test_outcome_is_not_run_only_if_no_engine_may_have_run_the_request(
    error, outcome, engines
):
    refusal = open_refused(FailingClient(error), engines)
    assert refusal.outcome is outcome
    assert refusal.retry_after_s > 0


def test_at_most_three_engines_are_contacted_once_each():
    client = FailingClient(BackendUnreachable("refused"))
    open_refused(client, 5)
    assert len(client.contacted) == len(set(client.contacted)) == 3


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b'{"error":"leaving","outcome":"not_run"}', BackendRefused),
        (b'{"error":"crashed"}', BackendAnswerLost),
        (b"<html>", BackendAnswerLost),
    ],
)
def test_only_an_outcome_of_not_run_counts_as_a_refusal(answer, error):
    import gevent
    from gevent.pywsgi import WSGIServer

    def app(_, start_response):
        start_response("503 Unavailable", [("Content-Length", str(len(answer)))])
        return [answer]

    server = WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    gevent.sleep(0)
    address = f"127.0.0.1:{server.server_port}"
    with pytest.raises(error):
        EngineStreamClient().start("q0", address, "r1", b"{}")
    server.stop()
