"""Combine cache knowledge, load and policy into one choice for each request."""

from msgspec import Struct

from arbutusyard.routing.chain import BlockHashChain, rank
from arbutusyard.routing.const import CANDIDATES_MAX, SHORTLISTS_MAX
from arbutusyard.routing.index import PrefixIndex
from arbutusyard.routing.load import BackendLoad, LoadReport
from arbutusyard.routing.models import Candidate, Choice, Work
from arbutusyard.routing.policy import Policy, PricedPrefix, choose


class Target(Struct, frozen=True):
    """Name a backend server that may take a request."""

    name: str
    failure_domain: str
    incarnation: str


class TargetList(Struct, frozen=True):
    """Hold a list of targets, by name too, and the part that each account uses."""

    targets: list[Target]
    by_name: dict[str, Target]
    spreads: dict[str, dict[str, Target]] = {}


class Router:
    """Route requests with this node's own knowledge."""

    __slots__ = ("_list", "_loads", "index", "policy")

    def __init__(
        self, policy: Policy | None = None, index: PrefixIndex | None = None
    ) -> None:
        self.policy = policy or PricedPrefix()
        self.index = index or PrefixIndex()
        self._loads: dict[str, BackendLoad] = {}
        self._list: TargetList | None = None

    def load(self, backend: str, now: float) -> BackendLoad:
        """Return the load record of a backend server."""
        load = self._loads.get(backend)
        if load is None:
            load = self._loads[backend] = BackendLoad(now)
        return load

    def report(
        self, backend: str, incarnation: str, report: LoadReport, now: float
    ) -> None:
        """Take a load report; a changed incarnation drops what was known."""
        self.see_incarnation(backend, incarnation)
        load = self.load(backend, now)
        if report.taken_at >= load.report.taken_at:
            load.report = report

    def see_incarnation(self, backend: str, incarnation: str) -> None:
        """Take note of the incarnation that a backend server names."""
        if self.index.incarnation(backend) != incarnation:
            self.index.set_incarnation(backend, incarnation)

    def forget(self, backend: str) -> None:
        """Drop what is known of a backend server."""
        self.index.forget(backend)
        self._loads.pop(backend, None)

    def route(self, work: Work, targets: list[Target], now: float) -> Choice:
        """Choose a target with the least cost."""
        depths = self.index.match(work.chain.blocks, now)
        kept = self._shortlist(work, targets, depths)
        candidates = [self._candidate(work, t, depths, now) for t in kept]
        best = choose(self.policy, work, candidates)
        missing = len(work.chain.blocks) - best.cached
        return Choice(
            backend=best.backend,
            expected_cached=best.cached,
            expected_wait_s=best.wait_s,
            work_s=missing * best.prefill_piece_s,
        )

    def dispatched(self, work: Work, choice: Choice, now: float) -> None:
        """Count a request's prompt work where it was sent."""
        load = self.load(choice.backend, now)
        load.add(work.request_id, choice.work_s, work.priority, now)
        incarnation = self.index.incarnation(choice.backend)
        if incarnation is not None:
            self.index.learn(choice.backend, incarnation, work.chain.blocks, now)

    def first_token(self, backend: str, request_id: str) -> None:
        """Take note that a request's prompt work is done."""
        load = self._loads.get(backend)
        if load is not None:
            load.first_token(request_id)

    def finish(self, backend: str, request_id: str) -> None:
        """Take note that a request has left a backend server."""
        load = self._loads.get(backend)
        if load is not None:
            load.finish(request_id)

    def learn(
        self, backend: str, incarnation: str, chain: BlockHashChain, now: float
    ) -> None:
        """Take note that a backend server has computed or used a chain."""
        self.see_incarnation(backend, incarnation)
        self.index.learn(backend, incarnation, chain.blocks, now)

    def _shortlist(
        self, work: Work, targets: list[Target], depths: dict[str, int]
    ) -> list[Target]:
        """Keep the holders and the account's own part of a long list of targets."""
        if len(targets) <= CANDIDATES_MAX:
            return targets
        known = self._known_list(targets)
        kept = self._spread_of(work.account, known)
        holders = {
            name: known.by_name[name] for name in depths if name in known.by_name
        }
        return list((kept | holders).values())

    def _known_list(self, targets: list[Target]) -> TargetList:
        if self._list is None or self._list.targets is not targets:
            by_name = {target.name: target for target in targets}
            self._list = TargetList(targets, by_name)
        return self._list

    @staticmethod
    def _spread_of(account: str, known: TargetList) -> dict[str, Target]:
        spread = known.spreads.get(account)
        if spread is None:
            names = rank(account.encode(), known.by_name)[:CANDIDATES_MAX]
            spread = {name: known.by_name[name] for name in names}
            if len(known.spreads) >= SHORTLISTS_MAX:
                known.spreads.clear()
            known.spreads[account] = spread
        return spread

    def _candidate(
        self,
        work: Work,
        target: Target,
        depths: dict[str, int],
        now: float,
    ) -> Candidate:
        load = self.load(target.name, now)
        return Candidate(
            backend=target.name,
            failure_domain=target.failure_domain,
            wait_s=load.wait_s(work.priority, now),
            queue_s=load.queue_s(now),
            full=load.full(),
            cached=depths.get(target.name, 0),
            prefill_piece_s=load.report.prefill_piece_s,
        )
