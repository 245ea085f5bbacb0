"""Prefill rates of engines of unequal speed, including one that slows down."""

import pytest

from arbutusyard.routing.placement import ServerView, Work, choose
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S
from arbutusyard.routing.speed import OVERHEAD_S, PrefillSpeed

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
