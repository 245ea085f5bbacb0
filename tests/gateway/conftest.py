"""Fixture that starts a gateway with scripted backend servers."""

import pytest

from tests.gateway.support import Gateway, ScriptedServer


@pytest.fixture
def run():
    """Start scripted servers and a gateway in front of them; stop them at teardown."""
    started = []

    def start(*scripts, **route):
        servers = [ScriptedServer(script) for script in scripts]
        gateway = Gateway(*servers, **route)
        started.extend([*servers, gateway])
        return gateway, servers

    yield start
    for item in started:
        item.stop()
