"""Accept client requests and dispatch them to the chat and plain services."""

import logging
import uuid
from collections.abc import Callable
from typing import Any

import bottle
import gevent
import msgspec

from arbutusyard.app import Application
from arbutusyard.entry.chat import ChatService
from arbutusyard.entry.const import (
    DRAIN_POLL_S,
    NO_CONFIG_RETRY_AFTER_S,
)
from arbutusyard.entry.entries import rank_entries
from arbutusyard.entry.errors import error_response
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.http import EntryServer, read_body
from arbutusyard.entry.models import Caller, OutcomeKind
from arbutusyard.entry.services import ServiceCaller
from arbutusyard.entry.state import EntryState
from arbutusyard.metrics.registry import EntryMetrics

_LOGGER = logging.getLogger(__name__)

SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
BEARER = "Bearer "


class CallerServer:
    """Serve HTTP on the port for clients."""

    name = "caller_server"

    __slots__ = (
        "_chat",
        "_drain_timeout_s",
        "_keep_s",
        "_metrics",
        "_server",
        "_services",
        "_state",
    )

    def __init__(
        self,
        state: EntryState,
        chat: ChatService,
        services: ServiceCaller,
        metrics: EntryMetrics,
        keep_s: float,
        drain_timeout_s: float,
    ) -> None:
        self._state = state
        self._chat = chat
        self._services = services
        self._metrics = metrics
        self._keep_s = keep_s
        self._drain_timeout_s = drain_timeout_s
        self._server: EntryServer | None = None

    def bind(self, listen: str) -> str:
        """Bind the port and return its address."""
        host, port = listen.rsplit(":", 1)
        self._server = EntryServer((host, int(port)), self._build_app(), self._state)
        self._server.init_socket()
        return f"{host}:{self._server.server_port}"

    def setup(self, app: Application) -> None:
        """Start accepting connections."""
        self._server.start()

    def drain(self) -> None:
        """Serve while clients may still use the address, then finish open requests."""
        self._state.draining = True
        self._state.own_entry = msgspec.structs.replace(
            self._state.own_entry, draining=True
        )
        gevent.sleep(self._keep_s)
        with gevent.Timeout(self._drain_timeout_s, False):
            while self._state.in_flight:
                gevent.sleep(DRAIN_POLL_S)
        self._server.stop_accepting()
        with gevent.Timeout(self._keep_s, False):
            while self._state.in_flight:
                gevent.sleep(DRAIN_POLL_S)

    def unload(self) -> None:
        """Close the port and its idle connections."""
        self._server.stop(timeout=0)

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/v1/chat/completions", "POST", self._make_handler(self._serve_chat))
        app.route("/v1/models", "GET", self._make_handler(self._serve_models))
        app.route("/v1/entries", "GET", self._make_handler(self._serve_entries))
        app.route(
            "/v1/services/<name>/<path:re:.*>",
            SERVICE_METHODS,
            self._make_handler(self._serve_service),
        )
        app.route("/health", "GET", self._serve_health)
        app.error_handler.update(
            dict.fromkeys((404, 405, 500), self._format_http_error)
        )
        return app

    def _make_handler(self, serve: Callable[..., Any]) -> Callable[..., Any]:
        def handler(**args: str) -> Any:
            request_id = uuid.uuid4().hex
            try:
                caller = self._authenticate()
                return serve(caller, request_id, **args)
            except Refused as refused:
                self._metrics.count_refusal(refused.code)
                return error_response(refused, request_id)

        return handler

    def _serve_chat(self, caller: Caller, request_id: str) -> Any:
        return self._chat.handle(caller, read_body(), request_id)

    def _serve_service(
        self, caller: Caller, request_id: str, name: str, path: str
    ) -> Any:
        body = read_body()
        return self._services.handle(caller, name, f"/{path}", body, request_id)

    def _serve_models(self, caller: Caller, request_id: str) -> Any:
        data = [
            {"id": model.name, "object": "model", "owned_by": caller.workload.name}
            for model in caller.workload.models
        ]
        return {"object": "list", "data": data}

    def _serve_entries(self, caller: Caller, request_id: str) -> Any:
        prefix = bottle.request.query.get("prefix", "")
        bottle.response.content_type = "application/json"
        reply = rank_entries(caller, prefix, self._state.entries, self._keep_s)
        return msgspec.json.encode(reply)

    def _serve_health(self) -> Any:
        return {
            "revision": self._state.config.revision,
            "entry": self._state.own_entry.name,
        }

    def _authenticate(self) -> Caller:
        if self._state.config.revision == 0:
            raise Refused(
                503,
                "no_configuration",
                "this entry has no configuration yet",
                retry_after_s=NO_CONFIG_RETRY_AFTER_S,
            )
        header = bottle.request.get_header("Authorization", "")
        caller = None
        if header.startswith(BEARER):
            caller = self._state.caller(header[len(BEARER) :].strip())
        if caller is None:
            raise Refused(401, "invalid_key", "the client account's key is not valid")
        return caller

    def _format_http_error(self, error: bottle.HTTPError) -> bytes:
        status = error.status_code
        code = {404: "not_found", 405: "method_not_allowed"}.get(status, "internal")
        outcome = OutcomeKind.UNKNOWN if status >= 500 else OutcomeKind.NOT_RUN
        if status >= 500:
            _LOGGER.error(
                "Request failed with an internal error: %s",
                error.traceback or error.exception,
            )
        refused = Refused(status, code, str(error.body), outcome)
        response = error_response(refused, uuid.uuid4().hex)
        bottle.response.content_type = "application/json"
        return response.body
