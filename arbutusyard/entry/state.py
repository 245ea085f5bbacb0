"""Hold the state of an entry, which stays valid while the control daemon is down."""

import hmac
from collections import Counter

from arbutusyard.backends.const import ROLE_ENGINE, ROLE_SERVICE
from arbutusyard.backends.models import Backend, BackendState
from arbutusyard.config.delta import patch
from arbutusyard.config.exceptions import ConfigError
from arbutusyard.config.models import Configuration, Service, Workload
from arbutusyard.control.messages import (
    BackendChanges,
    ConfigDeltas,
    ConfigSnapshot,
    ControlMessage,
    EntryList,
    ShareList,
)
from arbutusyard.entry.models import Caller
from arbutusyard.limits.coordinator import Limiter
from arbutusyard.limits.fairness import FairShare
from arbutusyard.membership.models import EntryView
from arbutusyard.questionnaire.keys import hash_key
from arbutusyard.routing.coordinator import Router, Target
from arbutusyard.routing.load import LoadReport


class EntryState:
    """Apply the control daemon's messages and look up accounts and backend servers."""

    __slots__ = (
        "_callers",
        "_targets",
        "_unreachable",
        "backends",
        "config",
        "draining",
        "entries",
        "fair_share",
        "in_flight",
        "limiter",
        "own_entry",
        "router",
        "updated_at",
    )

    def __init__(self, own_entry: EntryView, router: Router, limiter: Limiter) -> None:
        self.own_entry = own_entry
        self.router = router
        self.limiter = limiter
        self.config = Configuration(0, "")
        self.backends: dict[str, Backend] = {}
        self.entries: tuple[EntryView, ...] = (own_entry,)
        self.fair_share = FairShare()
        self.in_flight = 0
        self.draining = False
        self.updated_at = 0.0
        self._callers: dict[str, Caller] = {}
        self._targets: dict[tuple[str, str], list[Target]] = {}
        self._unreachable: dict[str, float] = {}

    def apply(self, message: ControlMessage, now: float) -> None:
        """Apply one message of the control daemon."""
        self.updated_at = now
        match message:
            case ConfigSnapshot(config=config):
                self.set_config(config)
            case ConfigDeltas(deltas=deltas):
                self._apply_deltas(deltas)
            case BackendChanges(changed=changed, names=names):
                self._apply_backend_changes(changed, names, now)
            case EntryList(entries=entries):
                self.entries = entries or (self.own_entry,)
            case ShareList(shares=shares):
                for item in shares:
                    self.limiter.set_fraction(item.account, item.fraction, now)

    def set_config(self, config: Configuration) -> None:
        """Apply a configuration if its revision is newer than the current one."""
        if config.revision <= self.config.revision:
            return
        self.config = config
        self._callers = {
            account.key_hash: Caller(workload, account)
            for workload in config.workloads
            for account in workload.accounts
        }

    def caller(self, key: str) -> Caller | None:
        """Return the client account that a key belongs to, if any."""
        key_hash = hash_key(key)
        caller = self._callers.get(key_hash)
        if caller is None:
            return None
        if not hmac.compare_digest(caller.account.key_hash, key_hash):
            return None
        return caller

    def targets(self, serves: str, weights_version: str = "") -> list[Target]:
        """Return the available engines of a model group, of one version if given."""
        key = (serves, weights_version)
        found = self._targets.get(key)
        if found is None:
            found = self._targets[key] = [
                Target(backend.name, backend.failure_domain, backend.report.incarnation)
                for backend in self.backends.values()
                if self._is_available(backend, ROLE_ENGINE, serves)
                and weights_version in ("", backend.report.weights_version)
            ]
        return found

    def most_common_version(self, serves: str, preferred: str) -> str:
        """Return the weights version that most available engines serve.

        The preferred version wins a tie and is returned if no engine is available.
        """
        versions = Counter(
            self.backends[target.name].report.weights_version
            for target in self.targets(serves)
        )
        if not versions:
            return preferred
        return max(
            versions, key=lambda version: (versions[version], version == preferred)
        )

    def service_backends(self, workload: Workload, service: Service) -> list[Backend]:
        """Return the available backend servers of a plain service."""
        serves = f"{workload.name}/{service.name}"
        return [
            backend
            for backend in self.backends.values()
            if self._is_available(backend, ROLE_SERVICE, serves)
        ]

    def mark_unreachable(self, name: str, now: float) -> None:
        """Exclude a backend server from routing until a newer report of it arrives."""
        self._unreachable[name] = now
        self._targets.clear()

    def _is_available(self, backend: Backend, role: str, serves: str) -> bool:
        return (
            backend.role == role
            and backend.serves == serves
            and backend.state is BackendState.LIVE
            and backend.name not in self._unreachable
        )

    def _apply_deltas(self, deltas: tuple) -> None:
        newest = self.config
        for delta in deltas:
            try:
                newest = patch(newest, delta)
            except ConfigError:
                return
        self.set_config(newest)

    def _apply_backend_changes(
        self, changed: tuple[Backend, ...], names: tuple[str, ...], now: float
    ) -> None:
        before = dict(self.backends)
        for removed in set(before) - set(names):
            del self.backends[removed]
            self.router.forget(removed)
        self.backends |= {backend.name: backend for backend in changed}
        if any(
            _routing_fields(before.get(b.name)) != _routing_fields(b) for b in changed
        ):
            self._targets.clear()
        if len(before) != len(self.backends):
            self._targets.clear()
        for backend in changed:
            report = backend.report
            self._clear_unreachable(backend, now)
            if backend.role != ROLE_ENGINE or not report.incarnation:
                continue
            load = LoadReport(
                taken_at=now - report.age_s,
                queue_s=report.queue_s,
                running=report.running,
                max_batch=report.max_batch,
                block_prefill_s=report.prefill_piece_s,
                block_import_s=report.import_piece_s,
                decode_step_s=report.decode_step_s,
                parts=report.queue_parts,
            )
            self.router.report(backend.name, report.incarnation, load, now)

    def _clear_unreachable(self, backend: Backend, now: float) -> None:
        marked_at = self._unreachable.get(backend.name)
        if marked_at is not None and now - backend.report.age_s > marked_at:
            del self._unreachable[backend.name]
            self._targets.clear()


def _routing_fields(backend: Backend | None) -> tuple | None:
    """Return the fields that decide whether a backend server is a target."""
    if backend is None:
        return None
    report = backend.report
    return (backend.serves, backend.state, report.incarnation, report.weights_version)
