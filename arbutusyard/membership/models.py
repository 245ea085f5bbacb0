"""Members and the datagrams between them."""

import enum

from msgspec import Struct


class Status(enum.IntEnum):
    """State of a member; at the same incarnation the higher value takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class EntryView(Struct, frozen=True, array_like=True):
    """Entry that clients may use."""

    name: str
    address: str
    failure_domain: str
    draining: bool = False


class AccountDemand(Struct, frozen=True, array_like=True):
    """Rate that a client account requests from a node, in tokens per second."""

    account: str
    tokens_per_s: float


class Member(Struct, frozen=True, array_like=True):
    """Record of a node; the node raises the version when it changes its own record."""

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
    """Probe that a live member answers with an Ack."""

    seq: int
    updates: tuple[Member, ...]


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    """Answer to a ping."""

    seq: int
    updates: tuple[Member, ...]


class PingRequest(Struct, frozen=True, array_like=True, tag="req"):
    """Request to a member to ping another one on the sender's behalf."""

    seq: int
    target: str
    updates: tuple[Member, ...]


Datagram = Ping | Ack | PingRequest
