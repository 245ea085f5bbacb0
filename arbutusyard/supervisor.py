"""Supervise long-running tasks and restart failed ones."""

import enum
import logging
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import Greenlet

from arbutusyard import clock

_LOGGER = logging.getLogger(__name__)

# Delay before the first restart of a failed task, in seconds; each further restart
# doubles it up to the maximum.
FIRST_RESTART_DELAY_S: Final = 0.1
# Maximum delay before a restart, in seconds. Requests are placed by what tasks follow.
MAX_RESTART_DELAY_S: Final = 1.0
# Time without a failure after which a task counts as sound again, in seconds.
SOUND_AFTER_S: Final = 10.0
# Maximum time to wait for stopped tasks to end, in seconds.
STOP_TIMEOUT_S: Final = 2.0


class Restart(enum.Enum):
    """State whether a task is restarted after it has failed."""

    ALWAYS = "always"
    NEVER = "never"


class Supervisor:
    """Supervise the tasks of one component; nested supervisors form a tree."""

    __slots__ = ("_children", "_stopping", "_tasks", "name", "restarts")

    def __init__(self, name: str) -> None:
        self.name = name
        self.restarts = 0
        self._tasks: set[Greenlet] = set()
        self._children: list[Supervisor] = []
        self._stopping = False

    def child(self, name: str) -> "Supervisor":
        """Add a child supervisor, which is stopped before this one's tasks."""
        child = Supervisor(f"{self.name}.{name}")
        self._children.append(child)
        return child

    def spawn(
        self,
        name: str,
        func: Callable[..., None],
        *args: Any,
        restart: Restart = Restart.ALWAYS,
    ) -> Greenlet:
        """Run a function in a new task, restarted on failure as `restart` states."""
        task = gevent.spawn(self._run, name, func, args, restart)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
        return task

    def stop(self) -> None:
        """Stop the child supervisors, then this one's tasks."""
        self._stopping = True
        for child in reversed(self._children):
            child.stop()
        gevent.killall(list(self._tasks), timeout=STOP_TIMEOUT_S)

    def _run(
        self,
        name: str,
        func: Callable[..., None],
        args: tuple[Any, ...],
        restart: Restart,
    ) -> None:
        delay_s = FIRST_RESTART_DELAY_S
        while not self._stopping:
            started_at = clock.now()
            try:
                func(*args)
                return
            except Exception as exc:
                if clock.now() - started_at >= SOUND_AFTER_S:
                    delay_s = FIRST_RESTART_DELAY_S
                # Log lines may be shortened, and then lack the traceback.
                _LOGGER.exception(
                    "Task %s.%s failed with %s: %s",
                    self.name,
                    name,
                    type(exc).__name__,
                    exc,
                    extra={
                        "ran_s": round(clock.now() - started_at, 3),
                        "restart_in_s": None if restart is Restart.NEVER else delay_s,
                    },
                )
            if restart is Restart.NEVER:
                return
            self.restarts += 1
            gevent.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RESTART_DELAY_S)
