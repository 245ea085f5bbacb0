"""Test relaying through servers that answer, refuse, break off, hang or vanish."""

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.fleet.messages import Heartbeat, ServerLoad
from arbutusyard.gateway.exceptions import NotSent
from arbutusyard.gateway.models import Account, IngressLimits, RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import (
    STAMP,
    answer,
    chunk,
    event,
    not_run,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)


def good(request):
    yield answer(request)


def total(servers):
    return sum(len(server.requests) for server in servers)


def test_an_answer_is_relayed_as_the_server_gave_it(run):
    gateway, (server,) = run(good)
    got = gateway.call()
    assert (got.status, got.body, got.headers["response-stamp"]) == (200, b"ok", "s")
    sent = server.requests[0]
    assert sent.first == "POST /a/x HTTP/1.1"
    assert sent.headers["tenant"] == "acc"
    assert sent.headers["expect-instance"] == "s0"
    assert "api-key" not in sent.headers
    assert int(sent.headers["deadline-ms"]) <= 1500
    assert sent.body == b"body"


def test_method_target_and_body_are_relayed_unchanged(run):
    gateway, (server,) = run(good)
    gateway.call(request_bytes("/a/%7Ex/../y?q=%20&z", "PUT", b"\x00\r\n\xff"))
    assert server.requests[0].first == "PUT /a/%7Ex/../y?q=%20&z HTTP/1.1"
    assert server.requests[0].body == b"\x00\r\n\xff"


def test_a_chunked_request_body_reaches_the_server_complete(run):
    gateway, (server,) = run(good)
    raw = request_bytes(body=b"", Content_Length=None, Transfer_Encoding="chunked")
    assert gateway.call(raw + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n").status == 200
    assert server.requests[0].body == b"abcde"


@pytest.mark.parametrize(
    "raw",
    [
        request_bytes(Transfer_Encoding="chunked"),
        request_bytes(Content_Length="4, 5"),
        request_bytes(X="a\r\n b: c\x00"),
        b"GET /a/x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\r\n\r\n",
    ],
)
def test_a_malformed_request_is_refused_and_reaches_no_server(run, raw):
    gateway, (server,) = run(good)
    got = gateway.call(raw)
    assert got.status in (400, 501)
    assert server.requests == []


def test_too_large_heads_and_bodies_are_refused_with_client_errors(run):
    gateway, (server,) = run(good)
    routes = gateway.fleet_state.catalog.cfg.routes
    gateway.configure(*routes, version=2, limits=IngressLimits(2048, 100))
    assert gateway.call(X="y" * 5000).status == 431
    assert gateway.call(request_bytes(body=b"z" * 200)).status == 413
    assert server.requests == []


def test_pipelined_requests_are_answered_in_order(run):
    gateway, (server,) = run(good)
    sock = gateway.connect()
    sock.sendall(request_bytes() + request_bytes(Request_Id="r2"))
    answers = [read_answer(sock, reader) for reader in [sock.makefile("rb")] * 2]
    sock.close()
    assert [got.headers["request-id"] for got in answers] == ["r1", "r2"]
    assert [r.headers["request-id"] for r in server.requests] == ["r1", "r2"]


def test_a_request_that_was_not_executed_is_retried_on_another_server(run):
    def full(request):
        yield not_run(request)

    gateway, servers = run(full, good, retry_policy=RetryPolicy.ONCE)
    assert {gateway.call().status for _ in range(4)} == {200}
    assert total(servers) >= 4


def test_a_request_that_no_server_executes_is_refused_with_retry_after(run):
    def full(request):
        yield not_run(request)

    gateway, _ = run(full, full, retry_policy=RetryPolicy.ONCE)
    got = gateway.call()
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


def test_a_non_idempotent_request_is_sent_once_when_its_connection_breaks(run):
    def broken(request):
        request.last = True
        return iter(())

    gateway, servers = run(broken, broken, retry_policy=RetryPolicy.ONCE)
    assert gateway.call().status == 502
    assert total(servers) == 1


def test_a_non_idempotent_request_is_sent_once_when_its_answer_never_comes(run):
    def mute(request):
        yield None

    gateway, servers = run(
        mute, good, mute, retry_policy=RetryPolicy.ONCE, timeout_s=0.4
    )
    statuses = [gateway.call().status for _ in range(3)]
    assert set(statuses) <= {200, 504}
    assert total(servers) == 3


def test_an_idempotent_request_is_retried_up_to_its_maximum_attempts(run):
    def failing(request):
        yield answer(request, "500 Internal Server Error", b"no")

    gateway, servers = run(failing, failing, failing, retry_policy=RetryPolicy.ANY)
    got = gateway.call()
    assert (got.status, got.body, got.headers["response-stamp"]) == (500, b"no", "s")
    assert total(servers) == 2


def test_a_server_error_for_a_non_idempotent_request_is_relayed(run):
    def failing(request):
        yield answer(request, "500 Internal Server Error", b"no")

    gateway, servers = run(failing, good, retry_policy=RetryPolicy.ONCE)
    assert {gateway.call().status for _ in range(6)} <= {200, 500}
    assert total(servers) == 6


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda request: answer(request)[:-1],
        lambda request: answer(request, headers=STAMP + "Content-Encoding: gzip\r\n"),
        lambda request: answer(request, headers=""),
        lambda request: b"nonsense\r\n\r\n",
    ],
)
def test_a_corrupted_answer_gives_502(run, corrupt):
    def corrupted(request):
        request.last = True
        yield corrupt(request)

    gateway, servers = run(corrupted, retry_policy=RetryPolicy.ONCE)
    assert gateway.call().status == 502
    assert total(servers) == 1


