"""Test the choice of the serving nodes."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from arbutusyard.fleet.const import SERVING_NODES_MIN
from arbutusyard.fleet.serving import RateMeter, serving_nodes
from tests.fleet.test_peers import heartbeat


def fleet(count, domains=6, **changes):
    return [
        replace(heartbeat(1, name=f"n{n}"), failure_domain=f"z{n % domains}", **changes)
        for n in range(count)
    ]


def names(nodes):
    return [node.name for node in nodes]


def test_all_nodes_of_a_small_fleet_serve():
    assert sorted(names(serving_nodes(fleet(8)))) == sorted(names(fleet(8)))


def test_serving_nodes_of_a_large_fleet_are_spread_over_the_failure_domains():
    # Guards against a choice by address: of 195 nodes clients were sent to the first
    # 64, whatever their failure domains and capacities.
    chosen = serving_nodes(fleet(195))
    counts = Counter(node.failure_domain for node in chosen)
    assert len(chosen) == SERVING_NODES_MIN
    assert set(counts.values()) == {SERVING_NODES_MIN // 6}


def test_more_nodes_serve_at_a_higher_request_rate():
    calm = serving_nodes(fleet(195, rate_s=1.0))
    burst = serving_nodes(fleet(195, rate_s=5.0))
    assert len(calm) < len(burst) < 195
    assert names(burst)[: len(calm)] == names(calm)
    assert len(serving_nodes(fleet(195, rate_s=60.0))) == 195


def test_nodes_with_more_capacity_are_preferred():
    weak, strong = fleet(195, capacity=0.5), fleet(195, capacity=2.0)
    mixed = [strong[n] if n // 6 % 2 else weak[n] for n in range(195)]
    chosen = serving_nodes(mixed)
    assert sum(node.capacity == 2.0 for node in chosen) > len(chosen) * 0.6


def test_removed_node_leaves_the_order_of_the_others_unchanged():
    nodes = fleet(195, domains=1)
    chosen = serving_nodes(nodes)
    remaining = [node for node in nodes if node.name != chosen[3].name]
    assert names(serving_nodes(remaining))[:-1] == names(chosen[:3] + chosen[4:])


def test_nodes_that_drain_or_are_not_ready_do_not_serve():
    nodes = fleet(6)
    nodes[0] = replace(nodes[0], leaving=True)
    nodes[1] = replace(nodes[1], ready=False)
    assert sorted(names(serving_nodes(nodes))) == ["n2", "n3", "n4", "n5"]
    down = [replace(node, ready=False) for node in nodes]
    assert len(serving_nodes(down)) == 5


@given(st.lists(st.tuples(st.floats(0.1, 4), st.integers(0, 4)), max_size=60))
def test_choice_does_not_depend_on_the_order_of_the_nodes(drawn):
    nodes = [
        replace(
            heartbeat(1, name=f"n{n}"), capacity=capacity, failure_domain=f"z{domain}"
        )
        for n, (capacity, domain) in enumerate(drawn)
    ]
    assert names(serving_nodes(nodes)) == names(serving_nodes(nodes[::-1]))


def test_rate_rises_with_events_and_decays_without():
    meter = RateMeter()
    for n in range(200):
        meter.count(n * 0.1)
    assert 9 < meter.rate_s(20.0) < 11
    assert meter.rate_s(60.0) < 0.01
