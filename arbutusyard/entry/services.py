"""Forward calls of plain services; calls that are not idempotent are claimed."""

from hashlib import blake2b

import bottle
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from arbutusyard import clock
from arbutusyard.backends.connection import checked_pool
from arbutusyard.backends.const import CONNECT_TIMEOUT_S
from arbutusyard.backends.models import Backend
from arbutusyard.claims.const import MAX_KEY_BYTES
from arbutusyard.claims.coordinator import ClaimCoordinator, ClaimedCall
from arbutusyard.claims.exceptions import DispatchNotSent, DispatchOutcomeUnknown
from arbutusyard.claims.models import Done, KeyReused, NotRun, OutcomeUnknown, Reply
from arbutusyard.config.models import Service, ServiceCall
from arbutusyard.const import (
    HEADER_ATTEMPT,
    HEADER_FENCING_NUMBER,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    STATUS_FINAL_MIN,
    STATUS_MAX,
)
from arbutusyard.entry.const import IDEMPOTENT_ATTEMPTS, NO_BACKEND_RETRY_AFTER_S
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import Caller, OutcomeKind
from arbutusyard.entry.state import EntryState
from arbutusyard.routing.chain import rank

# HTTP statuses after which it is unknown whether the service executed the call.
GATEWAY_STATUSES = frozenset({502, 503, 504})


