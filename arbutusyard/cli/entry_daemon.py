"""Assemble and run the entry daemon."""

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.claims.coordinator import ClaimCoordinator
from arbutusyard.cli.admin import AdminServer
from arbutusyard.cli.settings import EntrySettings
from arbutusyard.cli.start import announce, configure_logging
from arbutusyard.entry.chat import ChatService
from arbutusyard.entry.link import ControlLink
from arbutusyard.entry.resume import ResumeTokens
from arbutusyard.entry.server import CallerServer
from arbutusyard.entry.services import ServiceCaller
from arbutusyard.entry.state import EntryState
from arbutusyard.entry.status import entry_status
from arbutusyard.limits.coordinator import Limiter
from arbutusyard.membership.models import EntryView
from arbutusyard.metrics.registry import EntryMetrics
from arbutusyard.platform.client import PlatformClient
from arbutusyard.routing.coordinator import Router
from arbutusyard.rpc.authentication import MessageAuthenticator
from arbutusyard.rpc.loop import LoopRunner


def run_entry(cfg: EntrySettings) -> None:
    """Run an entry daemon until it is stopped."""
    configure_logging()
    app = Application(f"entry.{cfg.name}")
    authenticator = MessageAuthenticator(cfg.keys)
    metrics = EntryMetrics(cfg.otlp_endpoint)
    own_entry = EntryView(cfg.name, "", cfg.failure_domain)
    state = EntryState(own_entry, Router(), Limiter())
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
    bound_address = server.bind(cfg.listen)
    state.own_entry = EntryView(
        cfg.name, cfg.advertise or bound_address, cfg.failure_domain
    )
    state.entries = (state.own_entry,)
    admin = AdminServer(
        cfg.admin_listen,
        lambda: entry_status(state, clock.now()),
        metrics.text,
        app.request_stop,
        cfg.keys,
    )
    loop = LoopRunner()
    link = ControlLink(loop, authenticator, cfg.control, state)
    for component in (loop, link, server, admin):
        app.add(component)
    announce(app, {"listen": bound_address, "admin": admin.address})
    app.run()
    metrics.shutdown()
