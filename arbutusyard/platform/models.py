"""Define the rows of the platform's store and the changes made to them."""

from msgspec import Raw, Struct


class Put(Struct, frozen=True, tag="put"):
    """Write a row if its version matches; version 0 means that it is absent."""

    table: str
    key: str
    value: bytes
    if_version: int


class Check(Struct, frozen=True, tag="check"):
    """Require a row to be at a version without writing it."""

    table: str
    key: str
    if_version: int


class Delete(Struct, frozen=True, tag="delete"):
    """Remove a row if its version matches."""

    table: str
    key: str
    if_version: int


Operation = Put | Check | Delete


class Row(Struct, frozen=True):
    """Hold one row; version 0 means that it is absent.

    Versions of different eras say nothing of each other.
    """

    key: str
    value: bytes
    version: int
    era: int = 0


class Snapshot(Struct, frozen=True):
    """Hold a table as of one version of one era of the store."""

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class Changes(Struct, frozen=True):
    """Hold the rows of a table that changed up to a version of an era."""

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class Vm(Struct, frozen=True):
    """Describe a VM as the list of VMs gives it."""

    vm_id: str
    role: str
    serves: str
    address: str
    failure_domain: str
    leaving: bool = False
    detail: Raw = Raw(b"null")


class VmList(Struct, frozen=True):
    """Hold the lagging list of VMs."""

    vms: tuple[Vm, ...]
