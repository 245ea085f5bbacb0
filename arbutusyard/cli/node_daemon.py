"""Put the components of a node on the users' platform together."""

import logging

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.knowledge import Knowledge
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.gateway.exchange import Relay
from arbutusyard.gateway.ingress import Ingress
from arbutusyard.gateway.node import Node
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.logs.handler import configure_node_logging
from arbutusyard.metrics.registry import EntryMetrics
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.servers import ServerClient
from arbutusyard.weights.coordinator import WeightsCoordinator

_LOGGER = logging.getLogger(__name__)


def run_node(cfg: NodeSettings) -> None:
    """Run a node until it is told to stop."""
    handler = configure_node_logging()
    incarnation = clock.wall_ms()
    app = Application(f"node.{cfg.name}")
    store = PlatformClient(cfg.store_address)
    knowledge = Knowledge(store)
    pool = ServerPool()
    metrics = EntryMetrics()
    peers = PeerCoordinator(
        cfg.name,
        cfg.peer_address,
        cfg.seeds,
        store,
        incarnation,
        lambda seq: node.describe(seq),
    )
    router = PlacementRouter(knowledge, peers.table, cfg.failure_domain)
    relay = Relay(cfg, knowledge, peers.table, router, pool, metrics)
    ingress = Ingress(cfg.callers_address, knowledge, relay, cfg.max_fds)
    node = Node(cfg, incarnation, knowledge, relay, router, pool, ingress, metrics)
    weights = WeightsCoordinator(
        cfg.name, knowledge, peers, store, ServerClient(), cfg.lease_s
    )
    node.bind(peers, weights)
    for component in (knowledge, peers, node, ingress, weights):
        app.add(component)
    app.run()
    handler.flush_queue()
