"""Take over settings that change while a node runs."""

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

# The file may change without a signal; a reading costs a fraction of a millisecond.
READ_INTERVAL_S: Final = 5.0


class SettingsWatcher:
    """Read the settings again at SIGHUP and from time to time."""

    name = "settings"

    __slots__ = ("_apply", "_known", "_read", "_supervisor", "_wake")

    def __init__(
        self,
        known: NodeSettings,
        read: Callable[[], NodeSettings],
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._known = known
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
        """Do nothing; settings may change until the end."""

    def unload(self) -> None:
        """Stop watching."""
        self._supervisor.stop()

    def check(self) -> None:
        """Read the settings once and take them over if they are good and new."""
        try:
            cfg = self._read()
        except SetupFailed as exc:
            _LOGGER.error("Changed settings are not taken over: %s", exc)
            return
        if cfg == self._known:
            return
        self._known = cfg
        self._apply(cfg)
        _LOGGER.info("Changed settings are in force")

    def _watch_forever(self) -> None:
        while True:
            if self._wake.wait(READ_INTERVAL_S):
                _LOGGER.info("Asked to read the settings again")
            self._wake.clear()
            self.check()
