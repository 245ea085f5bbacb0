"""Decide as a leader with the shares that other nodes lend.

A leader may use what the votes that it holds are worth, and no leader needs to know of
another: a node lends its share to one leader at a time.
"""

import logging
from collections import deque
from typing import Final

from msgspec import Struct, field

from arbutusyard.fleet.messages import QuotaAnswer, QuotaSync
from arbutusyard.quotas.bucket import Bucket
from arbutusyard.quotas.const import (
    ANSWER_TIMES_MAX,
    DECISION_RETENTION_S,
    RECORD_RETENTION_S,
    REJECTION_LOG_S,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    SPREAD_STEP,
    VOTE_MAX_S,
)
from arbutusyard.quotas.models import Decision, QuotaLimits

_LOGGER = logging.getLogger(__name__)

# Retry-After of a leader that cannot tell, since it has no votes.
NO_VOTES: Final = -1.0


class Vote(Struct):
    """Hold since when a node has lent its share without a gap, and until when."""

    since: float
    until: float


class Voter(Struct):
    """Hold what a leader remembers of one incarnation of a node."""

    heard_at: float
    seq: int = 0
    # Numbers and times of the newest answers to it.
    answers: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=ANSWER_TIMES_MAX)
    )
    decisions: dict[int, Decision] = field(default_factory=dict)


class LeaderAccount(Struct):
    """Hold an account's limits, bucket, and when its rejected requests return."""

    limits: QuotaLimits
    bucket: Bucket
    returns_at: float = 0.0
    rejected_at: float = float("-inf")
    spread: float = 0.0


