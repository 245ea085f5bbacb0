"""Assemble and run a node on the platform."""

import logging
from collections.abc import Callable
from typing import Final

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.caches import CacheWatcher
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.ingress import Ingress
from arbutusyard.gateway.memory import MemoryBudget
from arbutusyard.gateway.node import Node
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.relay import Relay
from arbutusyard.gateway.reload import SettingsWatcher
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.logs.handler import configure_node_logging
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.origins.coordinator import OriginCoordinator
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.servers import ServerClient
from arbutusyard.quotas.coordinator import QuotaCoordinator
from arbutusyard.quotas.models import quota_rule
from arbutusyard.weights.coordinator import WeightsCoordinator
from arbutusyard.weights.target_times import TargetTimes

# Time subtracted from the period in which requests may begin on superseded weights, in
# seconds: a server notices some time later that a request was given up.
WEIGHTS_MARGIN_S: Final = 0.75

_LOGGER = logging.getLogger(__name__)


def run_node(cfg: NodeSettings, reread: Callable[[], NodeSettings]) -> None:
    """Run a node until it is stopped."""
    handler = configure_node_logging(cfg.name)
    incarnation = clock.wall_ms()
    app = Application(f"node.{cfg.name}")
    store = PlatformClient(cfg.store_address)
    fleet_state = FleetState(store)
    pool = ServerPool(cfg.source_ip)
    metrics = DeferredMetrics()
    peers = PeerCoordinator(
        cfg.name,
        cfg.peer_address,
        cfg.seeds,
        store,
        incarnation,
        lambda seq: node.build_heartbeat(seq),
        cfg.failure_domain,
    )
    router = PlacementRouter(
        fleet_state,
        peers.table,
        cfg.failure_domain,
        cfg.weights_s - WEIGHTS_MARGIN_S,
        cfg.limit_grace_s,
    )
    origins = OriginCoordinator(cfg.name, fleet_state, store, peers)
    servers = ServerClient()
    quotas = QuotaCoordinator(
        cfg.name, incarnation, fleet_state, peers, quota_rule(cfg), metrics
    )
    relay = Relay(
        cfg, fleet_state, peers.table, router, pool, metrics, origins, servers, quotas
    )
    memory = MemoryBudget(cfg.client_limits)
    ingress = Ingress(cfg.callers_address, fleet_state, relay, memory)
    node_ingress = Ingress(
        cfg.peer_address,
        fleet_state,
        relay,
        memory,
        lambda host: any(
            address.rsplit(":", 1)[0] == host for address in peers.known_addresses
        ),
    )
    node = Node(
        cfg,
        incarnation,
        fleet_state,
        relay,
        router,
        pool,
        ingress,
        metrics,
        node_ingress,
    )
    weights = WeightsCoordinator(
        cfg.name, fleet_state, peers, store, servers, cfg.lease_s, cfg.weights_s
    )
    target_times = TargetTimes(fleet_state, store, peers)
    caches = CacheWatcher(fleet_state, peers.table, router.segments, servers)
    node.register_callbacks(peers, weights, caches, target_times)
    watcher = SettingsWatcher(cfg, reread, node.reload)
    for component in (
        watcher,
        fleet_state,
        peers,
        caches,
        node,
        ingress,
        node_ingress,
        weights,
        target_times,
        origins,
        quotas,
    ):
        app.add(component)
    try:
        app.run()
    finally:
        handler.flush_queue()
