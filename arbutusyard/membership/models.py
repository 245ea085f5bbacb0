"""Define members and the datagrams between them."""

import enum

from msgspec import Struct


class Status(enum.IntEnum):
    """Name a member's states; at equal incarnations the higher value has precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class EntryView(Struct, frozen=True, array_like=True):
    """Describe an entry that clients may use."""

    name: str
    address: str
    failure_domain: str
    draining: bool = False


class AccountDemand(Struct, frozen=True, array_like=True):
    """Hold the demand of a client account on a node, as a rate in tokens per second."""

    account: str
    tokens_per_s: float


class Member(Struct, frozen=True, array_like=True):
    """Hold a node's record; a node that changes its own record raises the version."""

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

    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key that decides which of two records is newer."""
        return (self.incarnation, int(self.status), self.version)


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Probe a member, which answers with an Ack if it is live."""

    seq: int
    updates: tuple[Member, ...]


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    """Answer a ping."""

    seq: int
    updates: tuple[Member, ...]


class PingRequest(Struct, frozen=True, array_like=True, tag="req"):
    """Ask a member to ping another one on the sender's behalf."""

    seq: int
    target: str
    updates: tuple[Member, ...]


Datagram = Ping | Ack | PingRequest
