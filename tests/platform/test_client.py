"""Call the store over connections that fall silent."""

import gevent
import pytest

from arbutusyard.platform import client
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformUnsettled
from tests.fleet.support import CONFIG, Store
from tests.soak.proxy import Link


@pytest.fixture
def store():
    running = Store()
    running.write("op", "config", CONFIG)
    yield running
    running.stop()


def test_one_silent_connection_is_enough_to_open_new_ones(store, monkeypatch):
    link = Link(store.address)
    # Found by the soak: each kept connection cost calls a time-out of its own.
    monkeypatch.setattr(client, "READ_TIMEOUT_S", 0.3)
    calls = PlatformClient(link.address)
    gevent.joinall(
        [gevent.spawn(calls.follow, "op", 1, 0.05) for _ in range(3)], raise_error=True
    )
    link.stall_open_connections()
    with pytest.raises(PlatformUnsettled):
        calls.follow("op", 1, 0.0)
    gevent.joinall(
        [gevent.spawn(calls.snapshot, "op") for _ in range(3)], raise_error=True
    )
    link.stop()


def test_a_change_while_the_store_answers_slowly_is_not_skipped(store):
    # Found by the soak: the stand-in named a version that was newer than its rows.
    calls = PlatformClient(store.address)
    known = calls.snapshot("op").version
    store.platform.delay_s = 0.3
    task = gevent.spawn(calls.follow, "op", known, 0.0)
    gevent.sleep(0.45)
    store.write("op", "config", CONFIG)
    store.platform.delay_s = 0.0
    seen = task.get()
    assert seen.rows == ()
    assert calls.follow("op", seen.version, 0.0).rows
