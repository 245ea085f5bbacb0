"""Attach to the control daemon of this VM and apply its updates."""

import asyncio
import logging

from grpclib.client import Channel, StreamStreamMethod

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.control.const import ATTACH_RETRY_S, PATH_ATTACH, REPORT_INTERVAL_S
from arbutusyard.control.messages import (
    Attach,
    ControlMessage,
    EntryMessage,
    EntryReport,
)
from arbutusyard.entry.state import EntryState
from arbutusyard.membership.models import AccountDemand
from arbutusyard.rpc.authentication import MessageAuthenticator
from arbutusyard.rpc.codec import AuthenticatedCodec
from arbutusyard.rpc.loop import LoopRunner

_LOGGER = logging.getLogger(__name__)


class ControlLink:
    """Hold one stream to the control daemon and reconnect when it ends."""

    name = "control_link"

    __slots__ = ("_authenticator", "_host", "_loop", "_port", "_state", "attached")

    def __init__(
        self,
        loop: LoopRunner,
        authenticator: MessageAuthenticator,
        address: str,
        state: EntryState,
    ) -> None:
        self._loop = loop
        self._authenticator = authenticator
        self._state = state
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self.attached = False

    def setup(self, app: Application) -> None:
        """Start the connection task."""
        self._loop.spawn(self._run())

    def drain(self) -> None:
        """Do nothing; the regular reports include that the entry is draining."""

    def unload(self) -> None:
        """Do nothing; the event loop ends with the process."""

    async def _run(self) -> None:
        while True:
            try:
                await self._attach()
            except Exception as exc:
                if self.attached:
                    _LOGGER.info("Connection to control daemon lost: %r", exc)
            self.attached = False
            await asyncio.sleep(ATTACH_RETRY_S)

    async def _attach(self) -> None:
        codec = AuthenticatedCodec(self._authenticator)
        async with Channel(self._host, self._port, codec=codec) as channel:
            method = StreamStreamMethod(
                channel, PATH_ATTACH, EntryMessage, ControlMessage
            )
            async with method.open() as stream:
                await stream.send_message(
                    Attach(self._state.own_entry, self._state.config.revision)
                )
                reporter = asyncio.get_running_loop().create_task(
                    self._send_reports(stream)
                )
                try:
                    await self._receive_updates(stream)
                finally:
                    reporter.cancel()

    async def _receive_updates(self, stream: object) -> None:
        while (message := await stream.recv_message()) is not None:
            self._state.apply(message, clock.now())
            if not self.attached:
                self.attached = True
                _LOGGER.info("Attached to control daemon %s:%d", self._host, self._port)

    async def _send_reports(self, stream: object) -> None:
        while True:
            await stream.send_message(self._build_report(clock.now()))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _build_report(self, now: float) -> EntryReport:
        return EntryReport(
            entry=self._state.own_entry,
            revision=self._state.config.revision,
            in_flight=self._state.in_flight,
            demands=tuple(
                AccountDemand(account, rate)
                for account, rate in self._state.limiter.demands(now).items()
            ),
        )
