"""Admit requests within the limits of their client account."""

import enum

from expression import Error, Ok, Result
from msgspec import Struct

from arbutusyard.config.models import Account
from arbutusyard.limits.bucket import DemandMeter, TokenBucket
from arbutusyard.limits.const import (
    CONCURRENCY_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_CREDIT_MAX,
    RETRY_CREDIT_PER_REQUEST,
)

# Minimum demand of an active account, in tokens a second; accounts below it that have
# no requests in flight are dropped.
MIN_DEMAND_TOKENS_PER_S = 1.0


class LimitKind(enum.Enum):
    """Name the limits that a request can exceed."""

    TOKENS = "account_tokens"
    CONCURRENCY = "account_concurrency"


class LimitExceeded(Struct, frozen=True):
    """Describe a refusal: the exceeded limit and the time until a retry may succeed."""

    kind: LimitKind
    retry_after_s: float


class AccountUsage:
    """Track the usage of one client account on this entry."""

    __slots__ = ("bucket", "demand", "fraction", "in_flight")

    def __init__(self, now: float) -> None:
        self.bucket = TokenBucket(now)
        self.demand = DemandMeter(now)
        self.fraction = 1.0
        self.in_flight = 0


class Limiter:
    """Enforce this entry's share of each client account's limits."""

    __slots__ = ("_accounts",)

    def __init__(self) -> None:
        self._accounts: dict[str, AccountUsage] = {}

    def admit(
        self, name: str, account: Account, tokens: int, now: float
    ) -> Result[None, LimitExceeded]:
        """Admit a request, or return the limit that it exceeds."""
        usage = self._usage(name, now)
        usage.demand.add(tokens, now)
        concurrency = max(1, round(account.concurrency * usage.fraction))
        if usage.in_flight >= concurrency:
            return Error(
                LimitExceeded(LimitKind.CONCURRENCY, CONCURRENCY_RETRY_AFTER_S)
            )
        rate = max(1.0, account.tokens_per_s * usage.fraction)
        wait_s = usage.bucket.wait_s(rate, now)
        if wait_s > 0:
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
            return Error(LimitExceeded(LimitKind.TOKENS, retry_after_s))
        usage.bucket.spend(tokens)
        usage.in_flight += 1
        return Ok(None)

    def release(self, name: str, unused_tokens: int, now: float) -> None:
        """End an admitted request and give back the tokens that it did not use."""
        usage = self._usage(name, now)
        usage.in_flight -= 1
        usage.bucket.give_back(unused_tokens)

    def set_fraction(self, name: str, fraction: float, now: float) -> None:
        """Set the fraction (0 to 1) of an account's limits that this entry may use."""
        self._usage(name, now).fraction = fraction

    def demands(self, now: float) -> dict[str, float]:
        """Return active accounts' demands in tokens a second; drop idle accounts."""
        found = {}
        for name, usage in list(self._accounts.items()):
            rate = usage.demand.rate(now)
            if rate >= MIN_DEMAND_TOKENS_PER_S:
                found[name] = rate
            elif not usage.in_flight:
                del self._accounts[name]
        return found

    def _usage(self, name: str, now: float) -> AccountUsage:
        usage = self._accounts.get(name)
        if usage is None:
            usage = self._accounts[name] = AccountUsage(now)
        return usage


class RetryBudget:
    """Hold the credit that limits retries to a small fraction of the requests."""

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        self._credit = RETRY_CREDIT_MAX

    def count_request(self) -> None:
        """Earn credit with the first attempt of a request."""
        self._credit = min(RETRY_CREDIT_MAX, self._credit + RETRY_CREDIT_PER_REQUEST)

    def spend(self) -> bool:
        """Spend credit on a retry; return False when the credit is used up."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
