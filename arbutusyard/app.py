"""Run the components of a daemon through their life cycle."""

import enum
import logging
import signal
from collections.abc import Callable
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
    """Define a part of a daemon that can be set up, drained and unloaded."""

    name: str

    def setup(self, app: "Application") -> None:
        """Start the component."""

    def drain(self) -> None:
        """Refuse new work and wait for work in progress."""

    def unload(self) -> None:
        """Stop the component and release its resources."""


class Application:
    """Set up components in order and unload them in reverse order."""

    __slots__ = ("_components", "_stop", "name", "state", "supervisor")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = AppState.NOT_STARTED
        self.supervisor = Supervisor(name)
        self._components: list[Component] = []
        self._stop = Event()

    def add(self, component: Component) -> None:
        """Add a component, to be set up after those added before."""
        self._components.append(component)

    def start(self) -> None:
        """Set up every component; raise SetupFailed if one cannot start."""
        check_event_loop()
        self._set_state(AppState.STARTING)
        for component in self._components:
            component.setup(self)
        self._set_state(AppState.RUNNING)

    def run(self) -> None:
        """Start, wait for a stop signal, then drain and unload."""
        gevent.signal_handler(signal.SIGTERM, self.request_stop)
        gevent.signal_handler(signal.SIGINT, self.request_stop)
        self.start()
        self._stop.wait()
        self.stop()

    def request_stop(self) -> None:
        """Make `run` drain and unload the application."""
        self._stop.set()

    def stop(self) -> None:
        """Drain every component, then unload in reverse order.

        The failure of one must not end the requests that another one still serves.
        """
        self._set_state(AppState.STOPPING)
        for component in self._components:
            self._run_step(component.drain, component.name)
        for component in reversed(self._components):
            self._run_step(component.unload, component.name)
        self.supervisor.stop()
        self._set_state(AppState.STOPPED)

    def _run_step(self, step: Callable[[], None], name: str) -> None:
        try:
            step()
        except Exception as exc:
            _LOGGER.exception(
                "Component %s failed to %s with %s: %s",
                name,
                step.__name__,
                type(exc).__name__,
                exc,
            )

    def _set_state(self, state: AppState) -> None:
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
            f"libev backend {loop.backend!r} is not 'epoll'; unset LIBEV_FLAGS"
        )
