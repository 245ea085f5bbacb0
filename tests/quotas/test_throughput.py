"""What a quota allows is served, however many nodes share it."""

import pytest

from arbutusyard.gateway.models import AccountQuota
from tests.quotas.simulation import World

# Rates of the accounts of a deployment in tokens per second; each has used 1 / 1.8 of
# its rate, nine tenths of it in long prompts.
RATES = [47_000.0] * 12 + [200_000.0] * 2 + [745_283.0] * 2
HOT, HOT_FACTOR, USUAL = "a12", 7.5, 1 / 1.8
LONG_MEAN, LONG_MAX, SHORT = 17_000.0, 93_000.0, 391.0
SECONDS = 30.0
# Time in which the accounts use up the bursts that they had saved.
WARM_UP_S = 10.0


def play(nodes, hot=True, disturbed=False):
    """Return the simulated world after its nodes got their usual requests."""
    quotas = {f"a{n}": AccountQuota(r, r, True, 200) for n, r in enumerate(RATES)}
    world = World(nodes, quotas, seed=1, standby=24 if nodes > 24 else None)
    world.run(16.0)
    if disturbed:
        world.lost, world.doubled = 0.03, 0.01

    def long_prompt():
        # The logarithm's standard deviation is 0.7; its mean fits the mean length.
        return min(LONG_MAX, world.rng.lognormvariate(9.5, 0.7))

    for name, quota in quotas.items():
        rate_s = quota.rate_s * USUAL * (HOT_FACTOR if hot and name == HOT else 1.0)
        serving = world.names[:40]
        world.load(
            serving, name, long_prompt, 0.9 * rate_s / LONG_MEAN, WARM_UP_S + SECONDS
        )
        world.load(serving, name, SHORT, 0.1 * rate_s / SHORT, WARM_UP_S + SECONDS)
    world.run(WARM_UP_S)
    world.totals.clear()
    world.run(SECONDS)
    return world


def lost_share(world):
    """Return the share of tokens due that were not granted, and the hot account's."""
    usual = [n for n in world.quotas if n != HOT]
    granted = sum(world.totals["granted", n] for n in usual)
    lost = sum(world.totals[r, n] for r in ("rejected", "unknown") for n in usual)
    due = world.quotas[HOT].rate_s * SECONDS
    return lost / (granted + lost), 1.0 - world.totals["granted", HOT] / due


# Guards against shares that stay unused at nodes whose clients send little.
@pytest.mark.parametrize(
    ("nodes", "disturbed"), [(1, False), (70, False), (70, True), (410, False)]
)
def test_almost_all_that_is_due_is_granted(nodes, disturbed):
    world = play(nodes, disturbed=disturbed)
    usual, hot = lost_share(world)
    assert usual < 0.01
    assert hot < 0.01
    assert all(world.worst(name) <= 0 for name in world.quotas)


def test_returning_requests_are_spread_in_order_of_arrival():
    """Guards against rejected requests that all return at once."""
    world = World(1, {"a": AccountQuota(10_000.0, 10_000.0, True)})
    world.run(20.0)
    node = world.nodes["n0"]
    while node.leader.decide("a", 2_000, node.now).is_granted:
        pass
    waits = [node.leader.decide("a", 2_000, node.now).retry_after_s for _ in range(60)]
    gaps = [b - a for a, b in zip(waits, waits[1:20], strict=False)]
    assert gaps == pytest.approx([0.2] * len(gaps))
    assert max(waits) <= 5.0
    late = sorted(waits[-30:])
    assert max(b - a for a, b in zip(late, late[1:], strict=False)) < 0.5
