"""Test which servers count as free, and who goes first."""

import msgspec
import pytest

from arbutusyard.admission.const import FAIR_TURN
from arbutusyard.admission.models import Admit, Reject, Ticket, Wait
from arbutusyard.admission.waiting import WaitingLine
from arbutusyard.fleet.messages import ServerLoad
from arbutusyard.routing.placement import ServerView, Work
from tests.admission.simulation import CACHE_TOKENS, SLOTS, Fleet


def ticket(tokens=383, urgency=0, at=0.0, objective_s=0.5, left_s=5.0):
    times = (at, objective_s, at + 2.0, 5.0, left_s)
    return Ticket("svc", "c", urgency, *times, tokens, tokens)


class Bench:
    """One node of two, and what it decides about one engine."""

    def __init__(self):
        fleet = Fleet(True, nodes=2, engines=1)
        self.node, self.other = fleet.nodes
        self.fleet, self.control = fleet, self.node.control
        self.server = self.node.servers["e0"]

    def has_room(self, item, now=0.0, in_flight=0, prompt_tokens=0):
        assert self.control.enter(item, now) == Admit()
        view = ServerView("e0", "z", SLOTS, in_flight, prompt_tokens, 0, False, 0.0)
        room = self.control.has_room(view, Work("z", item.prompt_tokens), now)
        item.no_room = False
        return room

    def report(self, **counts):
        for name, value in counts.items():
            setattr(self.other.servers["e0"], name, value)
        self.fleet.report(self.other, ["e0"])


def fill_connections(bench):
    bench.server.in_flight = 6


def fill_memory(bench):
    bench.report(held_tokens=CACHE_TOKENS)


def refuse_another_node(bench):
    bench.report(refusals=1)


def stop_responding(bench):
    bench.control.capacity.is_unresponsive = lambda server, now: True


@pytest.mark.parametrize(
    "change",
    [fill_connections, fill_memory, refuse_another_node, stop_responding],
)
def test_a_server_that_cannot_take_a_request_has_no_room_even_for_a_forced_one(change):
    # Each of these sends requests that fail, crash the engine, or are never answered.
    bench = Bench()
    item = ticket()
    item.forced = True
    assert bench.has_room(item)
    change(bench)
    assert not bench.has_room(item)


def test_slots_and_waiting_prompts_of_all_nodes_bound_what_is_sent():
    # Small prompts waited 3.2 s behind large ones, until their clients disconnected.
    bench = Bench()
    small, large = ticket(), ticket(17_000, 2, objective_s=1.56)
    assert bench.has_room(small, in_flight=SLOTS)
    assert not bench.has_room(small, in_flight=SLOTS * 2)
    assert not bench.has_room(large, in_flight=SLOTS)
    assert bench.has_room(large, in_flight=1)
    assert not bench.has_room(large, prompt_tokens=40_000)
    assert not bench.has_room(small, prompt_tokens=40_000)


def test_a_refusal_lowers_the_capacity_until_it_has_recovered():
    bench = Bench()
    item = ticket()
    bench.control.start(item, bench.server, 0.0)
    bench.report(in_flight=5)
    assert bench.control.end_attempt(item, True, 0.0)
    assert not bench.has_room(ticket(at=0.1), 0.1)
    bench.control.tick(0.3)
    assert bench.has_room(ticket(at=0.3), 0.3, in_flight=5)
    assert not bench.has_room(ticket(at=0.3), 0.3, in_flight=6)
    bench.control.tick(3.0)
    assert bench.has_room(ticket(at=3.0), 3.0, in_flight=6)


def decide(control, item, now):
    """Enter a request that finds no server with room."""
    decision = control.enter(item, now)
    if decision == Admit():
        item.no_room = True
        assert control.found_none(item, now)
        decision = control.enter(item, now)
    return decision


def test_nothing_is_rejected_while_fewer_than_half_of_the_slots_are_in_use():
    bench = Bench()
    bench.report(in_flight=SLOTS // 2 - 1)
    expired = ticket(objective_s=0.01)
    assert decide(bench.control, expired, 1.5) == Admit()
    assert expired.forced
    bench.report(in_flight=SLOTS // 2)
    bench.control.finish(expired, 1.5)
    assert isinstance(decide(bench.control, ticket(objective_s=0.01), 1.6), Reject)


def test_urgent_requests_then_retries_then_the_oldest_are_first_and_late_ones_last():
    bench = Bench()
    bench.report(in_flight=SLOTS * 2)
    control = bench.control
    late, plain = ticket(urgency=0, at=-0.29), ticket(urgency=2, at=0.01)
    retry, urgent = ticket(urgency=2, left_s=4.0), ticket(urgency=0)
    # Many requests in flight, so that a wait is expected to be short.
    for _ in range(5):
        control.start(ticket(), bench.server, 0.0)
        control.start(ticket(), bench.server, 0.0)
    for item in (late, plain, retry, urgent):
        assert isinstance(decide(control, item, 0.0), Wait)
    decide(control, late, 0.05)
    assert late.late
    line = control._line(late)
    order = []
    while line.tickets:
        order.append(line.head())
        control.finish(order[-1], 0.1)
    assert order == [urgent, retry, plain, late]


def test_a_less_urgent_request_of_the_same_size_gets_every_fourth_start():
    # A steady load of urgent requests would keep it waiting until its client leaves.
    line, order = WaitingLine(), []
    patient = ticket(urgency=5)
    patient.waiting_since = -1.0
    line.tickets.append(patient)
    for n in range(8):
        urgent = ticket(at=n / 10)
        urgent.waiting_since = n / 10
        line.tickets.append(urgent)
        head = line.head()
        order.append(head is patient)
        line.tickets.remove(head)
        line.count_start(head, n / 10)
    assert order.index(True) == FAIR_TURN - 1


def test_nodes_without_the_new_counts_understand_loads_and_are_understood():
    class OldLoad(msgspec.Struct, frozen=True, array_like=True):
        server_id: str
        in_flight: int
        prompt_tokens: int

    new, old = ServerLoad("s", 1, 2, 3, 4), OldLoad("s", 1, 2)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=OldLoad) == old
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=ServerLoad)
    assert decoded == ServerLoad("s", 1, 2)
