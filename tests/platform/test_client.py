"""Check the store client with unresponsive connections and slow answers."""

import gevent
import pytest

from arbutusyard.platform import client
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformOutcomeUnknown
from tests.fleet.support import CONFIG, Store
from tests.soak.proxy import Link


@pytest.fixture
def store():
    running_store = Store()
    running_store.write("op", "config", CONFIG)
    yield running_store
    running_store.stop()


def test_one_read_timeout_closes_all_idle_connections(store, monkeypatch):
    link = Link(store.address)
    # When a link drops packets, all idle connections become unresponsive at once. They
    # used to be tried one after another, and each cost a call a timeout of its own.
    monkeypatch.setattr(client, "READ_TIMEOUT_S", 0.3)
    store_client = PlatformClient(link.address)
    gevent.joinall(
        [gevent.spawn(store_client.follow, "op", 1, 0.05) for _ in range(3)],
        raise_error=True,
    )
    link.stall_open_connections()
    with pytest.raises(PlatformOutcomeUnknown):
        store_client.follow("op", 1, 0.0)
    gevent.joinall(
        [gevent.spawn(store_client.snapshot, "op") for _ in range(3)], raise_error=True
    )
    link.stop()


def test_follow_returns_a_change_made_during_a_slow_answer(store):
    # The stand-in store once answered with a version newer than its rows, so the next
    # call, which follows from that version, missed a change.
    store_client = PlatformClient(store.address)
    known_version = store_client.snapshot("op").version
    store.platform.delay_s = 0.3
    task = gevent.spawn(store_client.follow, "op", known_version, 0.0)
    gevent.sleep(0.45)
    store.write("op", "config", CONFIG)
    store.platform.delay_s = 0.0
    changes = task.get()
    assert changes.rows == ()
    assert store_client.follow("op", changes.version, 0.0).rows


# Guards against VERSION: an answer that came late set the store's clock back, and with
# it the ages of targets.
def test_an_answer_that_came_late_does_not_set_the_clock_of_the_store_back():
    client = PlatformClient("127.0.0.1:1")
    client._record_clock({"now_ms": 5000}, 100.0)
    client._record_clock({"now_ms": 6000}, 104.0)
    assert client.store_time_s(104.0) == 9.0
