"""Admit a request to a service, or refuse it before it is sent to a server."""

import random

from msgspec import Struct

from arbutusyard.fleet.catalog import pick_service
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.const import (
    CONFIG_FRESH_S,
    DRAIN_ACCEPT_S,
    RETRY_AFTER_ELSEWHERE_S,
    RETRY_AFTER_S,
)
from arbutusyard.gateway.models import Account, CallerRequest, Refusal, Route


class Admitted(Struct, frozen=True):
    """Hold the route, account, service and time limit of an admitted request."""

    route: Route
    account: Account | None
    service: str
    time_limit_s: float


class Admission:
    """Admit requests by the configuration, its age and whether this node drains."""

    __slots__ = (
        "_accept_all_until",
        "_fleet_state",
        "_revoke_s",
        "_rng",
        "_stop_at",
        "leaving",
    )

    def __init__(self, fleet_state: FleetState, revoke_s: float) -> None:
        self._fleet_state = fleet_state
        self._revoke_s = revoke_s
        self._rng = random.Random()
        self.leaving = False
        self._accept_all_until = float("inf")
        self._stop_at = float("inf")

    def start_draining(self, now: float, stop_at: float) -> None:
        """Admit only what ends by `stop_at`, after a delay for clients to move away."""
        self.leaving = True
        self._accept_all_until = now + DRAIN_ACCEPT_S
        self._stop_at = stop_at

    def reload(self, revoke_s: float) -> None:
        """Set how long a revoked key may stay in use, in seconds."""
        self._revoke_s = revoke_s

    def admit(self, req: CallerRequest, now: float) -> Admitted | Refusal:
        """Admit a request by its route and key; return a refusal otherwise."""
        catalog = self._fleet_state.catalog
        if catalog is None or not self._fleet_state.servers.known:
            return Refusal(503, "nothing_known", RETRY_AFTER_ELSEWHERE_S)
        if req.config_version > catalog.cfg.version:
            return Refusal(503, "config_outdated", RETRY_AFTER_ELSEWHERE_S)
        age_s = self._fleet_state.config_age_s(now)
        config_is_fresh = age_s <= CONFIG_FRESH_S
        route = catalog.route(req.host, req.path)
        if route is None:
            if config_is_fresh:
                return Refusal(404, "no_route")
            return Refusal(503, "no_route_yet", RETRY_AFTER_ELSEWHERE_S)
        account = None
        if catalog.keyed and not route.public:
            if age_s >= self._revoke_s:
                return Refusal(503, "keys_too_old", RETRY_AFTER_ELSEWHERE_S)
            account = catalog.account(req.key)
            if account is None:
                if config_is_fresh:
                    return Refusal(401, "unknown_key")
                return Refusal(503, "unknown_key_yet", RETRY_AFTER_ELSEWHERE_S)
        time_limit_s = _time_limit_s(route, req)
        if now > self._accept_all_until and now + time_limit_s > self._stop_at:
            return Refusal(503, "leaving", RETRY_AFTER_ELSEWHERE_S)
        service = pick_service(route, self._rng)
        if service is None:
            return Refusal(503, "no_service", RETRY_AFTER_S)
        return Admitted(route, account, service, time_limit_s)


def _time_limit_s(route: Route, req: CallerRequest) -> float:
    """Return the time limit of a request, in seconds."""
    if req.budget_s is None:
        return route.timeout_s
    return min(route.timeout_s, req.budget_s)
