"""Combine configuration, backend servers and members into the view that entries get."""

from collections.abc import Callable

import gevent
from msgspec import Struct

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.backends.coordinator import BackendCoordinator
from arbutusyard.config.coordinator import ConfigCoordinator
from arbutusyard.control.const import (
    DEMAND_CHANGE_RATIO,
    DEMAND_INTERVAL_S,
    ENTRY_TIMEOUT_S,
    PULL_INTERVAL_S,
)
from arbutusyard.control.messages import (
    AccountShare,
    BackendChanges,
    ConfigDeltas,
    ConfigSnapshot,
    ControlMessage,
    EntryList,
    EntryReport,
    PullReply,
    PullRequest,
    ShareList,
)
from arbutusyard.limits.share import entry_shares
from arbutusyard.membership.const import MAX_DEMANDS
from arbutusyard.membership.coordinator import MembershipCoordinator
from arbutusyard.membership.models import AccountDemand, EntryView, Member, Status
from arbutusyard.rpc.exceptions import PeerUnreachable
from arbutusyard.supervisor import Supervisor


class AttachedEntry(Struct):
    """Hold the last report of an entry on this VM and when it was received."""

    report: EntryReport
    received_at: float


class SentState(Struct):
    """Hold the state that an entry was last sent, so that only changes follow."""

    revision: int = -1
    backend_change: int = -1
    entries: tuple[EntryView, ...] = ()


