"""Plan loads of weights; the time plays no part in it."""

from msgspec.structs import replace

from arbutusyard.weights.planner import (
    EngineView,
    RollOutPace,
    loads_at_once,
    plan_loads,
)


def engine(name, version=1, in_flight=0, loading=False, reachable=True):
    return EngineView(name, version, in_flight, loading, reachable)


def test_the_engines_with_least_in_hand_load_first():
    engines = [engine(f"e{n}", in_flight=9 - n) for n in range(5)]
    assert plan_loads(engines, 2) == ["e4", "e3"]


def test_loads_under_way_count():
    engines = [engine("a", loading=True), engine("b"), engine("c"), engine("d")]
    engines.append(engine("e"))
    assert plan_loads(engines, 2) == ["b"]


def test_engines_at_the_target_and_out_of_reach_are_left_alone():
    engines = [engine("a", version=2), engine("b", reachable=False)]
    assert plan_loads(engines, 2) == []


def test_half_the_engines_lost_then_one_loads_at_a_time():
    engines = [engine("a"), engine("b"), engine("c")]
    engines += [engine(name, reachable=False) for name in "de"]
    assert len(plan_loads(engines, 2)) == 1


def waiting_engines(superseded_s, waiting_s=0.3):
    return [
        replace(engine(f"e{n:02}"), waiting_s=waiting_s, superseded_s=superseded_s)
        for n in range(30)
    ]


def test_fewer_load_while_prompts_wait_but_all_in_time():
    pace = RollOutPace(10.0, 1.2)
    # 30 loads of 1.2 s within 0.6 x 10 s, less what has passed.
    assert len(plan_loads(waiting_engines(0.0), 2, pace)) == 6
    assert len(plan_loads(waiting_engines(1.5), 2, pace)) == 8
    assert len(plan_loads(waiting_engines(4.0), 2, pace)) == 12
    assert len(plan_loads(waiting_engines(9.0), 2, pace)) == 12
    assert len(plan_loads(waiting_engines(0.0, waiting_s=0.01), 2, pace)) == 12


def test_more_load_at_a_time_where_each_takes_longer():
    # Found on wao-ankiety-grown: prompts held loads up, and the roll-out came too late.
    assert len(plan_loads(waiting_engines(0.0), 2, RollOutPace(10.0, 2.0))) == 10
    assert len(plan_loads(waiting_engines(0.0), 2, RollOutPace(10.0, 3.0))) == 12


def test_only_engines_that_still_have_to_load_count_for_the_pace():
    pace = RollOutPace(10.0, 1.2)
    done = [replace(item, version=2) for item in waiting_engines(5.0)[:20]]
    assert len(plan_loads([*done, *waiting_engines(0.0)[20:]], 2, pace)) == 6


def test_most_engines_always_carry_requests():
    for usable in range(3, 60):
        assert loads_at_once(usable) <= usable / 2
    assert loads_at_once(1) == 1


def test_several_versions_named_in_a_row_leave_no_busy_engine_behind():
    engines = [engine("busy", version=1, in_flight=9)]
    engines += [engine(name, version=3) for name in "abcd"]
    assert plan_loads(engines, 4)[0] == "busy"
