"""Build the status of a node and its view of the system, for operators."""

from msgspec import Struct

from arbutusyard.control.coordinator import ControlCoordinator
from arbutusyard.control.leases import LeaseState
from arbutusyard.control.orders import OrderCoordinator


class MemberStatus(Struct, frozen=True):
    """Hold the status of one node."""

    name: str
    status: str
    failure_domain: str
    revision: int
    entries: tuple[str, ...]


class BackendStatus(Struct, frozen=True):
    """Hold the status of one backend server."""

    name: str
    serves: str
    state: str
    weights_version: str
    queue_s: float


class LeaseStatus(Struct, frozen=True):
    """Hold the status of one lease that this node tries to hold."""

    group: str
    state: str
    fence: int


class ControlStatus(Struct, frozen=True):
    """Hold a control daemon's status: its view of the system and its traffic counts."""

    name: str
    revision: int
    members: tuple[MemberStatus, ...]
    backends: tuple[BackendStatus, ...]
    leases: tuple[LeaseStatus, ...]
    entries: tuple[str, ...]
    bytes_sent: int
    bytes_received: int
    rejected: int


def control_status(
    control: ControlCoordinator, orders: OrderCoordinator, now: float
) -> ControlStatus:
    """Return the current status of a control daemon."""
    membership = control.membership
    table = membership.table
    return ControlStatus(
        name=table.me.name,
        revision=control.config.current.revision,
        members=tuple(
            MemberStatus(
                name=member.name,
                status=member.status.name.lower(),
                failure_domain=member.failure_domain,
                revision=member.revision,
                entries=tuple(entry.address for entry in member.entries),
            )
            for member in (table.me, *table.members.values())
        ),
        backends=tuple(
            BackendStatus(
                name=backend.name,
                serves=backend.serves,
                state=backend.state.value,
                weights_version=backend.report.weights_version,
                queue_s=backend.report.queue_s,
            )
            for backend in control.backends.view(now)
        ),
        leases=tuple(
            LeaseStatus(
                group=lease.group,
                state=lease.state.value if lease.valid(now) else LeaseState.OTHER.value,
                fence=lease.fence,
            )
            for lease in orders.leases.values()
        ),
        entries=tuple(entry.address for entry in control.entries()),
        bytes_sent=membership.bytes_sent,
        bytes_received=membership.bytes_received,
        rejected=membership.rejected,
    )
