"""Malformed requests to an entry get a 4xx; slow ones do not affect others."""

import json
import socket

import pytest

from arbutusyard.client import Client
from standins.answers import whole_answer
from tests.conftest import start_quetzal

KEY = "demo-cielo-maya"
MODEL = "quetzal-assistant"
HEAD = (
    "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
    f"Authorization: Bearer {KEY}\r\nConnection: close\r\n"
)
BODY = json.dumps(
    {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
)


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    from standins.cluster import Cluster

    with Cluster(tmp_path_factory.mktemp("bad")) as cluster:
        start_quetzal(cluster, entries=1, engines=1)
        yield cluster


def exchange(system, data, half_close=False):
    """Send raw bytes; return the status and the decoded body."""
    host, port = system.address("e0").rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


def request_bytes(body, *headers, length=None):
    lines = [f"Content-Length: {len(body) if length is None else length}", *headers]
    return (HEAD + "\r\n".join(lines) + "\r\n\r\n" + body).encode()


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (request_bytes("{"), 400, "invalid_body"),
        (request_bytes("[]"), 400, "invalid_body"),
        (request_bytes('{"model":"m","messages":[]}'), 400, "invalid_body"),
        (request_bytes(BODY.replace(MODEL, "none")), 404, "unknown_model"),
        (request_bytes(BODY, "X-Work-Class: none"), 400, "unknown_class"),
        (request_bytes(BODY, "X-Deadline-Ms: soon"), 400, "invalid_deadline"),
        (request_bytes(BODY, "X-Resume-Token: xx"), 400, "invalid_resume_token"),
        (request_bytes("", length=9_000_000), 413, "body_too_large"),
        (request_bytes(BODY).replace(KEY.encode(), b"other"), 401, "invalid_key"),
        (request_bytes(BODY, "Content-Length: 5"), 400, "invalid_request"),
        (request_bytes(BODY, "Transfer-Encoding: chunked"), 400, "invalid_request"),
        (request_bytes(BODY, "Content_Length: 5"), 400, "invalid_request"),
        (request_bytes(BODY, "Content-Length : 5"), 400, "invalid_request"),
        (request_bytes(BODY, "X-Long: " + "x" * 40_000), 400, "invalid_request"),
        (b"GARBAGE\r\n\r\n", 400, "invalid_request"),
        (b"GET /none HTTP/1.1\r\nConnection: close\r\n\r\n", 404, "not_found"),
    ],
)
def test_bad_request_gets_a_typed_error(system, data, status, code):
    received_status, body = exchange(system, data)
    assert (received_status, body["error"]["code"]) == (status, code)
    assert body["error"]["outcome"] == "not_run"


def test_truncated_body_is_refused(system):
    status, body = exchange(
        system, request_bytes(BODY, length=len(BODY) + 9), half_close=True
    )
    assert (status, body["error"]["code"]) == (400, "body_cut")


def test_missing_idempotency_key_is_refused(system):
    data = request_bytes("{}").replace(
        b"/v1/chat/completions", b"/v1/services/exchange/other"
    )
    status, body = exchange(system, data)
    assert (status, body["error"]["code"]) == (400, "idempotency_key_missing")
    assert body["error"]["outcome"] == "not_run"


def test_half_closed_connection_still_gets_its_answer(system):
    status, body = exchange(system, request_bytes(BODY), half_close=True)
    assert status == 200
    assert body["choices"][0]["finish_reason"] == "stop"


def test_slow_clients_do_not_delay_other_requests(system):
    host, port = system.address("e0").rsplit(":", 1)
    slow_connections = [socket.create_connection((host, int(port))) for _ in range(50)]
    for sock in slow_connections:
        sock.sendall(HEAD.encode())
    messages = [{"role": "user", "content": "quick"}]
    answer = Client((system.address("e0"),), KEY).chat(MODEL, messages, 3)
    assert answer.text == whole_answer(messages, "v1", 3)
    for sock in slow_connections:
        sock.close()
