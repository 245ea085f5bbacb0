"""Send an entry what no caller should: a clear 4xx, and no harm to others."""

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
    """Send raw bytes; return the status and the typed error."""
    host, port = system.address("e0").rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while part := sock.recv(65_536):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


def post(body, *headers, length=None):
    lines = [f"Content-Length: {len(body) if length is None else length}", *headers]
    return (HEAD + "\r\n".join(lines) + "\r\n\r\n" + body).encode()


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (post("{"), 400, "invalid_body"),
        (post("[]"), 400, "invalid_body"),
        (post('{"model":"m","messages":[]}'), 400, "invalid_body"),
        (post(BODY.replace(MODEL, "none")), 404, "unknown_model"),
        (post(BODY, "X-Work-Class: none"), 400, "unknown_class"),
        (post(BODY, "X-Deadline-Ms: soon"), 400, "invalid_deadline"),
        (post(BODY, "X-Resume-Token: xx"), 400, "invalid_resume_token"),
        (post("", length=9_000_000), 413, "body_too_large"),
        (post(BODY).replace(KEY.encode(), b"other"), 401, "invalid_key"),
        (post(BODY, "Content-Length: 5"), 400, "invalid_request"),
        (post(BODY, "Transfer-Encoding: chunked"), 400, "invalid_request"),
        (post(BODY, "Content_Length: 5"), 400, "invalid_request"),
        (post(BODY, "Content-Length : 5"), 400, "invalid_request"),
        (post(BODY, "X-Long: " + "x" * 40_000), 400, "invalid_request"),
        (b"GARBAGE\r\n\r\n", 400, "invalid_request"),
        (b"GET /none HTTP/1.1\r\nConnection: close\r\n\r\n", 404, "not_found"),
    ],
)
def test_bad_request_gets_a_typed_answer(system, data, status, code):
    found, body = exchange(system, data)
    assert (found, body["error"]["code"]) == (status, code)
    assert body["error"]["outcome"] == "not_run"


def test_cut_body_is_refused(system):
    found, body = exchange(system, post(BODY, length=len(BODY) + 9), half_close=True)
    assert (found, body["error"]["code"]) == (400, "body_cut")


def test_missing_idempotency_key_is_refused(system):
    data = post("{}").replace(b"/v1/chat/completions", b"/v1/services/exchange/other")
    found, body = exchange(system, data)
    assert (found, body["error"]["code"]) == (400, "idempotency_key_missing")
    assert body["error"]["outcome"] == "not_run"


def test_half_closed_connection_gets_its_answer(system):
    found, body = exchange(system, post(BODY), half_close=True)
    assert found == 200
    assert body["choices"][0]["finish_reason"] == "stop"


def test_slow_senders_harm_no_other_request(system):
    host, port = system.address("e0").rsplit(":", 1)
    slow = [socket.create_connection((host, int(port))) for _ in range(50)]
    for sock in slow:
        sock.sendall(HEAD.encode())
    messages = [{"role": "user", "content": "quick"}]
    answer = Client((system.address("e0"),), KEY).chat(MODEL, messages, 3)
    assert answer.text == whole_answer(messages, "v1", 3)
    for sock in slow:
        sock.close()
