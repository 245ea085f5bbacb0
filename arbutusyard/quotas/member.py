"""Lend this node's share to one leader at a time, and hold credit of accounts."""

import logging

from msgspec import Struct

from arbutusyard.fleet.messages import QuotaAnswer, QuotaAsk, QuotaSync
from arbutusyard.quotas.bucket import Bucket
from arbutusyard.quotas.const import (
    ACCOUNTS_PER_SYNC_MAX,
    AVOIDANCE_S,
    CHANGE_MARGIN_S,
    CREDIT_REFILL_FRACTION,
    ENDED_ASKS_MAX,
    FRESH_MAX_S,
    LEADER_SILENCE_INTERVALS,
    LEADER_SILENCE_S,
    PREFERENCE_S,
    SYNC_INTERVAL_PER_NODE_S,
    SYNC_INTERVAL_S,
    SYNC_INTERVAL_STANDBY_S,
    VOTE_INTERVALS,
)
from arbutusyard.quotas.models import Ask, Charge, Decision, Grant, QuotaLimits

_LOGGER = logging.getLogger(__name__)


class Contact(Struct):
    """Hold what a node knows of a leader; `number` is that of its newest answer.

    `heard_at` is when a datagram was sent that it answered as a leader, `answered_at`
    when one that it answered at all.
    """

    since: float
    heard_at: float = float("-inf")
    answered_at: float = float("-inf")
    incarnation: int = 0
    number: int = 0


