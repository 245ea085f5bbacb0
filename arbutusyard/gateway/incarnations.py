"""Verify that a server is still the incarnation that its entry describes."""

import logging
from typing import Final

import gevent
from gevent.event import AsyncResult

from arbutusyard import clock
from arbutusyard.fleet.servers import Server
from arbutusyard.limits.server_limits import ServerLimits
from arbutusyard.platform.exceptions import PlatformOutcomeUnknown
from arbutusyard.platform.servers import ServerClient

_LOGGER = logging.getLogger(__name__)

# Time after a failed check before the same incarnation is asked again, in seconds.
# Requests that arrive meanwhile do not wait.
VERIFY_PAUSE_S: Final = 0.5


class IncarnationCheck:
    """Ask servers that may have started again under their ids when they started.

    The entry of such a server may be late and name another software version. Servers
    answer this at their reports, which cost as much as a health check.
    """

    __slots__ = ("_client", "_limits", "_running")

    def __init__(self, client: ServerClient | None, limits: ServerLimits) -> None:
        self._client = client
        self._limits = limits
        # Checks under way; requests to the same server share one.
        self._running: dict[tuple[str, int], AsyncResult] = {}

    def is_current(self, server: Server) -> bool:
        """Return whether a server is known to be the incarnation of its entry."""
        if (
            self._client is None
            or server.restart_suspected_at <= server.verified_at
            or not server.entry.started_at_ms
        ):
            return True
        if clock.now() < server.verify_after:
            return False
        running = self._running.get(server.incarnation)
        if running is None:
            running = self._running[server.incarnation] = AsyncResult()
            # A task of its own, since the request that needs it first may be given up.
            gevent.spawn(self._run, server, running)
        return running.get()

    def _run(self, server: Server, running: AsyncResult) -> None:
        is_current = False
        try:
            is_current = self._verify(server)
        finally:
            if not is_current:
                server.verify_after = clock.now() + VERIFY_PAUSE_S
            del self._running[server.incarnation]
            running.set(is_current)

    def _verify(self, server: Server) -> bool:
        sent_at = clock.now()
        entry = server.entry
        # A server's limit counts reports, too.
        self._limits.count_sent(server.incarnation, sent_at)
        try:
            report = self._client.report(entry.address, entry.server_id)
        except PlatformOutcomeUnknown as exc:
            _LOGGER.info(
                "Cannot verify when server %s started: %s",
                entry.server_id,
                exc,
                extra={"server": entry.server_id},
            )
            return False
        # A report without a start proves nothing against the entry.
        if report.started_at_ms in (0, entry.started_at_ms):
            server.verified_at = sent_at
            return True
        _LOGGER.info(
            "Server %s has started again; its entry is late",
            entry.server_id,
            extra={
                "server": entry.server_id,
                "born_ms": report.started_at_ms,
                "entry_born_ms": entry.started_at_ms,
            },
        )
        return False
