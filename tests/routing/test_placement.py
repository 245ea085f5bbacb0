"""Choice of a server under the load patterns that it has to handle."""

import random
from collections import Counter

import pytest
from msgspec.structs import replace

from arbutusyard.routing.placement import (
    LARGE_TOKENS,
    RANDOM_COST_MAX_S,
    ServerView,
    Work,
    choose,
    expected_s,
    reserved_engines,
)
from arbutusyard.routing.segments import SegmentMap, Source, best_fetch, segment_key

NAMES = ["e1", "e2", "e3", "e4", "e5"]


def view(name, **changes):
    fields = {
        "failure_domain": "z",
        "slots": 64,
        "in_flight": 0,
        "prompt_tokens": 0,
        "cached_tokens": 0,
        "affinity_target": False,
        "failures": 0.0,
        **changes,
    }
    return ServerView(name, **fields)


SMALL = Work("z", 383, 92)
LARGE = Work("z", 17_000, 13_300)


def test_a_prompt_goes_where_its_segments_are_cached_until_the_wait_costs_more():
    cached = view("e1", cached_tokens=13_300)
    assert choose(LARGE, [cached, view("e2")]).server_id == "e1"
    saturated = view("e1", cached_tokens=13_300, prompt_tokens=60_000)
    assert choose(LARGE, [saturated, view("e2")]).server_id == "e2"


def test_segments_that_can_be_fetched_are_not_recomputed():
    fetches = view("e2", fetch_tokens=13_300, fetch_s=0.08)
    assert choose(LARGE, [view("e1"), fetches]).server_id == "e2"


def test_a_prompt_waits_where_an_engine_is_prefilling_its_segments():
    prefilling = view("e1", cached_tokens=13_300, prompt_tokens=14_000)
    recomputes = view("e2", recompute_tokens=13_300)
    assert choose(LARGE, [prefilling, recomputes]).server_id == "e1"


def test_a_burst_of_large_prompts_leaves_the_reserved_engine_to_small_ones():
    reserved = reserved_engines(NAMES)
    assert len(reserved) == 1
    engines = {name: view(name, reserved=name in reserved) for name in NAMES}
    for _ in range(8):
        best = choose(LARGE, list(engines.values()))
        assert best.server_id not in reserved
        loaded = best.prompt_tokens + LARGE.prompt_tokens
        engines[best.server_id] = view(best.server_id, prompt_tokens=loaded)
    assert choose(SMALL, list(engines.values())).server_id in reserved


def test_large_prompts_use_a_reserved_engine_when_all_others_are_far_behind():
    reserved = next(iter(reserved_engines(NAMES)))
    engines = [view(name, prompt_tokens=200_000) for name in NAMES if name != reserved]
    assert (
        choose(LARGE, [*engines, view(reserved, reserved=True)]).server_id == reserved
    )


def test_every_node_reserves_the_same_engines_and_none_of_two():
    assert reserved_engines(NAMES) == reserved_engines(NAMES[::-1])
    assert reserved_engines(NAMES[:2]) == frozenset()
    assert SMALL.prompt_tokens < LARGE_TOKENS


def test_a_server_that_fails_a_fraction_of_its_requests_is_avoided():
    failing = view("a", failures=0.4)
    assert choose(Work("z"), [failing, view("b", failure_domain="y")]).server_id == "b"


def test_requests_leave_their_failure_domain_when_its_slots_are_full():
    full = view("a", slots=6, in_flight=9)
    assert (
        choose(Work("z"), [full, view("b", slots=6, failure_domain="y")]).server_id
        == "b"
    )
    assert (
        choose(Work("z"), [view("a"), view("b", failure_domain="y")]).server_id == "a"
    )


def test_current_weights_are_worth_a_wait_of_a_fifth_of_the_objective():
    outdated = view("a", outdated_weights=True)
    work = replace(SMALL, objective_s=0.4)
    assert choose(work, [outdated, view("b", prompt_tokens=3_000)]).server_id == "b"
    # Otherwise the first engines with new weights would be saturated while those with
    # outdated weights idle.
    assert choose(work, [outdated, view("b", prompt_tokens=4_000)]).server_id == "a"
    work = replace(SMALL, objective_s=0.8)
    assert choose(work, [outdated, view("b", prompt_tokens=4_000)]).server_id == "b"


