"""Test that the outcome of a call is never taken from the answer to another one."""

import json

import gevent
import pytest

from arbutusyard.platform.servers import ServerClient
from arbutusyard.weights.models import LoadOrder, OrderOutcome, SwitchMode
from tests.gateway.support import ScriptedServer


def reply(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def report_body(version):
    models = [{"name": "m", "version": version}]
    return json.dumps({"busy": False, "sequence": 1, "models": models}).encode()


@pytest.fixture
def copying_server():
    """Server that repeats each answer where the next one is expected."""
    sent = []

    def script(request):
        if request.carried:
            yield sent[-1]
            gevent.sleep(0.02)
        if request.first.startswith("GET"):
            sent.append(reply(200, report_body(len(sent) // 2 + 1)))
        else:
            sent.append(reply(409))
        yield sent[-1]

    server = ScriptedServer(script)
    yield server
    server.stop()


# Guards against VERSION: a copy of a report, 200, passed for the answer to an order and
# meant that the weights were loaded.
def test_a_copy_of_an_answer_is_not_the_outcome_of_the_next_call(copying_server):
    client = ServerClient()
    address = copying_server.address
    order = LoadOrder("s0", address, "m", 2, SwitchMode.KEEP, "n1", 1, 0)
    for n in range(1, 4):
        assert client.report(address, "s0").weights == {"m": n}
        assert client.order_load(order) is OrderOutcome.CONFLICT
