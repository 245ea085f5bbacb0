"""Define the messages between control, its entries and its peers."""

from msgspec import Struct

from arbutusyard.backends.models import Backend
from arbutusyard.config.delta import Delta
from arbutusyard.config.models import Configuration
from arbutusyard.membership.models import AccountDemand, EntryView, Member


class Attach(Struct, frozen=True, tag="attach"):
    """Introduce an entry and name the revision that it holds."""

    entry: EntryView
    revision: int


class EntryReport(Struct, frozen=True, tag="report"):
    """Tell what an entry is asked for."""

    entry: EntryView
    revision: int
    in_flight: int
    demands: tuple[AccountDemand, ...]


class ConfigSnapshot(Struct, frozen=True, tag="config"):
    """Carry a whole configuration."""

    config: Configuration


class ConfigDeltas(Struct, frozen=True, tag="deltas"):
    """Carry the differences since the revision that the receiver holds."""

    deltas: tuple[Delta, ...]


class BackendChanges(Struct, frozen=True, tag="backends"):
    """Carry the backend servers that have changed, and the names of all."""

    changed: tuple[Backend, ...]
    names: tuple[str, ...]


class EntryList(Struct, frozen=True, tag="entries"):
    """Carry every entry that callers may use."""

    entries: tuple[EntryView, ...]


class AccountShare(Struct, frozen=True, array_like=True):
    """Say which part of an account's limit an entry may use, and for how long."""

    account: str
    fraction: float


class ShareList(Struct, frozen=True, tag="shares"):
    """Carry the shares of the accounts that an entry reported."""

    shares: tuple[AccountShare, ...]


EntryMessage = Attach | EntryReport
ControlMessage = ConfigSnapshot | ConfigDeltas | BackendChanges | EntryList | ShareList


class PullRequest(Struct, frozen=True):
    """Ask a peer for what is newer than a revision."""

    revision: int
    with_backends: bool = False


class PullReply(Struct, frozen=True):
    """Answer with differences, or with the whole configuration."""

    deltas: tuple[Delta, ...] = ()
    config: Configuration | None = None
    backends: tuple[Backend, ...] = ()
    members: tuple[Member, ...] = ()
