"""Charge requests to their accounts' quotas, and exchange datagrams about them."""

import logging
import random

import gevent
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.messages import QuotaAnswer, QuotaSync
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import Account, CallerRequest, Refusal
from arbutusyard.limits.const import BUDGET_RETENTION_S
from arbutusyard.limits.sharing import SharingNodes
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.quotas.const import (
    ASK_REPEAT_S,
    ASK_WAIT_FRACTION,
    RETRY_AFTER_INVALID_S,
    RETRY_AFTER_UNKNOWN_S,
    STARTED_FRACTION,
    STARTED_TOGETHER_S,
    TICK_MAX_S,
)
from arbutusyard.quotas.leader import QuotaLeader
from arbutusyard.quotas.member import QuotaMember
from arbutusyard.quotas.models import (
    Ask,
    Charge,
    Decision,
    Grant,
    QuotaLimits,
    QuotaRule,
    cost_of,
    limits_of,
)
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class QuotaCoordinator:
    """Charge requests, keep this node's vote, and lead where others vote for it.

    Does nothing while no account in the configuration has a quota.
    """

    name = "quotas"

    __slots__ = (
        "_catalog",
        "_fleet_state",
        "_leader",
        "_limits",
        "_me",
        "_member",
        "_metrics",
        "_peers",
        "_rng",
        "_rule",
        "_sharing",
        "_started_at",
        "_supervisor",
        "_votes",
        "_waiting",
    )

    def __init__(
        self,
        me: str,
        incarnation: int,
        fleet_state: FleetState,
        peers: PeerCoordinator,
        rule: QuotaRule,
        metrics: DeferredMetrics,
    ) -> None:
        self._me = me
        self._fleet_state = fleet_state
        self._peers = peers
        self._rule = rule
        self._metrics = metrics
        self._started_at = clock.now()
        self._member = QuotaMember(me, incarnation, self._started_at)
        self._leader = QuotaLeader(me, incarnation)
        self._sharing = SharingNodes(BUDGET_RETENTION_S)
        self._rng = random.Random(me)
        self._limits: dict[str, QuotaLimits] = {}
        self._catalog: Catalog | None = None
        self._supervisor: Supervisor | None = None
        # Events of requests that wait for a decision, by the id of the question.
        self._waiting: dict[int, Event] = {}
        # Number of votes that the metrics show.
        self._votes = 0
        peers.on_quota = self.apply_datagram

    def setup(self, app: Application) -> None:
        """Start lending this node's share."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("sync", self._run)

    def drain(self) -> None:
        """Do nothing; requests are charged until the node exits."""

    def unload(self) -> None:
        """Stop lending."""
        self._supervisor.stop()

    def reload(self, rule: QuotaRule) -> None:
        """Apply changed settings."""
        if rule != self._rule:
            self._rule = rule
            self._catalog = None

    def acquire(
        self, account: Account, req: CallerRequest, time_limit_s: float, now: float
    ) -> Grant | Refusal:
        """Charge a request of an account with a quota; may wait for the leader."""
        quota = account.quota
        if not quota.valid:
            return Refusal(429, "quota_invalid", RETRY_AFTER_INVALID_S)
        wait_s = ASK_WAIT_FRACTION * time_limit_s
        grant = Grant(account.name, cost_of(quota, req), wait_s)
        return self._charge(grant, now) or grant

    def charge_again(self, grant: Grant, now: float) -> bool:
        """Charge a further run of a request; return False if it must not run."""
        return self._charge(grant, now) is None

    def renew(self, grant: Grant, runs: int, now: float) -> Refusal | None:
        """Charge a run anew that was charged too long before it is sent.

        `runs` earlier ones stay charged. Return a refusal if there is no quota left.
        """
        self.give_back_unused(grant, runs)
        return self._charge(grant, now)

    def give_back_unused(self, grant: Grant, runs: int) -> None:
        """Take back the charges of a request beyond those of its runs."""
        while len(grant.charges) > runs:
            self.give_back(grant)

    def give_back(self, grant: Grant) -> None:
        """Take back the newest charge of a request that did not run."""
        self._member.refund(grant, clock.now())
        self._metrics.count_quota(grant.account, "refunded", grant.cost)

    def _charge(self, grant: Grant, now: float) -> Refusal | None:
        self._refresh(now)
        charge = self._member.spend_credit(grant.account, grant.cost, now)
        if charge is not None:
            grant.charged_at = now
            grant.charges.append(charge)
            self._metrics.count_quota(grant.account, "credit", grant.cost)
            return None
        source, decision = self._decide(grant, now)
        if decision is None or (decision.retry_after_s or 0.0) < 0:
            self._metrics.count_quota(grant.account, "unknown", grant.cost)
            return Refusal(503, "quota_unknown", RETRY_AFTER_UNKNOWN_S)
        if not decision.is_granted:
            self._metrics.count_quota(grant.account, "rejected", grant.cost)
            return Refusal(429, "quota", decision.retry_after_s)
        grant.charges.append(source)
        self._metrics.count_quota(grant.account, "granted", grant.cost)
        return None

    def _decide(self, grant: Grant, now: float) -> tuple[Charge, Decision | None]:
        """Return the decision on a request, and who made it."""
        wait_until = now + grant.wait_s
        while True:
            target = self._member.ask_target(now)
            grant.charged_at = now
            if target == self._me:
                decision = self._leader.decide(grant.account, grant.cost, now)
                return Charge(target, self._leader.incarnation, decision.at), decision
            if now >= wait_until or not self._member.has_leader(now):
                return Charge(target, 0, now), None
            ask = self._ask(grant, wait_until, now)
            if ask.decision is not None:
                charge = Charge(ask.leader, ask.incarnation, ask.decision.at)
                return charge, ask.decision
            now = clock.now()

    def _ask(self, grant: Grant, wait_until: float, now: float) -> Ask:
        """Ask the leader until it answers, or its answer would be too old."""
        ask = self._member.ask(grant.account, grant.cost, now)
        until = min(wait_until, now + self._member.fresh_s(grant.account))
        event = self._waiting[ask.ask_id] = Event()
        try:
            while ask.decision is None and now < until:
                self._send(ask.leader, self._member.sync(ask.leader, now, ask), now)
                event.wait(max(0.0, min(ASK_REPEAT_S, until - now)))
                now = clock.now()
        finally:
            del self._waiting[ask.ask_id]
            self._member.end_ask(ask)
        return ask

    def apply_datagram(self, datagram: QuotaSync | QuotaAnswer, now: float) -> None:
        """Apply a datagram of another node, and answer it."""
        self._refresh(now)
        if not self._limits:
            return
        match datagram:
            case QuotaSync():
                peer = self._peers.table.peers.get(datagram.name)
                if peer is None:
                    return
                answer = self._leader.handle(datagram, now)
                self._peers.send_datagram(peer.heartbeat, answer)
            case QuotaAnswer():
                ask = self._member.apply_answer(datagram, now)
                if ask is not None and ask.ask_id in self._waiting:
                    self._waiting[ask.ask_id].set()

    def tick(self, now: float) -> float:
        """Send what is due; return the time until the next call, in seconds."""
        self._refresh(now)
        if not self._limits:
            return TICK_MAX_S
        self._update_nodes(now)
        ranked = [heartbeat.name for heartbeat in self._peers.table.ranked(now)]
        self._member.choose_leader(ranked, now)
        for target in self._member.targets():
            self._send(target, self._member.sync(target, now), now)
        if len(self._leader.votes) != self._votes:
            self._votes = len(self._leader.votes)
            self._metrics.set_quota_votes(self._votes)
        return self._member.interval_s * self._rng.uniform(0.9, 1.0)

    def _run(self) -> None:
        while True:
            gevent.sleep(self.tick(clock.now()))

    def _send(self, target: str, sync: QuotaSync, now: float) -> None:
        if target == self._me:
            self._member.apply_answer(self._leader.handle(sync, now), now)
            return
        peer = self._peers.table.peers.get(target)
        if peer is not None:
            self._peers.send_datagram(peer.heartbeat, sync)

    def _update_nodes(self, now: float) -> None:
        """Count the nodes between which the quotas are divided."""
        table = self._peers.table
        alive = {heartbeat.peer_address for heartbeat in table.live_heartbeats(now)}
        expected = self._peers.known_addresses
        self._sharing.update(alive, now, expected=expected)
        nodes = len(self._sharing) + 1
        is_complete = self._peers.knows_all
        is_standby = table.large() and not table.serves(self._me, now)
        self._member.set_nodes(nodes, is_complete, is_standby, now)
        self._leader.set_nodes(nodes, is_complete, now)
        if self._member.has_predecessor_votes:
            self._member.has_predecessor_votes = not self._started_together(nodes, now)

    def _started_together(self, nodes: int, now: float) -> bool:
        """Return whether all nodes have started at about the time of this one."""
        peers = self._peers.table.peers.values()
        up_s = [peer.heartbeat.up_s + now - peer.received_at for peer in peers]
        if len(up_s) + 1 < STARTED_FRACTION * nodes:
            return False
        return max(up_s, default=0.0) <= now - self._started_at + STARTED_TOGETHER_S

    def _refresh(self, now: float) -> None:
        """Apply a changed configuration."""
        catalog = self._fleet_state.catalog
        if catalog is self._catalog or catalog is None:
            return
        self._catalog = catalog
        accounts = catalog.cfg.accounts
        before = self._limits
        self._limits = limits_of(accounts, self._rule)
        if not self._limits and not before:
            return
        names = frozenset(account.name for account in accounts)
        self._member.configure(self._limits, now)
        self._leader.configure(self._limits, names, self._rule.window_s, now)
        if self._limits != before:
            _LOGGER.info(
                "Quotas are in force for %d accounts",
                len(self._limits),
                extra={"config": catalog.cfg.version, "accounts": len(self._limits)},
            )
