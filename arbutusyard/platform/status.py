"""Serve the readiness, directory and metrics calls of a node."""

from collections.abc import Callable
from typing import Any

import bottle
import msgspec


def make_status_app(
    ready: Callable[[], bool],
    directory: Callable[[str], list[str]],
    ttl_s: float,
    metrics: Callable[[], bytes],
) -> bottle.Bottle:
    """Return the application; clients may cache the directory for `ttl_s` seconds."""
    app = bottle.Bottle()

    @app.get("/-/readyz")
    def readyz() -> bytes:
        bottle.response.status = 200 if ready() else 503
        return b""

    @app.get("/-/lookup")
    def lookup() -> bytes:
        region = bottle.request.query.get("region", "")
        answer: dict[str, Any] = {"addresses": directory(region), "ttl_s": ttl_s}
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(answer)

    @app.get("/metrics")
    def read_metrics() -> bytes:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return metrics()

    return app
