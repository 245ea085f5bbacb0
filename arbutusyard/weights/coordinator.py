"""Hold the lease on load orders and bring every engine to the target weights."""

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
from arbutusyard.limits.server_limits import ServerLimits
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import (
    PlatformAnswerInvalid,
    PlatformOutcomeUnknown,
)
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.segments import PREFILL_TOKENS_PER_S
from arbutusyard.supervisor import Restart, Supervisor
from arbutusyard.weights.const import (
    DOWNTIME_WEIGHT,
    DRAIN_POLL_S,
    DRAIN_PROMPTS_FRACTION,
    DRAIN_PROMPTS_MAX_S,
    DRAIN_RUNS_MAX_S,
    EARLY_LEASE_INTERVAL_S,
    INITIAL_LOAD_TIME_S,
    LEASE_GROUP,
    LEASE_MARGIN_S,
    LOAD_TIMEOUT_S,
    LOADING_SLACK_S,
    ORDER_DELIVERY_MAX_S,
    PLAN_INTERVAL_S,
    REPORT_FAILURES_MAX,
    REPORT_PAUSE_MAX_S,
    REPORT_POLL_S,
    RETRY_DELAY_S,
    STATUS_REPEAT_S,
    UNANSWERED_CALLS,
    UPTIME_STEP_S,
)
from arbutusyard.weights.models import LoadOrder, OrderOutcome, ServerReport, SwitchMode
from arbutusyard.weights.planner import EngineView, RollOutTimes, plan_loads

_LOGGER = logging.getLogger(__name__)


