"""Define the limits that follow from a quota, and grants."""

from collections.abc import Iterable

from msgspec import Struct, field

from arbutusyard.gateway.models import Account, AccountQuota, CallerRequest
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.quotas.const import (
    ALLOWANCE_FRACTION,
    COST_MIN,
    CREDIT_FRACTION,
    CREDIT_WINDOW_FRACTION,
    FRESH_MAX_S,
    FRESH_MIN_S,
    LATENESS_FRACTION,
    RATE_MIN_S,
    RENEW_AFTER_S,
)


class QuotaRule(Struct, frozen=True):
    """Hold how quotas are checked: the window, and what it may exceed them by."""

    window_s: float = 8.0
    overshoot: float = 0.0
    # In the account's unit.
    slack: float = 0.0


def quota_rule(cfg: NodeSettings) -> QuotaRule:
    """Return the rule that a node's settings state."""
    return QuotaRule(cfg.quota_window_s, cfg.quota_overshoot, cfg.quota_slack)


class QuotaLimits(Struct, frozen=True):
    """Hold the limits of all nodes together for one account, in its unit.

    In each window at most `rate_s` * window + `burst` + `allowance` is granted by
    leaders, and `credit` is held by nodes at its start. An answer is used for `fresh_s`
    at most, since what was granted before a window may be used in it.
    """

    rate_s: float
    burst: float
    allowance: float
    credit: float
    fresh_s: float
    window_s: float

    @classmethod
    def of(cls, quota: AccountQuota, rule: QuotaRule) -> "QuotaLimits":
        """Return the limits of a valid quota."""
        rate_s = max(RATE_MIN_S, quota.rate_s)
        window = rate_s * rule.window_s + quota.burst
        leftover = rule.overshoot * window + rule.slack
        allowance = ALLOWANCE_FRACTION * leftover
        credit = min(CREDIT_FRACTION * leftover, CREDIT_WINDOW_FRACTION * window)
        lateness = LATENESS_FRACTION * leftover
        fresh_s = min(FRESH_MAX_S, max(FRESH_MIN_S, lateness / rate_s))
        # What the rest of the tolerance is not used for enlarges the burst: requests
        # that arrive together are then rejected less often.
        rest = leftover - allowance - credit - rate_s * fresh_s
        # Runs may begin this long after their charge, as far as the tolerance allows.
        # Without any, a window may contain up to this time of the rate more.
        rest -= min(max(0.0, rest), rate_s * RENEW_AFTER_S)
        return cls(
            rate_s=rate_s,
            burst=max(0.0, quota.burst + rest),
            allowance=allowance,
            credit=credit,
            fresh_s=fresh_s,
            window_s=rule.window_s,
        )


def limits_of(accounts: Iterable[Account], rule: QuotaRule) -> dict[str, QuotaLimits]:
    """Return the limits of the accounts that have a valid quota, by name."""
    return {
        account.name: QuotaLimits.of(account.quota, rule)
        for account in accounts
        if account.quota is not None and account.quota.valid
    }


def cost_of(quota: AccountQuota, req: CallerRequest) -> float:
    """Return the cost of a request in the unit of its account's quota."""
    if not quota.by_tokens:
        return 1.0
    tokens = req.prompt_tokens + req.output_tokens
    return max(COST_MIN, tokens or quota.promptless_cost)


class Charge(Struct, frozen=True):
    """Hold where the cost of one run was charged, and when by that node's clock.

    `leader` is empty if the node's own credit was charged.
    """

    leader: str
    incarnation: int
    at: float


class Grant(Struct):
    """Hold what a request was charged: its cost once for each of its runs."""

    account: str
    cost: float
    # Time for which a run waits for its charge, in seconds.
    wait_s: float = 0.0
    # When the newest run was charged, by this node's clock.
    charged_at: float = 0.0
    charges: list[Charge] = field(default_factory=list)


class Decision(Struct, frozen=True):
    """Hold a leader's decision on one request.

    `retry_after_s` is None if the request is granted, and negative if the leader cannot
    tell: it has no votes.
    """

    at: float
    retry_after_s: float | None

    @property
    def is_granted(self) -> bool:
        """Return whether the request is granted."""
        return self.retry_after_s is None


class Ask(Struct):
    """Hold a question to a leader; `decision` is None until it is answered."""

    ask_id: int
    leader: str
    account: str
    cost: float
    sent_at: float
    decision: Decision | None = None
    incarnation: int = 0
