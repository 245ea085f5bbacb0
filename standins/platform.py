"""Simulate the platform: table service, object store, VM list and weight store."""

from gevent import monkey

monkey.patch_all()

import base64
import json
import time

import bottle
import gevent
import msgspec
from gevent.event import Event
from gevent.lock import Semaphore

from standins.common import parser, reply, serve

# Maximum size of a request body that is held in memory, in bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Number of rows in an answer, unless the request sets a limit.
MAX_ROWS = 500
# Number of simultaneous downloads of weights; further ones wait and take twice as long.
WEIGHT_STREAMS = 2
bottle.BaseRequest.MEMFILE_MAX = MAX_BODY_BYTES


class Platform:
    """Hold rows, objects and the VM list, and the faults to simulate."""

    def __init__(self, list_lag_s: float, weights_s: float) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.history: list[dict] = []
        self.history_start = 0
        self.changed = Event()
        self.objects: dict[str, bytes] = {}
        self.list_lag_s = list_lag_s
        self.weights_s = weights_s
        self.download_slots = Semaphore(WEIGHT_STREAMS)
        self.era = 0
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def commit(self, body: dict) -> bool:
        """Apply a whole transaction; return False if a row version does not match."""
        for row in body.get("if_revision", []):
            _, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return False
        self.version += 1
        for row in body.get("puts", []):
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = (value, self.version)
            self._record_change(row["table"], row["key"], False)
        for row in body.get("remove", []):
            if self.rows.pop((row["table"], row["key"]), None) is not None:
                self._record_change(row["table"], row["key"], True)
        self.changed.set()
        self.changed = Event()
        return True

    def _record_change(self, table: str, key: str, removed: bool) -> None:
        change = {"table": table, "key": key, "ver": self.version}
        self.history.append({**change, "removed": True} if removed else change)

    def read(self, table: str, start: str, end: str, limit: int) -> dict:
        """Return the current rows of a key range."""
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key >= start and (not end or key < end)
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        more = len(keys) > limit
        return {
            "rows": rows,
            "more_pages": more,
            "ver": self.version,
            "now_ms": now_ms(),
        }

    def _row(self, table: str, key: str) -> dict:
        value, version = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the current state of the rows that changed after a version."""
        newest = {
            change["key"]: change
            for change in self.history
            if change["table"] == table and change["ver"] > after
        }
        return [
            change if change.get("removed") else self._row(table, key)
            for key, change in newest.items()
            if change.get("removed") or (table, key) in self.rows
        ]

    def snapshot(self) -> tuple[dict[tuple[str, str], tuple[bytes, int]], int]:
        """Return a copy of the current rows and version."""
        return dict(self.rows), self.version

    def restore(
        self, copy: tuple[dict[tuple[str, str], tuple[bytes, int]], int]
    ) -> None:
        """Roll back to an older copy and begin a new era.

        The versions after the copy are assigned again.
        """
        self.rows, self.version = dict(copy[0]), copy[1]
        self.history = [item for item in self.history if item["ver"] <= self.version]
        self.era += 1
        self.changed.set()
        self.changed = Event()

    def drop_history(self) -> None:
        """Drop the change history, so that watchers must read all rows again."""
        self.history.clear()
        self.history_start = self.version

    def set_vm(self, vm_id: str, vm: dict | None) -> None:
        """Add, change or remove a VM in the list; readers see it after a lag."""
        gevent.spawn_later(self.list_lag_s, self._write_vm, vm_id, vm)

    def _write_vm(self, vm_id: str, vm: dict | None) -> None:
        row = {"table": "vms", "key": vm_id}
        if vm is None:
            self.commit({"remove": [row]})
            return
        value = base64.b64encode(msgspec.msgpack.encode(vm)).decode()
        self.commit({"puts": [{**row, "value": value}]})


def now_ms() -> int:
    """Return the store's steady clock."""
    return time.monotonic_ns() // 1_000_000


def build(platform: Platform) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    @app.hook("after_request")
    def add_era_header() -> None:
        bottle.response.set_header("Store-Era", str(platform.era))

    def apply_faults() -> None:
        """Answer 503 while the platform is down, else delay the request."""
        if platform.down:
            raise bottle.HTTPError(503, "down")
        if platform.delay_s:
            gevent.sleep(platform.delay_s)

    def loses_answer() -> bool:
        """Return whether the answer is to be lost, and count it down."""
        if platform.lose_answers <= 0:
            return False
        platform.lose_answers -= 1
        return True

    @app.post("/-/rows-tx")
    def transact() -> bottle.HTTPResponse:
        apply_faults()
        platform.writes += 1
        committed = platform.commit(json.loads(bottle.request.body.read()))
        if loses_answer():
            raise bottle.HTTPError(504, "answer lost")
        status = 200 if committed else 412
        return reply({"ver": platform.version, "now_ms": now_ms()}, status)

    @app.get("/-/rows-get")
    def read() -> bottle.HTTPResponse:
        apply_faults()
        platform.reads += 1
        query = bottle.request.query
        return reply(
            platform.read(
                query["table"],
                query.get("from", ""),
                query.get("to", ""),
                int(query.get("limit", MAX_ROWS)),
            )
        )

    @app.get("/-/rows-feed")
    def follow() -> bottle.HTTPResponse:
        apply_faults()
        platform.reads += 1
        query = bottle.request.query
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if not platform.history_start <= after <= platform.version:
                return reply({"error": "history is gone"}, 410)
            if rows := platform.changes(table, after):
                break
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            platform.changed.wait(remaining_s)
        # Read the version with the rows, before the delay, so that both are consistent.
        version = platform.version
        apply_faults()
        return reply({"rows": rows, "ver": version, "now_ms": now_ms()})

    @app.put("/-/blob-put/<key:path>")
    def put_object(key: str) -> bytes:
        apply_faults()
        platform.objects[key] = bottle.request.body.read()
        return b""

    @app.get("/-/blob-get/<key:path>")
    def get_object(key: str) -> bytes:
        apply_faults()
        if key not in platform.objects:
            raise bottle.HTTPError(404, "no such object")
        return platform.objects[key]

    @app.get("/weights/<model>/<version>")
    def weights(model: str, version: str) -> bytes:
        apply_faults()
        wait_s = platform.weights_s
        if platform.download_slots.locked():
            wait_s *= 2
        with platform.download_slots:
            gevent.sleep(wait_s)
        return reply({"model": model, "version": version})

    @app.post("/_control")
    def control() -> bottle.HTTPResponse:
        order = json.loads(bottle.request.body.read())
        platform.down = order.get("down", platform.down)
        platform.delay_s = order.get("delay_s", platform.delay_s)
        platform.lose_answers = order.get("lose_answers", platform.lose_answers)
        if order.get("drop_history"):
            platform.drop_history()
        for vm in order.get("vms", []):
            platform.set_vm(vm["vm_id"], vm)
        for vm_id in order.get("gone", []):
            platform.set_vm(vm_id, None)
        return reply({"reads": platform.reads, "writes": platform.writes})

    @app.get("/_rows/<table>")
    def rows(table: str) -> bottle.HTTPResponse:
        return reply(
            {k: v.decode() for (t, k), (v, _) in platform.rows.items() if t == table}
        )

    return app


def main() -> None:
    """Run a simulated platform."""
    args = parser(main.__doc__)
    args.add_argument("--list-lag-s", type=float, default=0.2)
    args.add_argument("--weights-s", type=float, default=0.3)
    cfg = args.parse_args()
    serve(build(Platform(cfg.list_lag_s, cfg.weights_s)), cfg.listen)


if __name__ == "__main__":
    main()