def test_an_answer_to_another_request_is_skipped(run):
    def unexpected(request):
        yield answer(request, body=b"other", request_id="r0") + answer(request)

    gateway, _ = run(unexpected, retry_policy=RetryPolicy.ONCE)
    assert gateway.call().body == b"ok"


def test_bytes_after_an_answer_do_not_affect_the_next_request(run):
    def extra(request):
        yield answer(request) + answer(request, body=b"again")

    gateway, _ = run(extra, retry_policy=RetryPolicy.ONCE)
    assert [gateway.call(Request_Id=f"r{n}").body for n in range(3)] == [b"ok"] * 3


def test_a_large_answer_is_relayed_complete(run):
    body = bytes(range(256)) * 12_000

    def large(request):
        yield answer(request, body=body)

    gateway, _ = run(large, retry_policy=RetryPolicy.ONCE)
    got = gateway.call()
    assert (got.status, got.body == body) == (200, True)


def test_a_large_answer_that_breaks_off_is_visibly_incomplete(run):
    def cut(request):
        request.last = True
        yield answer(request, body=b"x" * 3_000_000)[:2_000_000]

    gateway, _ = run(cut, retry_policy=RetryPolicy.ONCE)
    got = gateway.call()
    assert len(got.body) < int(got.headers["content-length"])


def test_a_request_whose_deadline_has_passed_reaches_no_server(run):
    gateway, (server,) = run(good)
    assert gateway.call(Deadline_Ms="0").status == 503
    assert server.requests == []


def test_an_answer_without_a_length_is_complete_when_its_connection_ends(run):
    def unframed(request):
        request.last = True
        yield f"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n{STAMP}\r\nwhole".encode()

    gateway, _ = run(unframed)
    assert gateway.call().body == b"whole"


def test_a_superseded_server_is_not_used_again(run):
    def other(request):
        yield answer(request, "421 Misdirected Request", b"", "Instance-Id: x\r\n")

    gateway, (successor, _) = run(other, good, retry_policy=RetryPolicy.ONCE)
    reported = []
    gateway.router.on_replaced = reported.append
    assert {gateway.call().status for _ in range(4)} == {200}
    assert len(successor.requests) <= 1
    assert reported == ["s0"] * len(successor.requests)


