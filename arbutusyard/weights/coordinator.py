"""Hold the lease on orders and bring every engine to the named weights."""

import logging
from collections.abc import Callable

import gevent
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.control.leases import Lease, LeaseState, LeaseTimes
from arbutusyard.fleet.messages import EngineStatus, Heartbeat
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import ServerState
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformOutcomeUnknown
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S
from arbutusyard.supervisor import Restart, Supervisor
from arbutusyard.weights.const import (
    DRAIN_S,
    DRAIN_STEP_S,
    DRAIN_WAITING_FRACTION,
    DRAIN_WAITING_MAX_S,
    EARLY_LEASE_S,
    LEASE_GROUP,
    LEASE_MARGIN_S,
    LOAD_MAX_S,
    LOAD_S,
    LOAD_STEP_S,
    LOADING_SLACK_S,
    ORDER_DELIVERY_S,
    OUT_OF_USE_WEIGHT,
    RETRY_S,
    STATUS_KEEP_S,
    STEP_S,
    UP_STEP_S,
)
from arbutusyard.weights.models import LoadOrder, OrderOutcome, ServerReport, SwitchMode
from arbutusyard.weights.planner import EngineView, RollOutPace, plan_loads

_LOGGER = logging.getLogger(__name__)


class WeightsCoordinator:
    """Order engines to load weights while this node holds the lease."""

    name = "weights"

    __slots__ = (
        "_asking",
        "_client",
        "_drain_waiting_s",
        "_fleet_state",
        "_lease",
        "_lease_tried_at",
        "_limit_s",
        "_load_s",
        "_loading",
        "_node",
        "_engine_statuses",
        "_orders_taken",
        "_out_of_use_s",
        "_peers",
        "_ready",
        "_retry_at",
        "_supervisor",
        "_up_s",
        "_wake",
    )

    def __init__(
        self,
        node: str,
        fleet_state: FleetState,
        peers: PeerCoordinator,
        store: PlatformClient,
        client: ServerClient,
        lease_s: float,
        limit_s: float,
    ) -> None:
        self._node = node
        self._fleet_state = fleet_state
        self._peers = peers
        self._client = client
        self._limit_s = limit_s
        self._drain_waiting_s = min(
            DRAIN_WAITING_MAX_S, DRAIN_WAITING_FRACTION * limit_s
        )
        times = LeaseTimes(lease_s, LEASE_MARGIN_S, ORDER_DELIVERY_S)
        self._lease = Lease(
            store, LEASE_GROUP, node, clock.now, times, unique_owner=True
        )
        self._lease_tried_at = float("-inf")
        self._load_s = LOAD_S
        self._asking: set[tuple[str, int]] = set()
        self._loading: set[tuple[str, int]] = set()
        self._out_of_use_s = DRAIN_S + LOAD_S + LOADING_SLACK_S
        self._engine_statuses: dict[str, tuple[EngineStatus, float]] = {}
        self._orders_taken: dict[tuple[str, int], int] = {}
        self._retry_at: dict[tuple[str, int], float] = {}
        self._ready: Callable[[float], bool] = lambda now: False
        self._up_s: Callable[[float], float] = lambda now: 0.0
        self._supervisor: Supervisor | None = None
        self._wake = Event()

    def bind(
        self, ready: Callable[[float], bool], up_s: Callable[[float], float]
    ) -> None:
        """Set what tells whether this node is fit to lead, and how long it is up."""
        self._ready = ready
        self._up_s = up_s

    def setup(self, app: Application) -> None:
        """Start watching for new weights."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("plan", self._plan_forever)

    def drain(self) -> None:
        """Give no further orders."""
        self._supervisor.stop()

    def unload(self) -> None:
        """Stop."""
        self._supervisor.stop()

    def wake(self) -> None:
        """Plan at once."""
        self._wake.set()

    @property
    def fencing_token(self) -> int:
        """Return the fencing number while this node believes it holds the lease."""
        return self._lease.fence if self._lease.state is LeaseState.HELD else 0

    def learn(self, server: Server) -> None:
        """Ask a server whose weights are in doubt for its report."""
        if server.incarnation not in self._asking:
            self._asking.add(server.incarnation)
            self._supervisor.spawn(
                "learn", self._learn_weights, server, restart=Restart.NEVER
            )

    def _learn_weights(self, server: Server) -> None:
        believed = dict(server.weights)
        try:
            report = self._read_report(server)
        finally:
            self._asking.discard(server.incarnation)
        if report is None:
            return
        server_id = server.entry.server_id
        now = clock.now()
        if report.loading:
            if now >= server.loading_until and server.incarnation not in self._loading:
                server.loading_until = now + self._load_s
                for model in report.weights:
                    status = EngineStatus(server_id, model, 0, self._load_s)
                    self._tell(status, server.loading_until)
            return
        server.mismatch_until = 0.0
        if server.incarnation not in self._loading:
            for model, version in report.weights.items():
                status = EngineStatus(server_id, model, version, None)
                if version != believed.get(model):
                    self._tell(status, now + STATUS_KEEP_S)
        _LOGGER.info(
            "Server %s reported its weights, which were in doubt",
            server_id,
            extra={"server": server_id, "weights": report.weights},
        )

    def _tell(self, status: EngineStatus, until: float) -> None:
        """Tell the other nodes of an engine, at once and in beats up to a time."""
        self._engine_statuses[status.server_id] = (status, until)
        self._peers.broadcast_engine_status(status)

    def engine_statuses(self, now: float) -> tuple[EngineStatus, ...]:
        """Return what the other nodes should know of engines."""
        for server_id, (_, until) in list(self._engine_statuses.items()):
            if now > until:
                del self._engine_statuses[server_id]
        return tuple(
            EngineStatus(status.server_id, status.model, status.version, until - now)
            if status.loading_s
            else status
            for status, until in self._engine_statuses.values()
        )

    def _plan_forever(self) -> None:
        while True:
            self._wake.wait(STEP_S)
            self._wake.clear()
            now = clock.now()
            if not self._leads(now):
                if self._follows_leaving_holder(now):
                    self._take_lease_early(now)
                continue
            work = self._work(now)
            if not work:
                self._take_lease_early(now)
                continue
            if not self._lease.valid(now, ORDER_DELIVERY_S + STEP_S):
                self._lease.refresh()
            if not self._lease.valid(clock.now(), ORDER_DELIVERY_S):
                gevent.sleep(STEP_S)
                continue
            for model, server in work:
                self._start(model, server)

    def _take_lease_early(self, now: float) -> None:
        """Take the lease over before there is work, since that takes seconds."""
        if self.fencing_token or now < self._lease_tried_at + EARLY_LEASE_S:
            return
        self._lease_tried_at = now
        self._lease.refresh()

    def _work(self, now: float) -> list[tuple[str, Server]]:
        """Return the engines that should begin to load now."""
        work = []
        pace = RollOutPace(self._limit_s, self._out_of_use_s)
        catalog = self._fleet_state.catalog
        for service in catalog.cfg.services.values() if catalog else ():
            if service.engine is None:
                continue
            servers = self._fleet_state.servers.of_service(service.name)
            for model in service.engine.models:
                target = self._fleet_state.target(model)
                views = [self._view(server, model, now) for server in servers]
                for server_id in plan_loads(views, target, pace):
                    work.append((model, self._fleet_state.servers.servers[server_id]))
        return work

    def _view(self, server: Server, model: str, now: float) -> EngineView:
        in_flight, tokens = self._peers.table.load(server.entry.server_id)
        version = server.weights.get(model, 0)
        superseded_s = self._fleet_state.superseded_s(model, version, now)
        fit = server.entry.state is ServerState.READY and not server.dead
        return EngineView(
            server.entry.server_id,
            version,
            in_flight + server.in_flight,
            server.incarnation in self._loading,
            fit
            and not server.suspected
            and now >= self._retry_at.get(server.incarnation, 0.0),
            (tokens + server.prompt_tokens) / PREFILL_TOKENS_PER_S,
            # Replaced before this node started: overdue for all that is known.
            float("inf") if superseded_s is None else superseded_s,
        )

    def _leads(self, now: float) -> bool:
        """Tell whether this node is the one to give orders.

        A holder leads until its end, also while it leaves, if it reads the store
        itself; a node that others keep informed may be cut off from it.
        """
        if not self._fleet_state.reads(now):
            return False
        holders = self._holders(now)
        if self.fencing_token or holders:
            return self.fencing_token > max(
                (heartbeat.fencing_token for heartbeat in holders), default=0
            )
        return self._comes_next(now)

    def _holders(self, now: float) -> list[Heartbeat]:
        alive = self._peers.table.alive(now)
        return [
            heartbeat
            for heartbeat in alive
            if heartbeat.fencing_token and heartbeat.reads_store
        ]

    def _follows_leaving_holder(self, now: float) -> bool:
        """Tell whether this node should be ready to follow a holder that leaves."""
        holders = self._holders(now)
        if self.fencing_token or not holders:
            return False
        return all(heartbeat.leaving for heartbeat in holders) and self._comes_next(now)

    def _comes_next(self, now: float) -> bool:
        """Tell whether this node would lead next: the longest up, then by name.

        Only nodes that take callers hear what waits at the engines.
        """
        if not self._ready(now) or not self._fleet_state.reads(now):
            return False
        mine = self._claim(self._node, self._up_s(now), now)
        return all(
            mine < self._claim(heartbeat.name, heartbeat.up_s, now)
            for heartbeat in self._peers.table.alive(now)
            if heartbeat.ready and heartbeat.reads_store
        )

    def _claim(self, name: str, up_s: float, now: float) -> tuple[bool, int, str]:
        """Return a node's place in the order in which nodes lead, least first."""
        stands_by = not self._peers.table.serves(name, now)
        return (stands_by, -int(up_s / UP_STEP_S), name)

    def _start(self, model: str, server: Server) -> None:
        self._loading.add(server.incarnation)
        self._supervisor.spawn("load", self._load, model, server, restart=Restart.NEVER)

    def _load(self, model: str, server: Server) -> None:
        """Bring one engine to the newest weights."""
        server_id = server.entry.server_id
        started_at = clock.now()
        done = False
        try:
            # Another node may have given orders; a report is cheaper than an order
            # that is refused, and shows whether the engine can be reached at all.
            known = server.incarnation in self._orders_taken
            if not known and self._read_report(server) is None:
                server.suspect(clock.now())
                return
            self._note_loading(model, server)
            self._wait_idle(server)
            done = self._order_until_done(model, server)
        finally:
            if done:
                took_s = clock.now() - started_at
                self._out_of_use_s += OUT_OF_USE_WEIGHT * (took_s - self._out_of_use_s)
            else:
                self._retry_at[server.incarnation] = clock.now() + RETRY_S
            self._loading.discard(server.incarnation)
            server.loading_until = 0.0
            version = server.weights.get(model, 0)
            status = EngineStatus(server_id, model, version, 0.0)
            self._tell(status, clock.now() + STATUS_KEEP_S)
            self._wake.set()

    def _note_loading(self, model: str, server: Server) -> None:
        longest_s = self._drain_waiting_s + self._load_s + LOADING_SLACK_S
        server.loading_until = clock.now() + longest_s
        status = EngineStatus(server.entry.server_id, model, 0, longest_s)
        self._tell(status, server.loading_until)

    def _wait_idle(self, server: Server) -> None:
        started_at = clock.now()
        while (waited_s := clock.now() - started_at) < self._drain_waiting_s:
            gevent.sleep(DRAIN_STEP_S)
            in_flight, tokens = self._peers.table.load(server.entry.server_id)
            if in_flight + server.in_flight <= 0:
                return
            if waited_s > DRAIN_S and tokens + server.prompt_tokens <= 0:
                return

    def _order_until_done(self, model: str, server: Server) -> bool:
        give_up_at = clock.now() + LOAD_MAX_S
        while clock.now() < give_up_at and not server.dead:
            version = self._fleet_state.target(model)
            if server.weights.get(model, 0) >= version:
                return True
            if not self._lease.valid(clock.now(), ORDER_DELIVERY_S):
                self._lease.refresh()
                if not self._lease.valid(clock.now(), ORDER_DELIVERY_S):
                    return False
            outcome = self._order(model, version, server)
            if outcome in (OrderOutcome.FENCED, OrderOutcome.OTHER_SERVER):
                return False
            if outcome is None and self._read_report(server) is None:
                return False
            if outcome is OrderOutcome.REFUSED:
                gevent.sleep(RETRY_S)
            elif outcome is OrderOutcome.HOLDS:
                server.weights[model] = max(version, server.weights.get(model, 0))
            else:
                self._wait_loaded(model, version, server, outcome)
        return False

    def _order(self, model: str, version: int, server: Server) -> OrderOutcome | None:
        order = LoadOrder(
            server_id=server.entry.server_id,
            address=server.entry.address,
            model=model,
            version=version,
            mode=SwitchMode.KEEP,
            owner=self._node,
            fencing_token=self._lease.fence,
            orders_taken=self._orders_taken[server.incarnation],
        )
        outcome: OrderOutcome | None = None
        cause = ""
        try:
            outcome = self._client.order_load(order)
        except PlatformOutcomeUnknown as exc:
            cause = str(exc)
        _LOGGER.info(
            "Ordered a load of weights: %s",
            outcome.value if outcome else "no answer",
            extra={
                "server": order.server_id,
                "model": model,
                "weights": version,
                "fence": order.fencing_token,
                "orders_taken": order.orders_taken,
                "cause": cause,
            },
        )
        if outcome is OrderOutcome.FENCED:
            self._lease.lose()
        elif outcome is OrderOutcome.OTHER_SERVER:
            self._note_replaced(server)
        elif outcome is OrderOutcome.ACCEPTED:
            self._orders_taken[server.incarnation] = order.orders_taken + 1
        return outcome

    def _wait_loaded(
        self, model: str, version: int, server: Server, outcome: OrderOutcome | None
    ) -> None:
        """Wait until the engine's report shows what became of an order."""
        started_at = clock.now()
        if outcome is OrderOutcome.ACCEPTED:
            gevent.sleep(self._load_s)
        while clock.now() - started_at < LOAD_MAX_S / 2 and not server.dead:
            report = self._read_report(server)
            if report is None:
                return
            if report.weights.get(model, 0) >= version:
                if outcome is OrderOutcome.ACCEPTED:
                    self._learn_load(clock.now() - started_at)
                return
            if not report.loading and outcome is not OrderOutcome.ACCEPTED:
                return
            gevent.sleep(LOAD_STEP_S)

    def _read_report(self, server: Server) -> ServerReport | None:
        """Take over what a server reports of itself; None without a report."""
        entry = server.entry
        try:
            report = self._client.report(entry.address, entry.server_id)
        except PlatformOutcomeUnknown as exc:
            _LOGGER.info("No report of %s: %s", entry.server_id, exc)
            return None
        if report.started_at_ms != entry.started_at_ms:
            self._note_replaced(server)
            return None
        self._orders_taken[server.incarnation] = report.orders_taken
        for model, version in report.weights.items():
            server.weights[model] = max(version, server.weights.get(model, 0))
        return report

    def _note_replaced(self, server: Server) -> None:
        """Use a lifetime no more whose address another one answers at."""
        server_id = server.entry.server_id
        self._fleet_state.servers.mark_dead(server)
        self._peers.broadcast_servers(replaced=(server_id,))
        _LOGGER.info(
            "Another lifetime answers in the place of server %s",
            server_id,
            extra={"server": server_id, "address": server.entry.address},
        )

    def _learn_load(self, took_s: float) -> None:
        # Reports come in steps; the least time seen is nearest to the truth.
        self._load_s = max(0.1, min(took_s, self._load_s * 1.1) - LOAD_STEP_S / 3)
