"""Translate headers of requests and answers between the wire and the gateway's types.

The header names are those of the platform's protocol; comments explain misleading ones.
"""

import re
from typing import Final

from arbutusyard.const import MS_PER_S
from arbutusyard.gateway.models import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    Framing,
    PromptSegment,
    Refusal,
)

Headers = list[tuple[bytes, bytes]]

REQUEST_ID: Final = b"request-id"
DEADLINE_MS: Final = b"deadline-ms"
# The key of a client account, without an authentication scheme.
ACCOUNT_KEY: Final = b"api-key"
# The name of the client account.
ACCOUNT: Final = b"tenant"
MODEL: Final = b"model"
# Maximum number of digits of a segment's size in tokens; larger than any prompt.
TOKEN_DIGITS_MAX: Final = 12
# Two numbers: the prompt tokens and the maximum number of output tokens.
TOKEN_COUNT: Final = b"token-count"
# A prompt's segments as ID:TOKENS, not a hash of its whole prefix.
PROMPT_SEGMENTS: Final = b"prefix-hash"
LAST_EVENT_ID: Final = b"last-event-id"
# The id of the attempt that brought the first event of a stream that is resumed.
RESUMED_ID: Final = b"resumes"
# The ID of the server incarnation that the request is for.
EXPECT_SERVER: Final = b"expect-instance"
# The weights version that the request is for.
EXPECT_VERSION: Final = b"expect-version"
CACHE_SALT: Final = b"cache-salt"
CACHE_SOURCE: Final = b"kv-fetch"
CACHE_SINK: Final = b"kv-save"
URGENCY: Final = b"request-priority"
RESPONSE_STAMP: Final = b"response-stamp"
NOT_RUN: Final = b"not-executed"
SERVER_ID: Final = b"instance-id"
# A single weights version, despite the plural.
WEIGHTS_VERSION: Final = b"weight-versions"
RETRY_AFTER: Final = b"retry-after"
# "1" on every answer of a server that is about to stop.
SERVER_LEAVING: Final = b"server-leaving"
# The requests per second, a decimal number, that a server accepts from all nodes.
SERVER_LIMIT: Final = b"server-limit"
# Highest limit that is told apart from higher ones, in requests per second.
SERVER_LIMIT_MAX_S: Final = 1e9
DECIMAL_NUMBER: Final = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
# Between nodes only: the configuration version of a node that forwards a request, and
# why another node refused it.
CONFIG_VERSION: Final = b"arbutusyard-config-version"
NODE_REFUSAL: Final = b"arbutusyard-refusal"
# Between nodes only: the service, the software version and the incarnation of a server
# that began a stream. Connection lists them, so that nodes that do not know them drop
# them.
STREAM_SERVICE: Final = b"arbutusyard-stream-service"
STREAM_SOFTWARE: Final = b"arbutusyard-stream-software"
STREAM_SERVER: Final = b"arbutusyard-stream-server"
# Between nodes only: to how many servers the other node may send a forwarded request.
ATTEMPTS_MAX: Final = b"arbutusyard-attempts"
NODE_HEADERS: Final = frozenset(
    {NODE_REFUSAL, STREAM_SERVICE, STREAM_SOFTWARE, STREAM_SERVER}
)
# Maximum number of digits of a time in milliseconds.
MS_DIGITS_MAX: Final = 16
# Text that a header can carry unchanged.
HEADER_TEXT: Final = re.compile(r"[!-~]+", re.ASCII)
# Reasons for refusals that may not apply to other nodes.
NODE_REFUSAL_REASONS: Final = frozenset(
    {
        "config_outdated",
        "keys_too_old",
        "leaving",
        "no_route_yet",
        "no_server",
        "not_sent",
        "nothing_known",
        "unknown_key_yet",
    }
)
# Statuses with which a server may state that it did not run a request.
NOT_RUN_STATUSES: Final = frozenset({400, 421, 429, 503})

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
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
# Headers of clients' requests that are not forwarded: the router reads them itself, or
# sets its own in their place.
RESERVED_HEADERS: Final = frozenset(
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
        ATTEMPTS_MAX,
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
    }
)


