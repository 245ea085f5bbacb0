"""Simulate a plain service with stock look-ups and part reservations."""

from gevent import monkey

monkey.patch_all()

import json
from collections import Counter

import bottle
import gevent

from standins.common import parser, reply, serve


class Service:
    """Execute calls, counting executions per idempotency key to detect duplicates.

    A fenced service checks the fencing tokens of its calls.
    """

    def __init__(self, fenced: bool) -> None:
        self.fenced = fenced
        self.executions: Counter[str] = Counter()
        self.results: dict[str, dict] = {}
        self.newest_tokens: dict[str, int] = {}
        self.lose_answers = 0
        self.delay_s = 0.0
        self.leaving = False
        self.received = 0

    def execute(self, key: str, token: int, order: dict) -> tuple[int, dict]:
        """Execute a call; return the HTTP status and the answer.

        A fenced service refuses an older fencing token with 412, and answers a repeated
        key with its first result.
        """
        if self.fenced:
            if token < self.newest_tokens.get(key, 0):
                return 412, {"error": "fencing number is older"}
            self.newest_tokens[key] = token
            if key in self.results:
                return 200, self.results[key]
        self.executions[key] += 1
        self.results[key] = {"reserved": order, "execution": self.executions[key]}
        return 200, self.results[key]


def build(service: Service) -> bottle.Bottle:
    """Build the HTTP application."""
    app = bottle.Bottle()

    def finish(status: int, data: dict) -> bottle.HTTPResponse:
        request_id = bottle.request.get_header("X-Request-Id", "")
        return reply(data, status, **{"X-Request-Id": request_id})

    @app.get("/stock/<part>")
    def stock(part: str) -> bottle.HTTPResponse:
        service.received += 1
        gevent.sleep(service.delay_s)
        return finish(200, {"part": part, "stock": len(part)})

    @app.post("/<path:path>")
    def execute(path: str) -> bottle.HTTPResponse:
        service.received += 1
        key = bottle.request.get_header("Idempotency-Key", "")
        token = int(bottle.request.get_header("X-Fencing-Number", "0"))
        order = json.loads(bottle.request.body.read() or b"{}")
        status, data = service.execute(key, token, {"path": path, **order})
        gevent.sleep(service.delay_s)
        if service.lose_answers > 0:
            service.lose_answers -= 1
            raise bottle.HTTPError(502, "answer lost")
        return finish(status, data)

    @app.get("/load")
    def load() -> bottle.HTTPResponse:
        return reply({"kind": "service", "leaving": service.leaving})

    @app.post("/_control")
    def control() -> bottle.HTTPResponse:
        order = json.loads(bottle.request.body.read())
        service.lose_answers = order.get("lose_answers", service.lose_answers)
        service.delay_s = order.get("delay_s", service.delay_s)
        service.leaving = order.get("leaving", service.leaving)
        return reply({"ok": True})

    @app.get("/_executions")
    def executions() -> bottle.HTTPResponse:
        return reply(
            {"executions": dict(service.executions), "received": service.received}
        )

    return app


def main() -> None:
    """Run a simulated plain service."""
    args = parser(main.__doc__)
    args.add_argument("--fenced", action="store_true")
    cfg = args.parse_args()
    serve(build(Service(cfg.fenced)), cfg.listen)


if __name__ == "__main__":
    main()
