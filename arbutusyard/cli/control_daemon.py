"""Assemble and run the control daemon."""

import socket

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.backends.client import BackendClient
from arbutusyard.backends.coordinator import BackendCoordinator
from arbutusyard.cli.admin import AdminServer
from arbutusyard.cli.settings import ControlSettings
from arbutusyard.cli.start import announce, configure_logging
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
from arbutusyard.membership.models import Member, Status
from arbutusyard.platform.client import PlatformClient
from arbutusyard.rpc.authentication import MessageAuthenticator
from arbutusyard.rpc.loop import LoopRunner


def run_control(cfg: ControlSettings) -> None:
    """Run a control daemon until it is stopped."""
    configure_logging()
    app = Application(f"control.{cfg.name}")
    authenticator = MessageAuthenticator(cfg.keys)
    platform = PlatformClient(cfg.platform)
    client = BackendClient()
    loop = LoopRunner()
    service = ControlService(loop, authenticator, cfg.rpc_listen)
    sock = _bind_udp(cfg.listen)
    own_member = Member(
        name=cfg.name,
        incarnation=clock.wall_ms(),
        version=0,
        status=Status.ALIVE,
        address=cfg.advertise or _bound_address(sock),
        rpc="",
        region=cfg.region,
        failure_domain=cfg.failure_domain,
    )
    membership = MembershipCoordinator(own_member, sock, authenticator, cfg.peers)
    config = ConfigCoordinator(ConfigStore(platform, gevent.sleep))
    backends = BackendCoordinator(platform, client)
    pull = pull_client(loop, authenticator)
    control = ControlCoordinator(config, backends, membership, pull)
    orders = OrderCoordinator(config, backends, membership, platform, client)
    service.bind(control)
    admin = AdminServer(
        cfg.admin_listen,
        lambda: control_status(control, orders, clock.now()),
        lambda: b"",
        app.request_stop,
        cfg.keys,
        config.apply_if_newer,
    )
    loop.setup(app)
    service.setup(app)
    membership.table.update_me(rpc=cfg.rpc_advertise or service.address)
    for component in (config, backends, membership, control, orders, admin):
        app.add(component)
    announce(
        app,
        {
            "listen": _bound_address(sock),
            "rpc": service.address,
            "admin": admin.address,
        },
    )
    app.run()


def _bind_udp(listen: str) -> socket.socket:
    host, port = listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.bind((host, int(port)))
    return sock


def _bound_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
