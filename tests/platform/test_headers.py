"""Check the translation of headers of requests and answers."""

import pytest

from arbutusyard.gateway.models import CallerRequest, Dispatch, PromptSegment, Refusal
from arbutusyard.platform.headers import (
    dispatch_headers,
    event_weights_version,
    read_answer,
    read_request,
    refusal_headers,
)


def request(*headers):
    return CallerRequest(
        "", b"POST", b"/a/b", "", "/a/b", list(headers), b"body", arrived_at=0.0
    )


def test_request_headers_set_the_fields_of_the_request():
    req = request(
        (b"host", b"Example.test:80"),
        (b"request-id", b"r1"),
        (b"deadline-ms", b"1500"),
        (b"api-key", b"secret"),
        (b"model", b"m"),
        (b"token-count", b"1460,80"),
        (b"prefix-hash", b"aa:800, bb:410,bad,cc:x"),
        (b"last-event-id", b"7"),
    )
    read_request(req)
    assert (req.host, req.request_id, req.budget_s) == ("example.test", "r1", 1.5)
    assert (req.key, req.model, req.prompt_tokens) == ("secret", "m", 1460)
    assert req.segments == (PromptSegment("aa", 800), PromptSegment("bb", 410))
    assert req.resume_after == "7"


@pytest.mark.parametrize(
    "name",
    [
        b"api-key",
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"kv-from",
        b"kv-backup",
        b"hold",
        b"pin-ms",
        b"request-priority",
        b"connection",
        b"transfer-encoding",
        b"content-length",
    ],
)
def test_reserved_and_hop_by_hop_headers_of_a_client_are_not_forwarded(name):
    req = request((b"request-id", b"r1"), (name, b"x"))
    read_request(req)
    sent = dispatch_headers(req, Dispatch("s1", None, 1.0))
    assert (name, b"x") not in sent
    assert (b"request-id", b"r1") in sent


def test_headers_listed_in_connection_are_dropped_except_the_request_id():
    req = request(
        (b"request-id", b"r1"), (b"x-hop", b"1"), (b"connection", b"x-hop, request-id")
    )
    read_request(req)
    assert req.headers == [(b"request-id", b"r1")]


def test_a_dispatch_has_the_time_left_and_the_expected_server_and_version():
    req = request((b"deadline-ms", b"9000"))
    read_request(req)
    sent = dict(dispatch_headers(req, Dispatch("s1", "acc", 0.25, 3, "salt")))
    assert sent[b"deadline-ms"] == b"250"
    assert sent[b"expect-instance"] == b"s1"
    assert sent[b"tenant"] == b"acc"
    assert (sent[b"expect-version"], sent[b"cache-salt"]) == (b"3", b"salt")


def test_only_not_executed_and_a_421_without_stamp_mean_that_nothing_ran():
    assert read_answer(503, [(b"not-executed", b"1")]).not_run
    assert read_answer(421, [(b"instance-id", b"other")]).not_run
    assert not read_answer(503, []).not_run
    assert not read_answer(421, [(b"response-stamp", b"x")]).not_run
    assert not read_answer(500, [(b"response-stamp", b"x")]).not_run


def test_connection_headers_of_an_answer_are_decoded_and_dropped():
    head = read_answer(
        200,
        [
            (b"response-stamp", b"s"),
            (b"connection", b"close"),
            (b"keep-alive", b"timeout=5"),
            (b"transfer-encoding", b"chunked"),
        ],
    )
    assert head.headers == [(b"response-stamp", b"s")]
    assert (head.closes, head.keep_s) == (True, 5.0)


def test_a_refusal_has_the_request_id_and_retry_after():
    req = request((b"request-id", b"r1"))
    read_request(req)
    headers = dict(refusal_headers(req, Refusal(503, "full", 0.25)))
    assert headers == {b"request-id": b"r1", b"retry-after": b"0.25"}


def test_the_weights_version_is_read_from_the_first_line_of_an_event():
    assert event_weights_version(b"weight-versions: 4\nid: 2\ndata: x\n\n") == 4
    assert event_weights_version(b"id: 2\ndata: x\n\n") is None


@pytest.mark.parametrize(
    ("values", "limit_s"),
    [
        ((b"1.8",), 1.8),
        ((b" 0 ",), 0.0),
        ((b"0.000001",), 0.000001),
        ((b"7", b"3.5"), 3.5),
        ((b"7", b"many"), 7.0),
        ((b"1" * 400,), 1e9),
        ((b"",), None),
        ((b"many",), None),
        ((b"-1",), None),
        ((b"nan",), None),
        ((b"inf",), None),
        ((b"1_0",), None),
        ((b"1,8",), None),
        ((b"0x10",), None),
        ((), None),
    ],
)
def test_a_server_limit_is_a_decimal_number_and_the_lowest_one_counts(values, limit_s):
    head = read_answer(200, [(b"server-limit", value) for value in values])
    assert head.limit_s == limit_s
