"""Run the asyncio loop that grpclib needs in one greenlet."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import gevent
from gevent.event import AsyncResult, Event

from arbutusyard.app import Application
from arbutusyard.rpc.exceptions import PeerUnreachable

CALL_TIMEOUT_S: Final = 3.0
STOP_TIMEOUT_S: Final = 1.0

T = TypeVar("T")


class LoopRunner:
    """Own the asyncio loop of a process."""

    name = "rpc_loop"

    __slots__ = ("_greenlet", "_ready", "loop")

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self._ready = Event()
        self._greenlet: gevent.Greenlet | None = None

    def setup(self, app: Application) -> None:
        """Start the loop."""
        self._greenlet = gevent.spawn(self._run)
        self._ready.wait()

    def drain(self) -> None:
        """Do nothing; users of the loop drain themselves."""

    def unload(self) -> None:
        """Stop the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._greenlet.join(timeout=STOP_TIMEOUT_S)

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task of the loop."""
        self.loop.call_soon_threadsafe(lambda: self.loop.create_task(coro))

    def call(
        self, coro: Coroutine[Any, Any, T], timeout_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Run a coroutine and wait; raise PeerUnreachable when it fails."""
        fut: AsyncResult = AsyncResult()

        async def run() -> None:
            try:
                fut.set(await asyncio.wait_for(coro, timeout_s))
            except Exception as exc:
                fut.set_exception(exc)

        self.spawn(run())
        try:
            return fut.get()
        except Exception as exc:
            raise PeerUnreachable(f"call failed: {exc!r}") from exc

    def _run(self) -> None:
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.loop.call_soon(self._ready.set)
        self.loop.run_forever()