def test_nodes_that_learn_late_of_each_others_load_choose_different_engines():
    rng = random.Random(7)
    chosen = Counter()
    for _ in range(200):
        # All nodes see the same state: the last report of e1 showed the least load.
        views = [
            view(
                name,
                in_flight=name != "e1",
                random_cost_s=rng.uniform(0.0, RANDOM_COST_MAX_S),
            )
            for name in NAMES
        ]
        chosen[choose(SMALL, views).server_id] += 1
    assert max(chosen.values()) < 100
    behind = [view(n, prompt_tokens=17_000, random_cost_s=0.0) for n in NAMES[1:]]
    free = view("e1", random_cost_s=RANDOM_COST_MAX_S)
    assert choose(SMALL, [*behind, free]).server_id == "e1"


def test_an_open_connection_is_preferred_to_a_new_one_until_it_costs_more():
    new = view("a", unconnected=True)
    assert choose(SMALL, [new, view("b")]).server_id == "b"
    assert choose(SMALL, [new, view("b", in_flight=10)]).server_id == "a"


def test_expected_time_grows_with_the_work_ahead():
    assert expected_s(SMALL, view("a")) < expected_s(SMALL, view("a", in_flight=5))
    ahead = view("a", prompt_tokens=17_000)
    assert expected_s(SMALL, ahead) - expected_s(SMALL, view("a")) == pytest.approx(
        17_000 / 40_000
    )


def test_segments_are_fetched_from_the_nearest_holder():
    near = Source("e1", "a:1", "z", 280_000)
    far = Source("e2", "a:2", "y", 280_000)
    slow = Source("store", "a:3", "z", 210_000)
    fetch = best_fetch([(far, 13_300), (near, 13_300), (slow, 13_300)], 0, 163_840, "z")
    assert (fetch.address, fetch.tokens) == ("a:1", 13_300)
    assert fetch.expected_s == pytest.approx(0.0623, rel=0.01)
    assert best_fetch([(near, 13_300)], 13_000, 163_840, "z") is None


@pytest.mark.parametrize(
    ("token_bytes", "link_mbps", "worth", "not_worth"),
    [(163_840, 280_000, 900, 500), (35_136, 740_000, 100, 40), (16, 740_000, 16, 15)],
)
def test_small_segments_that_may_wait_behind_large_transfers_are_prefilled(
    token_bytes, link_mbps, worth, not_worth
):
    source = Source("e1", "a:1", "z", link_mbps)
    assert best_fetch([(source, worth)], 0, token_bytes, "z").tokens == worth
    assert best_fetch([(source, not_worth)], 0, token_bytes, "z") is None


def test_a_segment_is_recomputed_where_fetching_it_takes_longer():
    narrow = Source("e4", "d:1", "z", 40_000)
    assert best_fetch([(narrow, 13_300)], 0, 163_840, "z") is None


def test_only_prefilled_segments_of_the_current_incarnation_are_fetched():
    segments = SegmentMap()
    keys = (segment_key("s", "a"), segment_key("s", "b"))
    segments.record_engine_segments("e1", 7, keys, False, 0.0)
    assert segments.sent_to_engines(keys, 1.0) == {"e1": 2}
    assert segments.cached_by_engines(keys, 1.0) == {}
    segments.record_engine_segments("e1", 7, keys, True, 1.0)
    assert segments.cached_by_engines(keys, 1.0) == {"e1": 2}
    segments.record_engine_segments("e1", 8, (segment_key("s", "c"),), True, 2.0)
    assert segments.cached_by_engines(keys, 2.0) == {}


def test_a_restarted_cache_store_holds_no_segments():
    segments = SegmentMap()
    keys = (segment_key("s", "a"),)
    segments.record_store_segments("st", keys, 0.0)
    assert segments.cached_by_stores(keys, 0.0) == {}
    segments.set_store_epoch("st", 1)
    segments.record_store_segments("st", keys, 0.0)
    assert segments.cached_by_stores(keys, 1.0) == {"st": 1}
    segments.set_store_epoch("st", 0)
    assert segments.cached_by_stores(keys, 1.0) == {}
    segments.set_store_epoch("st", 2)
    assert segments.cached_by_stores(keys, 1.0) == {}


def test_a_limit_is_spent_on_large_prompts_while_other_engines_have_room():
    # With two of five engines limited, small prompts used up the limits, and large ones
    # delayed all others on the remaining engines.
    limited = view("e1", limited=True)
    busy = view("e2", in_flight=8, prompt_tokens=3_000)
    small = replace(SMALL, small=True)
    assert choose(small, [limited, busy]).server_id == "e2"
    assert choose(LARGE, [limited, busy]).server_id == "e1"
    saturated = replace(busy, prompt_tokens=60_000)
    assert choose(small, [limited, saturated]).server_id == "e1"
