"""A stream holds events of servers of one software version only."""

import json

import gevent
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import (
    answer,
    chunk,
    event,
    request_bytes,
    stream_head,
    wait_for,
)

STREAM = {"streaming": True, "retry_policy": RetryPolicy.RESUME, "max_attempts": 3}


def broken_stream(request):
    """Send the first event and break off."""
    yield stream_head(request) + chunk(event(1, "first"))
    request.last = True
    yield chunk(event(2, "second"))[:-4]


def whole_stream(request):
    """Send all events after the one that the request names."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    yield stream_head(request)
    for n in range(first, 5):
        yield chunk(event(n, "later"))
    yield b"0\r\n\r\n"


def set_versions(gateway, *versions):
    """Set the software versions of the servers, in their order."""
    table = gateway.fleet_state.servers
    for n, version in enumerate(versions):
        table.update(replace(table.get(f"s{n}").entry, software_version=version))


def use_only(gateway, *numbers):
    """Make all other servers unusable."""
    table = gateway.fleet_state.servers
    for server in table.servers.values():
        server.suspected = int(server.entry.server_id[1:]) not in numbers


def resume(gateway, resumed_id, after="1", **headers):
    return gateway.call(
        Request_Id="r2", Last_Event_Id=after, Resumes=resumed_id, **headers
    )


# Guards against ORDER: a node let a stream go on at any other server within one answer.
def test_a_broken_stream_goes_on_only_at_its_software_version(run):
    gateway, servers = run(broken_stream, whole_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2", "v1")
    for number in (1, 2):
        gateway.fleet_state.servers.get(f"s{number}").in_flight = 30 * number
    got = gateway.call()
    assert servers[0].requests
    assert not [r for r in servers[1].requests if "last-event-id" in r.headers]
    assert got.complete
    assert servers[2].requests[-1].headers["last-event-id"] == "1"


# Guards against ORDER: without a server of its version a stream went on at another one.
def test_a_broken_stream_ends_where_no_server_has_its_software_version(run):
    gateway, servers = run(broken_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2")
    gateway.fleet_state.servers.get("s1").in_flight = 30
    got = gateway.call()
    assert got.status == 200
    assert not got.complete
    assert not servers[1].requests


# Guards against ORDER: the attempt that a client resumes was not read.
def test_a_resumed_stream_goes_on_only_at_its_software_version(run):
    gateway, servers = run(whole_stream, whole_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2", "v1")
    use_only(gateway, 0)
    assert gateway.call(Request_Id="r1").complete
    use_only(gateway, 1, 2)
    for _ in range(6):
        assert resume(gateway, "r1").complete
    assert not servers[1].requests
    use_only(gateway, 1)
    assert resume(gateway, "r1").status == 503
    assert not servers[1].requests


# Guards against ORDER: "unknown" was taken for "the same".
def test_resume_of_an_unknown_stream_is_refused_while_two_versions_serve(run):
    gateway, servers = run(whole_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2")
    for resumed_id in ("never", "", "x" * 9000):
        assert resume(gateway, resumed_id).status == 503
    assert not servers[0].requests
    assert not servers[1].requests


# Guards against ORDER: an id names an attempt of its own client account only, and no
# version where two attempts with it began at two versions.
def test_resume_names_an_attempt_of_the_same_account_that_is_unambiguous(run):
    gateway, servers = run(whole_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2")
    use_only(gateway, 0)
    assert gateway.call(Request_Id="r1").complete
    use_only(gateway, 1)
    assert gateway.call(Request_Id="r1").complete
    use_only(gateway, 0, 1)
    assert resume(gateway, "r1").status == 503


def test_a_stream_is_resumed_while_one_version_serves(run):
    gateway, servers = run(whole_stream, whole_stream, **STREAM)
    set_versions(gateway, "v1", "v1")
    assert resume(gateway, "r1").complete
    wait_for(lambda: len(servers[0].requests) + len(servers[1].requests) == 1)


def restartable_stream(born):
    """Return a server that states its start and breaks off each request's stream."""

    def script(request):
        if request.first.startswith("GET /-/report"):
            report = {"busy": False, "sequence": 0, "models": [], "born": born}
            yield answer(request, body=json.dumps(report).encode())
        elif "breaks" in request.headers:
            yield from broken_stream(request)
        else:
            yield from whole_stream(request)

    return script