class ServiceCaller:
    """Forward calls to the backend servers of plain services."""

    __slots__ = ("_claims", "_pool", "_rotation", "_state")

    def __init__(self, state: EntryState, claims: ClaimCoordinator) -> None:
        self._state = state
        self._claims = claims
        self._pool = checked_pool()
        self._rotation = 0

    def handle(
        self, caller: Caller, name: str, path: str, body: bytes, request_id: str
    ) -> bottle.HTTPResponse:
        """Return the response to a call; raise Refused if it is not served."""
        service = _find_service(caller, name)
        method = bottle.request.method
        call = _find_call(service, method, path)
        query = bottle.request.query_string
        target = f"{path}?{query}" if query else path
        self._state.in_flight += 1
        try:
            if call is not None and call.idempotent:
                reply = self._send_idempotent(caller, service, method, target, body)
                return _build_response(reply, request_id)
            return self._send_claimed(caller, service, method, target, body, request_id)
        finally:
            self._state.in_flight -= 1

    def _send_idempotent(
        self, caller: Caller, service: Service, method: str, target: str, body: bytes
    ) -> Reply:
        backends = self._available_backends(caller, service)
        self._rotation += 1
        start = self._rotation % len(backends)
        ordered = backends[start:] + backends[:start]
        for backend in ordered[:IDEMPOTENT_ATTEMPTS]:
            try:
                reply = self._send(backend, service, method, target, body, {})
            except (DispatchNotSent, DispatchOutcomeUnknown):
                self._state.mark_unreachable(backend.name, clock.now())
                continue
            if reply.status not in GATEWAY_STATUSES:
                return reply
        raise Refused(
            503,
            "no_backend",
            f"no backend server of {service.name!r} answered",
            OutcomeKind.UNKNOWN,
            NO_BACKEND_RETRY_AFTER_S,
        )

    def _send_claimed(
        self,
        caller: Caller,
        service: Service,
        method: str,
        target: str,
        body: bytes,
        request_id: str,
    ) -> bottle.HTTPResponse:
        key = _idempotency_key()
        backends = self._available_backends(caller, service)
        by_name = {backend.name: backend for backend in backends}
        backend = by_name[rank(key.encode(), by_name)[0]]

        def dispatch(fencing_token: int) -> Reply:
            headers = {
                HEADER_IDEMPOTENCY_KEY: f"{caller.name}/{key}",
                HEADER_FENCING_NUMBER: str(fencing_token),
                HEADER_REQUEST_ID: request_id,
            }
            reply = self._send(backend, service, method, target, body, headers)
            if reply.status in GATEWAY_STATUSES:
                raise DispatchOutcomeUnknown(
                    f"{backend.name!r} answered {reply.status}"
                )
            return reply

        outcome = self._claims.run(
            ClaimedCall(
                account=caller.name,
                key=key,
                fingerprint=_fingerprint(service, method, target, body),
                fenced=backend.report.checks_fence,
                attempt=_attempt_number(),
            ),
            dispatch,
        )
        match outcome:
            case Done(reply=reply):
                return _build_response(reply, request_id)
            case NotRun(code=code, message=message, retry_after_s=retry_after_s):
                raise Refused(503, code, message, retry_after_s=retry_after_s)
            case OutcomeUnknown(message=message):
                raise Refused(502, "outcome_unknown", message, OutcomeKind.UNKNOWN, 1.0)
            case KeyReused():
                raise Refused(
                    422,
                    "idempotency_key_reused",
                    "the idempotency key was used for another request",
                )

    def _available_backends(self, caller: Caller, service: Service) -> list[Backend]:
        backends = self._state.service_backends(caller.workload, service)
        if not backends:
            raise Refused(
                503,
                "no_backend",
                f"no backend server of {service.name!r} takes work now",
                retry_after_s=NO_BACKEND_RETRY_AFTER_S,
            )
        return backends

    def _send(
        self,
        backend: Backend,
        service: Service,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        """Send a call.

        A GET uses a pooled connection. Any other call may not be repeatable and gets a
        connection of its own.
        """
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=service.timeout_s)
        url = f"http://{backend.address}{target}"
        headers = {"Content-Type": "application/json", **headers}
        if HEADER_IDEMPOTENCY_KEY in headers:
            headers["Connection"] = "close"
        pool = self._pool if method == "GET" else checked_pool()
        try:
            resp = pool.request(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except (NewConnectionError, ConnectTimeoutError, MaxRetryError) as exc:
            raise DispatchNotSent(f"{backend.name!r}: {exc}") from exc
        except (HTTPError, OSError) as exc:
            raise DispatchOutcomeUnknown(f"{backend.name!r}: {exc}") from exc
        if not STATUS_FINAL_MIN <= resp.status <= STATUS_MAX:
            raise DispatchOutcomeUnknown(
                f"{backend.name!r} answered with an invalid status: {resp.status}"
            )
        content_type = resp.headers.get("Content-Type", "application/octet-stream")
        return Reply(resp.status, content_type, resp.data)


def _find_service(caller: Caller, name: str) -> Service:
    for service in caller.workload.services:
        if service.name == name:
            return service
    raise Refused(404, "unknown_service", f"service {name!r} does not exist")


def _find_call(service: Service, method: str, path: str) -> ServiceCall | None:
    for call in service.calls:
        if call.method == method and path.startswith(call.path):
            return call
    return None


def _idempotency_key() -> str:
    key = bottle.request.get_header(HEADER_IDEMPOTENCY_KEY, "")
    if not key:
        raise Refused(
            400, "idempotency_key_missing", "this call needs an Idempotency-Key header"
        )
    if len(key) > MAX_KEY_BYTES or not key.isascii() or not key.isprintable():
        raise Refused(400, "idempotency_key_invalid", "Idempotency-Key is not usable")
    return blake2b(key.encode(), digest_size=16).hexdigest()


def _attempt_number() -> int:
    text = bottle.request.get_header(HEADER_ATTEMPT, "1")
    if not text.isdigit():
        raise Refused(400, "invalid_attempt", f"attempt {text!r} is not a number")
    return int(text)


def _fingerprint(service: Service, method: str, target: str, body: bytes) -> str:
    digest = blake2b(digest_size=16)
    for part in (service.name.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _build_response(reply: Reply, request_id: str) -> bottle.HTTPResponse:
    headers = {
        "Content-Type": reply.content_type,
        HEADER_REQUEST_ID: request_id,
        HEADER_OUTCOME: OutcomeKind.DONE.value,
    }
    return bottle.HTTPResponse(reply.body, reply.status, headers=headers)
