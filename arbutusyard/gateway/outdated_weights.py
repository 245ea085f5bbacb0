"""Decide how long requests may begin on weights that newer ones superseded."""

import math
from collections.abc import Callable
from typing import Final

from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState

# Time after a node's start in which it uses weights that were superseded at an unknown
# time, in seconds. By then it has heard from the store and from the other nodes.
UNKNOWN_AGE_GRACE_S: Final = 1.0


class OutdatedWeights:
    """Tell by when a request must begin on a version of a model's weights.

    Weights are outdated once a later version is the target, and overdue once no request
    may begin on them any more.
    """

    __slots__ = ("_fleet_state", "_max_s", "_unknown_until")

    def __init__(
        self, fleet_state: FleetState, superseded_max_s: float, now: float
    ) -> None:
        self._fleet_state = fleet_state
        self._max_s = superseded_max_s
        self._unknown_until = now + UNKNOWN_AGE_GRACE_S

    def begin_by(self, model: str, version: int) -> float:
        """Return the time by which requests must begin; inf for current weights.

        Weights that were superseded at an unknown time may be overdue already.
        """
        superseded_at = self._fleet_state.superseded_at(model, version)
        if superseded_at == -math.inf:
            return self._unknown_until
        return superseded_at + self._max_s

    def without_overdue(
        self,
        servers: list[Server],
        model: str,
        wait_s: Callable[[Server], float],
        now: float,
    ) -> list[Server]:
        """Leave out servers at which a request would begin too late.

        `wait_s` tells how long a request may wait at a server until it begins.
        """
        begin_by = {
            version: self.begin_by(model, version)
            for version in {server.weights.get(model, 0) for server in servers}
        }
        return [
            server
            for server in servers
            if (until := begin_by[server.weights.get(model, 0)]) == math.inf
            or now + wait_s(server) <= until
        ]

    def is_overdue(self, model: str, version: int, now: float) -> bool:
        """Tell whether no request may begin on a version of the weights any more."""
        return now > self.begin_by(model, version)
