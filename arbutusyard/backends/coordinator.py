"""Keep the list of backend servers and their reports at a bounded cost."""

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
    POLL_FAILURES_TO_DOWN,
    POLL_INTERVAL_S,
    POLLS_PER_S_MAX,
    ROLE_ENGINE,
    ROLE_SERVICE,
)
from arbutusyard.backends.exceptions import BackendLost
from arbutusyard.backends.models import Backend, BackendState, EngineReport
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.models import Vm, VmList
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class BackendCoordinator:
    """Poll the platform's list and each listed backend server."""

    name = "backends"

    __slots__ = (
        "_changed_at",
        "_client",
        "_failures",
        "_platform",
        "_polls",
        "_seen_at",
        "_supervisor",
        "backends",
        "changes",
        "controls",
        "members",
    )

    def __init__(self, platform: PlatformClient, client: BackendClient) -> None:
        self._platform = platform
        self._client = client
        self._changed_at: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._polls: dict[str, gevent.Greenlet] = {}
        self._seen_at: dict[str, float] = {}
        self._supervisor: Supervisor | None = None
        self.backends: dict[str, Backend] = {}
        self.controls: tuple[str, ...] = ()
        self.changes = 0
        self.members = 1

    def setup(self, app: Application) -> None:
        """Start polling."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("list", self._poll_list_forever)

    def drain(self) -> None:
        """Do nothing; reports stay useful while requests end."""

    def unload(self) -> None:
        """Stop polling."""
        self._supervisor.stop()

    def engines(self, serves: str) -> list[Backend]:
        """Return the engines of a model group."""
        return [
            backend
            for backend in self.backends.values()
            if backend.role == ROLE_ENGINE and backend.serves == serves
        ]

    def view(self, now: float) -> tuple[Backend, ...]:
        """Return every backend server with the present age of its report."""
        return tuple(self._aged(backend, now) for backend in self.backends.values())

    def view_since(self, change: int, now: float) -> tuple[Backend, ...]:
        """Return the backend servers that have changed after a change number."""
        return tuple(
            self._aged(backend, now)
            for name, backend in self.backends.items()
            if self._changed_at[name] > change
        )

    def learn_list(self, vms: VmList) -> None:
        """Take over the platform's list; an empty list is not believed."""
        found = {
            vm.vm_id: vm for vm in vms.vms if vm.role in (ROLE_ENGINE, ROLE_SERVICE)
        }
        self.controls = tuple(vm.address for vm in vms.vms if vm.role == "control")
        if not found:
            return
        for name in set(self.backends) - set(found):
            self._remove(name)
        for vm in found.values():
            self._update(vm)

    def learn_backends(self, backends: tuple[Backend, ...]) -> None:
        """Take over a peer's view where nothing is known yet."""
        for backend in backends:
            if backend.name not in self.backends:
                self._add(backend)

    def _poll_list_forever(self) -> None:
        while True:
            with contextlib.suppress(PlatformError):
                self.learn_list(self._platform.vms())
            gevent.sleep(max(LIST_INTERVAL_S, self.members / LIST_READS_PER_S_MAX))

    def _update(self, vm: Vm) -> None:
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
            self._replace(known, BackendState.LEAVING, known.report)

    def _add(self, backend: Backend) -> None:
        self._store(backend)
        if backend.name not in self._polls:
            self._polls[backend.name] = self._supervisor.spawn(
                f"poll.{backend.name}", self._poll_backend_forever, backend.name
            )

    def _remove(self, name: str) -> None:
        del self.backends[name]
        del self._changed_at[name]
        self._polls.pop(name).kill(block=False)
        self._failures.pop(name, None)
        self.changes += 1

    def _poll_backend_forever(self, name: str) -> None:
        while True:
            backend = self.backends[name]
            asked_at = clock.now()
            try:
                report = self._client.report(backend.address)
            except BackendLost:
                self._miss(name)
            else:
                self._take(name, report, asked_at)
            gevent.sleep(max(POLL_INTERVAL_S, len(self.backends) / POLLS_PER_S_MAX))

    def _take(self, name: str, report: EngineReport, now: float) -> None:
        self._failures[name] = 0
        self._seen_at[name] = now
        backend = self.backends[name]
        state = _state(report)
        if backend.state is BackendState.LEAVING and backend.report.leaving:
            same = report.incarnation in ("", backend.report.incarnation)
            state = BackendState.LEAVING if same or report.leaving else state
        self._replace(backend, state, report)

    def _miss(self, name: str) -> None:
        self._failures[name] = self._failures.get(name, 0) + 1
        backend = self.backends[name]
        if self._failures[name] >= POLL_FAILURES_TO_DOWN:
            self._replace(backend, BackendState.DOWN, backend.report)

    def _replace(
        self, backend: Backend, state: BackendState, report: EngineReport
    ) -> None:
        if backend.state is not state:
            _LOGGER.info("Backend server %s is %s", backend.name, state.value)
        self._store(msgspec.structs.replace(backend, state=state, report=report))

    def _store(self, backend: Backend) -> None:
        self.changes += 1
        self.backends[backend.name] = backend
        self._changed_at[backend.name] = self.changes

    def _aged(self, backend: Backend, now: float) -> Backend:
        age_s = backend.report.age_s + now - self._seen_at.get(backend.name, now)
        report = msgspec.structs.replace(backend.report, age_s=age_s)
        return msgspec.structs.replace(backend, report=report)


def _state(report: EngineReport) -> BackendState:
    if report.leaving:
        return BackendState.LEAVING
    if report.loading:
        return BackendState.LOADING
    return BackendState.LIVE
