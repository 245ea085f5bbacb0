"""Put the components of each daemon together."""

import json
import logging
import socket
import sys

import gevent
from pythonjsonlogger.json import JsonFormatter

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.backends.client import BackendClient
from arbutusyard.backends.coordinator import BackendCoordinator
from arbutusyard.cli.admin import AdminServer
from arbutusyard.cli.settings import ControlSettings, EntrySettings
from arbutusyard.config.coordinator import ConfigCoordinator
from arbutusyard.config.store import ConfigStore
from arbutusyard.control.coordinator import ControlCoordinator
from arbutusyard.control.orders import OrderCoordinator
from arbutusyard.control.service import ControlService, pull_client
from arbutusyard.control.status import control_status
from arbutusyard.membership.coordinator import (
    SOCKET_BUFFER_BYTES,
    MembershipCoordinator,
)
from arbutusyard.membership.models import EntryView, Member, Status
from arbutusyard.platform.client import PlatformClient
from arbutusyard.rpc.loop import LoopRunner
from arbutusyard.rpc.seal import Sealer


def configure_logging() -> None:
    """Write structured log lines to the standard error stream."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def run_control(cfg: ControlSettings) -> None:
    """Run a control daemon until it is told to stop."""
    configure_logging()
    app = Application(f"control.{cfg.name}")
    sealer = Sealer(cfg.keys)
    platform = PlatformClient(cfg.platform)
    client = BackendClient()
    loop = LoopRunner()
    service = ControlService(loop, sealer, cfg.rpc_listen)
    sock = _bind_udp(cfg.listen)
    me = Member(
        name=cfg.name,
        incarnation=clock.wall_ms(),
        version=0,
        status=Status.ALIVE,
        address=cfg.advertise or _bound(sock),
        rpc="",
        region=cfg.region,
        failure_domain=cfg.failure_domain,
    )
    membership = MembershipCoordinator(me, sock, sealer, cfg.peers)
    config = ConfigCoordinator(ConfigStore(platform, gevent.sleep))
    backends = BackendCoordinator(platform, client)
    pull = pull_client(loop, sealer)
    control = ControlCoordinator(config, backends, membership, pull)
    orders = OrderCoordinator(config, backends, membership, platform, client)
    service.bind(control)
    admin = AdminServer(
        cfg.admin_listen,
        lambda: control_status(control, orders, clock.now()),
        lambda: b"",
        app.request_stop,
        cfg.keys,
        config.offer,
    )
    loop.setup(app)
    service.setup(app)
    membership.table.update_me(rpc=cfg.rpc_advertise or service.address)
    for component in (config, backends, membership, control, orders, admin):
        app.add(component)
    gevent.spawn(
        _announce,
        app,
        {"listen": _bound(sock), "rpc": service.address, "admin": admin.address},
    )
    app.run()


def run_entry(cfg: EntrySettings) -> None:
    """Run an entry daemon until it is told to stop."""
    from arbutusyard.claims.coordinator import ClaimCoordinator
    from arbutusyard.entry.chat import ChatService
    from arbutusyard.entry.link import ControlLink
    from arbutusyard.entry.resume import ResumeTokens
    from arbutusyard.entry.server import CallerServer
    from arbutusyard.entry.services import ServiceCaller
    from arbutusyard.entry.state import EntryState
    from arbutusyard.entry.status import entry_status
    from arbutusyard.limits.coordinator import Limiter
    from arbutusyard.metrics.registry import EntryMetrics
    from arbutusyard.routing.coordinator import Router

    configure_logging()
    app = Application(f"entry.{cfg.name}")
    sealer = Sealer(cfg.keys)
    metrics = EntryMetrics(cfg.otlp_endpoint)
    me = EntryView(cfg.name, "", cfg.failure_domain)
    state = EntryState(me, Router(), Limiter())
    claims = ClaimCoordinator(
        PlatformClient(cfg.platform), gevent.sleep, clock.wall_ms, gevent.spawn
    )
    server = CallerServer(
        state,
        ChatService(state, ResumeTokens(cfg.keys), metrics),
        ServiceCaller(state, claims),
        metrics,
        cfg.keep_s,
        cfg.drain_timeout_s,
    )
    bound = server.bind(cfg.listen)
    state.me = EntryView(cfg.name, cfg.advertise or bound, cfg.failure_domain)
    state.entries = (state.me,)
    admin = AdminServer(
        cfg.admin_listen,
        lambda: entry_status(state, clock.now()),
        metrics.text,
        app.request_stop,
        cfg.keys,
    )
    loop = LoopRunner()
    link = ControlLink(loop, sealer, cfg.control, state)
    for component in (loop, link, server, admin):
        app.add(component)
    gevent.spawn(_announce, app, {"listen": bound, "admin": admin.address})
    app.run()
    metrics.shutdown()


def _announce(app: Application, addresses: dict[str, str]) -> None:
    while app.state.value != "running":
        gevent.sleep(0.005)
    print(json.dumps({"ready": app.name, **addresses}), flush=True)


def _bind_udp(listen: str) -> socket.socket:
    host, port = listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.bind((host, int(port)))
    return sock


def _bound(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
