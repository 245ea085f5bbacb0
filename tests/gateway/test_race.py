"""Attempts whose responses arrive in the same turn of the event loop."""

import gevent
import pytest
from gevent.event import Event

from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.delivery import Delivery
from arbutusyard.gateway.events import EventSequence, StreamEvent
from arbutusyard.gateway.exceptions import CallerGone
from arbutusyard.gateway.exchange import AttemptResult, Exchange
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.race import Race
from arbutusyard.gateway.router import Placement


class Client:
    """Record what is written to a client."""

    def __init__(self):
        self.sent_head = False
        self.written = []

    def send_head(self, status, headers):
        assert not self.sent_head
        self.sent_head = True

    def send_data(self, data):
        self.written.append(data)


def race(dispatch, attempts=2):
    exchange = Exchange(
        None, Client(), None, None, "s", 1.0, delivery=Delivery(EventSequence())
    )
    running = Race(exchange, dispatch)
    for number in range(attempts):
        entry = ServerEntry(str(number), 1, "s", "a:1", "z", ServerState.READY, 8, {})
        running.start(Placement(Server(entry), 0.0, sent_at=1.0))
    return running


def test_only_the_first_of_two_streams_that_begin_together_is_written():
    """A cancelled attempt may still run before it notices."""
    begin = Event()

    def relay(exchange, placement):
        begin.wait()
        for number in range(3):
            data = placement.server.entry.server_id.encode()
            event = StreamEvent(data, str(number))
            exchange.delivery.sequence.accept([event])
            if not exchange.conn.sent_head:
                exchange.conn.send_head(200, [])
            exchange.conn.send_data(event.data)

    running = race(relay)
    gevent.sleep(0)
    begin.set()
    running.join()
    running.merge()
    assert running.exchange.conn.written == [b"0"] * 3
    assert running.exchange.delivery.sequence.last_id == "2"
    assert [attempt.is_cancelled for attempt in running.attempts] == [False, True]
    assert running.exchange.executions == 1
    assert running.exchange.excluded == {"1"}
    assert running.attempts[1].exchange.delivery.sequence.last_id in ("", "0")


def test_each_attempt_counts_the_other_as_one_that_may_have_run():
    """Without that an unresponsive server is left for a third one."""
    running = race(lambda exchange, placement: AttemptResult.BROKEN)
    assert [attempt.exchange.executions for attempt in running.attempts] == [1, 1]
    running.join()
    running.merge()
    # The caller counts the deciding attempt.
    assert (running.exchange.attempts, running.exchange.executions) == (1, 1)


@pytest.mark.parametrize("cause", [CallerGone("gone"), ValueError("fault")])
def test_an_error_of_one_attempt_ends_the_other(cause):
    def fail(exchange, placement):
        if placement.server.entry.server_id == "1":
            raise cause
        gevent.sleep(10)

    running = race(fail)
    running.join()
    assert running.deciding().error is cause
    assert running.attempts[0].is_cancelled
