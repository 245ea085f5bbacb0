"""Each rule that keeps windows within a quota is needed: without it one exceeds it."""

import pytest

from arbutusyard.gateway.models import AccountQuota
from arbutusyard.quotas import leader
from arbutusyard.quotas.bucket import Bucket
from arbutusyard.quotas.leader import QuotaLeader
from arbutusyard.quotas.member import QuotaMember
from arbutusyard.quotas.models import QuotaRule
from tests.quotas.simulation import SimulatedNode, World

# A small tolerance, so that small errors exceed it.
STRICT = QuotaRule(8.0, 0.005, 0.0)
# A tolerance that mostly consists of overdrafts.
LOOSE = QuotaRule(8.0, 0.1, 100_000.0)
QUOTA = AccountQuota(10_000.0, 10_000.0, True)


def make_world(nodes, rule=STRICT, quota=QUOTA, **options):
    world = World(nodes, {"a": quota}, seed=3, rule=rule, **options)
    world.run(20.0)
    return world


def overload(world, seconds, names=None, cost=800):
    """Send several times what the quota allows."""
    world.load(names or world.names, "a", cost, 150, seconds)
    world.run(seconds)


def divide_again_and_again():
    world = make_world(4)
    overload(world, 8)
    for n in range(3):
        world.part = {world.names[n]: 1}
        overload(world, 8)
        world.part = {}
        overload(world, 4)
    return world


def disagree_on_the_first():
    """Let all nodes but the leader find that another node is first in the ranking."""
    world = make_world(6, standby=0)
    overload(world, 8)
    world.rank_of = lambda viewer, name: (
        -1 if name == "n1" and viewer.name != "n0" else world.nodes[name].rank
    )
    overload(world, 8)
    return world


def restart_the_leader():
    world = make_world(1, quota=AccountQuota(10_000.0, 60_000.0, True))
    for _ in range(4):
        world.burst("n0", "a", 400, 200)
        world.run(0.1)
        world.crash("n0", 0.1)
        world.run(3.7)
    return world


def start_one_after_the_other():
    world = World(4, {"a": QUOTA}, seed=3, fresh=True, rule=STRICT, gap_s=0.5)
    world.part = {name: n for n, name in enumerate(world.names)}
    overload(world, 20.0)
    return world


def restart_voters():
    world = make_world(20, standby=0)
    overload(world, 4, ["n0"])
    world.part = {name: n for n, name in enumerate(world.names)}
    for name in world.names[1:]:
        world.crash(name, 0.01)
    world.load(["n0"], "a", 400, 100, 6)
    overload(world, 6, cost=100)
    return world


def shorten_delays():
    world = make_world(6, standby=0)
    for n in range(13):
        world.delay_s = (0.3 - 0.02 * n,) * 2
        overload(world, 1.0, world.names[1:])
    return world


def lose_a_leader_after_a_burst():
    world = make_world(12, LOOSE, AccountQuota(1_000.0, 1_000.0, True))
    world.run(60.0)
    for n in range(3):
        for _ in range(6):
            world.burst(f"n{n}", "a", 33_000, 5)
            world.run(0.1)
        world.freeze(f"n{n}", 60.0)
        world.run(3.0)
    return world


def return_late():
    """Take back charges after the bucket was full again."""
    world = make_world(1)
    world.burst("n0", "a", 400, 30, refunded_in_s=2.5)
    world.run(1.6)
    overload(world, 12)
    return world


def expiry(monkeypatch):
    apply = QuotaLeader._apply_vote

    def keep(self, sync, voter, now):
        apply(self, sync, voter, now)
        for vote in self.votes.values():
            vote.until = float("inf")

    monkeypatch.setattr(QuotaLeader, "_apply_vote", keep)


def waiting(monkeypatch):
    lend = QuotaMember._lend

    def lend_at_once(self, target, contact, now):
        if target != self._lent_to:
            self.lent_until = float("-inf")
        return lend(self, target, contact, now)

    monkeypatch.setattr(QuotaMember, "_lend", lend_at_once)


def empty_start(monkeypatch):
    init, reshape = Bucket.__init__, Bucket.reshape

    def start(self, *args):
        init(self, *args)
        self.is_new = True

    def fill(self, rate_s, capacity, now):
        reshape(self, rate_s, capacity, now)
        if capacity > 0 and rate_s > 0 and self.is_new:
            self.level, self.is_new = capacity, False

    full = type("Full", (Bucket,), {"__init__": start, "reshape": fill})
    monkeypatch.setattr(leader, "Bucket", full)


def registration(monkeypatch):
    complete = property(lambda self: True, lambda self, value: None)
    monkeypatch.setattr(SimulatedNode, "knows_all", complete, raising=False)


def late_answers(monkeypatch):
    monkeypatch.setattr(QuotaMember, "_is_fresh", lambda *args: True)
    monkeypatch.setattr(QuotaMember, "fresh_s", lambda self, account: 1.0)


def wait_after_start(monkeypatch):
    init = QuotaMember.__init__

    def started_before(self, *args):
        init(self, *args)
        self._started_at = float("-inf")

    monkeypatch.setattr(QuotaMember, "__init__", started_before)


def seasoning(monkeypatch):
    monkeypatch.setattr(QuotaLeader, "_seasoned_fraction", lambda self: self.fraction)


def headroom(monkeypatch):
    def refund(self, cost, charged_at, now):
        self.settle(now)
        self.level += cost

    monkeypatch.setattr(Bucket, "refund", refund)


CASES = [
    (divide_again_and_again, expiry),
    (disagree_on_the_first, waiting),
    (restart_the_leader, empty_start),
    (start_one_after_the_other, registration),
    (shorten_delays, late_answers),
    (restart_voters, wait_after_start),
    (lose_a_leader_after_a_burst, seasoning),
    (return_late, headroom),
]


@pytest.mark.parametrize(("course", "without"), CASES)
def test_each_rule_is_needed(monkeypatch, course, without):
    assert course().worst("a") <= 0
    without(monkeypatch)
    assert course().worst("a") > 0
