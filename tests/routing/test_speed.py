"""Prefill rates of engines of unequal speed, including one that slows down."""

import pytest
from msgspec.structs import replace

from arbutusyard.routing.placement import ServerView, Work, choose
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S
from arbutusyard.routing.speed import OVERHEAD_S, PrefillSpeed, SlowServers

PROMPT = 12_000


def observe_answers(speed, tokens_s, times=20, tokens=PROMPT):
    for _ in range(times):
        speed.observe(tokens, tokens / tokens_s + OVERHEAD_S)


@pytest.mark.parametrize("tokens_s", [6_000, 49_600, 125_000])
def test_the_rate_is_estimated_from_answers(tokens_s):
    speed = PrefillSpeed()
    assert speed.tokens_s() == PREFILL_TOKENS_PER_S
    observe_answers(speed, tokens_s)
    assert speed.tokens_s() == pytest.approx(tokens_s, rel=0.25)


def test_an_engine_that_slows_down_is_detected_after_a_few_answers():
    speed = PrefillSpeed()
    observe_answers(speed, 80_000)
    observe_answers(speed, 10_000, times=6)
    assert speed.tokens_s() < 25_000


def test_a_new_engine_is_assumed_to_have_the_rate_of_its_service():
    assert PrefillSpeed().tokens_s(120_000.0) == pytest.approx(120_000)


def test_small_prompts_do_not_change_the_estimated_rate():
    speed = PrefillSpeed()
    observe_answers(speed, 1_000, tokens=300)
    assert speed.tokens_s() == PREFILL_TOKENS_PER_S


def test_prompts_prefer_a_fast_engine_with_more_work_to_a_slow_one():
    slow = ServerView("slow", "z", 16, 1, 0, 0, False, 0.0, tokens_s=10_000)
    fast = ServerView("fast", "z", 16, 4, 20_000, 0, False, 0.0, tokens_s=80_000)
    assert choose(Work("z", PROMPT), [slow, fast]).server_id == "fast"


def slow_servers(service="s", tokens=3_000, took_s=0.2):
    servers = SlowServers()
    for n in range(20):
        servers.observe(f"e{n % 5}", service, tokens, took_s, 0.0)
    return servers


def test_a_slow_period_is_noticed_within_two_answers_and_forgotten_as_fast():
    servers = slow_servers()
    for now in (10.0, 10.2):
        servers.observe("e1", "s", 2_900, 0.5, now)
    assert servers.slow_s("e1", "s", 3_000, 10.2) > 0.15
    assert servers.slow_s("e2", "s", 3_000, 10.2) == pytest.approx(0.0, abs=0.01)
    assert servers.slow_s("e1", "s", 3_000, 13.0) < 0.02
    for now in (10.4, 10.6, 10.8):
        servers.observe("e1", "s", 2_900, 0.2, now)
    assert servers.slow_s("e1", "s", 3_000, 10.8) < 0.08


def test_a_server_that_got_larger_prompts_is_not_taken_for_a_slow_one():
    servers = slow_servers()
    for _ in range(20):
        servers.observe("e1", "s", 90_000, 2.4, 10.0)
    assert servers.slow_s("e1", "s", 3_000, 10.0) == pytest.approx(0.0, abs=0.01)


def test_an_unfinished_attempt_counts_only_against_a_server_that_is_late():
    servers = slow_servers()
    servers.observe_unfinished("e1", "s", 3_000, 0.1, 10.0)
    servers.observe_unfinished("e2", "s", 3_000, 0.6, 10.0)
    assert servers.slow_s("e1", "s", 3_000, 10.0) == pytest.approx(0.0, abs=0.01)
    assert servers.slow_s("e2", "s", 3_000, 10.0) > 0.1


def test_requests_avoid_a_slow_server():
    even = [ServerView(name, "z", 16, 1, 0, 0, False, 0.0) for name in ("e1", "e2")]
    slow = [replace(even[0], slow_s=0.3), even[1]]
    for work in (Work("z", PROMPT), Work("z")):
        assert choose(work, even).server_id == "e1"
        assert choose(work, slow).server_id == "e2"
