"""Reload the settings while a node runs."""

import logging
import signal
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from arbutusyard.app import Application
from arbutusyard.exceptions import SetupFailed
from arbutusyard.gateway.settings import NodeSettings
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)

# Interval between reads of the settings file, in seconds. The file may change without a
# signal; reading it takes a fraction of a millisecond.
READ_INTERVAL_S: Final = 5.0


class SettingsWatcher:
    """Reread the settings on SIGHUP and at regular intervals."""

    name = "settings"

    __slots__ = ("_apply", "_current", "_read", "_supervisor", "_wake")

    def __init__(
        self,
        current: NodeSettings,
        read: Callable[[], NodeSettings],
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._current = current
        self._read = read
        self._apply = apply
        self._supervisor: Supervisor | None = None
        self._wake = Event()

    def setup(self, app: Application) -> None:
        """Start watching."""
        gevent.signal_handler(signal.SIGHUP, self._wake.set)
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("watch", self._watch_forever)

    def drain(self) -> None:
        """Do nothing; settings may change until the node exits."""

    def unload(self) -> None:
        """Stop watching."""
        self._supervisor.stop()

    def check(self) -> None:
        """Read the settings once and apply them if they are valid and changed."""
        try:
            cfg = self._read()
        except SetupFailed as exc:
            _LOGGER.error("Changed settings are rejected: %s", exc)
            return
        if cfg == self._current:
            return
        self._current = cfg
        self._apply(cfg)
        _LOGGER.info("Changed settings are in force")

    def _watch_forever(self) -> None:
        while True:
            if self._wake.wait(READ_INTERVAL_S):
                _LOGGER.info("Received SIGHUP; rereading the settings")
            self._wake.clear()
            self.check()