class ControlCoordinator:
    """Send the node's view to its entries and pull newer state from peers."""

    name = "control"

    __slots__ = (
        "_known_limits",
        "_limits_revision",
        "_pull",
        "_supervisor",
        "attached",
        "backends",
        "config",
        "membership",
        "reported_demands",
    )

    def __init__(
        self,
        config: ConfigCoordinator,
        backends: BackendCoordinator,
        membership: MembershipCoordinator,
        pull: Callable[[str, PullRequest], PullReply],
    ) -> None:
        self.config = config
        self.backends = backends
        self.membership = membership
        self.attached: dict[str, AttachedEntry] = {}
        self.reported_demands: dict[str, float] = {}
        self._known_limits: dict[str, int] = {}
        self._limits_revision = -1
        self._pull = pull
        self._supervisor: Supervisor | None = None

    def setup(self, app: Application) -> None:
        """Start pulling from peers and publishing this node's member record."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("pull", self._pull_forever)
        self._supervisor.spawn("publish", self._publish_forever)

    def drain(self) -> None:
        """Do nothing; entries drain on their own."""

    def unload(self) -> None:
        """Stop pulling and publishing."""
        self._supervisor.stop()

    def apply_report(self, report: EntryReport, now: float) -> None:
        """Store the report of an entry on this VM; publish the entry if it changed."""
        known = self.attached.get(report.entry.name)
        self.attached[report.entry.name] = AttachedEntry(report, now)
        if known is None or known.report.entry != report.entry:
            self._publish(now)

    def detach(self, entry: str, now: float) -> None:
        """Remove an entry whose stream has ended."""
        if self.attached.pop(entry, None) is not None:
            self._publish(now)

    def messages(self, entry: str, sent: SentState, now: float) -> list[ControlMessage]:
        """Return the messages that an entry needs now, and record them as sent."""
        pending: list[ControlMessage] = []
        current = self.config.current
        if sent.revision < current.revision:
            deltas = self.config.deltas_since(sent.revision)
            pending.append(
                ConfigSnapshot(current) if deltas is None else ConfigDeltas(deltas)
            )
            sent.revision = current.revision
        entries = self.entries()
        if sent.entries != entries:
            pending.append(EntryList(entries))
            sent.entries = entries
        if sent.backend_change != self.backends.change_number:
            changed = self.backends.view_since(sent.backend_change, now)
            pending.append(BackendChanges(changed, tuple(self.backends.backends)))
            sent.backend_change = self.backends.change_number
        pending.append(ShareList(self._shares(entry)))
        return pending

    def entries(self) -> tuple[EntryView, ...]:
        """Return every entry that clients may use, sorted by name."""
        return tuple(
            sorted(
                (
                    entry
                    for member in self.membership.table.usable()
                    if member.status is not Status.LEAVING
                    for entry in member.entries
                    if not entry.draining
                ),
                key=lambda entry: entry.name,
            )
        )

    def answer_pull(self, req: PullRequest, now: float) -> PullReply:
        """Answer a peer that holds an older revision or has just started."""
        backends = self.backends.view(now) if req.with_backends else ()
        members = tuple(self.membership.table.usable()) if req.with_backends else ()
        deltas = self.config.deltas_since(req.revision)
        current = self.config.current
        if deltas is not None:
            return PullReply(deltas=deltas, backends=backends, members=members)
        newer = current if current.revision > req.revision else None
        return PullReply(config=newer, backends=backends, members=members)

    def _pull_forever(self) -> None:
        while True:
            self._update_members()
            peer = self._peer_to_pull_from()
            if peer is not None:
                self._pull_from(peer)
            gevent.sleep(PULL_INTERVAL_S)

    def _update_members(self) -> None:
        members = len(self.membership.table.usable())
        self.config.members = members
        self.backends.member_count = members
        self.membership.add_seeds(self.backends.control_addresses)

    def _peer_to_pull_from(self) -> Member | None:
        newest = self.membership.table.member_with_newest_revision()
        if newest.revision > self.config.current.revision:
            return newest
        if self.backends.backends:
            return None
        return next(iter(self.membership.table.live()), None)

    def _pull_from(self, peer: Member) -> None:
        req = PullRequest(self.config.current.revision, not self.backends.backends)
        try:
            reply = self._pull(peer.rpc, req)
        except PeerUnreachable:
            return
        if reply.deltas:
            self.config.apply_deltas(reply.deltas)
        if reply.config is not None:
            self.config.apply_if_newer(reply.config)
        self.backends.add_peer_backends(reply.backends)
        for member in reply.members:
            self.membership.table.merge(member, clock.now())

    def _publish_forever(self) -> None:
        while True:
            self.config.changed.wait(DEMAND_INTERVAL_S)
            self.config.changed.clear()
            self._publish(clock.now())

    def _publish(self, now: float) -> None:
        me = self.membership.table.me
        entries = tuple(
            item.report.entry
            for item in self.attached.values()
            if now - item.received_at <= ENTRY_TIMEOUT_S
        )
        revision = self.config.current.revision
        demands = self._demands(now)
        if (entries, revision, demands) != (me.entries, me.revision, me.demands):
            self.membership.table.update_me(
                entries=entries, revision=revision, demands=demands
            )

    def _demands(self, now: float) -> tuple[AccountDemand, ...]:
        total: dict[str, float] = {}
        for item in self.attached.values():
            if now - item.received_at > ENTRY_TIMEOUT_S:
                continue
            for demand in item.report.demands:
                total[demand.account] = total.get(demand.account, 0) + (
                    demand.tokens_per_s
                )
        if _demands_changed(self.reported_demands, total):
            self.reported_demands = total
        largest = sorted(self.reported_demands.items(), key=lambda d: -d[1])
        return tuple(AccountDemand(a, d) for a, d in largest[:MAX_DEMANDS])

    def _shares(self, entry: str) -> tuple[AccountShare, ...]:
        item = self.attached.get(entry)
        if item is None:
            return ()
        elsewhere = self._demands_elsewhere(entry)
        own = {d.account: d.tokens_per_s for d in item.report.demands}
        return tuple(
            AccountShare(account, fraction)
            for account, fraction in entry_shares(
                own, elsewhere, self._limits()
            ).items()
        )

    def _demands_elsewhere(self, entry: str) -> dict[str, float]:
        others = [member.demands for member in self.membership.table.usable()[1:]]
        others += [
            item.report.demands for name, item in self.attached.items() if name != entry
        ]
        total: dict[str, float] = {}
        for demands in others:
            for demand in demands:
                known = total.get(demand.account, 0.0)
                total[demand.account] = known + demand.tokens_per_s
        return total

    def _limits(self) -> dict[str, int]:
        """Return the limit of each account, computed once per revision."""
        current = self.config.current
        if self._limits_revision != current.revision:
            self._limits_revision = current.revision
            self._known_limits = {
                f"{workload.name}/{account.name}": account.tokens_per_s
                for workload in current.workloads
                for account in workload.accounts
            }
        return self._known_limits


def _demands_changed(old: dict[str, float], new: dict[str, float]) -> bool:
    if set(old) != set(new):
        return True
    return any(
        abs(new[name] - old[name]) > DEMAND_CHANGE_RATIO * max(old[name], 1.0)
        for name in new
    )
