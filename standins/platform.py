"""Stand in for the platform: table service, object store, VM list, weight store."""

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

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_ROWS = 500
WEIGHT_STREAMS = 2
bottle.BaseRequest.MEMFILE_MAX = MAX_BODY_BYTES


class Platform:
    """Keep rows, objects and VMs, with faults on command."""

    def __init__(self, list_lag_s: float, weights_s: float) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.history: list[dict] = []
        self.history_from = 0
        self.changed = Event()
        self.objects: dict[str, bytes] = {}
        self.list_lag_s = list_lag_s
        self.weights_s = weights_s
        self.weight_slots = Semaphore(WEIGHT_STREAMS)
        self.era = 0
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def commit(self, body: dict) -> bool:
        """Apply a transaction whole or not at all."""
        for row in body.get("if_revision", []):
            _, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return False
        self.version += 1
        for row in body.get("puts", []):
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = (value, self.version)
            self._remember(row["table"], row["key"], False)
        for row in body.get("remove", []):
            if self.rows.pop((row["table"], row["key"]), None) is not None:
                self._remember(row["table"], row["key"], True)
        self.changed.set()
        self.changed = Event()
        return True

    def _remember(self, table: str, key: str, removed: bool) -> None:
        change = {"table": table, "key": key, "ver": self.version}
        self.history.append({**change, "removed": True} if removed else change)

    def read(self, table: str, start: str, end: str, limit: int) -> dict:
        """Return the rows of a key range as of now."""
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key >= start and (not end or key < end)
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        more = len(keys) > limit
        return {"rows": rows, "more_pages": more, "ver": self.version, "now_ms": 0}

    def _row(self, table: str, key: str) -> dict:
        value, version = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the newest state of the rows that changed after a version."""
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

    def copy(self) -> tuple[dict[tuple[str, str], tuple[bytes, int]], int]:
        """Return the rows and the version as of now."""
        return dict(self.rows), self.version

    def come_back(
        self, copy: tuple[dict[tuple[str, str], tuple[bytes, int]], int]
    ) -> None:
        """Go on from an older copy; versions after it are given out again."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.history = [item for item in self.history if item["ver"] <= self.version]
        self.era += 1
        self.changed.set()
        self.changed = Event()

    def drop_history(self) -> None:
        """Forget every change so far."""
        self.history.clear()
        self.history_from = self.version

    def set_vm(self, vm_id: str, vm: dict | None) -> None:
        """Change the VM list; readers see the change after the lag."""
        gevent.spawn_later(self.list_lag_s, self._list_vm, vm_id, vm)

    def _list_vm(self, vm_id: str, vm: dict | None) -> None:
        row = {"table": "vms", "key": vm_id}
        if vm is None:
            self.commit({"remove": [row]})
            return
        value = base64.b64encode(msgspec.msgpack.encode(vm)).decode()
        self.commit({"puts": [{**row, "value": value}]})


def build(platform: Platform) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    @app.hook("after_request")
    def name_era() -> None:
        bottle.response.set_header("Store-Era", str(platform.era))

    def gate() -> None:
        if platform.down:
            raise bottle.HTTPError(503, "down")
        if platform.delay_s:
            gevent.sleep(platform.delay_s)

    def lost() -> bool:
        if platform.lose_answers <= 0:
            return False
        platform.lose_answers -= 1
        return True

    @app.post("/-/rows-tx")
    def transact() -> bottle.HTTPResponse:
        gate()
        platform.writes += 1
        committed = platform.commit(json.loads(bottle.request.body.read()))
        if lost():
            raise bottle.HTTPError(504, "answer lost")
        status = 200 if committed else 412
        return reply({"ver": platform.version, "now_ms": 0}, status)

    @app.get("/-/rows-get")
    def read() -> bottle.HTTPResponse:
        gate()
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
        gate()
        platform.reads += 1
        query = bottle.request.query
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if not platform.history_from <= after <= platform.version:
                return reply({"error": "history is gone"}, 410)
            if rows := platform.changes(table, after):
                break
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            platform.changed.wait(left_s)
        # Rows and version are of one moment, however long the answer takes.
        version = platform.version
        gate()
        return reply({"rows": rows, "ver": version, "now_ms": 0})

    @app.put("/-/blob-put/<key:path>")
    def put_object(key: str) -> bytes:
        gate()
        platform.objects[key] = bottle.request.body.read()
        return b""

    @app.get("/-/blob-get/<key:path>")
    def get_object(key: str) -> bytes:
        gate()
        if key not in platform.objects:
            raise bottle.HTTPError(404, "no such object")
        return platform.objects[key]

    @app.get("/weights/<model>/<version>")
    def weights(model: str, version: str) -> bytes:
        gate()
        wait_s = platform.weights_s
        if platform.weight_slots.locked():
            wait_s *= 2
        with platform.weight_slots:
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
    """Run the platform."""
    args = parser(main.__doc__)
    args.add_argument("--list-lag-s", type=float, default=0.2)
    args.add_argument("--weights-s", type=float, default=0.3)
    cfg = args.parse_args()
    serve(build(Platform(cfg.list_lag_s, cfg.weights_s)), cfg.listen)


if __name__ == "__main__":
    main()