class QuotaMember:
    """Hold a node's vote, its credit, and its questions to the leader."""

    __slots__ = (
        "_asks",
        "_avoided_until",
        "_contacts",
        "_credits",
        "_ended_asks",
        "_incarnation",
        "_last_id",
        "_lent_to",
        "_limits",
        "_me",
        "_needed_at",
        "_nodes",
        "_pending",
        "_preferred",
        "_preferred_since",
        "_returns",
        "_seq",
        "_started_at",
        "has_predecessor_votes",
        "interval_s",
        "is_complete",
        "leader",
        "lent_until",
    )

    def __init__(self, me: str, incarnation: int, now: float) -> None:
        self._me = me
        self._incarnation = incarnation
        self.is_complete = False
        # Whether a leader may still use a vote of an earlier process of this node.
        self.has_predecessor_votes = True
        self.interval_s = SYNC_INTERVAL_S
        self.leader = ""
        self._started_at = now
        self._lent_to = ""
        self.lent_until = float("-inf")
        self._contacts: dict[str, Contact] = {}
        self._avoided_until: dict[str, float] = {}
        self._preferred = ""
        self._preferred_since = now
        self._limits: dict[str, QuotaLimits] = {}
        self._nodes = 1
        self._credits: dict[str, Bucket] = {}
        self._seq = 0
        self._last_id = 0
        # Unanswered datagrams and when they were sent, and unanswered questions.
        self._pending: dict[int, float] = {}
        self._asks: dict[int, Ask] = {}
        # Questions without an answer for which no request waits any more.
        self._ended_asks: dict[int, Ask] = {}
        self._needed_at: dict[str, float] = {}
        # Amounts that leaders granted and that were not used, by leader, incarnation
        # and account, with the time of the oldest grant.
        self._returns: dict[tuple[str, int, str], tuple[float, float]] = {}

    def configure(self, limits: dict[str, QuotaLimits], now: float) -> None:
        """Set the limits of the accounts that have any."""
        self._limits = limits
        self._fit_credits(now)

    def set_nodes(
        self, nodes: int, is_complete: bool, is_standby: bool, now: float
    ) -> None:
        """Set between how many nodes, all known or not, the quotas are divided."""
        self._nodes = nodes
        self.is_complete = is_complete
        least_s = SYNC_INTERVAL_STANDBY_S if is_standby else SYNC_INTERVAL_S
        self.interval_s = max(least_s, nodes * SYNC_INTERVAL_PER_NODE_S)
        self._fit_credits(now)

    def _fit_credits(self, now: float) -> None:
        for name in self._credits.keys() - self._limits.keys():
            del self._credits[name]
        for name, limits in self._limits.items():
            # The number of nodes may be too small before they are all known.
            part = limits.credit / max(1, self._nodes) if self.is_complete else 0.0
            credit = self._credits.setdefault(name, Bucket(now))
            credit.reshape(0.0, part, now)

    def choose_leader(self, ranked: list[str], now: float) -> None:
        """Choose a leader by the ranking and by which nodes answer."""
        preferred = next(
            (n for n in ranked if self._avoided_until.get(n, now) <= now), self._me
        )
        if preferred != self._preferred:
            self._preferred, self._preferred_since = preferred, now
        if not self.leader:
            self._change_leader(preferred, now, "first choice")
            return
        silence_s = self._silence_s()
        contact = self._contacts[self.leader]
        if not self.is_complete:
            # The others may have started at the same time, and lead as soon as this
            # node votes.
            if ranked and ranked[0] != self.leader:
                self._change_leader(ranked[0], now, "first choice")
            else:
                contact.since = now
            return
        # A node that answers but does not lead yet may have started just now.
        starts = now - contact.answered_at <= silence_s
        timeout_s = max(silence_s, PREFERENCE_S) if starts else silence_s
        if now - max(contact.heard_at, contact.since) > timeout_s:
            self._avoided_until[self.leader] = now + AVOIDANCE_S
            others = [n for n in ranked if self._avoided_until.get(n, now) <= now]
            self._change_leader(others[0] if others else self._me, now, "no answer")
            return
        if preferred == self.leader or now - self._preferred_since < PREFERENCE_S:
            return
        # It is asked first whether it leads, and followed once it has answered.
        probe = self._contacts.setdefault(preferred, Contact(now))
        if now - probe.heard_at <= silence_s:
            self._change_leader(preferred, now, "first in the ranking")
        elif now - max(probe.since, probe.heard_at) > 2 * silence_s:
            self._avoided_until[preferred] = now + AVOIDANCE_S
            del self._contacts[preferred]

    def _silence_s(self) -> float:
        return max(LEADER_SILENCE_S, LEADER_SILENCE_INTERVALS * self.interval_s)

    def _change_leader(self, leader: str, now: float, reason: str) -> None:
        if leader != self.leader:
            _LOGGER.info(
                "Quotas are led by %s for this node: %s",
                leader,
                reason,
                extra={"leader": leader, "leader_before": self.leader},
            )
        self.leader = leader
        contact = self._contacts.setdefault(leader, Contact(now))
        contact.since = now
        kept = {leader, self._lent_to}
        self._contacts = {n: c for n, c in self._contacts.items() if n in kept}
        self._avoided_until = {
            n: until for n, until in self._avoided_until.items() if until > now
        }

    def targets(self) -> list[str]:
        """Return the nodes to which a datagram is due at each interval."""
        if self._preferred in self._contacts and self._preferred != self.leader:
            return [self.leader, self._preferred]
        return [self.leader]

    def ask_target(self, now: float) -> str:
        """Return the node to ask: the former leader as long as it has the vote."""
        former = self._contacts.get(self._lent_to)
        if (
            former is not None
            and now < self.lent_until - self.interval_s
            and now - former.heard_at <= self._silence_s()
        ):
            return self._lent_to
        return self.leader

    def has_leader(self, now: float) -> bool:
        """Return whether a leader has answered recently."""
        contact = self._contacts.get(self.ask_target(now))
        return contact is not None and now - contact.heard_at <= self._silence_s()

    def sync(self, target: str, now: float, ask: Ask | None = None) -> QuotaSync:
        """Return the next datagram to a node; it may lend this node's share to it."""
        self._seq += 1
        contact = self._contacts.get(target) or Contact(now)
        vote_s = self._lend(target, contact, now) if ask is None else 0.0
        needs: list[tuple[str, float]] = []
        if target == self.ask_target(now):
            needs = self._needs(now, ask)
        while self._pending:
            oldest = next(iter(self._pending))
            if now - self._pending[oldest] <= self._silence_s():
                break
            del self._pending[oldest]
        self._pending[self._seq] = now
        return QuotaSync(
            name=self._me,
            incarnation=self._incarnation,
            seq=self._seq,
            vote_s=vote_s,
            leader_incarnation=contact.incarnation,
            echo=contact.number,
            ask=QuotaAsk(ask.ask_id, ask.account, ask.cost) if ask else None,
            needs=tuple(needs),
            returns=self._take_returns(target, contact.incarnation),
        )

    def _lend(self, target: str, contact: Contact, now: float) -> float:
        """Lend this node's share to its leader if it is free; return for how long."""
        if target != self.leader or not self.is_complete or not contact.number:
            return 0.0
        # An earlier incarnation of this node may have lent its share just before.
        longest_s = max(SYNC_INTERVAL_STANDBY_S, self._nodes * SYNC_INTERVAL_PER_NODE_S)
        wait_s = VOTE_INTERVALS * longest_s + CHANGE_MARGIN_S
        if self.has_predecessor_votes and now - self._started_at <= wait_s:
            return 0.0
        if target != self._lent_to and now <= self.lent_until + CHANGE_MARGIN_S:
            return 0.0
        vote_s = VOTE_INTERVALS * self.interval_s
        self._lent_to = target
        self.lent_until = max(self.lent_until, now + vote_s)
        return vote_s

    def _needs(self, now: float, ask: Ask | None) -> list[tuple[str, float]]:
        needs = []
        for name, credit in self._credits.items():
            if ask is not None and name != ask.account:
                continue
            missing = credit.capacity - credit.level
            asked_at = self._needed_at.get(name, float("-inf"))
            if (
                missing > CREDIT_REFILL_FRACTION * credit.capacity
                and now - asked_at > self.interval_s
                and len(needs) < ACCOUNTS_PER_SYNC_MAX
            ):
                self._needed_at[name] = now
                needs.append((name, missing))
        return needs

    def _take_returns(
        self, target: str, incarnation: int
    ) -> tuple[tuple[str, float, float], ...]:
        """Return and forget what to give back; only who granted it can take it."""
        taken = [
            (key[2], *self._returns[key])
            for key in self._returns
            if key[:2] == (target, incarnation)
        ][:ACCOUNTS_PER_SYNC_MAX]
        for account, _, _ in taken:
            del self._returns[target, incarnation, account]
        return tuple(taken)

    def _give_back(
        self, charge: Charge, account: str, amount: float, now: float
    ) -> None:
        if len(self._returns) >= 4 * ACCOUNTS_PER_SYNC_MAX:
            self._returns.clear()
        key = (charge.leader, charge.incarnation, account)
        known, at = self._returns.get(key, (0.0, charge.at))
        self._returns[key] = (known + amount, min(at, charge.at))

    def spend_credit(self, account: str, cost: float, now: float) -> Charge | None:
        """Charge this node's credit; return None if it is too small."""
        credit = self._credits.get(account)
        if credit is None:
            return None
        credit.settle(now)
        if credit.level < cost:
            return None
        credit.charge(cost)
        return Charge("", 0, now)

    def refund(self, grant: Grant, now: float) -> None:
        """Take back the newest charge of a grant, whose request did not run."""
        if not grant.charges:
            return
        charge = grant.charges.pop()
        if charge.leader:
            self._give_back(charge, grant.account, grant.cost, now)
        elif grant.account in self._credits:
            self._credits[grant.account].refund(grant.cost, charge.at, now)

    def ask(self, account: str, cost: float, now: float) -> Ask:
        """Begin a question to the leader."""
        self._last_id += 1
        ask = Ask(self._last_id, self.ask_target(now), account, cost, now)
        self._asks[ask.ask_id] = ask
        return ask

    def end_ask(self, ask: Ask) -> None:
        """Stop waiting for an answer; a grant that still comes is given back."""
        if self._asks.pop(ask.ask_id, None) is not None and ask.decision is None:
            self._ended_asks[ask.ask_id] = ask
            if len(self._ended_asks) > ENDED_ASKS_MAX:
                del self._ended_asks[next(iter(self._ended_asks))]

    def fresh_s(self, account: str) -> float:
        """Return for how long after a question its answer may be used, in seconds."""
        limits = self._limits.get(account)
        return limits.fresh_s if limits is not None else FRESH_MAX_S

    def apply_answer(self, answer: QuotaAnswer, now: float) -> Ask | None:
        """Apply a leader's answer; return the question that it decides."""
        if answer.node_incarnation != self._incarnation:
            return None
        sent_at = self._pending.pop(answer.seq, None)
        contact = self._contacts.get(answer.name)
        if contact is not None and sent_at is not None:
            contact.answered_at = max(contact.answered_at, sent_at)
        if contact is not None and answer.leads and sent_at is not None:
            is_same = contact.incarnation == answer.incarnation
            if answer.number > (contact.number if is_same else 0):
                contact.incarnation = answer.incarnation
                contact.number = answer.number
            contact.heard_at = max(contact.heard_at, sent_at)
        source = Charge(answer.name, answer.incarnation, answer.at)
        for account, amount in answer.credits:
            self._apply_credit(source, account, amount, sent_at, now)
        if not answer.ask_id:
            return None
        return self._apply_decision(answer, now)

    def _apply_credit(
        self,
        source: Charge,
        account: str,
        amount: float,
        sent_at: float | None,
        now: float,
    ) -> None:
        """Add credit that was granted just now, and give back the rest.

        `sent_at` is None if the answer was seen before; what it grants came then.
        """
        if sent_at is None:
            return
        self._needed_at.pop(account, None)
        credit = self._credits.get(account)
        if credit is not None and self._is_fresh(account, sent_at, now):
            amount = credit.add(amount, now)
        if amount > 0:
            self._give_back(source, account, amount, now)

    def _apply_decision(self, answer: QuotaAnswer, now: float) -> Ask | None:
        ask = self._asks.get(answer.ask_id)
        is_granted = answer.retry_after_s is None
        if ask is not None and ask.decision is None and ask.leader == answer.name:
            if not is_granted or self._is_fresh(ask.account, ask.sent_at, now):
                ask.decision = Decision(answer.asked_at, answer.retry_after_s)
                ask.incarnation = answer.incarnation
                return ask
            self.end_ask(ask)
        ended = self._ended_asks.pop(answer.ask_id, None)
        if ended is not None and is_granted and ended.leader == answer.name:
            charge = Charge(answer.name, answer.incarnation, answer.asked_at)
            self._give_back(charge, ended.account, ended.cost, now)
        return None

    def _is_fresh(self, account: str, sent_at: float, now: float) -> bool:
        return now - sent_at <= self.fresh_s(account)