def test_requests_succeed_while_one_server_is_unreachable(run):
    gateway, (unreachable, _) = run(good, good, retry_policy=RetryPolicy.ONCE)
    unreachable.stop()
    assert {gateway.call().status for _ in range(4)} == {200}


def test_a_request_is_cancelled_when_its_client_disconnects(run):
    def slow(request):
        yield None

    gateway, (server,) = run(slow, retry_policy=RetryPolicy.ONCE)
    sock = gateway.connect()
    sock.sendall(request_bytes())
    wait_for(lambda: server.requests)
    sock.close()
    wait_for(lambda: server.closed == 1, timeout_s=0.5)
    wait_for(lambda: gateway.fleet_state.servers.get("s0").in_flight == 0)


def test_a_request_is_answered_at_its_routes_time_limit(run):
    def mute(request):
        yield None

    gateway, _ = run(mute, retry_policy=RetryPolicy.ONCE, timeout_s=0.3)
    with gevent.Timeout(0.8):
        assert gateway.call().status == 504


def test_unknown_routes_and_keys_get_client_errors_only_with_fresh_configuration(run):
    gateway, _ = run(good)
    assert gateway.call(request_bytes("/b/x")).status == 404
    assert gateway.call(Api_Key="wrong").status == 401
    gateway.confirm(age_s=3.0)
    assert gateway.call(request_bytes("/b/x")).status == 503
    assert gateway.call(Api_Key="wrong").status == 503
    assert gateway.call().status == 200


def test_no_key_is_accepted_once_the_configuration_exceeds_the_revocation_time(run):
    gateway, (server,) = run(good)
    gateway.confirm(age_s=5.0)
    assert gateway.call().status == 503
    assert server.requests == []


def test_a_public_route_needs_neither_key_nor_fresh_configuration(run):
    gateway, (server,) = run(good, public=True)
    gateway.confirm(age_s=60.0)
    assert gateway.call(Api_Key=None).status == 200
    assert "tenant" not in server.requests[0].headers


def test_each_key_of_an_account_is_accepted_and_none_is_relayed(run):
    gateway, (server,) = run(good)
    account = Account("acc", ("key", "key2"), None, False)
    gateway.configure(*gateway.fleet_state.catalog.cfg.routes, accounts=(account,))
    assert gateway.call(Api_Key="key2").status == 200
    assert "key2" not in str(server.requests[0].headers)


def test_requests_are_refused_while_there_is_no_configuration(run):
    gateway, (server,) = run(good)
    gateway.fleet_state.catalog = None
    assert gateway.call().status == 503
    assert server.requests == []


def test_a_draining_node_answers_and_closes_the_connection(run):
    gateway, _ = run(good)
    gateway.relay.start_draining(clock.now(), float("inf"))
    assert gateway.call().headers["connection"] == "close"


def whole_stream(request):
    yield stream_head(request)
    for n in range(1, 4):
        yield chunk(event(n))
    yield b"0\r\n\r\n"


def test_events_are_relayed_as_they_arrive(run):
    gate = gevent.event.Event()

    def stepwise(request):
        yield stream_head(request) + chunk(event(1))
        gate.wait()
        yield chunk(event(2)) + b"0\r\n\r\n"

    gateway, _ = run(stepwise, retry_policy=RetryPolicy.ONCE, streaming=True)
    sock = gateway.connect()
    sock.sendall(request_bytes())
    seen = b""
    while event(1) not in seen:
        seen += sock.recv(1000)
    gate.set()
    while not seen.endswith(b"0\r\n\r\n"):
        seen += sock.recv(1000)
    assert event(2) in seen


def test_a_broken_stream_is_visibly_incomplete(run):
    def cut(request):
        request.last = True
        yield stream_head(request) + chunk(event(1)) + chunk(b"id: 2\nda")

    gateway, servers = run(cut, cut, retry_policy=RetryPolicy.ONCE, streaming=True)
    got = gateway.call()
    assert (got.complete, got.body) == (False, event(1))
    assert total(servers) == 1


