"""Compute and apply deltas between two configurations."""

import msgspec
from msgspec import Struct

from arbutusyard.config.exceptions import ConfigError
from arbutusyard.config.models import Account, Configuration, Workload


class WorkloadDelta(Struct, frozen=True):
    """Hold a workload without its accounts, and its changed and removed accounts."""

    workload: Workload
    changed: tuple[Account, ...] = ()
    removed: tuple[str, ...] = ()


class Delta(Struct, frozen=True):
    """Hold the changes from one revision to a later one."""

    from_revision: int
    revision: int
    change_id: str
    workloads: tuple[WorkloadDelta, ...] = ()
    removed: tuple[str, ...] = ()


class DeltaMismatch(ConfigError):
    """Report that a delta does not start at the revision of the configuration."""


def diff(old: Configuration, new: Configuration) -> Delta:
    """Return the delta from one configuration to another."""
    before = {workload.name: workload for workload in old.workloads}
    after = {workload.name for workload in new.workloads}
    return Delta(
        from_revision=old.revision,
        revision=new.revision,
        change_id=new.change_id,
        workloads=tuple(
            _diff_workload(before.get(workload.name), workload)
            for workload in new.workloads
            if before.get(workload.name) != workload
        ),
        removed=tuple(sorted(set(before) - after)),
    )


def patch(old: Configuration, delta: Delta) -> Configuration:
    """Apply a delta; raise DeltaMismatch if it starts at another revision."""
    if old.revision != delta.from_revision:
        raise DeltaMismatch(
            f"delta starts at revision {delta.from_revision}, "
            f"but the configuration is at revision {old.revision}"
        )
    workloads = {w.name: w for w in old.workloads if w.name not in delta.removed}
    for change in delta.workloads:
        name = change.workload.name
        workloads[name] = _patch_workload(workloads.get(name), change)
    ordered = tuple(workloads[name] for name in sorted(workloads))
    return Configuration(delta.revision, delta.change_id, ordered)


def _diff_workload(old: Workload | None, new: Workload) -> WorkloadDelta:
    before = {} if old is None else {a.name: a for a in old.accounts}
    after = {account.name for account in new.accounts}
    return WorkloadDelta(
        workload=msgspec.structs.replace(new, accounts=()),
        changed=tuple(a for a in new.accounts if before.get(a.name) != a),
        removed=tuple(sorted(set(before) - after)),
    )


def _patch_workload(old: Workload | None, change: WorkloadDelta) -> Workload:
    accounts = {} if old is None else {a.name: a for a in old.accounts}
    for name in change.removed:
        accounts.pop(name, None)
    accounts |= {account.name: account for account in change.changed}
    ordered = tuple(accounts[name] for name in sorted(accounts))
    return msgspec.structs.replace(change.workload, accounts=ordered)
