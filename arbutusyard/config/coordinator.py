"""Keep a node's current configuration up to date; its revision never decreases."""

import contextlib
import logging
from collections import deque

import gevent
from gevent.event import Event

from arbutusyard.app import Application
from arbutusyard.config.const import (
    MAX_DELTAS_CACHED,
    POLL_INTERVAL_S,
    READS_PER_S_MAX,
)
from arbutusyard.config.delta import Delta, diff, patch
from arbutusyard.config.exceptions import ConfigError
from arbutusyard.config.models import Configuration
from arbutusyard.config.store import ConfigStore
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class ConfigCoordinator:
    """Hold the current configuration, replaced only by greater revisions.

    Newer revisions come from the platform or from peers.
    """

    name = "config"

    __slots__ = ("_deltas", "_store", "_supervisor", "changed", "current", "members")

    def __init__(self, store: ConfigStore) -> None:
        self._store = store
        self._deltas: deque[Delta] = deque(maxlen=MAX_DELTAS_CACHED)
        self._supervisor: Supervisor | None = None
        self.current = Configuration(0, "")
        self.changed = Event()
        self.members = 1

    def setup(self, app: Application) -> None:
        """Start polling the platform."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("poll", self._poll_forever)

    def drain(self) -> None:
        """Do nothing; the configuration is needed until the process ends."""

    def unload(self) -> None:
        """Stop polling."""
        self._supervisor.stop()

    def apply_if_newer(self, cfg: Configuration) -> bool:
        """Apply a whole configuration if it is newer; return whether it was applied."""
        if cfg.revision <= self.current.revision:
            return False
        self._deltas.append(diff(self.current, cfg))
        self.current = cfg
        _LOGGER.info("Applied configuration revision %d", cfg.revision)
        self.changed.set()
        return True

    def apply_deltas(self, deltas: tuple[Delta, ...]) -> bool:
        """Apply deltas from the current revision on; return whether any was applied."""
        newest = self.current
        for delta in deltas:
            if delta.from_revision == newest.revision:
                newest = patch(newest, delta)
        return self.apply_if_newer(newest)

    def deltas_since(self, revision: int) -> tuple[Delta, ...] | None:
        """Return the deltas since a revision, or None if none or not all are cached."""
        found = []
        for delta in self._deltas:
            if delta.from_revision == (found[-1].revision if found else revision):
                found.append(delta)
        if found and found[-1].revision == self.current.revision:
            return tuple(found)
        return None

    def _poll_forever(self) -> None:
        while True:
            with contextlib.suppress(PlatformError, ConfigError):
                self.apply_if_newer(self._store.read_since(self.current))
            gevent.sleep(max(POLL_INTERVAL_S, self.members / READS_PER_S_MAX))
