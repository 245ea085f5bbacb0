"""Poll the list of backend servers and their load reports at a bounded rate."""

import contextlib
import logging

import gevent
import msgspec

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.backends.client import BackendClient
from arbutusyard.backends.const import (
    LIST_INTERVAL_S,
    LIST_READS_PER_S_MAX,
    POLL_FAILURES_BEFORE_DOWN,
    POLL_INTERVAL_S,
    POLLS_PER_S_MAX,
    ROLE_ENGINE,
    ROLE_SERVICE,
)
from arbutusyard.backends.exceptions import BackendAnswerLost
from arbutusyard.backends.models import Backend, BackendState, EngineReport
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.models import Vm, VmList
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class BackendCoordinator:
    """Poll the list of VMs and each listed backend server."""

    name = "backends"

    __slots__ = (
        "_change_numbers",
        "_client",
        "_failed_polls",
        "_platform",
        "_poll_tasks",
        "_polled_at",
        "_supervisor",
        "backends",
        "change_number",
        "control_addresses",
        "member_count",
    )

    def __init__(self, platform: PlatformClient, client: BackendClient) -> None:
        self._platform = platform
        self._client = client
        self._change_numbers: dict[str, int] = {}
        self._failed_polls: dict[str, int] = {}
        self._poll_tasks: dict[str, gevent.Greenlet] = {}
        self._polled_at: dict[str, float] = {}
        self._supervisor: Supervisor | None = None
        self.backends: dict[str, Backend] = {}
        self.control_addresses: tuple[str, ...] = ()
        self.change_number = 0
        self.member_count = 1

    def setup(self, app: Application) -> None:
        """Start polling."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("list", self._poll_list_forever)

    def drain(self) -> None:
        """Keep polling; requests in flight still need the reports."""

    def unload(self) -> None:
        """Stop polling."""
        self._supervisor.stop()

    def engines(self, serves: str) -> list[Backend]:
        """Return the engines that serve a model group."""
        return [
            backend
            for backend in self.backends.values()
            if backend.role == ROLE_ENGINE and backend.serves == serves
        ]

    def view(self, now: float) -> tuple[Backend, ...]:
        """Return every backend server with the current age of its report."""
        return tuple(
            self._with_current_age(backend, now) for backend in self.backends.values()
        )

    def view_since(self, change: int, now: float) -> tuple[Backend, ...]:
        """Return the backend servers that changed after a change number."""
        return tuple(
            self._with_current_age(backend, now)
            for name, backend in self.backends.items()
            if self._change_numbers[name] > change
        )

    def apply_vm_list(self, vms: VmList) -> None:
        """Apply the platform's list of VMs.

        A list without any backend server is implausible, so the known ones are kept.
        """
        listed = {
            vm.vm_id: vm for vm in vms.vms if vm.role in (ROLE_ENGINE, ROLE_SERVICE)
        }
        self.control_addresses = tuple(
            vm.address for vm in vms.vms if vm.role == "control"
        )
        if not listed:
            return
        for name in set(self.backends) - set(listed):
            self._remove(name)
        for vm in listed.values():
            self._apply_vm(vm)

    def add_peer_backends(self, backends: tuple[Backend, ...]) -> None:
        """Add the backend servers of a peer's view that this node does not know yet."""
        for backend in backends:
            if backend.name not in self.backends:
                self._add(backend)

    def _poll_list_forever(self) -> None:
        while True:
            with contextlib.suppress(PlatformError):
                self.apply_vm_list(self._platform.vms())
            gevent.sleep(max(LIST_INTERVAL_S, self.member_count / LIST_READS_PER_S_MAX))

    def _apply_vm(self, vm: Vm) -> None:
        known = self.backends.get(vm.vm_id)
        if known is None or known.address != vm.address or known.serves != vm.serves:
            state = BackendState.LEAVING if vm.leaving else BackendState.DOWN
            self._add(
                Backend(
                    name=vm.vm_id,
                    role=vm.role,
                    serves=vm.serves,
                    address=vm.address,
                    failure_domain=vm.failure_domain,
                    state=state,
                    report=EngineReport(vm.role, leaving=vm.leaving),
                )
            )
        elif vm.leaving and known.state is not BackendState.LEAVING:
            self._update_backend(known, BackendState.LEAVING, known.report)

    def _add(self, backend: Backend) -> None:
        self._store(backend)
        if backend.name not in self._poll_tasks:
            self._poll_tasks[backend.name] = self._supervisor.spawn(
                f"poll.{backend.name}", self._poll_backend_forever, backend.name
            )

    def _remove(self, name: str) -> None:
        del self.backends[name]
        del self._change_numbers[name]
        self._poll_tasks.pop(name).kill(block=False)
        self._failed_polls.pop(name, None)
        self.change_number += 1

    def _poll_backend_forever(self, name: str) -> None:
        while True:
            backend = self.backends[name]
            polled_at = clock.now()
            try:
                report = self._client.fetch_report(backend.address)
            except BackendAnswerLost:
                self._record_failed_poll(name)
            else:
                self._apply_report(name, report, polled_at)
            gevent.sleep(max(POLL_INTERVAL_S, len(self.backends) / POLLS_PER_S_MAX))

    def _apply_report(self, name: str, report: EngineReport, polled_at: float) -> None:
        self._failed_polls[name] = 0
        self._polled_at[name] = polled_at
        backend = self.backends[name]
        state = _state_of(report)
        if backend.state is BackendState.LEAVING and backend.report.leaving:
            is_same_incarnation = report.incarnation in ("", backend.report.incarnation)
            state = (
                BackendState.LEAVING if is_same_incarnation or report.leaving else state
            )
        self._update_backend(backend, state, report)

    def _record_failed_poll(self, name: str) -> None:
        self._failed_polls[name] = self._failed_polls.get(name, 0) + 1
        backend = self.backends[name]
        if self._failed_polls[name] >= POLL_FAILURES_BEFORE_DOWN:
            self._update_backend(backend, BackendState.DOWN, backend.report)

    def _update_backend(
        self, backend: Backend, state: BackendState, report: EngineReport
    ) -> None:
        if backend.state is not state:
            _LOGGER.info("Backend server %s is now %s", backend.name, state.value)
        self._store(msgspec.structs.replace(backend, state=state, report=report))

    def _store(self, backend: Backend) -> None:
        self.change_number += 1
        self.backends[backend.name] = backend
        self._change_numbers[backend.name] = self.change_number

    def _with_current_age(self, backend: Backend, now: float) -> Backend:
        age_s = backend.report.age_s + now - self._polled_at.get(backend.name, now)
        report = msgspec.structs.replace(backend.report, age_s=age_s)
        return msgspec.structs.replace(backend, report=report)


def _state_of(report: EngineReport) -> BackendState:
    if report.leaving:
        return BackendState.LEAVING
    if report.loading:
        return BackendState.LOADING
    return BackendState.LIVE
