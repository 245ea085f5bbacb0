"""Order engines to load the weights version that the configuration requires."""

import logging

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.backends.client import BackendClient, Order, OrderKind
from arbutusyard.backends.const import ORDER_TIMEOUT_S
from arbutusyard.backends.coordinator import BackendCoordinator
from arbutusyard.backends.exceptions import BackendError
from arbutusyard.backends.models import Backend, BackendState
from arbutusyard.config.coordinator import ConfigCoordinator
from arbutusyard.control.const import (
    LEASE_CANDIDATES,
    LEASE_RENEW_S,
    MAX_CONCURRENT_LOADS,
    ORDER_INTERVAL_S,
    ORDER_RETRY_INTERVAL_S,
)
from arbutusyard.control.leases import Lease
from arbutusyard.membership.coordinator import MembershipCoordinator
from arbutusyard.platform.client import PlatformClient
from arbutusyard.routing.chain import rank
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class OrderCoordinator:
    """Hold the leases of model groups and load the target weights on their engines."""

    name = "orders"

    __slots__ = (
        "_backends",
        "_client",
        "_config",
        "_membership",
        "_ordered_at",
        "_platform",
        "_supervisor",
        "leases",
    )

    def __init__(
        self,
        config: ConfigCoordinator,
        backends: BackendCoordinator,
        membership: MembershipCoordinator,
        platform: PlatformClient,
        client: BackendClient,
    ) -> None:
        self._config = config
        self._backends = backends
        self._membership = membership
        self._platform = platform
        self._client = client
        self._ordered_at: dict[str, float] = {}
        self._supervisor: Supervisor | None = None
        self.leases: dict[str, Lease] = {}

    def setup(self, app: Application) -> None:
        """Start renewing leases and sending orders."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("lease", self._renew_forever)
        self._supervisor.spawn("order", self._order_forever)

    def drain(self) -> None:
        """Stop sending orders; the leases expire on their own."""
        self._supervisor.stop()

    def unload(self) -> None:
        """Stop renewing leases and sending orders."""
        self._supervisor.stop()

    def _renew_forever(self) -> None:
        while True:
            for group in self._groups():
                if self._may_acquire(group):
                    self._lease(group).refresh()
            gevent.sleep(LEASE_RENEW_S)

    def _order_forever(self) -> None:
        while True:
            for group, version in self._groups().items():
                self._order_group(group, version)
            gevent.sleep(ORDER_INTERVAL_S)

    def _groups(self) -> dict[str, str]:
        return {
            f"{workload.name}/{model.name}": model.weights_version
            for workload in self._config.current.workloads
            for model in workload.models
        }

    def _may_acquire(self, group: str) -> bool:
        me = self._membership.table.me.name
        if group in self.leases:
            return True
        names = [member.name for member in self._membership.table.usable()]
        return me in rank(group.encode(), names)[:LEASE_CANDIDATES]

    def _lease(self, group: str) -> Lease:
        if group not in self.leases:
            owner = self._membership.table.me
            self.leases[group] = Lease(
                self._platform,
                group,
                f"{owner.name}.{owner.incarnation}",
                clock.now,
            )
        return self.leases[group]

    def _order_group(self, group: str, version: str) -> None:
        lease = self.leases.get(group)
        if lease is None or not lease.valid(clock.now(), ORDER_TIMEOUT_S):
            return
        engines = self._backends.engines(group)
        loading = sum(engine.state is BackendState.LOADING for engine in engines)
        for engine in engines:
            if loading >= MAX_CONCURRENT_LOADS:
                return
            if self._needs_order(engine, version, clock.now()):
                self._send_order(lease, engine, version)
                loading += 1

    def _needs_order(self, engine: Backend, version: str, now: float) -> bool:
        if engine.state is not BackendState.LIVE:
            return False
        if engine.report.weights_version == version:
            return False
        return (
            now - self._ordered_at.get(engine.name, -ORDER_RETRY_INTERVAL_S)
            > ORDER_RETRY_INTERVAL_S
        )

    def _send_order(self, lease: Lease, engine: Backend, version: str) -> None:
        order = Order(OrderKind.LOAD_VERSION, version, lease.fence)
        if not lease.valid(clock.now(), ORDER_TIMEOUT_S):
            return
        self._ordered_at[engine.name] = clock.now()
        try:
            self._client.send_order(engine.address, order)
        except BackendError as exc:
            _LOGGER.warning("Order to engine %s failed: %s", engine.name, exc)
