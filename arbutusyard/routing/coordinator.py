"""Choose a backend server for each request by cached blocks, load and policy."""

from msgspec import Struct

from arbutusyard.routing.chain import BlockHashChain, rank
from arbutusyard.routing.const import CANDIDATES_MAX, SHORTLISTS_MAX
from arbutusyard.routing.index import PrefixIndex
from arbutusyard.routing.load import BackendLoad, LoadReport
from arbutusyard.routing.models import Candidate, Choice, Work
from arbutusyard.routing.policy import Policy, PricedPrefix, choose


class Target(Struct, frozen=True):
    """Describe a backend server that may take a request."""

    name: str
    failure_domain: str
    incarnation: str


class TargetList(Struct, frozen=True):
    """List the targets, also by name, with those that each account uses."""

    targets: list[Target]
    by_name: dict[str, Target]
    account_targets: dict[str, dict[str, Target]] = {}


class Router:
    """Route requests by what this node knows of the backend servers."""

    __slots__ = ("_target_list", "_loads", "index", "policy")

    def __init__(
        self, policy: Policy | None = None, index: PrefixIndex | None = None
    ) -> None:
        self.policy = policy or PricedPrefix()
        self.index = index or PrefixIndex()
        self._loads: dict[str, BackendLoad] = {}
        self._target_list: TargetList | None = None

    def load(self, backend: str, now: float) -> BackendLoad:
        """Return the load record of a backend server; create it if missing."""
        load = self._loads.get(backend)
        if load is None:
            load = self._loads[backend] = BackendLoad(now)
        return load

    def report(
        self, backend: str, incarnation: str, report: LoadReport, now: float
    ) -> None:
        """Apply a load report; the blocks of an earlier incarnation no longer count."""
        self.set_incarnation(backend, incarnation)
        load = self.load(backend, now)
        if report.taken_at >= load.report.taken_at:
            load.report = report

    def set_incarnation(self, backend: str, incarnation: str) -> None:
        """Set the incarnation that a backend server reports."""
        if self.index.incarnation(backend) != incarnation:
            self.index.set_incarnation(backend, incarnation)

    def forget(self, backend: str) -> None:
        """Remove a backend server's load and incarnation."""
        self.index.clear_incarnation(backend)
        self._loads.pop(backend, None)

    def route(self, work: Work, targets: list[Target], now: float) -> Choice:
        """Choose a target for a request by the policy."""
        depths = self.index.match(work.chain.blocks, now)
        shortlist = self._shortlist(work, targets, depths)
        candidates = [self._candidate(work, t, depths, now) for t in shortlist]
        best = choose(self.policy, work, candidates)
        missing = len(work.chain.blocks) - best.cached
        return Choice(
            backend=best.backend,
            expected_cached=best.cached,
            expected_wait_s=best.wait_s,
            work_s=missing * best.block_prefill_s,
        )

    def dispatched(self, work: Work, choice: Choice, now: float) -> None:
        """Record a request's prompt work and blocks at the server it was sent to."""
        load = self.load(choice.backend, now)
        load.add(work.request_id, choice.work_s, work.priority, now)
        incarnation = self.index.incarnation(choice.backend)
        if incarnation is not None:
            self.index.record(choice.backend, incarnation, work.chain.blocks, now)

    def first_token(self, backend: str, request_id: str) -> None:
        """Stop counting a request's prompt work after its first token."""
        load = self._loads.get(backend)
        if load is not None:
            load.first_token(request_id)

    def finish(self, backend: str, request_id: str) -> None:
        """Stop counting a request that has ended at a backend server."""
        load = self._loads.get(backend)
        if load is not None:
            load.finish(request_id)

    def record_blocks(
        self, backend: str, incarnation: str, chain: BlockHashChain, now: float
    ) -> None:
        """Record that a backend server has computed or used a chain's blocks."""
        self.set_incarnation(backend, incarnation)
        self.index.record(backend, incarnation, chain.blocks, now)

    def _shortlist(
        self, work: Work, targets: list[Target], depths: dict[str, int]
    ) -> list[Target]:
        """Reduce a long list of targets to the holders and the account's targets."""
        if len(targets) <= CANDIDATES_MAX:
            return targets
        target_list = self._indexed_targets(targets)
        account_targets = self._targets_of_account(work.account, target_list)
        holders = {
            name: target_list.by_name[name]
            for name in depths
            if name in target_list.by_name
        }
        return list((account_targets | holders).values())

    def _indexed_targets(self, targets: list[Target]) -> TargetList:
        if self._target_list is None or self._target_list.targets is not targets:
            by_name = {target.name: target for target in targets}
            self._target_list = TargetList(targets, by_name)
        return self._target_list

    @staticmethod
    def _targets_of_account(account: str, target_list: TargetList) -> dict[str, Target]:
        targets = target_list.account_targets.get(account)
        if targets is None:
            names = rank(account.encode(), target_list.by_name)[:CANDIDATES_MAX]
            targets = {name: target_list.by_name[name] for name in names}
            if len(target_list.account_targets) >= SHORTLISTS_MAX:
                target_list.account_targets.clear()
            target_list.account_targets[account] = targets
        return targets

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
            block_prefill_s=load.report.block_prefill_s,
        )
