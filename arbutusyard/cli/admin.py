"""Serve status, metrics and operator commands on a separate port."""

import hmac
from collections.abc import Callable

import bottle
import msgspec
from gevent.pywsgi import WSGIServer
from msgspec import Struct

from arbutusyard.app import Application
from arbutusyard.config.models import Configuration
from arbutusyard.http1.wsgi import FairHandler

OPERATOR_HEADER = "X-Operator-Key"


class AdminServer:
    """Serve status and metrics; drain or apply a configuration on request."""

    name = "admin_server"

    __slots__ = (
        "_apply_if_newer",
        "_drain",
        "_keys",
        "_metrics",
        "_server",
        "_status",
        "address",
    )

    def __init__(
        self,
        listen: str,
        status: Callable[[], Struct],
        metrics: Callable[[], bytes],
        drain: Callable[[], None],
        keys: tuple[bytes, ...],
        apply_if_newer: Callable[[Configuration], bool] | None = None,
    ) -> None:
        self._status = status
        self._metrics = metrics
        self._drain = drain
        self._keys = keys
        self._apply_if_newer = apply_if_newer
        host, port = listen.rsplit(":", 1)
        self._server = WSGIServer(
            (host, int(port)),
            self._build_app(),
            log=None,
            error_log=None,
            handler_class=FairHandler,
        )
        self._server.init_socket()
        self.address = f"{host}:{self._server.server_port}"

    def setup(self, app: Application) -> None:
        """Start accepting connections."""
        self._server.start()

    def drain(self) -> None:
        """Do nothing; status and metrics stay available while the daemon drains."""

    def unload(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0)

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/status", "GET", self._serve_status)
        app.route("/metrics", "GET", self._serve_metrics)
        app.route("/drain", "POST", self._serve_drain)
        if self._apply_if_newer is not None:
            app.route("/config", "POST", self._serve_config)
        return app

    def _serve_status(self) -> bytes:
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(self._status())

    def _serve_metrics(self) -> bytes:
        bottle.response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        return self._metrics()

    def _serve_drain(self) -> dict[str, bool]:
        self._check_key()
        self._drain()
        return {"draining": True}

    def _serve_config(self) -> dict[str, bool]:
        self._check_key()
        try:
            config = msgspec.msgpack.decode(
                bottle.request.body.read(), type=Configuration
            )
        except msgspec.DecodeError as exc:
            raise bottle.HTTPError(400, f"configuration cannot be read: {exc}") from exc
        return {"taken": self._apply_if_newer(config)}

    def _check_key(self) -> None:
        given = bottle.request.get_header(OPERATOR_HEADER, "").encode()
        if not any(hmac.compare_digest(given, key) for key in self._keys):
            raise bottle.HTTPError(403, "operator key is not valid")
