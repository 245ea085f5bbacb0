"""Comparison of the prefix index with a simple model, and tests of the router."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusyard.routing.chain import build_chain, rank, salt
from arbutusyard.routing.coordinator import Router, Target
from arbutusyard.routing.index import PrefixIndex
from arbutusyard.routing.models import Work

TTL_S = 10.0
MAX_ENTRIES = 8
BACKENDS = st.sampled_from(["w0", "w1", "w2"])
LENGTHS = st.integers(1, 4)
STEMS = st.sampled_from([b"a", b"b", b"c"])


def keys(stem, length):
    return tuple(stem + bytes([n]) for n in range(length))


class IndexMachine(RuleBasedStateMachine):
    """Keys of an earlier incarnation and expired keys never match."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.index = PrefixIndex(MAX_ENTRIES, TTL_S)
        self.live = {}
        self.recorded = {}

    @rule(backend=BACKENDS, number=st.integers(0, 2))
    def set_incarnation(self, backend, number):
        self.index.set_incarnation(backend, f"{backend}.{number}")
        self.live[backend] = f"{backend}.{number}"

    @rule(backend=BACKENDS)
    def clear_incarnation(self, backend):
        self.index.clear_incarnation(backend)
        self.live.pop(backend, None)

    @rule(backend=BACKENDS, number=st.integers(0, 2), stem=STEMS, length=LENGTHS)
    def record(self, backend, number, stem, length):
        incarnation = f"{backend}.{number}"
        self.index.record(backend, incarnation, keys(stem, length), self.now)
        if self.live.get(backend) == incarnation:
            for key in keys(stem, length):
                self.recorded[backend, key] = (incarnation, self.now)

    @rule(backend=BACKENDS, stem=STEMS, length=LENGTHS)
    def remove(self, backend, stem, length):
        self.index.remove(backend, keys(stem, length))
        for key in keys(stem, length):
            self.recorded.pop((backend, key), None)

    @rule(elapsed=st.floats(0, 12))
    def pass_time(self, elapsed):
        self.now += elapsed

    @invariant()
    def matches_only_recorded_keys(self):
        assert len(self.index) <= MAX_ENTRIES
        for stem in (b"a", b"b", b"c"):
            for backend, depth in self.index.match(keys(stem, 4), self.now).items():
                for key in keys(stem, depth):
                    incarnation, recorded_at = self.recorded[backend, key]
                    assert incarnation == self.live[backend]
                    assert self.now - recorded_at <= TTL_S


TestIndex = IndexMachine.TestCase
TestIndex.settings = settings(max_examples=150, stateful_step_count=30)


def test_accounts_and_weights_versions_share_no_block():
    text = b"x" * 9000
    chains = [
        build_chain(text, salt(account, "m", version)).blocks
        for account in ("a", "b")
        for version in ("v1", "v2")
    ]
    assert len({key for chain in chains for key in chain}) == 4 * 3


def test_salt_depends_on_where_its_fields_are_divided():
    assert salt("ab", "c", "d") != salt("a", "bc", "d")


def test_removing_a_name_does_not_change_the_order_of_the_others():
    names = [f"e{number}" for number in range(7)]
    for key in (b"a", b"b", b"c"):
        full = rank(key, names)
        assert rank(key, [n for n in names if n != full[3]]) == full[:3] + full[4:]


def test_a_long_list_of_targets_is_reduced_to_holders_and_the_accounts_targets():
    router = Router()
    targets = [Target(f"w{n}", "d", "1") for n in range(500)]
    chain = build_chain(b"x" * 9000, salt("a", "m", "v1"))
    work = Work("r", "a", chain, 1, 6.0, "d")
    account_targets = {router.route(work, targets, 0.0).backend for _ in range(50)}
    outside = next(t.name for t in reversed(targets) if t.name not in account_targets)
    router.record_blocks(outside, "1", chain, 0.0)
    assert router.route(work, targets, 0.1).backend == outside
    assert router.route(work, targets[:400], 0.1).backend in {
        target.name for target in targets[:400]
    }
