"""Hold the configuration in force and keep it up to date; it never goes back."""

import contextlib
import logging
from collections import deque

import gevent
from gevent.event import Event

from arbutusyard.app import Application
from arbutusyard.config.const import (
    MAX_DELTAS_KEPT,
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
    """Take greater revisions only, from the platform or from peers."""

    name = "config"

    __slots__ = ("_deltas", "_store", "_supervisor", "changed", "current", "members")

    def __init__(self, store: ConfigStore) -> None:
        self._store = store
        self._deltas: deque[Delta] = deque(maxlen=MAX_DELTAS_KEPT)
        self._supervisor: Supervisor | None = None
        self.current = Configuration(0, "")
        self.changed = Event()
        self.members = 1

    def setup(self, app: Application) -> None:
        """Start polling the platform."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("poll", self._poll_forever)

    def drain(self) -> None:
        """Do nothing; the configuration stays in force to the end."""

    def unload(self) -> None:
        """Stop polling."""
        self._supervisor.stop()

    def offer(self, cfg: Configuration) -> bool:
        """Take a whole configuration if it is newer."""
        if cfg.revision <= self.current.revision:
            return False
        self._deltas.append(diff(self.current, cfg))
        self.current = cfg
        _LOGGER.info("Configuration revision %d is in force", cfg.revision)
        self.changed.set()
        return True

    def offer_deltas(self, deltas: tuple[Delta, ...]) -> bool:
        """Apply differences that start at the present revision."""
        newest = self.current
        for delta in deltas:
            if delta.from_revision == newest.revision:
                newest = patch(newest, delta)
        return self.offer(newest)

    def deltas_since(self, revision: int) -> tuple[Delta, ...] | None:
        """Return the differences since a revision, or None when they are gone."""
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
                self.offer(self._store.read_since(self.current))
            gevent.sleep(max(POLL_INTERVAL_S, self.members / READS_PER_S_MAX))
