"""Test the watching of several cache stores, some of which are removed."""

import json

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.caches import CacheWatcher
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import CacheStore, Configuration, IngressLimits
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.segments import SegmentMap, segment_key
from tests.gateway.support import ScriptedServer, wait_for


class CacheStoreServer:
    """Serve the events of one incarnation of a cache store."""

    def __init__(self, epoch, segment_id):
        self.epoch = epoch
        self._segment_id = segment_id
        self._server = ScriptedServer(self._script)
        self.address = self._server.address

    def _script(self, request):
        events = []
        if request.first.startswith("GET /-/kv-events?since=0 "):
            events = [[1, "+", "salt", self._segment_id, 800, "m"]]
        else:
            gevent.sleep(0.05)
        body = {"boot_epoch": self.epoch, "next": 1, "events": events}
        data = json.dumps(body).encode()
        yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)

    def stop(self):
        self._server.stop()


@pytest.fixture
def stores():
    made = [CacheStoreServer(n + 1, f"p{n}") for n in range(3)]
    yield made
    for store in made:
        store.stop()


def test_each_configured_store_is_watched_until_it_is_removed(stores):
    fleet_state = FleetState(None)
    segments = SegmentMap()
    app = Application("test")

    def configure(version, used):
        known = tuple(CacheStore(s.address, "z", 1000, 1.0) for s in used)
        fleet_state.catalog = Catalog(
            Configuration(version, (), {}, known, (), IngressLimits())
        )

    configure(1, stores)
    watcher = CacheWatcher(fleet_state, PeerTable("me"), segments, ServerClient())
    watcher.setup(app)
    try:
        for n, store in enumerate(stores):
            key = (segment_key("salt", f"p{n}"),)
            wait_for(
                lambda key=key, store=store: (
                    segments.cached_by_stores(key, clock.now()) == {store.address: 1}
                )
            )
        assert {status.epoch for status in watcher.statuses()} == {1, 2, 3}
        configure(2, stores[:1])
        wait_for(lambda: len(watcher.statuses()) == 1)
    finally:
        watcher.unload()
