"""Provide a node's readiness, directory and heartbeats; connect its components."""

import logging
import random

import gevent
from gevent.pywsgi import WSGIServer
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.caches import CacheWatcher
from arbutusyard.fleet.const import REMOVED_INCARNATION_RETENTION_S, REMOVED_REPORT_S
from arbutusyard.fleet.messages import Heartbeat, ReadConfirmation, ServerUpdate
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.const import (
    DIRECTORY_KEEP_FACTOR,
    DIRECTORY_KEEP_S,
    READY_CONFIRM_FRACTION,
    STOP_MARGIN_S,
)
from arbutusyard.gateway.directory import EntryNode, choose_entries
from arbutusyard.gateway.ingress import Ingress
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.relay import Relay
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.http1.wsgi import BodylessHandler
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.platform.status import make_status_app
from arbutusyard.weights.coordinator import WeightsCoordinator
from arbutusyard.weights.target_times import TargetTimes

_LOGGER = logging.getLogger(__name__)


class Node:
    """Report this node's state to clients and to the other nodes."""

    name = "node"

    __slots__ = (
        "_caches",
        "_cfg",
        "_incarnation",
        "_ingress",
        "_fleet_state",
        "_metrics",
        "_node_ingress",
        "_peers",
        "_pool",
        "_quarantined",
        "_relay",
        "_rng",
        "_router",
        "_servers",
        "_started_at",
        "_target_times",
        "_was_ready",
        "_weights",
    )

    def __init__(
        self,
        cfg: NodeSettings,
        incarnation: int,
        fleet_state: FleetState,
        relay: Relay,
        router: PlacementRouter,
        pool: ServerPool,
        ingress: Ingress,
        metrics: DeferredMetrics,
        node_ingress: Ingress | None = None,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._fleet_state = fleet_state
        self._relay = relay
        self._rng = random.Random(cfg.name)
        self._router = router
        self._pool = pool
        self._ingress = ingress
        self._node_ingress = node_ingress
        self._metrics = metrics
        self._caches: CacheWatcher | None = None
        self._peers: PeerCoordinator | None = None
        self._weights: WeightsCoordinator | None = None
        self._target_times: TargetTimes | None = None
        self._servers: list[WSGIServer] = []
        self._started_at = clock.now()
        self._was_ready = False
        # Numbers of quarantined segments and requests that the metrics show.
        self._quarantined = (0, 0)

    def register_callbacks(
        self,
        peers: PeerCoordinator,
        weights: WeightsCoordinator,
        caches: CacheWatcher,
        target_times: TargetTimes,
    ) -> None:
        """Set the components that depend on this node and register its callbacks."""
        self._caches = caches
        self._peers = peers
        self._weights = weights
        self._target_times = target_times
        peers.on_tick = self._tick
        peers.on_heartbeat = self._apply_heartbeat
        self._router.on_check = self._check
        self._relay.reachability.on_check = lambda server: gevent.spawn(
            self._probe, server
        )
        self._relay.reachability.on_change = self._handle_cut_off
        self._router.on_weights_mismatch = weights.check_weights
        self._router.on_load = peers.broadcast_load
        self._router.on_unreachable = self._handle_unreachable
        self._router.on_replaced = lambda server_id: peers.broadcast_servers(
            replaced=(server_id,)
        )
        self._router.on_leaving = lambda incarnation: peers.broadcast_servers(
            leaving=(incarnation,)
        )
        self._router.on_limit = lambda report: peers.broadcast_servers(limits=(report,))
        self._pool.on_slowed = self._metrics.count_slowed_read
        self._router.has_connection = self._pool.has_idle_connection
        peers.on_engines = self._router.apply_engine_statuses
        peers.on_segment_update = lambda update, now: (
            self._router.apply_segment_updates((update,), now)
        )
        peers.on_servers = self._apply_server_update
        peers.on_removed = self._fleet_state.servers.apply_removed
        peers.on_confirmation = self._apply_confirmation
        self._relay.quarantine.on_news = self._broadcast_quarantine
        peers.on_quarantine = lambda update, now: self._relay.quarantine.apply(
            update.news, update.name, now
        )
        self._fleet_state.set_read_hooks(peers.live_heartbeats, peers.confirm)
        weights.bind(
            self.is_ready,
            lambda now: now - self._started_at,
            self._router.limits,
            self._relay.forwarder.reaches_engines,
        )
        self._fleet_state.on_target_weights = self._handle_target_weights
        self._fleet_state.on_store_rollback = self._handle_store_rollback

    def _handle_target_weights(self) -> None:
        """Roll out new target weights, and record when they were set."""
        self._weights.wake()
        self._target_times.wake()

    def _handle_store_rollback(self) -> None:
        """Write to the store again what an older copy of it may lack."""
        self._peers.rewrite_row()
        self._relay.origins.handle_store_rollback()
        self._target_times.handle_store_rollback()

    def setup(self, app: Application) -> None:
        """Start serving the readiness, directory and metrics endpoints."""
        status = make_status_app(
            lambda: self.is_ready(clock.now()),
            lambda region: self.directory_addresses(region, clock.now()),
            min(DIRECTORY_KEEP_S, self._cfg.directory_keep_max_s),
            self._metrics.text,
        )
        addresses = {
            self._cfg.ready_address,
            self._cfg.directory_address,
            self._cfg.metrics_address,
        }
        for address in sorted(addresses - {""}):
            host, port = address.rsplit(":", 1)
            server = WSGIServer(
                (host, int(port)), status, log=None, handler_class=BodylessHandler
            )
            server.start()
            self._servers.append(server)

    def drain(self) -> None:
        """Keep serving while clients may still have this node's address cached."""
        stop_requested_at = clock.now()
        stop_at = stop_requested_at + self._cfg.grace_s - STOP_MARGIN_S
        self._relay.start_draining(stop_requested_at, stop_at)
        self._ingress.set_drain_deadline(stop_at)
        if self._node_ingress is not None:
            self._node_ingress.set_drain_deadline(stop_at)
        self._peers.send()
        cached_until = stop_requested_at + DIRECTORY_KEEP_FACTOR * DIRECTORY_KEEP_S
        gevent.sleep(max(0.0, min(cached_until, stop_at - 1.0) - stop_requested_at))

    def unload(self) -> None:
        """Stop serving the endpoints."""
        for server in self._servers:
            server.stop(timeout=0)

    def is_ready(self, now: float) -> bool:
        """Return whether clients should use this node."""
        if self._relay.leaving or not self._fleet_state.can_serve():
            return False
        max_age_s = self._cfg.revoke_s * READY_CONFIRM_FRACTION
        return self._fleet_state.config_age_s(now) < max_age_s

    def directory_addresses(self, region: str, now: float) -> list[str]:
        """Return the addresses of the nodes that clients in a region may use."""
        table = self._peers.table
        if table.own is not None:
            leaving = self._relay.leaving
            table.set_own(replace(table.own, ready=self.is_ready(now), leaving=leaving))
        reported = self._peers.reported_entries(now)
        if reported is not None:
            nodes = [
                EntryNode(address, node_region, True)
                for node_region, addresses in reported.items()
                for address in addresses
            ]
        else:
            nodes = [
                EntryNode(heartbeat.callers_address, heartbeat.region, heartbeat.ready)
                for heartbeat in table.entry_nodes(now)
            ]
        return choose_entries(nodes, region, self._rng)

    def build_heartbeat(self, seq: int) -> Heartbeat:
        """Return the heartbeat that reports this node's state to the other nodes."""
        now = clock.now()
        catalog = self._fleet_state.catalog
        return Heartbeat(
            name=self._cfg.name,
            incarnation=self._incarnation,
            seq=seq,
            peer_address=self._cfg.peer_address,
            callers_address=self._cfg.callers_address,
            failure_domain=self._cfg.failure_domain,
            region=self._cfg.region,
            ready=self.is_ready(now),
            leaving=self._relay.leaving,
            config_version=catalog.cfg.version if catalog else 0,
            fencing_token=self._weights.fencing_token,
            may_lead=self._weights.may_lead(now),
            up_s=now - self._started_at,
            loads=self._router.loads(),
            engine_statuses=self._weights.engine_statuses(now),
            cache_store_statuses=self._caches.statuses(),
            unreachable=self._router.unreachable(),
            segment_updates=self._router.segment_updates(),
            cache_store_updates=self._caches.updates(),
            leaving_servers=self._fleet_state.servers.leaving(now),
            target_ages=self._fleet_state.target_ages(now),
            leaving_incarnations=self._fleet_state.servers.announced_leaving(),
            capacity=self._cfg.capacity,
            rate_s=self._relay.rate.rate_s(now),
            limits=self._router.limits.reports(now),
            quarantine=self._relay.quarantine.heartbeat_news(now),
            removed_servers=self._fleet_state.servers.removed_reports(now),
            store_read_s=self._fleet_state.store_read_s(now),
            servers_age_s=min(
                self._fleet_state.servers_age_s(now), REMOVED_INCARNATION_RETENTION_S
            ),
            cut_off=self._relay.reachability.services(),
        )

    def _apply_confirmation(
        self, confirmation: ReadConfirmation, known_at: float, now: float
    ) -> None:
        self._fleet_state.apply_confirmation(
            confirmation.table, confirmation.digest, known_at, now
        )

    def _apply_server_update(self, update: ServerUpdate, now: float) -> None:
        self._router.apply_unreachable(update.unreachable, now, first_report=True)
        self._fleet_state.servers.apply_leaving(update.replaced, update.name, now)
        for server_id, started_at_ms in update.leaving:
            self._fleet_state.servers.mark_leaving(server_id, started_at_ms)
        self._router.limits.apply_reports(update.limits, now)

    def _apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._caches.apply_statuses(heartbeat.cache_store_statuses)
        self._router.apply_segment_updates(heartbeat.segment_updates, now)
        self._caches.apply_updates(heartbeat.cache_store_updates, now)
        self._router.apply_unreachable(heartbeat.unreachable, now)
        self._fleet_state.apply_target_ages(heartbeat.target_ages, now, heartbeat.name)
        self._fleet_state.servers.apply_leaving(
            heartbeat.leaving_servers, heartbeat.name, now
        )
        for server_id, started_at_ms in heartbeat.leaving_incarnations:
            self._fleet_state.servers.mark_leaving(server_id, started_at_ms)
        self._apply_removed(heartbeat, now)
        self._router.limits.apply_reports(heartbeat.limits, now)
        if heartbeat.quarantine is not None:
            self._relay.quarantine.apply(heartbeat.quarantine, heartbeat.name, now)

    def _apply_removed(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a peer's report of removed servers; send it what it has missed."""
        servers = self._fleet_state.servers
        servers.apply_removed(heartbeat.removed_servers, heartbeat.name, now)
        servers.apply_store_read(heartbeat.store_read_s, heartbeat.name, now)
        # The reports in heartbeats have expired for a node that was away for longer
        # than this one.
        age_s = heartbeat.servers_age_s
        if age_s >= REMOVED_REPORT_S > self._fleet_state.servers_age_s(now):
            self._peers.send_removed(
                heartbeat, lambda: servers.remembered_removals(age_s, now), now
            )

    def _count_quarantined(self) -> None:
        quarantined = self._relay.quarantine.counts()
        if quarantined != self._quarantined:
            self._quarantined = quarantined
            self._metrics.set_quarantined(*quarantined)

    def _broadcast_quarantine(self) -> None:
        news = self._relay.quarantine.take_urgent(clock.now())
        if news is not None:
            self._peers.broadcast_quarantine(news)

    def reload(self, cfg: NodeSettings) -> None:
        """Apply changed settings; changed addresses need a restart."""
        self._cfg = cfg
        self._relay.reload(cfg)
        self._ingress.memory.limits = cfg.client_limits

    def _check(self, server: Server) -> None:
        """Probe a server; others too if it is unresponsive and none is heard."""
        if server.in_flight:
            self._relay.reachability.handle_failure(server, clock.now())
        gevent.spawn(self._probe, server)

    def _handle_unreachable(self, server_id: str) -> None:
        """Report a server that could not be connected to; check whether others can."""
        self._peers.broadcast_servers((server_id,))
        server = self._fleet_state.servers.get(server_id)
        if server is not None:
            self._relay.reachability.handle_failure(server, clock.now())

    def _handle_cut_off(self, services: int) -> None:
        self._metrics.set_cut_off(services)
        self._peers.trigger_heartbeat()

    def _probe(self, server: Server) -> None:
        """Probe a server; send a heartbeat soon if it is unreachable."""
        self._pool.probe(server)
        if server.suspected:
            self._peers.trigger_heartbeat()

    def _tick(self, now: float) -> None:
        self._fleet_state.servers.sweep(now)
        self._router.tick(now)
        self._relay.tick(now)
        self._relay.reachability.tick(now)
        self._relay.update_share(self._peers.fleet_share(self._cfg.retry_window_s, now))
        nodes = len(self._peers.table.peers) + 1
        reads = self._peers.reads_for_others(now) or self._weights.fencing_token > 0
        self._fleet_state.set_reader(reads)
        self._fleet_state.set_read_intervals(nodes, self._cfg.drain_s)
        self._pool.sweep(now)
        self._count_quarantined()
        for server in self._fleet_state.servers.suspects(now):
            gevent.spawn(self._probe, server)
        ready = self.is_ready(now)
        if ready is not self._was_ready:
            self._was_ready = ready
            _LOGGER.info(
                "This node is %s",
                "ready" if ready else "not ready",
                extra={
                    "config_age_s": round(self._fleet_state.config_age_s(now), 3),
                    "leaving": self._relay.leaving,
                },
            )