class QuotaLeader:
    """Grant requests and credit from the shares lent to this node."""

    __slots__ = (
        "_accounts",
        "_answers",
        "_known_accounts",
        "_next_change_at",
        "_nodes",
        "_seasoned",
        "_voters",
        "_window_s",
        "incarnation",
        "is_complete",
        "name",
        "votes",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        # Whether all nodes are known between which the quotas are divided.
        self.is_complete = False
        self.votes: dict[str, Vote] = {}
        self._accounts: dict[str, LeaderAccount] = {}
        self._known_accounts: frozenset[str] = frozenset()
        self._answers = 0
        self._nodes = 1
        # Time at which the next vote ends, or is old enough for overdrafts.
        self._next_change_at = float("inf")
        self._seasoned = 0
        self._voters: dict[tuple[str, int], Voter] = {}
        self._window_s = 0.0

    def configure(
        self,
        limits: dict[str, QuotaLimits],
        accounts: frozenset[str],
        window_s: float,
        now: float,
    ) -> None:
        """Set the limits of accounts; `accounts` names those without any too."""
        self._expire(now)
        self._known_accounts = accounts
        self._window_s = window_s
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
        for name, item in limits.items():
            known = self._accounts.get(name)
            if known is None:
                self._accounts[name] = LeaderAccount(item, Bucket(now))
            else:
                known.limits = item
        self._reshape(now)

    def set_nodes(self, nodes: int, is_complete: bool, now: float) -> None:
        """Set between how many nodes the quotas are divided."""
        self._expire(now)
        self._nodes = nodes
        self.is_complete = is_complete
        if not is_complete:
            self.votes.clear()
        self._reshape(now)
        for key, voter in list(self._voters.items()):
            if now - voter.heard_at > RECORD_RETENTION_S:
                del self._voters[key]

    @property
    def fraction(self) -> float:
        """Return the part of all quotas that is lent to this node."""
        return len(self.votes) / max(1, self._nodes, len(self.votes))

    def handle(self, sync: QuotaSync, now: float) -> QuotaAnswer:
        """Apply a node's datagram; return the answer to it."""
        self._expire(now)
        voter = self._voters.setdefault((sync.name, sync.incarnation), Voter(now))
        voter.heard_at = now
        self._apply_vote(sync, voter, now)
        is_new = sync.seq > voter.seq
        credits: tuple[tuple[str, float], ...] = ()
        if is_new:
            voter.seq = sync.seq
            # A datagram that comes twice must not return a grant twice.
            if sync.leader_incarnation == self.incarnation:
                for account, amount, granted_at in sync.returns:
                    self.take_back(account, amount, granted_at, now)
            credits = tuple(
                (account, granted)
                for account, amount in sync.needs
                if (granted := self._grant_credit(account, amount, now)) > 0
            )
        decision = Decision(now, None)
        if sync.ask is not None:
            decision = self._decide_once(sync, voter, now)
        number = 0
        if sync.ask is None:
            # Votes echo answers to periodic datagrams, of which few are remembered.
            number = self._answers = self._answers + 1
            voter.answers.append((number, now))
        return QuotaAnswer(
            name=self.name,
            incarnation=self.incarnation,
            number=number,
            node_incarnation=sync.incarnation,
            seq=sync.seq,
            at=now,
            leads=self.is_complete,
            ask_id=sync.ask.ask_id if sync.ask is not None else 0,
            asked_at=decision.at,
            retry_after_s=decision.retry_after_s,
            credits=credits,
        )

    def decide(self, account: str, cost: float, now: float) -> Decision:
        """Grant or reject one request, in order of arrival."""
        self._expire(now)
        item = self._accounts.get(account)
        if item is None:
            # This node's configuration may be older or newer than the asking node's.
            is_free = account in self._known_accounts
            return Decision(now, None if is_free else NO_VOTES)
        if not self.votes:
            return Decision(now, NO_VOTES)
        bucket = item.bucket
        bucket.settle(now)
        allowance = item.limits.allowance * self._seasoned_fraction()
        if bucket.level > 0 and bucket.level - cost >= -allowance:
            bucket.charge(cost)
            return Decision(now, None)
        if bucket.full_since is not None and bucket.level >= bucket.capacity:
            # A window with this request lacks what the bucket, being full, lost.
            unused_s = min(self._window_s, now - bucket.full_since)
            if cost <= bucket.capacity + allowance + bucket.rate_s * unused_s:
                bucket.charge(cost)
                return Decision(now, None)
        self._log_rejection(account, item, cost, now)
        return Decision(now, self._retry_after_s(item, cost, allowance, now))

    def take_back(
        self, account: str, amount: float, granted_at: float, now: float
    ) -> None:
        """Take back a grant that this incarnation made and that was not used."""
        self._expire(now)
        item = self._accounts.get(account)
        if item is not None and amount > 0:
            item.bucket.refund(amount, granted_at, now)

    def level(self, account: str, now: float) -> float:
        """Return what an account's bucket contains, in its unit."""
        self._expire(now)
        bucket = self._accounts[account].bucket
        bucket.settle(now)
        return bucket.level

    def _apply_vote(self, sync: QuotaSync, voter: Voter, now: float) -> None:
        """Count a vote from the time of the answer that it echoes."""
        if sync.vote_s <= 0 or sync.leader_incarnation != self.incarnation:
            return
        if not self.is_complete:
            return
        echoed = [at for number, at in voter.answers if number == sync.echo]
        until = echoed[0] + min(sync.vote_s, VOTE_MAX_S) if echoed else now
        if until <= now:
            return
        vote = self.votes.get(sync.name)
        if vote is not None:
            vote.until = max(vote.until, until)
            return
        self.votes[sync.name] = Vote(now, until)
        if len(self.votes) == 1:
            _LOGGER.info("This node leads quotas", extra={"nodes": self._nodes})
        self._reshape(now)

    def _decide_once(self, sync: QuotaSync, voter: Voter, now: float) -> Decision:
        """Answer a repeated question as before."""
        known = voter.decisions.get(sync.ask.ask_id)
        if known is not None:
            return known
        for ask_id, decision in list(voter.decisions.items()):
            if now - decision.at <= DECISION_RETENTION_S:
                break
            del voter.decisions[ask_id]
        decision = self.decide(sync.ask.account, max(0.0, sync.ask.cost), now)
        voter.decisions[sync.ask.ask_id] = decision
        return decision

    def _grant_credit(self, account: str, amount: float, now: float) -> float:
        item = self._accounts.get(account)
        if item is None or not self.votes:
            return 0.0
        item.bucket.settle(now)
        part = item.limits.credit / max(1, self._nodes)
        granted = min(amount, part, item.bucket.level)
        if granted <= 0:
            return 0.0
        item.bucket.charge(granted)
        return granted

    def _log_rejection(
        self, account: str, item: LeaderAccount, cost: float, now: float
    ) -> None:
        if now - item.rejected_at > REJECTION_LOG_S:
            _LOGGER.info(
                "Account %s is above its quota",
                account,
                extra={
                    "account": account,
                    "cost": round(cost),
                    "level": round(item.bucket.level),
                    "rate_s": round(item.bucket.rate_s, 1),
                    "votes": len(self.votes),
                    "nodes": self._nodes,
                },
            )
        item.rejected_at = now

    def _retry_after_s(
        self, item: LeaderAccount, cost: float, allowance: float, now: float
    ) -> float:
        """Return when a rejected request should return, one after the other."""
        bucket = item.bucket
        level_needed = max(0.0, min(cost - allowance, bucket.capacity))
        needed = max(0.0, level_needed - bucket.level)
        ready_at = now + needed / bucket.rate_s
        at = max(ready_at, item.returns_at)
        item.returns_at = at + cost / bucket.rate_s
        if at - now <= RETRY_AFTER_MAX_S:
            return max(RETRY_AFTER_MIN_S, at - now)
        # More than may wait: these return evenly spread.
        item.returns_at = now + RETRY_AFTER_MAX_S
        item.spread = (item.spread + SPREAD_STEP) % 1.0
        return RETRY_AFTER_MAX_S * (1.0 + item.spread) / 2

    def _seasoned_fraction(self) -> float:
        """Return the part of the quotas lent for longer than a window.

        A share that was lent to another leader before may have been overdrawn there in
        the same window.
        """
        return self._seasoned / max(1, self._nodes, len(self.votes))

    def _expire(self, now: float) -> None:
        """Remove votes that have ended, each at the time of its end."""
        while now >= self._next_change_at:
            at = self._next_change_at
            for name, vote in list(self.votes.items()):
                if vote.until <= at:
                    del self.votes[name]
                    if not self.votes:
                        _LOGGER.info("This node does not lead quotas any more")
            self._reshape(at)

    def _reshape(self, now: float) -> None:
        """Fit the buckets to the votes; a level is only ever reduced."""
        fraction = self.fraction
        for item in self._accounts.values():
            limits = item.limits
            item.bucket.reshape(limits.rate_s * fraction, limits.burst * fraction, now)
        self._seasoned = 0
        self._next_change_at = float("inf")
        for vote in self.votes.values():
            seasoned_at = vote.since + self._window_s
            if seasoned_at <= now:
                self._seasoned += 1
            else:
                self._next_change_at = min(self._next_change_at, seasoned_at)
            self._next_change_at = min(self._next_change_at, vote.until)