def read_request(req: CallerRequest) -> None:
    """Set a request's fields from its headers; drop headers that are not forwarded."""
    if req.from_node:
        _take_config_version(req)
    listed = _connection_listed_headers(req.headers)
    dropped = HOP_BY_HOP_HEADERS | RESERVED_HEADERS | listed
    # Nodes list it; what an older one passes on from its client is not listed.
    if req.from_node and ATTEMPTS_MAX in listed:
        _read_attempts_max(req)
    forwarded: Headers = []
    for name, value in req.headers:
        _read_request_header(req, name, value)
        if name not in dropped:
            forwarded.append((name, value))
    req.headers = forwarded


def _take_config_version(req: CallerRequest) -> None:
    """Read and remove the header of the node that forwarded a request."""
    for index, (name, value) in enumerate(req.headers):
        if name == CONFIG_VERSION:
            req.config_version = int(_parse_number(value) or 0)
            # A client's header of that name follows.
            del req.headers[index]
            return


def _read_attempts_max(req: CallerRequest) -> None:
    for name, value in req.headers:
        if name == ATTEMPTS_MAX:
            number = _parse_number(value)
            req.attempts_max = None if number is None else max(1, int(number))


def _read_request_header(req: CallerRequest, name: bytes, value: bytes) -> None:
    match name:
        case b"request-id":
            req.request_id = _decode_text(value)
        case b"deadline-ms":
            ms = _parse_number(value)
            req.budget_s = None if ms is None else ms / MS_PER_S
        case b"api-key":
            req.key = _decode_text(value)
        case b"model":
            req.model = _decode_text(value)
        case b"token-count":
            counts = [_parse_number(item) for item in value.split(b",")]
            req.prompt_tokens = int(counts[0] or 0)
            req.output_tokens = int(counts[1] or 0) if len(counts) > 1 else 0
        case b"prefix-hash":
            req.segments = _parse_segments(value)
        case b"last-event-id":
            req.resume_after = _decode_text(value)
        case b"resumes":
            req.resumed_id = _decode_text(value)
        case b"host":
            req.host = _decode_text(value).rsplit(":", 1)[0].lower()


def _parse_segments(value: bytes) -> tuple[PromptSegment, ...]:
    segments = []
    for item in _decode_text(value).split(","):
        segment_id, _, tokens = item.strip().partition(":")
        if segment_id and tokens.isdecimal() and len(tokens) <= TOKEN_DIGITS_MAX:
            segments.append(PromptSegment(segment_id, int(tokens)))
    return tuple(segments)


def dispatch_headers(req: CallerRequest, dispatch: Dispatch) -> Headers:
    """Return the headers of a request to a backend server."""
    headers = list(req.headers)
    headers.append((EXPECT_SERVER, dispatch.server_id.encode()))
    time_left_ms = max(1, int(dispatch.time_left_s * MS_PER_S))
    headers.append((DEADLINE_MS, b"%d" % time_left_ms))
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


def peer_headers(
    req: CallerRequest,
    time_left_s: float,
    config_version: int,
    attempts_max: int,
    resume_after: str,
    resumed_id: str,
) -> Headers:
    """Return the headers of a request to another node, as the client sent them.

    A stream that the client has in part goes on after an event, as if the client
    resumed it.
    """
    headers = [
        (CONFIG_VERSION, b"%d" % config_version),
        (b"connection", ATTEMPTS_MAX),
        (ATTEMPTS_MAX, b"%d" % attempts_max),
    ]
    headers += [item for item in req.headers if item[0] != RESUMED_ID]
    time_left_ms = max(1, int(time_left_s * MS_PER_S))
    headers.append((DEADLINE_MS, b"%d" % time_left_ms))
    for name, text in (
        (ACCOUNT_KEY, req.key),
        (LAST_EVENT_ID, resume_after),
        (RESUMED_ID, resumed_id),
    ):
        if text:
            headers.append((name, text.encode("latin-1")))
    return headers


def stream_headers(
    service: str, software_version: str, server: tuple[str, int]
) -> Headers:
    """Return the headers that tell another node where a stream began.

    `server` is an id and a start in ms. Empty if headers cannot carry the names.
    """
    server_id, started_at_ms = server
    if not all(map(HEADER_TEXT.fullmatch, (service, software_version, server_id))):
        return []
    values = {
        STREAM_SERVICE: service.encode(),
        STREAM_SOFTWARE: software_version.encode(),
        STREAM_SERVER: b"%d %s" % (started_at_ms, server_id.encode()),
    }
    return [(b"connection", b", ".join(values)), *values.items()]


