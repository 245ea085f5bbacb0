"""Read and change the configuration that the platform stores."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from msgspec import Struct

from arbutusyard.config.const import (
    COMMIT_ATTEMPTS,
    KEY_CURRENT,
    KEY_HEAD,
    MAX_DELTAS_READ,
    OBJECT_PREFIX,
    TABLE_ANSWERS,
    TABLE_CONFIG,
    TABLE_HISTORY,
)
from arbutusyard.config.delta import Delta, diff, patch
from arbutusyard.config.exceptions import (
    ChangeUnsettled,
    ConfigUnavailable,
    RevisionConflict,
)
from arbutusyard.config.models import Configuration, Workload
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from arbutusyard.platform.models import Put, Row

T = TypeVar("T")


class Head(Struct, frozen=True):
    """Identify the newest accepted revision."""

    revision: int
    change_id: str


class Answers(Struct, frozen=True):
    """Hold an operator's questionnaire answers and the revision generated from them."""

    revision: int
    text: str


class HistoryEntry(Struct, frozen=True):
    """Record an accepted change: who changed which workload, when and how."""

    revision: int
    change_id: str
    operator: str
    workload: str
    accepted_at: float
    delta: Delta


class Change(Struct, frozen=True):
    """Describe a change of one workload that an operator requests."""

    change_id: str
    operator: str
    workload: Workload
    answers: str
    asked_at: float
    from_revision: int | None = None


class ConfigStore:
    """Read and change the configuration that the platform stores."""

    __slots__ = ("_platform", "_sleep")

    def __init__(
        self, platform: PlatformClient, sleep: Callable[[float], None]
    ) -> None:
        self._platform = platform
        self._sleep = sleep

    def head(self) -> Head:
        """Read the newest revision; raise PlatformError if it cannot be read."""
        return _decode(self._platform.get(TABLE_CONFIG, KEY_HEAD), Head, Head(0, ""))

    def read(self) -> Configuration:
        """Read the newest configuration; fall back to the object store."""
        try:
            row = self._platform.get(TABLE_CONFIG, KEY_CURRENT)
        except PlatformError:
            return self._read_object()
        return _decode(row, Configuration, Configuration(0, ""))

    def read_since(self, known: Configuration) -> Configuration:
        """Return the newest configuration, by deltas from a known one if possible.

        Raises PlatformError on failure.
        """
        head = self.head()
        if head.revision <= known.revision:
            return known
        if head.revision - known.revision > MAX_DELTAS_READ:
            return self.read()
        newest = known
        for revision in range(known.revision + 1, head.revision + 1):
            entry = self.history_entry(revision)
            if entry is None:
                return self.read()
            newest = patch(newest, entry.delta)
        return newest

    def history_entry(self, revision: int) -> HistoryEntry | None:
        """Read the change that created a revision."""
        row = self._platform.get(TABLE_HISTORY, _history_key(revision))
        return _decode(row, HistoryEntry, None)

    def history(self) -> list[HistoryEntry]:
        """Read every accepted change, oldest first."""
        rows = self._platform.scan(TABLE_HISTORY)
        return [msgspec.msgpack.decode(row.value, type=HistoryEntry) for row in rows]

    def answers(self, workload: str) -> Answers:
        """Read an operator's answers; revision 0 means that there are none."""
        row = self._platform.get(TABLE_ANSWERS, workload)
        return _decode(row, Answers, Answers(0, ""))

    def apply(self, change: Change) -> Configuration:
        """Commit a change once; raise ConfigError if it is not known to be accepted."""
        try:
            return self._apply(change)
        except PlatformError as exc:
            raise ConfigUnavailable(
                f"the configuration was not changed: {exc}"
            ) from exc

    def _apply(self, change: Change) -> Configuration:
        base = self.answers(change.workload.name).revision
        if change.from_revision is not None and base > change.from_revision:
            raise RevisionConflict(change.from_revision, base)
        while True:
            head_row = self._platform.get(TABLE_CONFIG, KEY_HEAD)
            old_row = self._platform.get(TABLE_CONFIG, KEY_CURRENT)
            answers_row = self._platform.get(TABLE_ANSWERS, change.workload.name)
            current = _decode(answers_row, Answers, Answers(0, "")).revision
            if current != base:
                raise RevisionConflict(base, current)
            old = _decode(old_row, Configuration, Configuration(0, ""))
            new = _with_workload(old, change)
            if self._commit(
                change, new, diff(old, new), head_row, old_row, answers_row
            ):
                self._write_object(new)
                return new

    def _commit(
        self,
        change: Change,
        new: Configuration,
        delta: Delta,
        head_row: Row,
        old_row: Row,
        answers_row: Row,
    ) -> bool:
        entry = HistoryEntry(
            revision=new.revision,
            change_id=change.change_id,
            operator=change.operator,
            workload=change.workload.name,
            accepted_at=change.asked_at,
            delta=delta,
        )
        answers = Answers(new.revision, change.answers)
        head = Head(new.revision, change.change_id)
        history_key = _history_key(new.revision)
        ops = (
            Put(TABLE_CONFIG, KEY_HEAD, _encode(head), head_row.version),
            Put(TABLE_CONFIG, KEY_CURRENT, _encode(new), old_row.version),
            Put(TABLE_HISTORY, history_key, _encode(entry), 0),
            Put(
                TABLE_ANSWERS,
                change.workload.name,
                _encode(answers),
                answers_row.version,
            ),
        )
        unsettled = False
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                if self._platform.commit(*ops):
                    return True
                return unsettled and self._was_accepted(change, new.revision)
            except PlatformOutcomeUnknown:
                unsettled = True
            except PlatformUnavailable:
                if not unsettled:
                    raise
            self._sleep(0.1 * 2**attempt)
        raise ChangeUnsettled(change.change_id)

    def _was_accepted(self, change: Change, revision: int) -> bool:
        try:
            entry = self.history_entry(revision)
        except PlatformError as exc:
            raise ChangeUnsettled(change.change_id) from exc
        return entry is not None and entry.change_id == change.change_id

    def _write_object(self, cfg: Configuration) -> None:
        try:
            self._platform.put_object(
                f"{OBJECT_PREFIX}{cfg.revision:010d}", _encode(cfg)
            )
            self._platform.put_object(f"{OBJECT_PREFIX}newest", _encode(cfg))
        except PlatformError:
            return

    def _read_object(self) -> Configuration:
        data = self._platform.get_object(f"{OBJECT_PREFIX}newest")
        if not data:
            return Configuration(0, "")
        try:
            return msgspec.msgpack.decode(data, type=Configuration)
        except msgspec.DecodeError as exc:
            # Nothing else shows that an answer without a length is incomplete.
            raise PlatformOutcomeUnknown(
                f"the stored configuration is incomplete: {exc}"
            ) from exc


def _with_workload(old: Configuration, change: Change) -> Configuration:
    workloads = {workload.name: workload for workload in old.workloads}
    workloads[change.workload.name] = change.workload
    ordered = tuple(workloads[name] for name in sorted(workloads))
    return Configuration(old.revision + 1, change.change_id, ordered)


def _history_key(revision: int) -> str:
    return f"{revision:010d}"


def _encode(value: Struct) -> bytes:
    return msgspec.msgpack.encode(value)


def _decode(row: Row, kind: type[T], absent: T) -> T:
    if row.version == 0:
        return absent
    return msgspec.msgpack.decode(row.value, type=kind)