def test_a_broken_stream_resumes_at_another_server_after_its_last_event(run):
    def cut(request):
        if "last-event-id" in request.headers:
            yield from rest(request)
            return
        request.last = True
        yield stream_head(request) + chunk(event(1)) + chunk(b"id: 2\nda")

    def rest(request):
        after = int(request.headers["last-event-id"])
        yield stream_head(request)
        for n in range(after + 1, 4):
            yield chunk(event(n))
        yield b"0\r\n\r\n"

    gateway, servers = run(cut, cut, retry_policy=RetryPolicy.RESUME, streaming=True)
    got = gateway.call()
    assert (got.complete, got.body) == (True, event(1) + event(2) + event(3))
    assert total(servers) == 2


def test_events_that_were_already_relayed_are_not_relayed_again(run):
    def cut(request):
        if "last-event-id" in request.headers:
            yield from whole_stream(request)
            return
        request.last = True
        yield stream_head(request) + chunk(event(1) + event(2))

    gateway, _ = run(cut, cut, retry_policy=RetryPolicy.RESUME, streaming=True)
    assert gateway.call().body == event(1) + event(2) + event(3)


def test_a_resumable_stream_moves_away_from_an_unresponsive_server(run):
    def mute(request):
        yield None

    gateway, (unresponsive, _) = run(
        mute,
        whole_stream,
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
        timeout_s=5.0,
    )
    gateway.fleet_state.servers.get("s1").in_flight = 1
    with gevent.Timeout(3):
        assert gateway.call(Deadline_Ms="5000").complete
    assert len(unresponsive.requests) == 1
    assert gateway.fleet_state.servers.get("s0").suspected


@pytest.mark.parametrize("reachable", [True, False])
def test_a_server_that_may_be_prefilling_keeps_requests_while_it_is_reachable(
    run, reachable
):
    # On the test site scale-1, with 8 of 30 engines unreachable, the others were
    # unresponsive during long prefills: within two seconds 250 requests moved away from
    # them and queued again elsewhere.
    def saturated(request):
        gevent.sleep(2.4)
        yield from whole_stream(request)

    gateway, servers = run(
        saturated,
        whole_stream,
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
        timeout_s=6.0,
    )
    loads = (ServerLoad("s0", 4, 100_000),)
    reported = Heartbeat("b", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, loads)
    gateway.peers.apply_heartbeat(reported, clock.now())
    gateway.fleet_state.servers.get("s1").in_flight = 40
    if reachable:
        gateway.router.on_check = lambda server: gevent.spawn(
            gateway.pool.probe, server
        )
    assert gateway.call(Deadline_Ms="6000").complete
    assert [len(server.requests) for server in servers] == [1, 0 if reachable else 1]


def test_a_saturated_server_that_is_reachable_is_not_reported_as_unreachable(run):
    # In a fleet of 71 nodes, one node's wait in a saturated engine's queue took the
    # engine out of use at all of them, some 390 times a day.
    def saturated(request):
        gevent.sleep(1.2)
        yield from whole_stream(request)

    gateway, (server,) = run(saturated, retry_policy=RetryPolicy.ONCE, streaming=True)
    known = gateway.fleet_state.servers.get("s0")
    reported = []
    gateway.router.on_unreachable = reported.append
    gateway.router.on_check = lambda server: gevent.spawn(gateway.pool.probe, server)
    assert gateway.call().complete
    assert len(server.requests) == 1
    assert not reported
    assert gateway.router.unreachable() == ()
    assert known.usable(clock.now())


def test_an_unreachable_server_is_reported_and_then_checked_by_other_nodes(run):
    gateway, (server,) = run(good)
    known = gateway.fleet_state.servers.get("s0")
    reported = []
    gateway.router.on_unreachable = reported.append
    server.stop()
    assert gateway.call().status == 503
    assert gateway.router.unreachable() == ("s0",)
    assert reported == ["s0"]
    other, _ = run(good)
    checked = []
    other.router.on_check = checked.append
    other.router.apply_unreachable(gateway.router.unreachable(), clock.now() + 60)
    assert [item.entry.server_id for item in checked] == ["s0"]
    assert other.router.unreachable() == ()
    assert known.suspected


