"""Define the rows of the platform's store and the operations on them."""

from msgspec import Raw, Struct


class Put(Struct, frozen=True, tag="put"):
    """Write a row if its version matches; an absent row has version 0."""

    table: str
    key: str
    value: bytes
    if_version: int


class Check(Struct, frozen=True, tag="check"):
    """Require that a row has a version, without writing it."""

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
    """Hold one row; an absent row has version 0.

    Versions of different eras of the store cannot be compared.
    """

    key: str
    value: bytes
    version: int
    era: int = 0


class Snapshot(Struct, frozen=True):
    """Hold a table's rows at one version in one era of the store."""

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class Changes(Struct, frozen=True):
    """Hold the changed rows of a table up to one version in one era of the store.

    `answered_s` is the time of the answer by the store's clock, in seconds, or None.
    """

    rows: tuple[Row, ...]
    version: int
    era: int = 0
    answered_s: float | None = None


class Vm(Struct, frozen=True):
    """Hold a VM's entry in the list of VMs."""

    vm_id: str
    role: str
    serves: str
    address: str
    failure_domain: str
    leaving: bool = False
    detail: Raw = Raw(b"null")


class VmList(Struct, frozen=True):
    """Hold the list of VMs, which lags behind their real state."""

    vms: tuple[Vm, ...]
