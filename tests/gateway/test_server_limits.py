"""Test servers whose answers state how many requests per second they accept."""

import logging
from itertools import pairwise

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.limits.const import LIMIT_RAISE_DELAY_S, SHARE_START_DELAY_S
from tests.gateway.support import STAMP, answer, not_run, wait_for

S0 = ("s0", 1)


def limited(*texts):
    """Return a script whose answers state limits in turn, the last one for good."""
    left = list(texts)

    def script(request):
        text = left.pop(0) if len(left) > 1 else left[0]
        yield answer(request, headers=f"{STAMP}Server-Limit: {text}\r\n")

    return script


def good(request):
    yield answer(request)


def join_fleet(gateway, *others, me="n1"):
    """Let a gateway take its own and other nodes as known for a while."""
    for step in range(8):
        now = clock.now() - SHARE_START_DELAY_S + 0.3 * step
        gateway.router.limits.update_nodes([me, *others], now)


def test_a_sole_server_gets_its_limit_and_refusals_say_when_to_return(run):
    gateway, (server,) = run(limited("2"))
    join_fleet(gateway)
    assert gateway.call().status == 200
    served_at = []
    started_at = clock.now()
    while clock.now() < started_at + 3.0:
        called_at = clock.now()
        got = gateway.call()
        # A refusal is sent at once.
        assert got.status == 200 or clock.now() < called_at + 0.2
        if got.status == 200:
            served_at.append(called_at)
        else:
            gevent.sleep(float(got.headers["retry-after"]))
    # 2 requests per second in 3 s, and one at once.
    assert 4 <= len(served_at) <= 2 * 3 + 1
    assert all(later - earlier > 0.4 for earlier, later in pairwise(served_at))


def test_other_servers_take_what_exceeds_a_limit(run):
    gateway, (first, second) = run(limited("1"), good)
    join_fleet(gateway)
    while not first.requests:
        gateway.call()
    sent = len(first.requests)
    assert {gateway.call().status for _ in range(50)} == {200}
    assert len(first.requests) <= sent + 2
    assert len(second.requests) >= 48


def test_retries_and_their_first_attempts_count_against_a_limit(run):
    def failing(request):
        yield answer(request, "500 Error", headers=f"{STAMP}Server-Limit: 1\r\n")

    gateway, (server,) = run(failing, retry_policy=RetryPolicy.ANY)
    join_fleet(gateway)
    for _ in range(20):
        gateway.call()
    assert len(server.requests) <= 2


def test_a_node_without_a_share_sends_nothing_and_refuses_at_once(run):
    gateway, (server,) = run(limited("2"))
    join_fleet(gateway, *(f"other{n}" for n in range(20)), me="spectator")
    assert gateway.call().status == 200
    started_at = clock.now()
    refused = [gateway.call() for _ in range(5)]
    assert clock.now() - started_at < 0.5
    assert [got.status for got in refused] == [503] * 5
    waits = [float(got.headers["retry-after"]) for got in refused]
    assert waits == sorted(waits)
    assert 0.3 <= waits[0] <= 0.6
    assert len(server.requests) == 1


def test_a_limit_of_zero_still_lets_the_server_tell_that_it_has_ended(run):
    gateway, (server,) = run(limited("0"))
    join_fleet(gateway)
    while not server.requests:
        gateway.call()
    assert gateway.router.limits.limit_s(S0) == 0
    for _ in range(10):
        gateway.call()
    assert len(server.requests) <= 2
    assert 0 < gateway.router.limits.retry_in_s(S0, clock.now()) <= 5.0


def test_a_limit_ends_with_an_answer_that_states_none(run):
    reported = []
    # Served while the first limit still lasts, since an answer may be overtaken.
    gateway, (server,) = run(limited("20", "20"))
    gateway.router.on_limit = reported.append
    join_fleet(gateway)
    assert gateway.call().status == 200
    server.script = good
    gevent.sleep(LIMIT_RAISE_DELAY_S + 0.1)
    assert gateway.call().status == 200
    assert {gateway.call().status for _ in range(20)} == {200}
    assert [report.limit_s for report in reported] == [20, None]


@pytest.mark.parametrize("text", ["", "many", "-3", "nan", "1e400"])
def test_a_malformed_limit_is_ignored_and_logged_once(run, caplog, text):
    gateway, (server,) = run(limited("5", text))
    join_fleet(gateway)
    with caplog.at_level(logging.WARNING):
        wait_for(lambda: gateway.call() and len(server.requests) >= 3)
    assert gateway.router.limits.limit_s(S0) == 5
    assert caplog.text.count("malformed Server-Limit header") == (1 if text else 0)


def test_a_huge_limit_limits_nothing(run):
    gateway, _ = run(limited("9" * 400))
    join_fleet(gateway)
    assert {gateway.call().status for _ in range(30)} == {200}


def test_another_incarnation_at_the_address_does_not_limit_the_expected_one(run):
    def replaced(request):
        headers = "Instance-Id: s9\r\nServer-Limit: 1\r\n"
        yield not_run(request, "421 Misdirected", headers)

    gateway, _ = run(replaced)
    join_fleet(gateway)
    gateway.call()
    assert gateway.router.limits.limit_s(S0) is None


def test_a_refusal_may_state_a_limit_but_its_absence_ends_none(run):
    def refusing(request):
        if len(server.requests) == 1:
            yield not_run(request, headers="Server-Limit: 4\r\n")
        else:
            yield not_run(request)

    gateway, (server,) = run(refusing)
    join_fleet(gateway)
    wait_for(lambda: gateway.call() and len(server.requests) >= 2)
    gevent.sleep(LIMIT_RAISE_DELAY_S)
    wait_for(lambda: gateway.call() and len(server.requests) >= 4)
    assert gateway.router.limits.limit_s(S0) == 4


def test_the_limit_is_passed_on_to_the_client(run):
    gateway, _ = run(limited("2.5"))
    assert gateway.call().headers["server-limit"] == "2.5"
