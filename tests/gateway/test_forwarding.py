"""Requests at a node that reaches no server are served through another node."""

import socket

import pytest

from arbutusyard import clock
from arbutusyard.fleet.messages import Heartbeat
from tests.gateway.support import Gateway, ScriptedServer, answer


class RefusingServer:
    """Address at which nothing listens."""

    def __init__(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{sock.getsockname()[1]}"


def heartbeat_of(gateway, name="n2", seq=1, **fields):
    fields = {"ready": True, "leaving": False, "config_version": 1, **fields}
    return Heartbeat(
        name=name,
        incarnation=1,
        seq=seq,
        peer_address=gateway.ingress.address,
        callers_address=gateway.ingress.address,
        failure_domain="z",
        region="r",
        fencing_token=0,
        **fields,
    )


@pytest.fixture
def make():
    started = []

    def start(kind, *args, **kwargs):
        started.append(kind(*args, **kwargs))
        return started[-1]

    yield start
    for item in reversed(started):
        item.stop()


# Guards against refusals by a node that is cut off from servers which others reach.
def test_a_node_that_reaches_no_server_serves_through_another_node(make):
    server = make(ScriptedServer, lambda request: [answer(request)])
    cut = make(Gateway, RefusingServer(), RefusingServer())
    other = make(Gateway, server)
    cut.peers.apply_heartbeat(heartbeat_of(other), clock.now())
    got = cut.call()
    assert (got.status, got.headers.get("response-stamp"), got.body) == (
        200,
        "s",
        b"ok",
    )
