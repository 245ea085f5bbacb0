"""Record what a client has received of its answer, over all attempts at it."""

import copy

from msgspec import Struct

from arbutusyard.gateway.events import EventSequence


class Delivery(Struct):
    """Hold what was relayed to a client, whichever server or node it came from."""

    sequence: EventSequence
    # Number of events relayed.
    events: int = 0
    first_event_at: float | None = None
    # A part of a body was relayed that has no events after which it could go on.
    has_body: bool = False
    # Bytes after the last complete event of the newest stream.
    incomplete_bytes: int = 0

    def can_resume(self) -> bool:
        """Tell whether the ids of the relayed events say where the answer goes on."""
        return not self.has_body and not self.sequence.has_unnumbered

    def fork(self) -> "Delivery":
        """Return a copy for one of several attempts that run side by side."""
        delivery = copy.copy(self)
        delivery.sequence = copy.copy(self.sequence)
        return delivery
