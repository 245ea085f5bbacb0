"""Serve attached entries and peers by RPC, over grpclib."""

import asyncio
from collections.abc import Callable

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.control.const import FAN_OUT_INTERVAL_S, PATH_ATTACH, PATH_PULL
from arbutusyard.control.coordinator import ControlCoordinator, SentState
from arbutusyard.control.messages import (
    Attach,
    ControlMessage,
    EntryMessage,
    EntryReport,
    PullReply,
    PullRequest,
)
from arbutusyard.rpc.authentication import MessageAuthenticator
from arbutusyard.rpc.codec import AuthenticatedCodec
from arbutusyard.rpc.loop import LoopRunner


class ControlService:
    """Handle Attach streams of entries and Pull calls of peers."""

    name = "control_service"

    __slots__ = (
        "_authenticator",
        "_control",
        "_host",
        "_loop",
        "_port",
        "_server",
        "address",
    )

    def __init__(
        self, loop: LoopRunner, authenticator: MessageAuthenticator, listen: str
    ) -> None:
        self._loop = loop
        self._authenticator = authenticator
        self._host, port = listen.rsplit(":", 1)
        self._port = int(port)
        self._control: ControlCoordinator | None = None
        self._server: Server | None = None
        self.address = ""

    def bind(self, control: ControlCoordinator) -> None:
        """Set the coordinator that handles the calls."""
        self._control = control

    def setup(self, app: Application) -> None:
        """Start listening."""
        self._loop.call(self._start())

    def drain(self) -> None:
        """Do nothing; entries detect the end of their stream."""

    def unload(self) -> None:
        """Stop listening."""
        self._loop.loop.call_soon_threadsafe(self._server.close)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PATH_ATTACH: Handler(
                self._attach, Cardinality.STREAM_STREAM, EntryMessage, ControlMessage
            ),
            PATH_PULL: Handler(
                self._pull, Cardinality.UNARY_UNARY, PullRequest, PullReply
            ),
        }

    async def _start(self) -> None:
        self._server = Server([self], codec=AuthenticatedCodec(self._authenticator))
        await self._server.start(self._host, self._port)
        port = self._server._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    async def _attach(self, stream: Stream) -> None:
        attach = await stream.recv_message()
        if not isinstance(attach, Attach):
            return
        name = attach.entry.name
        report = EntryReport(attach.entry, attach.revision, 0, ())
        self._control.apply_report(report, clock.now())
        reader = asyncio.get_running_loop().create_task(self._receive_reports(stream))
        sent = SentState(revision=attach.revision)
        try:
            while not reader.done():
                for message in self._control.messages(name, sent, clock.now()):
                    await stream.send_message(message)
                await asyncio.wait([reader], timeout=FAN_OUT_INTERVAL_S)
        finally:
            reader.cancel()
            self._control.detach(name, clock.now())

    async def _receive_reports(self, stream: Stream) -> None:
        while (message := await stream.recv_message()) is not None:
            if isinstance(message, EntryReport):
                self._control.apply_report(message, clock.now())

    async def _pull(self, stream: Stream) -> None:
        req = await stream.recv_message()
        await stream.send_message(self._control.answer_pull(req, clock.now()))


def pull_client(
    loop: LoopRunner, authenticator: MessageAuthenticator
) -> Callable[[str, PullRequest], PullReply]:
    """Return a function that sends a pull request to the peer at an address."""

    async def call(address: str, req: PullRequest) -> PullReply:
        host, port = address.rsplit(":", 1)
        async with Channel(
            host, int(port), codec=AuthenticatedCodec(authenticator)
        ) as channel:
            method = UnaryUnaryMethod(channel, PATH_PULL, PullRequest, PullReply)
            return await method(req)

    return lambda address, req: loop.call(call(address, req))
