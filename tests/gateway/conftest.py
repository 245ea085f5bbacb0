"""Start scripted servers and a gateway before them."""

import pytest

from tests.gateway.support import Gateway, ScriptedServer


@pytest.fixture
def run():
    """Start servers and a gateway before them, and stop them all in the end."""
    started = []

    def start(*scripts, **route):
        servers = [ScriptedServer(script) for script in scripts]
        gateway = Gateway(*servers, **route)
        started.extend([*servers, gateway])
        return gateway, servers

    yield start
    for item in started:
        item.stop()