def test_a_broken_idle_connection_does_not_make_its_server_suspected(run, monkeypatch):
    def broken(self, server, request_id, cap, now):
        raise NotSent("the idle connection broke")

    gateway, _ = run(good)
    known = gateway.fleet_state.servers.get("s0")
    assert gateway.call().status == 200
    monkeypatch.setattr(ServerPool, "acquire", broken)
    assert gateway.call().status == 503
    assert not known.suspected


# Guards against LOST: a silent server was given up for an attempt that could not
# follow, so its stream ended without a whole answer.
@pytest.mark.parametrize("reason", ["budget", "unnumbered"])
def test_a_silent_server_is_only_given_up_if_another_attempt_can_follow(run, reason):
    first = event(1) if reason == "budget" else b"data: x\n\n"
    last = event(2) if reason == "budget" else b"data: y\n\n"

    def pausing(request):
        yield stream_head(request) + chunk(first)
        gevent.sleep(1.6)
        yield chunk(last) + b"0\r\n\r\n"

    gateway, servers = run(
        pausing,
        whole_stream,
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
        timeout_s=5.0,
    )
    gateway.fleet_state.servers.get("s1").in_flight = 1
    gateway.router.on_check = lambda server: setattr(server, "suspected", False)
    if reason == "budget":
        budget = gateway.relay._retry_budget
        while budget.spend("svc", clock.now()):
            pass
    got = gateway.call(Deadline_Ms="5000")
    assert got.complete
    assert got.body == first + last
    assert total(servers) == 1


# A retry that was paid as its server was given up is not paid twice.
def test_an_attempt_after_a_silent_server_costs_one_retry(run):
    def mute(request):
        yield None

    gateway, _ = run(
        mute,
        whole_stream,
        retry_policy=RetryPolicy.RESUME,
        streaming=True,
        timeout_s=5.0,
    )
    gateway.fleet_state.servers.get("s1").in_flight = 1
    assert gateway.call(Deadline_Ms="5000").complete
    usage = gateway.relay._retry_budget.usage("svc", clock.now())
    assert usage["budget_retries"] == 1


def test_a_non_resumable_stream_stays_with_an_unresponsive_server(run):
    def mute(request):
        yield None

    gateway, servers = run(
        mute, mute, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=1.2
    )
    assert gateway.call().status == 504
    assert total(servers) == 1


def test_the_weights_version_that_a_server_reports_is_recorded(run):
    def newer(request):
        yield stream_head(request, STAMP + "Weight-Versions: 4\r\n")
        yield chunk(event(1)) + b"0\r\n\r\n"

    gateway, (server,) = run(newer, retry_policy=RetryPolicy.ONCE, streaming=True)
    gateway.call(Model="m", Token_Count="10,5", Prefix_Hash="aa:10")
    assert server.requests[0].headers["expect-version"] == "1"
    assert gateway.fleet_state.servers.get("s0").weights["m"] == 4


def test_an_isolated_account_has_its_own_cache_salt(run):
    gateway, (server,) = run(
        whole_stream, retry_policy=RetryPolicy.ONCE, streaming=True
    )
    accounts = (
        Account("a1", ("k1",), None, True),
        Account("a2", ("k2",), None, False),
        Account("a3", ("k3",), None, False),
    )
    gateway.configure(*gateway.fleet_state.catalog.cfg.routes, accounts=accounts)
    for key in ("k1", "k2", "k3"):
        gateway.call(Model="m", Api_Key=key, Prefix_Hash="aa:10")
    salts = [request.headers["cache-salt"] for request in server.requests]
    assert salts[1] == salts[2] != salts[0]


