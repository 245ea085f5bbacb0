"""Build the typed error responses and error events of an entry."""

import math

import bottle
import msgspec

from arbutusyard.const import HEADER_OUTCOME, HEADER_REQUEST_ID, HEADER_RETRY_AFTER
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import ErrorBody, ErrorDetail, OutcomeKind


def error_response(refused: Refused, request_id: str) -> bottle.HTTPResponse:
    """Return the HTTP response for a refusal."""
    detail = ErrorDetail(
        code=refused.code,
        message=str(refused),
        outcome=refused.outcome,
        request_id=request_id,
        retry_after_s=refused.retry_after_s,
    )
    headers = {
        "Content-Type": "application/json",
        HEADER_REQUEST_ID: request_id,
        HEADER_OUTCOME: refused.outcome.value,
    }
    if refused.retry_after_s is not None:
        headers[HEADER_RETRY_AFTER] = str(math.ceil(refused.retry_after_s))
    body = msgspec.json.encode(ErrorBody(detail))
    return bottle.HTTPResponse(body, refused.status, headers=headers)


def error_event(request_id: str, code: str, message: str) -> bytes:
    """Return the server-sent event that ends an interrupted stream."""
    detail = ErrorDetail(code, message, OutcomeKind.UNKNOWN, request_id)
    data = msgspec.json.encode(ErrorBody(detail))
    return b"event: error\ndata: " + data + b"\n\n"