class WeightsCoordinator:
    """Order engines to load weights while this node holds the lease."""

    name = "weights"

    __slots__ = (
        "_checking",
        "_client",
        "_drain_prompts_s",
        "_fleet_state",
        "_lease",
        "_lease_attempted_at",
        "_limits",
        "_roll_out_limit_s",
        "_load_time_s",
        "_loading",
        "_node",
        "_engine_statuses",
        "_orders_taken",
        "_downtime_s",
        "_peers",
        "_reaches_engines",
        "_ready",
        "_report_failures",
        "_retry_at",
        "_supervisor",
        "_uptime_s",
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
        self._roll_out_limit_s = limit_s
        self._drain_prompts_s = min(
            DRAIN_PROMPTS_MAX_S, DRAIN_PROMPTS_FRACTION * limit_s
        )
        times = LeaseTimes(lease_s, LEASE_MARGIN_S, ORDER_DELIVERY_MAX_S)
        self._lease = Lease(
            store, LEASE_GROUP, node, clock.now, times, unique_owner=True
        )
        self._lease_attempted_at = float("-inf")
        self._load_time_s = INITIAL_LOAD_TIME_S
        self._checking: set[tuple[str, int]] = set()
        self._loading: set[tuple[str, int]] = set()
        self._downtime_s = DRAIN_RUNS_MAX_S + INITIAL_LOAD_TIME_S + LOADING_SLACK_S
        self._engine_statuses: dict[str, tuple[EngineStatus, float]] = {}
        self._orders_taken: dict[tuple[str, int], int] = {}
        # Number of consecutive reports of each server that could not be read, and the
        # time from which the next one is read.
        self._report_failures: dict[tuple[str, int], tuple[int, float]] = {}
        self._retry_at: dict[tuple[str, int], float] = {}
        self._limits = ServerLimits(node)
        self._ready: Callable[[float], bool] = lambda now: False
        self._reaches_engines: Callable[[float], bool] = lambda now: True
        self._uptime_s: Callable[[float], float] = lambda now: 0.0
        self._supervisor: Supervisor | None = None
        self._wake = Event()

    def bind(
        self,
        ready: Callable[[float], bool],
        uptime_s: Callable[[float], float],
        limits: ServerLimits,
        reaches_engines: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Set what tells whether this node may lead, and the servers' limits."""
        self._ready = ready
        self._reaches_engines = reaches_engines
        self._uptime_s = uptime_s
        self._limits = limits

    def setup(self, app: Application) -> None:
        """Start planning loads."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("plan", self._plan_forever)

    def drain(self) -> None:
        """Stop planning loads and sending orders."""
        self._supervisor.stop()

    def unload(self) -> None:
        """Stop all tasks."""
        self._supervisor.stop()

    def wake(self) -> None:
        """Start a planning round without waiting for the next interval."""
        self._wake.set()

    @property
    def fencing_token(self) -> int:
        """Return the fencing token; 0 unless this node believes it holds the lease."""
        return self._lease.fence if self._lease.state is LeaseState.HELD else 0

    def check_weights(self, server: Server) -> None:
        """Read a server's weights from its report, in a task, after a mismatch."""
        if server.incarnation not in self._checking:
            self._checking.add(server.incarnation)
            self._supervisor.spawn(
                "learn", self._check_reported_weights, server, restart=Restart.NEVER
            )

    def _check_reported_weights(self, server: Server) -> None:
        assumed = dict(server.weights)
        try:
            report = self._read_report(server)
        finally:
            self._checking.discard(server.incarnation)
        if report is None:
            return
        server_id = server.entry.server_id
        now = clock.now()
        if report.loading:
            if now >= server.loading_until and server.incarnation not in self._loading:
                server.loading_until = now + self._load_time_s
                for model in report.weights:
                    status = EngineStatus(server_id, model, 0, self._load_time_s)
                    self._broadcast_status(status, server.loading_until)
            return
        server.mismatch_until = 0.0
        if server.incarnation not in self._loading:
            for model, version in report.weights.items():
                status = EngineStatus(server_id, model, version, None)
                if version != assumed.get(model):
                    self._broadcast_status(status, now + STATUS_REPEAT_S)
        _LOGGER.info(
            "Server %s reported its weights after a mismatch",
            server_id,
            extra={"server": server_id, "weights": report.weights},
        )

    def _broadcast_status(self, status: EngineStatus, until: float) -> None:
        """Broadcast an engine's status and repeat it in heartbeats until a time."""
        self._engine_statuses[status.server_id] = (status, until)
        self._peers.broadcast_engine_status(status)

    def engine_statuses(self, now: float) -> tuple[EngineStatus, ...]:
        """Return the engine statuses to repeat in heartbeats."""
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
            self._wake.wait(PLAN_INTERVAL_S)
            self._wake.clear()
            now = clock.now()
            if not self._is_leader(now):
                if self._succeeds_draining_holder(now):
                    self._acquire_lease_early(now)
                continue
            due = self._due_loads(now)
            if not due:
                self._acquire_lease_early(now)
                continue
            if not self._lease.valid(now, ORDER_DELIVERY_MAX_S + PLAN_INTERVAL_S):
                self._lease.refresh()
            if not self._lease.valid(clock.now(), ORDER_DELIVERY_MAX_S):
                gevent.sleep(PLAN_INTERVAL_S)
                continue
            for model, server in due:
                self._start_load(model, server)

    def _acquire_lease_early(self, now: float) -> None:
        """Acquire the lease before any engine has to load, since that takes seconds."""
        if (
            self.fencing_token
            or now < self._lease_attempted_at + EARLY_LEASE_INTERVAL_S
        ):
            return
        self._lease_attempted_at = now
        self._lease.refresh()

    def _due_loads(self, now: float) -> list[tuple[str, Server]]:
        """Return the models and engines that should begin to load now."""
        due = []
        times = RollOutTimes(self._roll_out_limit_s, self._downtime_s)
        catalog = self._fleet_state.catalog
        for service in catalog.cfg.services.values() if catalog else ():
            if service.engine is None:
                continue
            servers = self._fleet_state.servers.of_service(service.name)
            for model in service.engine.models:
                target = self._fleet_state.target_version(model)
                views = [self._engine_view(server, model, now) for server in servers]
                for server_id in plan_loads(views, target, times):
                    due.append((model, self._fleet_state.servers.servers[server_id]))
        return due

    def _engine_view(self, server: Server, model: str, now: float) -> EngineView:
        in_flight, tokens = self._peers.table.load(server.entry.server_id)
        version = server.weights.get(model, 0)
        superseded_s = self._fleet_state.superseded_s(model, version, now)
        is_ready = server.entry.state is ServerState.READY and not server.dead
        return EngineView(
            server.entry.server_id,
            version,
            in_flight + server.in_flight,
            server.incarnation in self._loading,
            is_ready
            and not server.suspected
            and now >= self._retry_at.get(server.incarnation, 0.0),
            (tokens + server.prompt_tokens) / PREFILL_TOKENS_PER_S,
            # Superseded at an unknown time before this node started: overdue.
            float("inf") if superseded_s is None else superseded_s,
        )

    def _is_leader(self, now: float) -> bool:
        """Return whether this node is the one to send orders.

        A holder of the lease leads until it stops, also while it drains, if it reads
        the store itself and reaches the engines. A node that relies on peer reports may
        be cut off from the store.
        """
        if not self.may_lead(now):
            return False
        holders = self._lease_holders(now)
        if self.fencing_token or holders:
            return self.fencing_token > max(
                (heartbeat.fencing_token for heartbeat in holders), default=0
            )
        return self._is_next_leader(now)

    def may_lead(self, now: float) -> bool:
        """Return whether this node reads the store itself and reaches the engines."""
        return self._fleet_state.has_recent_read(now) and self._reaches_engines(now)

    def _lease_holders(self, now: float) -> list[Heartbeat]:
        alive = self._peers.table.live_heartbeats(now)
        return [
            heartbeat
            for heartbeat in alive
            if heartbeat.fencing_token and heartbeat.may_lead
        ]

    def _succeeds_draining_holder(self, now: float) -> bool:
        """Return whether this node should succeed a lease holder that drains."""
        holders = self._lease_holders(now)
        if self.fencing_token or not holders:
            return False
        return all(heartbeat.leaving for heartbeat in holders) and self._is_next_leader(
            now
        )

    def _is_next_leader(self, now: float) -> bool:
        """Return whether this node would lead next: longest uptime first, then name.

        Standby nodes come last, since only serving nodes receive reports of the
        prompts that wait at the engines.
        """
        if not self._ready(now) or not self.may_lead(now):
            return False
        own_key = self._succession_key(self._node, self._uptime_s(now), now)
        return all(
            own_key < self._succession_key(heartbeat.name, heartbeat.up_s, now)
            for heartbeat in self._peers.table.live_heartbeats(now)
            if heartbeat.ready and heartbeat.may_lead
        )

    def _succession_key(
        self, name: str, up_s: float, now: float
    ) -> tuple[bool, int, str]:
        """Return a node's sort key in the order of succession; the least leads next."""
        is_standby = not self._peers.table.serves(name, now)
        return (is_standby, -int(up_s / UPTIME_STEP_S), name)

    def _start_load(self, model: str, server: Server) -> None:
        self._loading.add(server.incarnation)
        self._supervisor.spawn(
            "load", self._load_weights, model, server, restart=Restart.NEVER
        )

    def _load_weights(self, model: str, server: Server) -> None:
        """Bring one engine to the target weights, and report its status afterwards."""
        server_id = server.entry.server_id
        started_at = clock.now()
        succeeded = False
        try:
            # Another node may have sent orders. Reading the report costs less than a
            # refused order and shows whether the engine can be reached at all.
            orders_known = server.incarnation in self._orders_taken
            if not orders_known and self._read_report(server) is None:
                return
            self._mark_loading(model, server)
            self._wait_idle(server)
            succeeded = self._order_until_done(model, server)
        finally:
            if succeeded:
                took_s = clock.now() - started_at
                self._downtime_s += DOWNTIME_WEIGHT * (took_s - self._downtime_s)
            else:
                retry_at = clock.now() + RETRY_DELAY_S
                _, read_at = self._report_failures.get(server.incarnation, (0, 0.0))
                self._retry_at[server.incarnation] = max(retry_at, read_at)
            self._loading.discard(server.incarnation)
            server.loading_until = 0.0
            version = server.weights.get(model, 0)
            status = EngineStatus(server_id, model, version, 0.0)
            self._broadcast_status(status, clock.now() + STATUS_REPEAT_S)
            self._wake.set()

    def _mark_loading(self, model: str, server: Server) -> None:
        max_loading_s = self._drain_prompts_s + self._load_time_s + LOADING_SLACK_S
        server.loading_until = clock.now() + max_loading_s
        status = EngineStatus(server.entry.server_id, model, 0, max_loading_s)
        self._broadcast_status(status, server.loading_until)

    def _wait_idle(self, server: Server) -> None:
        started_at = clock.now()
        while (waited_s := clock.now() - started_at) < self._drain_prompts_s:
            gevent.sleep(DRAIN_POLL_S)
            in_flight, tokens = self._peers.table.load(server.entry.server_id)
            if in_flight + server.in_flight <= 0:
                return
            if waited_s > DRAIN_RUNS_MAX_S and tokens + server.prompt_tokens <= 0:
                return

    def _order_until_done(self, model: str, server: Server) -> bool:
        give_up_at = clock.now() + LOAD_TIMEOUT_S
        unanswered = 0
        while clock.now() < give_up_at and not server.dead:
            version = self._fleet_state.target_version(model)
            if server.weights.get(model, 0) >= version:
                return True
            if not self._lease.valid(clock.now(), ORDER_DELIVERY_MAX_S):
                self._lease.refresh()
                if not self._lease.valid(clock.now(), ORDER_DELIVERY_MAX_S):
                    return False
            ordered_at = clock.now()
            outcome = self._order(model, version, server)
            if outcome in (OrderOutcome.FENCED, OrderOutcome.OTHER_SERVER):
                return False
            unanswered = unanswered + 1 if outcome is None else 0
            took_s = clock.now() - ordered_at
            gevent.sleep(self.order_pause_s(server, unanswered, took_s))
            if outcome is None and self._read_report(server) is None:
                return False
            if outcome is OrderOutcome.REFUSED:
                gevent.sleep(RETRY_DELAY_S)
            elif outcome is OrderOutcome.HOLDS:
                server.weights[model] = max(version, server.weights.get(model, 0))
            else:
                self._wait_loaded(model, version, server, outcome)
        return False

    def order_pause_s(self, server: Server, unanswered: int, took_s: float) -> float:
        """Return the pause before the next order after unanswered ones in a row.

        In seconds; the wait for the answer, `took_s`, counts in an exponential delay.
        The first order is repeated at once unless the report shows its outcome.
        """
        if unanswered < 2:
            return 0.0
        delay_s = min(RETRY_DELAY_S, REPORT_POLL_S * 2 ** (unanswered - 2))
        interval_s = self._limits.poll_interval_s(server.incarnation)
        return max(0.0, max(delay_s, UNANSWERED_CALLS * interval_s) - took_s)

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
        self._limits.count_sent(server.incarnation, clock.now())
        try:
            outcome = self._client.order_load(order)
        except PlatformOutcomeUnknown as exc:
            cause = str(exc)
        _LOGGER.info(
            "Sent an order to load weights; outcome: %s",
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
            self._mark_superseded(server)
        elif outcome is OrderOutcome.ACCEPTED:
            self._orders_taken[server.incarnation] = order.orders_taken + 1
        return outcome

    def _wait_loaded(
        self, model: str, version: int, server: Server, outcome: OrderOutcome | None
    ) -> None:
        """Poll the engine's report until it shows the outcome of an order."""
        started_at = clock.now()
        if outcome is OrderOutcome.ACCEPTED:
            gevent.sleep(self._load_time_s)
        while clock.now() - started_at < LOAD_TIMEOUT_S / 2 and not server.dead:
            report = self._read_report(server)
            if report is None:
                gevent.sleep(REPORT_POLL_S)
                return
            if report.weights.get(model, 0) >= version:
                if outcome is OrderOutcome.ACCEPTED:
                    self._update_load_time(clock.now() - started_at)
                return
            if not report.loading and outcome is not OrderOutcome.ACCEPTED:
                return
            interval_s = self._limits.poll_interval_s(server.incarnation)
            gevent.sleep(max(REPORT_POLL_S, interval_s))

    def _read_report(self, server: Server) -> ServerReport | None:
        """Return a server's report after applying it, or None without a valid one.

        A server whose reports cannot be read is asked less and less often.
        """
        entry = server.entry
        failures, read_at = self._report_failures.get(server.incarnation, (0, 0.0))
        if failures and clock.now() < read_at:
            return None
        self._limits.count_sent(server.incarnation, clock.now())
        try:
            report = self._client.report(entry.address, entry.server_id)
        except PlatformOutcomeUnknown as exc:
            pause_s = min(REPORT_PAUSE_MAX_S, RETRY_DELAY_S * 2**failures)
            self._report_failures[server.incarnation] = (
                min(failures + 1, REPORT_FAILURES_MAX),
                clock.now() + pause_s,
            )
            _LOGGER.info(
                "Cannot read the report of server %s: %s",
                entry.server_id,
                exc,
                extra={"server": entry.server_id, "pause_s": pause_s},
            )
            if not isinstance(exc, PlatformAnswerInvalid) and (
                server.incarnation not in self._orders_taken
            ):
                server.suspect(clock.now())
            return None
        self._report_failures.pop(server.incarnation, None)
        if report.started_at_ms != entry.started_at_ms:
            self._mark_superseded(server)
            return None
        self._orders_taken[server.incarnation] = report.orders_taken
        for model, version in report.weights.items():
            server.weights[model] = max(version, server.weights.get(model, 0))
        return report

    def _mark_superseded(self, server: Server) -> None:
        """Mark an incarnation as dead after another one has answered at its address."""
        server_id = server.entry.server_id
        self._fleet_state.servers.mark_dead(server)
        self._peers.broadcast_servers(replaced=(server_id,))
        _LOGGER.info(
            "Another incarnation answers at the address of server %s",
            server_id,
            extra={"server": server_id, "address": server.entry.address},
        )

    def _update_load_time(self, took_s: float) -> None:
        # Reports are polled at an interval, so the shortest time is the most exact.
        self._load_time_s = max(
            0.1, min(took_s, self._load_time_s * 1.1) - REPORT_POLL_S / 3
        )
