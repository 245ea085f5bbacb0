"""Run the stand-in store in this process."""

import base64
import json

from gevent.pywsgi import WSGIServer

from standins.platform import Platform, build

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.test",
            "path_prefix": "/a/",
            "kind": "streaming",
            "resumable": True,
            "timeout_ms": 2000,
            "service": "svc",
        }
    ],
    "services": [
        {
            "name": "svc",
            "max_connections": 50,
            "engine": {
                "slots": 8,
                "kv_capacity_tokens": 1000,
                "models": [{"name": "m"}],
            },
        }
    ],
}


def entry(address="127.0.0.1:1", **changes):
    return {
        "service": "svc",
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "models": [{"name": "m", "version": 1}],
        "born": 5,
        **changes,
    }


class Store:
    """Serve a store whose rows the tests write, as operators and servers do."""

    def __init__(self):
        self.platform = Platform(0.0, 0.0)
        self._server = WSGIServer(("127.0.0.1", 0), build(self.platform), log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def write(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = base64.b64encode(data).decode()
        self.platform.commit({"puts": [{"table": table, "key": key, "value": text}]})

    def remove(self, table, key):
        self.platform.commit({"remove": [{"table": table, "key": key}]})

    def stop(self):
        self._server.stop(timeout=0)
