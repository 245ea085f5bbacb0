"""Observe the events of a server while they are relayed."""

from typing import TYPE_CHECKING

from arbutusyard.gateway.answer_relay import StreamObserver
from arbutusyard.gateway.events import StreamEvent
from arbutusyard.gateway.router import Placement

if TYPE_CHECKING:
    from arbutusyard.gateway.exchange import Dispatcher, Exchange


class ServerStream(StreamObserver):
    """Observe the events of a server for its dispatcher."""

    __slots__ = ("_dispatcher", "_exchange", "_is_current", "_placement")

    def __init__(
        self,
        dispatcher: "Dispatcher",
        exchange: "Exchange",
        placement: Placement,
        is_current: bool,
    ) -> None:
        self._is_current = is_current
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._placement = placement

    def begin(self, now: float) -> None:
        """Record the time of the first event, and its software version."""
        self._dispatcher.begin_stream(
            self._exchange, self._placement, self._is_current, now
        )

    def relay(self, events: list[StreamEvent], now: float) -> None:
        """Record where the stream began, and the weights that its events name."""
        self._dispatcher.record_events(self._exchange, self._placement, events, now)
