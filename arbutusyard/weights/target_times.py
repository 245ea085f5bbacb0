"""Keep in the store when target weights were set, for nodes that start later."""

import logging
from typing import Final

import msgspec
from gevent.event import Event
from msgspec import Struct

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import TARGET_AGES_MAX
from arbutusyard.fleet.messages import TargetWeightsAge
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.models import Put, Row
from arbutusyard.quarantine.models import Finite
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)

TABLE_TARGET_TIMES: Final = "target_times"
# Interval between checks for times that the store does not have, in seconds; a new
# target is recorded at once.
CHECK_INTERVAL_S: Final = 1.0
# Delay before a failed call to the store is repeated, in seconds.
RETRY_DELAY_S: Final = 0.5
# Difference up to which two nodes' times of one target are the same, in seconds.
TIME_TOLERANCE_S: Final = 0.25
# Maximum number of attempts to write a row that other nodes write too.
WRITE_ATTEMPTS: Final = 3


# Source of recorded times in the log.
SOURCE_STORE: Final = "store"


class TargetTime(Struct, frozen=True, array_like=True):
    """Hold since when a version has been the target, in the store's seconds.

    Without `is_dated`, it became the target at that time or later.
    """

    version: int
    set_s: Finite
    is_dated: bool = True


class TargetTimesRow(Struct, frozen=True):
    """Hold the times of a model's newest target versions."""

    times: tuple[TargetTime, ...]


class TargetTimes:
    """Record the times of target weights, and read those recorded before the start.

    Operators overwrite a target with the next one, so their row shows neither when it
    was set nor which targets came before.
    """

    name = "target_times"

    __slots__ = (
        "_client",
        "_fleet_state",
        "_is_loaded",
        "_peers",
        "_recorded",
        "_retry_at",
        "_stored",
        "_stored_era",
        "_supervisor",
        "_wake",
    )

    def __init__(
        self, fleet_state: FleetState, client: PlatformClient, peers: PeerCoordinator
    ) -> None:
        self._fleet_state = fleet_state
        self._client = client
        self._peers = peers
        self._is_loaded = False
        # Models and versions whose times the store has, and whether they are dated.
        self._recorded: set[tuple[str, int, bool]] = set()
        # Times as the store has them, by model, and the store's era in which they hold.
        self._stored: dict[str, tuple[TargetTime, ...]] = {}
        self._stored_era: int | None = None
        self._retry_at = float("-inf")
        self._supervisor: Supervisor | None = None
        self._wake = Event()

    def setup(self, app: Application) -> None:
        """Start reading and recording times."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("record", self._run)

    def drain(self) -> None:
        """Continue recording until the node stops."""

    def unload(self) -> None:
        """Stop recording."""
        self._supervisor.stop()

    def wake(self) -> None:
        """Record new targets at once."""
        self._wake.set()

    def handle_store_rollback(self) -> None:
        """Record all times again, since an older copy of the store may lack them."""
        self._recorded.clear()

    def _run(self) -> None:
        while True:
            self._wake.clear()
            self.update(clock.now())
            self._wake.wait(CHECK_INTERVAL_S if self._is_loaded else RETRY_DELAY_S)

    def update(self, now: float) -> None:
        """Read the recorded times once; then record those that the store lacks."""
        if now < self._retry_at:
            return
        try:
            if not self._is_loaded:
                for row in self._client.scan(TABLE_TARGET_TIMES):
                    self._store(row.key, _decode(row))
                self._is_loaded = True
            # Answers that came late make recorded times look too young, until one comes
            # that did not.
            for model, times in self._stored.items():
                self._apply(model, times)
            # Every node learns the times; a few are enough to record them.
            if self._peers.reads_for_others(now):
                for model in self._unrecorded_models():
                    self._record(model)
        except PlatformError as exc:
            self._retry_at = clock.now() + RETRY_DELAY_S
            _LOGGER.warning("Cannot record when target weights were set: %s", exc)

    def _known_times(self, model: str) -> tuple[TargetTime, ...]:
        history = self._fleet_state.target_history.get(model, ())[-TARGET_AGES_MAX:]
        return tuple(
            TargetTime(
                version,
                self._client.store_time_s(at),
                self._fleet_state.is_target_dated(model, version),
            )
            for version, at in history
            if at is not None
        )

    def _unrecorded_models(self) -> list[str]:
        return [
            model
            for model in self._fleet_state.target_history
            if any(
                (model, item.version, item.is_dated) not in self._recorded
                for item in self._known_times(model)
            )
        ]

    def _record(self, model: str) -> None:
        for _ in range(WRITE_ATTEMPTS):
            row = self._client.get(TABLE_TARGET_TIMES, model)
            known = self._known_times(model)
            recorded = _decode(row)
            merged = merge_times(recorded, known)
            value = msgspec.msgpack.encode(TargetTimesRow(merged))
            if merged != recorded and not self._client.put(
                Put(TABLE_TARGET_TIMES, model, value, row.version)
            ):
                continue
            self._store(model, recorded)
            self._apply(model, recorded)
            self._recorded.update(
                (model, item.version, item.is_dated) for item in known
            )
            if merged != recorded:
                store_s = self._client.store_time_s(clock.now())
                _LOGGER.info(
                    "Recorded when target weights of %s were set",
                    model,
                    extra={
                        "model": model,
                        "ages_s": {
                            item.version: round(store_s - item.set_s, 3)
                            for item in known
                        },
                    },
                )
            return
        _LOGGER.info(
            "Other nodes keep changing the recorded times of %s; trying again later",
            model,
            extra={"model": model},
        )

    def _store(self, model: str, times: tuple[TargetTime, ...]) -> None:
        """Keep what the store has; its clock may be another one in another era."""
        if self._stored_era != self._client.era:
            self._stored.clear()
            self._stored_era = self._client.era
        self._stored[model] = times

    def _apply(self, model: str, times: tuple[TargetTime, ...]) -> None:
        """Adopt recorded times that are better than what this node knows."""
        if self._stored_era != self._client.era:
            return
        now = clock.now()
        store_s = self._client.store_time_s(now)
        ages = tuple(
            TargetWeightsAge(model, item.version, store_s - item.set_s, item.is_dated)
            for item in times
            # A time to come is of another clock of the store and says nothing.
            if item.set_s <= store_s
        )
        self._fleet_state.apply_target_ages(ages, now, SOURCE_STORE)


def merge_times(
    recorded: tuple[TargetTime, ...], known: tuple[TargetTime, ...]
) -> tuple[TargetTime, ...]:
    """Return the times of the newest versions, the better one of two."""
    merged = {item.version: item for item in recorded}
    for item in known:
        other = merged.get(item.version)
        if other is None or _is_better(item, other):
            merged[item.version] = item
    return tuple(sorted(merged.values(), key=_version)[-TARGET_AGES_MAX:])


def _is_better(item: TargetTime, other: TargetTime) -> bool:
    """Tell whether a time replaces another one of the same target.

    The earlier one of two dated times counts, and the later one of two earliest times.
    """
    if item.is_dated is not other.is_dated:
        return item.is_dated
    if item.is_dated:
        return item.set_s < other.set_s - TIME_TOLERANCE_S
    return item.set_s > other.set_s + TIME_TOLERANCE_S


def _version(item: TargetTime) -> int:
    return item.version


def _decode(row: Row) -> tuple[TargetTime, ...]:
    if row.version == 0:
        return ()
    try:
        return msgspec.msgpack.decode(row.value, type=TargetTimesRow).times
    except msgspec.DecodeError as exc:
        _LOGGER.warning("Ignored malformed times of target weights: %s", exc)
        return ()
