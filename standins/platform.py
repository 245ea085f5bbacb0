"""Stand in for the platform: table service, object store, VM list, weight store."""

from gevent import monkey

monkey.patch_all()

import json
import time

import bottle
import gevent
import msgspec
from gevent.lock import Semaphore

from standins.common import parser, reply, serve

MAX_BODY_BYTES = 16 * 1024 * 1024
WEIGHT_STREAMS = 2
bottle.BaseRequest.MEMFILE_MAX = MAX_BODY_BYTES


class Platform:
    """Keep rows, objects and VMs, with faults on command."""

    def __init__(self, list_lag_s: float, weights_s: float) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.versions = 0
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, dict] = {}
        self.vm_changes: list[tuple[float, str, dict | None]] = []
        self.listed: dict[str, dict] = {}
        self.list_lag_s = list_lag_s
        self.weights_s = weights_s
        self.weight_slots = Semaphore(WEIGHT_STREAMS)
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def commit(self, ops: list[dict]) -> dict:
        """Apply operations together or not at all; name the new versions."""
        for op in ops:
            _, version = self.rows.get((op["table"], op["key"]), (b"", 0))
            if version != op["if_version"]:
                return {"committed": False, "versions": []}
        versions = []
        for op in ops:
            place = (op["table"], op["key"])
            if op["type"] == "put":
                self.versions += 1
                self.rows[place] = (op["value"], self.versions)
            elif op["type"] == "delete":
                self.rows.pop(place, None)
            versions.append(self.rows.get(place, (b"", 0))[1])
        return {"committed": True, "versions": versions}

    def set_vm(self, now: float, vm_id: str, vm: dict | None) -> None:
        """Change the VM list; readers see the change after the lag."""
        self.vm_changes.append((now + self.list_lag_s, vm_id, vm))

    def list_vms(self, now: float) -> list[dict]:
        """Return the list as it was one lag ago."""
        waiting = []
        for due, vm_id, vm in self.vm_changes:
            if due > now:
                waiting.append((due, vm_id, vm))
            elif vm is None:
                self.listed.pop(vm_id, None)
            else:
                self.listed[vm_id] = vm
        self.vm_changes = waiting
        return list(self.listed.values())


def build(platform: Platform) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    def pack(data: object) -> bytes:
        bottle.response.content_type = "application/msgpack"
        return msgspec.msgpack.encode(data)

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

    @app.post("/table/txn")
    def txn() -> bytes:
        gate()
        platform.writes += 1
        ops = msgspec.msgpack.decode(bottle.request.body.read())["ops"]
        result = platform.commit(ops)
        if lost():
            raise bottle.HTTPError(504, "answer lost")
        return pack(result)

    @app.get("/table/<table>/row/<key:path>")
    def row(table: str, key: str) -> bytes:
        gate()
        platform.reads += 1
        value, version = platform.rows.get((table, key), (b"", 0))
        return pack({"key": key, "value": value, "version": version})

    @app.get("/table/<table>/scan/<prefix:re:.*>")
    def scan(table: str, prefix: str) -> bytes:
        gate()
        platform.reads += 1
        rows = [
            {"key": key, "value": value, "version": version}
            for (name, key), (value, version) in sorted(platform.rows.items())
            if name == table and key.startswith(prefix)
        ]
        return pack({"rows": rows})

    @app.put("/objects/<key:path>")
    def put_object(key: str) -> bytes:
        gate()
        platform.objects[key] = bottle.request.body.read()
        return b""

    @app.get("/objects/<key:path>")
    def get_object(key: str) -> bytes:
        gate()
        return platform.objects.get(key, b"")

    @app.get("/vms")
    def vms() -> bytes:
        gate()
        platform.reads += 1
        return pack({"vms": platform.list_vms(time.monotonic())})

    @app.get("/weights/<model>/<version>")
    def weights(model: str, version: str) -> bytes:
        gate()
        wait_s = platform.weights_s
        if platform.weight_slots.locked():
            wait_s *= 2
        with platform.weight_slots:
            gevent.sleep(wait_s)
        return pack({"model": model, "version": version})

    @app.post("/_control")
    def control() -> bottle.HTTPResponse:
        order = json.loads(bottle.request.body.read())
        platform.down = order.get("down", platform.down)
        platform.delay_s = order.get("delay_s", platform.delay_s)
        platform.lose_answers = order.get("lose_answers", platform.lose_answers)
        for vm in order.get("vms", []):
            platform.set_vm(time.monotonic(), vm["vm_id"], vm)
        for vm_id in order.get("gone", []):
            platform.set_vm(time.monotonic(), vm_id, None)
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
