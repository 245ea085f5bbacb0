"""Find entries, resume streams and retry after the requested wait, as a client."""

import time
import uuid
from collections.abc import Callable, Iterator
from hashlib import blake2b
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from arbutusyard import clock
from arbutusyard.client.const import (
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    DEFAULT_RETRIES,
    DEFAULT_RETRY_AFTER_S,
    MAX_RETRY_AFTER_S,
    POOL_SIZE,
    READ_TIMEOUT_S,
)
from arbutusyard.client.exceptions import CallFailed, StreamBroken, Unreachable
from arbutusyard.client.models import Answer, ServiceReply
from arbutusyard.client.sse import Progress, StreamInterrupted, read_stream
from arbutusyard.const import (
    HEADER_ATTEMPT,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_OUTCOME,
    HEADER_RESUME_TOKEN,
    HEADER_WORK_CLASS,
)
from arbutusyard.entry.models import ErrorBody, ErrorDetail, OutcomeKind

STATUS_OK = 200
# HTTP statuses after which a request may be retried.
RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})


class Client:
    """Call the system for one client account."""

    __slots__ = (
        "_addresses",
        "_entries_valid_until",
        "_key",
        "_pool",
        "_prompt_prefix",
        "_retries",
        "_seeds",
        "_sleep",
    )

    def __init__(
        self,
        seeds: tuple[str, ...],
        key: str,
        retries: int = DEFAULT_RETRIES,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._seeds = seeds
        self._key = key
        self._retries = retries
        self._sleep = sleep
        self._pool = urllib3.PoolManager(
            maxsize=POOL_SIZE,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        self._addresses: tuple[str, ...] = ()
        self._entries_valid_until = 0.0
        self._prompt_prefix = ""

    def chat(
        self,
        model: str,
        messages: list[dict[str, Any]],
        max_tokens: int,
        work_class: str = "",
    ) -> Answer:
        """Return a complete answer; resume its stream after each interruption."""
        body = {
            "model": model,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        self._prompt_prefix = blake2b(
            str(messages[0].get("content")).encode(), digest_size=8
        ).hexdigest()
        progress = Progress(clock.now())
        attempts = 0
        while not progress.done:
            try:
                self._chat_once(body, work_class, progress)
            except (StreamInterrupted, Unreachable) as exc:
                attempts += 1
                if attempts > self._retries:
                    raise StreamBroken(f"{attempts} attempts failed: {exc}") from exc
                self._sleep(DEFAULT_RETRY_AFTER_S)
            except CallFailed as exc:
                attempts += 1
                self._wait_or_raise(exc, attempts)
        return progress.answer()

    def call(
        self,
        method: str,
        service: str,
        path: str,
        body: Any = None,
        key: str | None = None,
    ) -> ServiceReply:
        """Call a plain service; all attempts share one idempotency key."""
        key = key or uuid.uuid4().hex
        data = b"" if body is None else msgspec.json.encode(body)
        attempts = 0
        while True:
            attempts += 1
            headers = self._headers("")
            headers |= {HEADER_IDEMPOTENCY_KEY: key, HEADER_ATTEMPT: str(attempts)}
            try:
                return self._call_once(method, service, path, data, headers)
            except Unreachable:
                if attempts > self._retries:
                    raise
                self._sleep(DEFAULT_RETRY_AFTER_S)
            except CallFailed as exc:
                self._wait_or_raise(exc, attempts)

    def entries(self) -> tuple[str, ...]:
        """Return the entries' addresses in order of use; reload an expired list."""
        now = clock.now()
        if self._addresses and now < self._entries_valid_until:
            return self._addresses
        for address in (*self._addresses, *self._seeds):
            try:
                resp = self._pool.request(
                    "GET",
                    f"http://{address}/v1/entries?prefix={self._prompt_prefix}",
                    headers=self._headers(""),
                )
            except (HTTPError, OSError):
                continue
            if resp.status == STATUS_OK:
                reply = msgspec.json.decode(resp.data)
                self._addresses = tuple(e["address"] for e in reply["entries"])
                self._entries_valid_until = now + reply["keep_s"]
                return self._addresses
        return tuple(dict.fromkeys((*self._addresses, *self._seeds)))

    def _chat_once(
        self, body: dict[str, Any], work_class: str, progress: Progress
    ) -> None:
        headers = self._headers(work_class)
        if progress.resume_token:
            progress.resumed += 1
            headers[HEADER_RESUME_TOKEN] = progress.resume_token
            headers[HEADER_LAST_EVENT_ID] = str(progress.last_event_id)
            body = {**body, "arbutusyard": {"answer_so_far": progress.text()}}
        resp = self._send(
            "POST", "/v1/chat/completions", msgspec.json.encode(body), headers
        )
        if resp.status != STATUS_OK:
            raise _failure(resp)
        progress.resume_token = resp.headers.get(
            HEADER_RESUME_TOKEN, progress.resume_token
        )
        try:
            read_stream(resp, progress)
        finally:
            resp.close()

    def _call_once(
        self,
        method: str,
        service: str,
        path: str,
        data: bytes,
        headers: dict[str, str],
    ) -> ServiceReply:
        url = f"/v1/services/{service}/{path.lstrip('/')}"
        resp = self._send(method, url, data, headers, CALL_TIMEOUT_S)
        outcome = resp.headers.get(HEADER_OUTCOME, "")
        if outcome != OutcomeKind.DONE.value:
            raise _failure(resp)
        return ServiceReply(resp.status, outcome, resp.data)

    def _send(
        self,
        method: str,
        path: str,
        data: bytes,
        headers: dict[str, str],
        timeout_s: float = READ_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the first entry that accepts a connection."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        for address in self._candidate_addresses():
            try:
                return self._pool.request(
                    method,
                    f"http://{address}{path}",
                    body=data,
                    headers=headers,
                    timeout=timeout,
                    preload_content=False,
                )
            except (NewConnectionError, ConnectTimeoutError, MaxRetryError):
                self._remove_address(address)
            except (HTTPError, OSError) as exc:
                self._remove_address(address)
                raise Unreachable(f"{address} did not answer: {exc}") from exc
        raise Unreachable("no entry accepts a connection")

    def _candidate_addresses(self) -> Iterator[str]:
        yield from self.entries()
        yield from self._seeds

    def _remove_address(self, address: str) -> None:
        self._addresses = tuple(a for a in self._addresses if a != address)
        self._entries_valid_until = 0.0

    def _wait_or_raise(self, failed: CallFailed, attempts: int) -> None:
        if failed.status not in RETRYABLE_STATUSES or attempts > self._retries:
            raise failed
        retry_after_s = failed.detail.retry_after_s or DEFAULT_RETRY_AFTER_S
        self._sleep(min(retry_after_s, MAX_RETRY_AFTER_S))

    def _headers(self, work_class: str) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
        }
        if work_class:
            headers[HEADER_WORK_CLASS] = work_class
        return headers


def _failure(resp: urllib3.BaseHTTPResponse) -> CallFailed:
    try:
        detail = msgspec.json.decode(resp.data, type=ErrorBody).error
    except (msgspec.DecodeError, HTTPError, OSError):
        detail = ErrorDetail(
            "unreadable_answer", f"status {resp.status}", OutcomeKind.UNKNOWN, ""
        )
    return CallFailed(resp.status, detail)
