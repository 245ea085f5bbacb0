"""Requests don't begin on weights that were superseded too long ago."""

import gevent
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from tests.gateway.support import SETTINGS, STAMP, answer, chunk, event, stream_head

MODEL = {"Model": "m", "Token_Count": "400,8", "Prefix_Hash": "a:100,b:300"}


def mute(request):
    yield None


def whole_stream(request):
    yield stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"


def supersede(gateway, age_s):
    """Make version 2 the target weights, and say how long ago that was."""
    gateway.fleet_state.weights["m"] = 2
    gateway.fleet_state.target_history["m"] = [(2, clock.now() - age_s)]


# Guards against VERSION: a request that was sent in time waited in its engine until
# the engine's weights were overdue, and began then.
def test_a_request_that_waits_at_outdated_weights_is_given_up_before_they_are_overdue(
    run,
):
    gateway, (engine,) = run(
        mute, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=5.0
    )
    # The router's time ends 1.5 s before; until then the request has to be placed.
    overdue_at = clock.now() + 2.0
    supersede(gateway, SETTINGS.weights_s - 2.0)
    call = gevent.spawn(gateway.call, Deadline_Ms="5000", **MODEL)
    call.join(overdue_at - clock.now())
    assert engine.requests
    assert engine.closed == 1
    assert call.value.status == 502


# Guards against VERSION: a request was sent to an engine at which, by what the node
# knew, it would not begin before the engine's weights were overdue.
def test_no_request_goes_to_outdated_weights_that_will_be_overdue_when_it_begins(run):
    gateway, (outdated, newer) = run(
        whole_stream, whole_stream, retry_policy=RetryPolicy.ONCE, streaming=True
    )
    supersede(gateway, SETTINGS.weights_s - 1.7)
    servers = gateway.fleet_state.servers
    servers.get("s0").prompt_tokens = 200_000
    servers.get("s1").prompt_tokens = 400_000
    servers.get("s1").weights["m"] = 2
    assert gateway.call(**MODEL).status == 200
    assert (len(outdated.requests), len(newer.requests)) == (0, 1)


# Guards against VERSION: a request without a stream was sent to weights that had become
# overdue while its connection opened.
def test_no_request_is_sent_to_weights_that_became_overdue_while_it_connected(
    run, monkeypatch
):
    acquire, connected = ServerPool.acquire, []

    def acquire_late(*args):
        gevent.sleep(0.7)
        connected.append(acquire(*args))
        return connected[0]

    monkeypatch.setattr(ServerPool, "acquire", acquire_late)
    gateway, (engine,) = run(lambda req: [answer(req)], retry_policy=RetryPolicy.ONCE)
    supersede(gateway, SETTINGS.weights_s - 2.0)
    assert gateway.call(**MODEL).status == 503
    assert (len(connected), engine.requests) == (1, [])


# Guards against refused requests: an answer that was overtaken by the report of a load
# made a node take an engine's weights for overdue until the next load.
def test_a_late_answer_does_not_bring_back_the_weights_of_before(run):
    def late(request):
        engine.weights["m"] = 2
        yield stream_head(request, STAMP + "Weight-Versions: 1\r\n")
        yield chunk(event(1)) + b"0\r\n\r\n"

    gateway, _ = run(late, retry_policy=RetryPolicy.ONCE, streaming=True)
    engine = gateway.fleet_state.servers.get("s0")
    assert gateway.call(**MODEL).status == 200
    assert engine.weights["m"] == 2


# Guards against refused requests: the preference for a software version left only
# servers with overdue weights.
def test_a_new_stream_goes_to_another_software_version_if_weights_are_overdue(run):
    gateway, (outdated, newer) = run(
        whole_stream, whole_stream, retry_policy=RetryPolicy.RESUME, streaming=True
    )
    supersede(gateway, 60.0)
    servers = gateway.fleet_state.servers
    for name, version in (("s0", "v1"), ("s1", "v2")):
        server = servers.get(name)
        server.entry = replace(server.entry, software_version=version)
    servers.changes += 1
    servers.get("s1").weights["m"] = 2
    gateway.router.is_listed = lambda service, version: version == "v1"
    assert gateway.call(**MODEL).status == 200
    assert (len(outdated.requests), len(newer.requests)) == (0, 1)


# Guards against VERSION: a request that waits at a server under the name of superseded
# weights was not withdrawn, as the server was taken to have newer ones by then.
def test_a_waiting_request_is_judged_by_the_weights_that_it_names(run):
    gateway, (engine,) = run(
        mute, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=5.0
    )
    overdue_at = clock.now() + 2.0
    supersede(gateway, SETTINGS.weights_s - 2.0)
    server = gateway.fleet_state.servers.get("s0")
    server.weights["m"] = 1
    call = gevent.spawn(gateway.call, Deadline_Ms="5000", **MODEL)
    gevent.sleep(0.2)
    server.weights["m"] = 2
    call.join(overdue_at - clock.now())
    assert engine.requests
    assert engine.closed == 1
    assert call.value.status == 502


# Guards against refused requests: the refusal of another request made a node withdraw
# one that waits under the name of the newest weights.
def test_a_request_that_names_the_newest_weights_is_not_withdrawn(run):
    def slow(request):
        gevent.sleep(1.0)
        yield from whole_stream(request)

    gateway, (engine,) = run(
        slow, retry_policy=RetryPolicy.ONCE, streaming=True, timeout_s=5.0
    )
    supersede(gateway, 60.0)
    server = gateway.fleet_state.servers.get("s0")
    server.weights["m"] = 2
    call = gevent.spawn(gateway.call, Deadline_Ms="5000", **MODEL)
    gevent.sleep(0.2)
    server.weights["m"] = 1
    call.join()
    assert call.value.status == 200
