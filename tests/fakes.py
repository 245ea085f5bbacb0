"""In-memory fake of the platform that fails at chosen calls."""

import enum

from arbutusyard.platform.exceptions import PlatformOutcomeUnknown, PlatformUnavailable
from arbutusyard.platform.models import Delete, Put, Row


class Fault(enum.Enum):
    NONE = "none"
    DOWN = "down"  # not applied, and the caller knows it
    LOST = "lost"  # not applied, and the caller does not know it
    ANSWER_LOST = "answer_lost"  # applied, and the caller does not know it
    LATE = "late"  # applied when `deliver` is called; the caller does not know it


class FakePlatform:
    """Rows and objects of the store; each call takes the next fault from a list."""

    def __init__(self, faults=()):
        self.rows = {}
        self.objects = {}
        self.versions = 0
        self.faults = list(faults)
        self.late = []
        self.down = False
        self.era = 0
        self.snapshots = [({}, 0)]

    def restore_snapshot(self, writes):
        """Restore a snapshot that lacks the last writes and start a new era."""
        del self.snapshots[max(1, len(self.snapshots) - writes) :]
        rows, self.versions = self.snapshots[-1]
        self.rows = dict(rows)
        self.era += 1

    def get(self, table, key):
        self._fail_read()
        value, version = self.rows.get((table, key), (b"", 0))
        return Row(key, value, version, self.era)

    def scan(self, table, prefix=""):
        self._fail_read()
        return tuple(
            Row(key, value, version)
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        )

    def put(self, op: Put):
        result = self._write((op,))
        return result[0] if result else 0

    def commit(self, *ops):
        return bool(self._write(ops))

    def put_object(self, key, data):
        self._fail_read()
        self.objects[key] = data

    def get_object(self, key):
        return self.objects.get(key, b"")

    def deliver(self):
        """Apply the late writes now."""
        late, self.late = self.late, []
        for ops in late:
            self._apply(ops)

    def _next_fault(self):
        if self.down:
            return Fault.DOWN
        return self.faults.pop(0) if self.faults else Fault.NONE

    def _fail_read(self):
        match self._next_fault():
            case Fault.DOWN:
                raise PlatformUnavailable("down")
            case Fault.LOST | Fault.ANSWER_LOST | Fault.LATE:
                raise PlatformOutcomeUnknown("answer lost")

    def _write(self, ops):
        fault = self._next_fault()
        if fault is Fault.DOWN:
            raise PlatformUnavailable("down")
        if fault is Fault.LATE:
            self.late.append(ops)
        if fault in (Fault.LOST, Fault.LATE):
            raise PlatformOutcomeUnknown("answer lost")
        result = self._apply(ops)
        if fault is Fault.ANSWER_LOST:
            raise PlatformOutcomeUnknown("answer lost")
        return result

    def _apply(self, ops):
        for op in ops:
            if self.rows.get((op.table, op.key), (b"", 0))[1] != op.if_version:
                return ()
        versions = []
        for op in ops:
            if isinstance(op, Put):
                self.versions += 1
                self.rows[op.table, op.key] = (op.value, self.versions)
            elif isinstance(op, Delete):
                del self.rows[op.table, op.key]
            versions.append(self.versions)
        self.snapshots.append((dict(self.rows), self.versions))
        return versions