def test_a_retried_request_carries_only_the_remaining_time(run):
    def slow_then_full(request):
        gevent.sleep(0.3)
        yield not_run(request)

    gateway, servers = run(
        slow_then_full, slow_then_full, retry_policy=RetryPolicy.ONCE
    )
    gateway.call(Deadline_Ms="1000")
    left = [int(s.requests[0].headers["deadline-ms"]) for s in servers if s.requests]
    assert max(left) - min(left) >= 250


def test_requests_on_several_connections_of_a_client_are_served_concurrently(run):
    def slow(request):
        gevent.sleep(0.2)
        yield answer(request)

    gateway, _ = run(slow)
    socks = [gateway.connect() for _ in range(5)]
    with gevent.Timeout(0.8):
        for sock in socks:
            sock.sendall(request_bytes())
        assert [read_answer(sock).status for sock in socks] == [200] * 5
    for sock in socks:
        sock.close()


def test_a_draining_node_accepts_late_requests_only_if_they_end_in_time(run):
    gateway, (server,) = run(good, timeout_s=2.0)
    now = clock.now()
    gateway.relay.start_draining(now - 4.0, now + 1.0)
    refused = gateway.call(Deadline_Ms="1500")
    assert (refused.status, refused.headers["connection"]) == (503, "close")
    assert gateway.call(Deadline_Ms="500").status == 200
    assert len(server.requests) == 1


def test_weights_superseded_too_long_ago_get_no_requests_after_more_targets(run):
    gateway, (outdated, newer) = run(
        whole_stream, whole_stream, retry_policy=RetryPolicy.ONCE, streaming=True
    )
    now = clock.now()
    targets = [(2, now - 60.0), (3, now - 30.0), (4, now - 0.1)]
    gateway.fleet_state.weights["m"] = 4
    gateway.fleet_state.target_history["m"] = targets
    gateway.fleet_state.servers.get("s1").weights["m"] = 3
    gateway.fleet_state.servers.get("s1").in_flight = 500
    for _ in range(5):
        assert gateway.call(Model="m", Prefix_Hash="aa:10").status == 200
    assert (len(outdated.requests), len(newer.requests)) == (0, 5)


def test_newer_weights_of_unknown_age_are_not_excluded_for_older_ones(run):
    # After the store dropped its history, all engines but those two versions behind
    # were excluded, and the queues of those grew to six seconds.
    gateway, (outdated, newer) = run(
        whole_stream, whole_stream, retry_policy=RetryPolicy.ONCE, streaming=True
    )
    gateway.fleet_state.weights["m"] = 3
    gateway.fleet_state.target_history["m"] = [(2, clock.now() - 3.0), (3, None)]
    gateway.fleet_state.servers.get("s1").weights["m"] = 2
    gateway.fleet_state.servers.get("s0").in_flight = 500
    for _ in range(5):
        assert gateway.call(Model="m", Prefix_Hash="aa:10").status == 200
    assert (len(outdated.requests), len(newer.requests)) == (0, 5)


def test_an_engine_with_mismatched_weights_is_paused_until_they_are_reported(run):
    # The target version was taken for the engine's own, so all requests went there
    # first and were refused until the retry budget was spent.
    def mismatched(request):
        if request.headers["expect-version"] == "2":
            yield answer(request)
        else:
            yield not_run(request, "421 Misdirected Request")

    gateway, (first, _) = run(mismatched, good)
    mismatches = []
    gateway.router.on_weights_mismatch = mismatches.append
    gateway.fleet_state.weights["m"] = 3
    fields = {"Model": "m", "Token_Count": "400,8", "Prefix_Hash": "a:100,b:300"}
    for n in range(6):
        raw = request_bytes(Request_Id=f"r{n}", **fields)
        assert gateway.call(raw).status == 200
    assert len(first.requests) == 1
    (server,) = mismatches
    assert server.weights == {"m": 1}
    server.weights["m"] = 2
    server.mismatch_until = 0.0
    gateway.fleet_state.servers.mark_dead(gateway.fleet_state.servers.get("s1"))
    assert gateway.call(request_bytes(Request_Id="last", **fields)).status == 200
