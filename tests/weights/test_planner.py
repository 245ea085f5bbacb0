"""Planning of loads, independent of the clock."""

from msgspec.structs import replace

from arbutusyard.weights.planner import (
    EngineView,
    RollOutTimes,
    max_concurrent_loads,
    plan_loads,
)


def engine(name, version=1, in_flight=0, loading=False, reachable=True):
    return EngineView(name, version, in_flight, loading, reachable)


def test_the_engines_with_the_fewest_requests_in_flight_load_first():
    engines = [engine(f"e{n}", in_flight=9 - n) for n in range(5)]
    assert plan_loads(engines, 2) == ["e4", "e3"]


def test_loads_in_progress_count_towards_the_limit():
    engines = [engine("a", loading=True), engine("b"), engine("c"), engine("d")]
    engines.append(engine("e"))
    assert plan_loads(engines, 2) == ["b"]


def test_engines_at_the_target_or_unreachable_are_not_ordered():
    engines = [engine("a", version=2), engine("b", reachable=False)]
    assert plan_loads(engines, 2) == []


def test_with_two_of_five_engines_unreachable_one_loads_at_a_time():
    engines = [engine("a"), engine("b"), engine("c")]
    engines += [engine(name, reachable=False) for name in "de"]
    assert len(plan_loads(engines, 2)) == 1


def waiting_engines(superseded_s, waiting_s=0.3):
    return [
        replace(engine(f"e{n:02}"), waiting_s=waiting_s, superseded_s=superseded_s)
        for n in range(30)
    ]


def test_fewer_engines_load_while_prompts_wait_but_all_finish_in_time():
    times = RollOutTimes(10.0, 1.2)
    # 30 loads of 1.2 s within 0.6 x 10 s, less the time that has passed.
    assert len(plan_loads(waiting_engines(0.0), 2, times)) == 6
    assert len(plan_loads(waiting_engines(1.5), 2, times)) == 8
    assert len(plan_loads(waiting_engines(4.0), 2, times)) == 12
    assert len(plan_loads(waiting_engines(9.0), 2, times)) == 12
    assert len(plan_loads(waiting_engines(0.0, waiting_s=0.01), 2, times)) == 12


# Guards against refusing all requests while engines that may serve none wait for others
# to load.
def test_engines_with_overdue_weights_load_all_at_once():
    times = RollOutTimes(10.0, 1.2)
    overdue, others = waiting_engines(10.0)[:20], waiting_engines(0.0)[20:]
    planned = plan_loads([*others, *overdue], 2, times)
    assert set(planned) >= {item.server_id for item in overdue}
    loading = [replace(item, loading=True) for item in overdue]
    assert len(plan_loads([*others, *loading], 2, times)) == len(planned) - 20 > 0


# Guards against refusing all requests: all engines that still served loaded beside
# those that did not.
def test_most_engines_serve_while_those_with_overdue_weights_load():
    times = RollOutTimes(6.0, 1.2)
    overdue = waiting_engines(6.0)[:8]
    serving = [replace(item, version=2) for item in waiting_engines(1.0)[8:12]]
    planned = plan_loads([*overdue, *serving], 3, times)
    assert len(planned) == 8 + 1
    assert set(planned) >= {item.server_id for item in overdue}


def test_more_engines_load_at_a_time_when_each_load_takes_longer():
    # Seen on wao-ankiety-grown: waiting prompts delayed the loads, so that the
    # roll-out exceeded its time limit.
    assert len(plan_loads(waiting_engines(0.0), 2, RollOutTimes(10.0, 2.0))) == 10
    assert len(plan_loads(waiting_engines(0.0), 2, RollOutTimes(10.0, 3.0))) == 12


def test_only_outdated_engines_count_for_the_number_of_concurrent_loads():
    times = RollOutTimes(10.0, 1.2)
    done = [replace(item, version=2) for item in waiting_engines(5.0)[:20]]
    assert len(plan_loads([*done, *waiting_engines(0.0)[20:]], 2, times)) == 6


def test_at_least_half_of_several_engines_always_serve_requests():
    for usable in range(3, 60):
        assert max_concurrent_loads(usable) <= usable / 2
    assert max_concurrent_loads(1) == 1


def test_a_busy_engine_with_the_oldest_weights_loads_first():
    engines = [engine("busy", version=1, in_flight=9)]
    engines += [engine(name, version=3) for name in "abcd"]
    assert plan_loads(engines, 4)[0] == "busy"