# Guards against ORDER: a server started again under its id with another software
# version, and streams went on there before its entry came.
def test_stream_does_not_go_on_at_a_server_that_has_started_again(run):
    gateway, servers = run(restartable_stream(2), whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2")
    use_only(gateway, 0)
    assert gateway.call(Request_Id="r1", Model="m").complete
    # The end of a connection may be that of a process.
    gateway.call(Request_Id="r3", Model="m", Breaks="1")
    use_only(gateway, 0)
    got = resume(gateway, "r1", Model="m")
    assert got.status == 502
    # What begins there is of an unproven version.
    use_only(gateway, 0)
    assert gateway.call(Request_Id="r4", Model="m").complete
    use_only(gateway, 0)
    assert resume(gateway, "r4", Model="m").status == 503


def test_server_that_has_not_started_again_is_asked_once(run):
    gateway, servers = run(restartable_stream(1), whole_stream, **STREAM)
    set_versions(gateway, "v1", "v2")
    use_only(gateway, 0)
    gateway.call(Request_Id="r3", Model="m", Breaks="1")
    servers[0].requests.clear()
    for n in range(4):
        use_only(gateway, 0)
        assert gateway.call(Request_Id=f"r{10 + n}", Model="m").complete
    use_only(gateway, 0)
    assert resume(gateway, "r10", Model="m").complete
    reports = [r for r in servers[0].requests if r.first.startswith("GET /-/report")]
    assert len(reports) == 1


# Guards against late streams: each request waited for a report that did not come.
def test_requests_do_not_wait_for_a_report_that_just_failed_to_come(run):
    asked = []

    def silent_report(request):
        if request.first.startswith("GET /-/report"):
            asked.append(request)
            yield b"HTTP/1.1 200 OK\r\n"
            gevent.sleep(3.0)
        elif "breaks" in request.headers:
            yield from broken_stream(request)
        else:
            yield from whole_stream(request)

    gateway, _ = run(silent_report, **STREAM)
    set_versions(gateway, "v1")
    gateway.call(Request_Id="r0", Model="m", Breaks="1")
    use_only(gateway, 0)
    assert gateway.call(Request_Id="r1", Model="m").complete
    assert len(asked) == 1
    use_only(gateway, 0)
    started_at = clock.now()
    assert gateway.call(Request_Id="r2", Model="m").complete
    assert clock.now() - started_at < 0.3
    assert len(asked) == 1


# A check that many requests share goes on when the client of the first one leaves.
def test_a_client_that_leaves_does_not_fail_the_check_for_others(run):
    def slow_report(request):
        if request.first.startswith("GET /-/report"):
            gevent.sleep(0.5)
            report = {"busy": False, "sequence": 0, "models": [], "born": 1}
            yield answer(request, body=json.dumps(report).encode())
        elif "breaks" in request.headers:
            yield from broken_stream(request)
        else:
            yield from whole_stream(request)

    gateway, servers = run(slow_report, **STREAM)
    set_versions(gateway, "v1")
    gateway.call(Request_Id="r0", Model="m", Breaks="1")
    use_only(gateway, 0)
    leaving = gateway.connect()
    leaving.sendall(request_bytes(Request_Id="r1", Model="m"))
    wait_for(lambda: any("report" in r.first for r in servers[0].requests))
    other = gevent.spawn(gateway.call, Request_Id="r2", Model="m")
    gevent.sleep(0.1)
    leaving.close()
    assert other.get(timeout=3).complete
    use_only(gateway, 0)
    # Its version is proven, so it can be resumed.
    assert resume(gateway, "r2", Model="m").complete
