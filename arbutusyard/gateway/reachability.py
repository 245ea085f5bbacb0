"""Tell whether this node is cut off from all servers of a service."""

import logging
from collections.abc import Callable
from typing import Final

from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState

_LOGGER = logging.getLogger(__name__)

# Number of servers that have to become unreachable one after another, without contact
# with any server of the service in between, where a service has more of them.
FAILED_SERVERS_MIN: Final = 3
# Time without contact after which the failure of one server leads to checks of others,
# in seconds; a node under load hears from some server of a service more often.
QUIET_S: Final = 0.3


class Reachability:
    """Track the services whose servers this node cannot reach."""

    __slots__ = ("_checked_at", "_cut_off", "_fleet_state", "on_change", "on_check")

    def __init__(self, fleet_state: FleetState) -> None:
        self._fleet_state = fleet_state
        # Services that this node is cut off from, and since when.
        self._cut_off: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}
        # Starts a check whether a server is reachable.
        self.on_check: Callable[[Server], None] = lambda server: None
        # Called with the number of services that this node is cut off from.
        self.on_change: Callable[[int], None] = lambda number: None

    def services(self) -> tuple[str, ...]:
        """Return the services that this node is cut off from."""
        return tuple(self._cut_off)

    def is_cut_off(self, service: str, now: float) -> bool:
        """Tell whether this node is cut off from a service; report a change of that."""
        was_cut_off = service in self._cut_off
        known = self._fleet_state.servers.of_service(service)
        # Asked for each request, and a service may have thousands of servers.
        if not was_cut_off and not any(server.suspected for server in known):
            return False
        servers = self._staying(service)
        cut_off = are_unreachable(servers)
        if cut_off is not was_cut_off:
            self._set_cut_off(service, cut_off, servers, now)
        return cut_off

    def tick(self, now: float) -> None:
        """Update the state of all services; check servers that are not suspected yet.

        Nothing is sent to the servers of a service that this node is cut off from, so
        only a check can find out that one of them is reachable.
        """
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services if catalog else {}
        for service in {*known, *self._cut_off}:
            if not self.is_cut_off(service, now):
                continue
            for server in self._staying(service):
                if _may_check(server, now):
                    self.on_check(server)
                    break

    def handle_failure(self, server: Server, now: float) -> None:
        """Check some other servers after one failed or has become unresponsive."""
        service = server.entry.service
        servers = self._staying(service)
        if now - last_contact(servers) < QUIET_S:
            return
        if now - self._checked_at.get(service, float("-inf")) < QUIET_S:
            return
        self._checked_at[service] = now
        others = [s for s in servers if s is not server and _may_check(s, now)]
        for other in others[: FAILED_SERVERS_MIN - 1]:
            self.on_check(other)

    def _set_cut_off(
        self, service: str, cut_off: bool, servers: list[Server], now: float
    ) -> None:
        fields = {
            "service": service,
            "servers": len(servers),
            "suspected": sum(server.suspected for server in servers),
            "quiet_s": round(now - last_contact(servers), 3),
        }
        if cut_off:
            self._cut_off[service] = now
            _LOGGER.warning(
                "This node reaches no server of service %s", service, extra=fields
            )
            self._check_other_services(service, now)
        else:
            since = self._cut_off.pop(service)
            _LOGGER.info(
                "This node reaches servers of service %s again",
                service,
                extra={**fields, "cut_off_s": round(now - since, 3)},
            )
            for server in servers:
                # Due for a check: the others are likely to be reachable too.
                server.suspect_until = min(server.suspect_until, now)
        self.on_change(len(self._cut_off))

    def _check_other_services(self, service: str, now: float) -> None:
        """Check some servers of the other services, before requests wait for them."""
        catalog = self._fleet_state.catalog
        for other in catalog.cfg.services if catalog else ():
            if other == service or other in self._cut_off:
                continue
            unchecked = [s for s in self._staying(other) if _may_check(s, now)]
            for server in unchecked[:FAILED_SERVERS_MIN]:
                self.on_check(server)

    def _staying(self, service: str) -> list[Server]:
        servers = self._fleet_state.servers.of_service(service)
        return [server for server in servers if server.is_staying]


def _may_check(server: Server, now: float) -> bool:
    """Tell whether a server is neither suspected nor being checked."""
    return not server.suspected and now >= server.suspect_until


def are_unreachable(servers: list[Server]) -> bool:
    """Tell whether all of a service's servers that stay are out of this node's reach.

    Either none accepts a connection, or several have become unreachable since anything
    was last received from any of them.
    """
    failed = [s for s in servers if s.suspected and s.first_hand]
    if not failed:
        return False
    if len(failed) == len(servers):
        return True
    contact = last_contact(servers)
    return sum(s.unreachable_since > contact for s in failed) >= FAILED_SERVERS_MIN


def last_contact(servers: list[Server]) -> float:
    """Return when a connection to any of the servers was last opened or brought a byte.

    Minus infinity if that never happened.
    """
    return max(
        (max(s.last_byte_at, s.reached_at, s.connected_at) for s in servers),
        default=float("-inf"),
    )
