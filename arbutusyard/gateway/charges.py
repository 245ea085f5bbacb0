"""Charge requests and their runs to the quotas of their accounts."""

from arbutusyard.gateway.admission import Admitted
from arbutusyard.gateway.exchange import Exchange
from arbutusyard.gateway.models import CallerRequest, Refusal
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.quotas.const import RENEW_AFTER_S
from arbutusyard.quotas.coordinator import QuotaCoordinator
from arbutusyard.quotas.models import Grant, quota_rule


class QuotaCharges:
    """Charge requests of accounts with quotas; all others are not touched."""

    __slots__ = ("_quotas",)

    def __init__(self, quotas: QuotaCoordinator | None) -> None:
        self._quotas = quotas

    def reload(self, cfg: NodeSettings) -> None:
        """Apply changed settings."""
        if self._quotas is not None:
            self._quotas.reload(quota_rule(cfg))

    def charge(
        self, req: CallerRequest, admitted: Admitted, now: float
    ) -> Grant | Refusal | None:
        """Charge a request to its account's quota; return None if it has none."""
        account = admitted.account
        if self._quotas is None or account is None or account.quota is None:
            return None
        return self._quotas.acquire(account, req, admitted.time_limit_s, now)

    def charge_further_run(self, exchange: Exchange, now: float) -> bool:
        """Charge a run that follows one which may have taken place."""
        grant = exchange.grant
        if grant is None or len(grant.charges) > exchange.own_executions():
            return True
        return self._quotas.charge_again(grant, now)

    def charge_extra_run(self, exchange: Exchange, now: float) -> bool:
        """Charge an attempt that runs beside another one."""
        return exchange.grant is None or self._quotas.charge_again(exchange.grant, now)

    def renew(self, exchange: Exchange, now: float) -> Refusal | None:
        """Charge a run anew; return a refusal if there is no quota left for it."""
        return self._quotas.renew(exchange.grant, exchange.own_executions(), now)

    def give_back(self, exchange: Exchange, outcome: str) -> None:
        """Take back the quota of runs for which no server was found, or that failed.

        A server may have run the request of a client that disconnected.
        """
        runs = exchange.own_executions() + (outcome == "answered")
        if outcome == "caller_gone" and exchange.may_run:
            return
        if exchange.grant is not None:
            self._quotas.give_back_unused(exchange.grant, runs)


def is_outdated(exchange: Exchange, now: float) -> bool:
    """Return whether a request has waited since its run was charged."""
    grant = exchange.grant
    if grant is None or not grant.charges:
        return False
    return now - grant.charged_at > RENEW_AFTER_S
