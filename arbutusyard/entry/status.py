"""Build the status page of an entry for operators."""

from msgspec import Struct

from arbutusyard.entry.state import EntryState


class EntryStatus(Struct, frozen=True):
    """Hold the status fields of an entry."""

    name: str
    revision: int
    in_flight: int
    draining: bool
    control_age_s: float
    backends: dict[str, str]
    entries: tuple[str, ...]
    known_pieces: int


def entry_status(state: EntryState, now: float) -> EntryStatus:
    """Return the current status of an entry."""
    return EntryStatus(
        name=state.own_entry.name,
        revision=state.config.revision,
        in_flight=state.in_flight,
        draining=state.draining,
        control_age_s=now - state.updated_at,
        backends={b.name: b.state.value for b in state.backends.values()},
        entries=tuple(entry.address for entry in state.entries),
        known_pieces=len(state.router.index),
    )
