"""Define the messages between a control daemon, its entries and its peers."""

from msgspec import Struct

from arbutusyard.backends.models import Backend
from arbutusyard.config.delta import Delta
from arbutusyard.config.models import Configuration
from arbutusyard.membership.models import AccountDemand, EntryView, Member


class Attach(Struct, frozen=True, tag="attach"):
    """Carry an entry's first message, with the configuration revision that it holds."""

    entry: EntryView
    revision: int


class EntryReport(Struct, frozen=True, tag="report"):
    """Report an entry's load: its requests in flight and the demand of each account."""

    entry: EntryView
    revision: int
    in_flight: int
    demands: tuple[AccountDemand, ...]


class ConfigSnapshot(Struct, frozen=True, tag="config"):
    """Carry the whole configuration."""

    config: Configuration


class ConfigDeltas(Struct, frozen=True, tag="deltas"):
    """Carry configuration deltas since the revision that the receiver holds."""

    deltas: tuple[Delta, ...]


class BackendChanges(Struct, frozen=True, tag="backends"):
    """Carry the changed backend servers, and the names of all backend servers."""

    changed: tuple[Backend, ...]
    names: tuple[str, ...]


class EntryList(Struct, frozen=True, tag="entries"):
    """List every entry that clients may use."""

    entries: tuple[EntryView, ...]


class AccountShare(Struct, frozen=True, array_like=True):
    """Hold the fraction (0 to 1) of an account's limit that an entry may use."""

    account: str
    fraction: float


class ShareList(Struct, frozen=True, tag="shares"):
    """List the shares of the accounts that an entry reported."""

    shares: tuple[AccountShare, ...]


EntryMessage = Attach | EntryReport
ControlMessage = ConfigSnapshot | ConfigDeltas | BackendChanges | EntryList | ShareList


class PullRequest(Struct, frozen=True):
    """Request from a peer everything newer than a configuration revision."""

    revision: int
    with_backends: bool = False


class PullReply(Struct, frozen=True):
    """Reply with configuration deltas, or with the whole configuration."""

    deltas: tuple[Delta, ...] = ()
    config: Configuration | None = None
    backends: tuple[Backend, ...] = ()
    members: tuple[Member, ...] = ()
