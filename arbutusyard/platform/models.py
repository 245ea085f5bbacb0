"""Define the messages of the platform's services."""

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


class Transaction(Struct, frozen=True):
    """Group operations that take effect together or not at all."""

    ops: tuple[Operation, ...]


class TransactionResult(Struct, frozen=True):
    """Tell whether a transaction was committed, and each row's new version."""

    committed: bool
    versions: tuple[int, ...] = ()


class Row(Struct, frozen=True):
    """Hold one row; version 0 means that it is absent."""

    key: str
    value: bytes
    version: int


class RowList(Struct, frozen=True):
    """Hold the rows of a scan."""

    rows: tuple[Row, ...]


class Vm(Struct, frozen=True):
    """Describe a VM as the platform's lagging list gives it."""

    vm_id: str
    role: str
    serves: str
    address: str
    failure_domain: str
    leaving: bool = False
    detail: Raw = Raw(b"null")


class VmList(Struct, frozen=True):
    """Hold the platform's lagging list of VMs."""

    vms: tuple[Vm, ...]
