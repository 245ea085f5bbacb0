"""Run the asyncio event loop that grpclib needs, in one greenlet."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import gevent
from gevent.event import AsyncResult, Event

from arbutusyard.app import Application
from arbutusyard.rpc.exceptions import PeerUnreachable

# Default timeout of a call, in seconds.
CALL_TIMEOUT_S: Final = 3.0
# Maximum wait for the loop to stop, in seconds.
STOP_TIMEOUT_S: Final = 1.0

T = TypeVar("T")


class LoopRunner:
    """Run the asyncio event loop of a process as a component."""

    name = "rpc_loop"

    __slots__ = ("_greenlet", "_ready", "loop")

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self._ready = Event()
        self._greenlet: gevent.Greenlet | None = None

    def setup(self, app: Application) -> None:
        """Start the loop and wait until it runs."""
        self._greenlet = gevent.spawn(self._run)
        self._ready.wait()

    def drain(self) -> None:
        """Keep the loop running; the components that use it drain themselves."""

    def unload(self) -> None:
        """Stop the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._greenlet.join(timeout=STOP_TIMEOUT_S)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task of the loop."""
        self.loop.call_soon_threadsafe(lambda: self.loop.create_task(coroutine))

    def call(
        self, coroutine: Coroutine[Any, Any, T], timeout_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Return the result of a coroutine; raise PeerUnreachable when it fails."""
        result: AsyncResult = AsyncResult()

        async def run() -> None:
            try:
                result.set(await asyncio.wait_for(coroutine, timeout_s))
            except Exception as exc:
                result.set_exception(exc)

        self.spawn(run())
        try:
            return result.get()
        except Exception as exc:
            raise PeerUnreachable(f"call to another process failed: {exc!r}") from exc

    def _run(self) -> None:
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.loop.call_soon(self._ready.set)
        self.loop.run_forever()