def _read_incarnation(value: bytes) -> tuple[str, int] | None:
    """Read a server's start in ms and its id; return None if they are malformed."""
    started_at_ms, _, server_id = _decode_text(value).partition(" ")
    if not started_at_ms.isdecimal() or len(started_at_ms) > MS_DIGITS_MAX:
        return None
    return server_id, int(started_at_ms)


def read_answer(status: int, raw: Headers) -> AnswerHead:
    """Decode the head of a backend server's answer."""
    listed = _connection_listed_headers(raw)
    dropped = HOP_BY_HOP_HEADERS | listed | NODE_HEADERS
    head = AnswerHead(status, [item for item in raw if item[0] not in dropped])
    for name, value in raw:
        match name:
            case b"request-id":
                request_id = _decode_text(value)
                if head.request_id not in ("", request_id):
                    head.contradictory = True
                head.request_id = request_id
            case b"response-stamp":
                head.stamped = True
            case b"not-executed":
                head.not_run = True
            case b"instance-id":
                head.server_id = _decode_text(value)
            case b"weight-versions":
                number = _parse_number(value)
                head.weights_version = None if number is None else int(number)
            case b"content-encoding":
                head.encoded = value.strip().lower() not in (b"", b"identity")
            case b"connection":
                head.closes = head.closes or b"close" in value.lower()
            case b"keep-alive":
                head.keep_s = _keep_alive_timeout_s(value)
            case b"content-length":
                head.length = int(value)
                if head.framing is Framing.CLOSE:
                    head.framing = Framing.LENGTH
            case b"transfer-encoding":
                # It takes precedence over Content-Length.
                head.framing = Framing.CHUNKED
            case b"arbutusyard-refusal":
                head.node_refusal = _decode_text(value)
            # An older node passes such headers of a server on without listing them.
            case b"arbutusyard-stream-service" if name in listed:
                head.stream_service = _decode_text(value)
            case b"arbutusyard-stream-software" if name in listed:
                head.stream_software = _decode_text(value)
            case b"arbutusyard-stream-server" if name in listed:
                head.stream_server = _read_incarnation(value)
            case b"server-leaving":
                head.leaving = _decode_text(value) == "1"
            case b"server-limit":
                _read_limit(head, value)
            case b"retry-after":
                head.pause_text = _decode_text(value)
                head.pause_s = _parse_number(value)
    # A server answers 421 without a stamp to a request that was meant for another
    # incarnation, and never runs it.
    if head.not_run and (head.stamped or status not in NOT_RUN_STATUSES):
        head.contradictory = True
    head.not_run = head.not_run or (status == 421 and not head.stamped)
    return head


def _read_limit(head: AnswerHead, value: bytes) -> None:
    """Set the request rate that a server accepts; the lowest of several counts."""
    head.limit_text = _decode_text(value)
    if DECIMAL_NUMBER.fullmatch(head.limit_text) is None:
        return
    limit_s = min(float(head.limit_text), SERVER_LIMIT_MAX_S)
    head.limit_s = limit_s if head.limit_s is None else min(head.limit_s, limit_s)


def refusal_headers(req: CallerRequest | None, refusal: Refusal) -> Headers:
    """Return the headers of a refusal that this node answers itself."""
    headers: Headers = []
    if req is not None and req.request_id:
        headers.append((REQUEST_ID, req.request_id.encode()))
    if refusal.retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.2f" % refusal.retry_after_s))
    is_retried = refusal.status == 503 and refusal.reason in NODE_REFUSAL_REASONS
    if req is not None and req.from_node and is_retried:
        headers.append((NODE_REFUSAL, refusal.reason.encode()))
    return headers


def event_weights_version(event: bytes) -> int | None:
    """Return the weights version in the first line of an event, None without one."""
    if not event.startswith(WEIGHTS_VERSION + b":"):
        return None
    number = _parse_number(event.split(b"\n", 1)[0].partition(b":")[2])
    return None if number is None else int(number)


def _connection_listed_headers(headers: Headers) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(item.strip().lower() for item in value.split(b","))
    # These headers never apply to a single connection, even if Connection lists them.
    return frozenset(
        named - {REQUEST_ID, RESPONSE_STAMP, MODEL, TOKEN_COUNT, PROMPT_SEGMENTS}
    )


def _keep_alive_timeout_s(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(number)
    return None


def _parse_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()
