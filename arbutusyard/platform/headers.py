"""Translate request and answer heads between the wire and our types."""

from typing import Final

from arbutusyard.const import MS_PER_S
from arbutusyard.gateway.models import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    PromptSegment,
    Refusal,
)

Headers = list[tuple[bytes, bytes]]

REQUEST_ID: Final = b"request-id"
DEADLINE_MS: Final = b"deadline-ms"
# Holds only the key of a client account, without a scheme.
ACCOUNT_KEY: Final = b"api-key"
ACCOUNT: Final = b"tenant"
MODEL: Final = b"model"
# Two numbers: prompt tokens and the most output tokens.
TOKEN_COUNT: Final = b"token-count"
# The parts of a prompt as ID:TOKENS; it holds no hash of the whole prefix.
PROMPT_PARTS: Final = b"prefix-hash"
LAST_EVENT_ID: Final = b"last-event-id"
EXPECT_SERVER: Final = b"expect-instance"
EXPECT_VERSION: Final = b"expect-version"
CACHE_SALT: Final = b"cache-salt"
CACHE_SOURCE: Final = b"kv-fetch"
CACHE_SINK: Final = b"kv-save"
URGENCY: Final = b"request-priority"
STAMP: Final = b"response-stamp"
NOT_RUN: Final = b"not-executed"
SERVER_ID: Final = b"instance-id"
# One version, although the name is a plural.
WEIGHTS_VERSION: Final = b"weight-versions"
RETRY_AFTER: Final = b"retry-after"
# "1" on any answer of a server that is about to stop.
SERVER_LEAVING: Final = b"server-leaving"

# Headers that concern one connection only.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only the router may set; what a caller sends in them is dropped.
RESERVED: Final = frozenset(
    {
        ACCOUNT_KEY,
        ACCOUNT,
        EXPECT_SERVER,
        EXPECT_VERSION,
        CACHE_SALT,
        CACHE_SOURCE,
        CACHE_SINK,
        URGENCY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
    }
)


def read_request(req: CallerRequest) -> None:
    """Fill in the fields of a request that its headers carry."""
    dropped = HOP_BY_HOP | RESERVED | _named_by_connection(req.headers)
    kept: Headers = []
    for name, value in req.headers:
        _read_request_header(req, name, value)
        if name not in dropped:
            kept.append((name, value))
    req.headers = kept


def _read_request_header(req: CallerRequest, name: bytes, value: bytes) -> None:
    match name:
        case b"request-id":
            req.request_id = _text(value)
        case b"deadline-ms":
            ms = _number(value)
            req.budget_s = None if ms is None else ms / MS_PER_S
        case b"api-key":
            req.key = _text(value)
        case b"model":
            req.model = _text(value)
        case b"token-count":
            counts = [_number(item) for item in value.split(b",")]
            req.prompt_tokens = int(counts[0] or 0)
            req.output_tokens = int(counts[1] or 0) if len(counts) > 1 else 0
        case b"prefix-hash":
            req.segments = _segments(value)
        case b"last-event-id":
            req.resume_after = _text(value)
        case b"host":
            req.host = _text(value).rsplit(":", 1)[0].lower()


def _segments(value: bytes) -> tuple[PromptSegment, ...]:
    segments = []
    for item in _text(value).split(","):
        segment_id, _, tokens = item.strip().partition(":")
        if segment_id and tokens.isdigit():
            segments.append(PromptSegment(segment_id, int(tokens)))
    return tuple(segments)


def dispatch_headers(req: CallerRequest, dispatch: Dispatch) -> Headers:
    """Return the headers with which a request goes to a backend server."""
    headers = list(req.headers)
    headers.append((EXPECT_SERVER, dispatch.server_id.encode()))
    left_ms = max(1, int(dispatch.time_left_s * MS_PER_S))
    headers.append((DEADLINE_MS, b"%d" % left_ms))
    if dispatch.account is not None:
        headers.append((ACCOUNT, dispatch.account.encode()))
    if dispatch.weights_version is not None:
        headers.append((EXPECT_VERSION, b"%d" % dispatch.weights_version))
    if dispatch.urgency is not None:
        headers.append((URGENCY, b"%d" % dispatch.urgency))
    for name, text in (
        (CACHE_SALT, dispatch.cache_salt),
        (CACHE_SOURCE, dispatch.cache_source),
        (CACHE_SINK, dispatch.cache_sink),
        (LAST_EVENT_ID, dispatch.resume_after),
    ):
        if text:
            headers.append((name, text.encode()))
    return headers


def read_answer(status: int, raw: Headers) -> AnswerHead:
    """Decode the head of a backend server's answer."""
    dropped = HOP_BY_HOP | _named_by_connection(raw)
    head = AnswerHead(status, [item for item in raw if item[0] not in dropped])
    for name, value in raw:
        match name:
            case b"request-id":
                head.request_id = _text(value)
            case b"response-stamp":
                head.stamped = True
            case b"not-executed":
                head.not_run = True
            case b"instance-id":
                head.server_id = _text(value)
            case b"weight-versions":
                number = _number(value)
                head.weights_version = None if number is None else int(number)
            case b"content-encoding":
                head.encoded = value.strip().lower() not in (b"", b"identity")
            case b"connection":
                head.closes = b"close" in value.lower()
            case b"keep-alive":
                head.keep_s = _keep_s(value)
            case b"content-length":
                head.length = int(value)
            case b"server-leaving":
                head.leaving = _text(value) == "1"
            case b"retry-after":
                head.pause_text = _text(value)
                head.pause_s = _number(value)
    # A server that another lifetime was meant for never runs the request.
    head.not_run = head.not_run or (status == 421 and not head.stamped)
    return head


def refusal_headers(req: CallerRequest | None, refusal: Refusal) -> Headers:
    """Return the headers of an answer of our own."""
    headers: Headers = []
    if req is not None and req.request_id:
        headers.append((REQUEST_ID, req.request_id.encode()))
    if refusal.retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.2f" % refusal.retry_after_s))
    return headers


def event_weights_version(event: bytes) -> int | None:
    """Return the weights version that the first line of an event names, if any."""
    if not event.startswith(WEIGHTS_VERSION + b":"):
        return None
    number = _number(event.split(b"\n", 1)[0].partition(b":")[2])
    return None if number is None else int(number)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(item.strip().lower() for item in value.split(b","))
    # These are never a matter of one connection, whatever it names.
    return frozenset(named - {REQUEST_ID, STAMP, MODEL, TOKEN_COUNT, PROMPT_PARTS})


def _keep_s(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _number(number)
    return None


def _number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip()
