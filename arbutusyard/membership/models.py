"""Define members and the datagrams between them."""

import enum

from msgspec import Struct


class Status(enum.IntEnum):
    """Name a member's states; at one incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class EntryView(Struct, frozen=True, array_like=True):
    """Describe an entry that callers may use."""

    name: str
    address: str
    failure_domain: str
    draining: bool = False


class AccountDemand(Struct, frozen=True, array_like=True):
    """Say how many tokens a second an account asks of a node."""

    account: str
    tokens_per_s: float


class Member(Struct, frozen=True, array_like=True):
    """Describe a node; its own changes raise the version."""

    name: str
    incarnation: int
    version: int
    status: Status
    address: str
    rpc: str
    region: str
    failure_domain: str
    revision: int = 0
    entries: tuple[EntryView, ...] = ()
    demands: tuple[AccountDemand, ...] = ()

    def order(self) -> tuple[int, int, int]:
        """Return the key by which a newer record wins."""
        return (self.incarnation, int(self.status), self.version)


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Ask a member for a sign of life."""

    seq: int
    updates: tuple[Member, ...]


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    """Answer a ping."""

    seq: int
    updates: tuple[Member, ...]


class PingRequest(Struct, frozen=True, array_like=True, tag="req"):
    """Ask a member to ping another one."""

    seq: int
    target: str
    updates: tuple[Member, ...]


Datagram = Ping | Ack | PingRequest
