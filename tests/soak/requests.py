"""Encode the requests of clients."""

from tests.soak.const import CLIENT_TIMEOUT_S, HOST, MODEL
from tests.soak.ledger import STREAMS


def encode_request(attempt, path):
    """Return the bytes of a request."""
    method = "GET" if attempt.kind == "any" else "POST"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {attempt.request_id}",
        f"Api-Key: {attempt.key}",
        f"Deadline-Ms: {CLIENT_TIMEOUT_S * 1000:.0f}",
        "Tenant: forged",
    ]
    if attempt.body:
        lines.append(f"Content-Length: {len(attempt.body)}")
    lines += attempt.headers
    if attempt.kind in STREAMS:
        prompt, output = attempt.tokens
        lines += [f"Model: {MODEL}", f"Token-Count: {prompt},{output}"]
        lines.append("Prefix-Hash: a:100,b:300")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + attempt.body
