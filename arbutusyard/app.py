"""Hold the components of a daemon and drive their life cycle."""

import enum
import logging
import signal
from typing import Protocol

import gevent
from gevent.event import Event

from arbutusyard.exceptions import EventLoopUnsupported
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class AppState(enum.Enum):
    """Name the states of an application."""

    NOT_STARTED = "not_started"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Component(Protocol):
    """Describe a part of a daemon that can be set up and unloaded."""

    name: str

    def setup(self, app: "Application") -> None:
        """Start the component."""

    def drain(self) -> None:
        """Refuse new work and wait for work in hand."""

    def unload(self) -> None:
        """Release what the component holds."""


class Application:
    """Set up components in order and unload them in reverse."""

    __slots__ = ("_components", "_stop", "name", "state", "supervisor")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = AppState.NOT_STARTED
        self.supervisor = Supervisor(name)
        self._components: list[Component] = []
        self._stop = Event()

    def add(self, component: Component) -> None:
        """Append a component to the start order."""
        self._components.append(component)

    def start(self) -> None:
        """Set up every component; raise SetupFailed when one cannot start."""
        check_event_loop()
        self._enter(AppState.STARTING)
        for component in self._components:
            component.setup(self)
        self._enter(AppState.RUNNING)

    def run(self) -> None:
        """Start, wait for a stop signal, then drain and unload."""
        gevent.signal_handler(signal.SIGTERM, self.request_stop)
        gevent.signal_handler(signal.SIGINT, self.request_stop)
        self.start()
        self._stop.wait()
        self.stop()

    def request_stop(self) -> None:
        """Ask the application to drain and end."""
        self._stop.set()

    def stop(self) -> None:
        """Drain every component, then unload in reverse order."""
        self._enter(AppState.STOPPING)
        for component in self._components:
            component.drain()
        for component in reversed(self._components):
            component.unload()
        self.supervisor.stop()
        self._enter(AppState.STOPPED)

    def _enter(self, state: AppState) -> None:
        self.state = state
        _LOGGER.info("Application %s is %s", self.name, state.value)


def check_event_loop() -> None:
    """Raise EventLoopUnsupported unless gevent runs on libev with epoll."""
    loop = gevent.get_hub().loop
    if "libev" not in type(loop).__module__:
        raise EventLoopUnsupported(
            f"event loop {type(loop).__module__!r} is not libev; unset GEVENT_LOOP"
        )
    if loop.backend != "epoll":
        raise EventLoopUnsupported(
            f"libev back end {loop.backend!r} is not 'epoll'; unset LIBEV_FLAGS"
        )
