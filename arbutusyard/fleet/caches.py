"""Watch the cache stores, so that no engine fetches from an unreachable one."""

import logging
from collections import deque

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import (
    CACHE_READ_INTERVAL_S,
    CACHE_REPORTERS,
    CACHE_RETRY_MAX_S,
    CACHE_RETRY_S,
    CACHE_STORE_UPDATES_MAX,
    CACHE_WATCHERS,
    UPDATE_HEARTBEATS,
)
from arbutusyard.fleet.messages import (
    CacheEventBatch,
    CacheStoreStatus,
    CacheStoreUpdate,
)
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.state import FleetState
from arbutusyard.platform.exceptions import PlatformOutcomeUnknown
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.segments import SegmentMap, segment_key
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)


class CacheWatcher:
    """Read the events of each incarnation of a cache store, on a few nodes."""

    name = "caches"

    __slots__ = (
        "_client",
        "_epochs",
        "_fleet_state",
        "_updates",
        "_segments",
        "_peers",
        "_supervisor",
        "_watched",
    )

    def __init__(
        self,
        fleet_state: FleetState,
        peers: PeerTable,
        segments: SegmentMap,
        client: ServerClient,
    ) -> None:
        self._fleet_state = fleet_state
        self._peers = peers
        self._segments = segments
        self._client = client
        self._epochs: dict[str, int] = {}
        self._updates: deque[list] = deque(maxlen=CACHE_STORE_UPDATES_MAX)
        self._supervisor: Supervisor | None = None
        self._watched: set[str] = set()

    def setup(self, app: Application) -> None:
        """Start watching the cache stores."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("stores", self._watch_stores)

    def drain(self) -> None:
        """Continue watching until the node stops."""

    def unload(self) -> None:
        """Stop watching the cache stores."""
        self._supervisor.stop()

    def statuses(self) -> tuple[CacheStoreStatus, ...]:
        """Return the states of the cache stores that this node itself watches."""
        return tuple(CacheStoreStatus(*item) for item in self._epochs.items())

    def apply_statuses(self, statuses: tuple[CacheStoreStatus, ...]) -> None:
        """Apply a peer's statuses of the stores that this node does not watch."""
        for status in statuses:
            if status.address not in self._epochs:
                self._segments.set_store_epoch(status.address, status.epoch)

    def _watch_stores(self) -> None:
        """Watch every configured store while this node is one of the watchers."""
        while True:
            wanted = self._addresses() if self._is_watcher() else set()
            for address in wanted - self._watched:
                self._watched.add(address)
                self._supervisor.spawn(
                    address, self._watch, address, restart=Restart.NEVER
                )
            gevent.sleep(CACHE_RETRY_S)

    def _is_watcher(self) -> bool:
        return self._own_rank(clock.now()) < CACHE_WATCHERS

    def _watch(self, address: str) -> None:
        try:
            self._read_events(address)
        finally:
            self._watched.discard(address)
            self._epochs.pop(address, None)

    def _read_events(self, address: str) -> None:
        """Read one store's events for as long as this node has to watch it."""
        position = 0
        retry_s = CACHE_RETRY_S
        while self._is_watcher() and address in self._addresses():
            try:
                batch = self._client.poll_cache_events(address, position)
            except PlatformOutcomeUnknown as exc:
                self._record_epoch(address, 0, str(exc))
                position = 0
                gevent.sleep(retry_s)
                retry_s = min(CACHE_RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = CACHE_RETRY_S
            if batch.epoch != self._epochs.get(address):
                self._record_epoch(address, batch.epoch, "")
            self._apply(address, batch)
            position = batch.position
            gevent.sleep(CACHE_READ_INTERVAL_S)

    def _apply(self, address: str, batch: CacheEventBatch) -> None:
        now = clock.now()
        stored, dropped = [], []
        for event in batch.events:
            key = segment_key(event.salt, event.segment_id)
            (stored if event.stored else dropped).append(key)
        self._segments.remove_store_segments(address, tuple(dropped))
        self._segments.record_store_segments(address, tuple(stored), now)
        if (stored or dropped) and self._own_rank(now) < CACHE_REPORTERS:
            update = CacheStoreUpdate(address, tuple(stored), tuple(dropped))
            # Two nodes report the same events, which makes up for a lost datagram.
            heartbeats = 1 if self._peers.large() else UPDATE_HEARTBEATS
            self._updates.append([update, heartbeats])

    def updates(self) -> tuple[CacheStoreUpdate, ...]:
        """Return the pending updates on cache stores; each is sent a few times."""
        updates = tuple(item[0] for item in self._updates)
        for item in self._updates:
            item[1] -= 1
        while self._updates and self._updates[0][1] <= 0:
            self._updates.popleft()
        return updates

    def apply_updates(self, updates: tuple[CacheStoreUpdate, ...], now: float) -> None:
        """Apply a peer's updates on the stores that this node does not watch."""
        for update in updates:
            if update.address not in self._epochs:
                self._segments.remove_store_segments(update.address, update.dropped)
                self._segments.record_store_segments(update.address, update.stored, now)

    def _addresses(self) -> set[str]:
        catalog = self._fleet_state.catalog
        if catalog is None:
            return set()
        return {store.address for store in catalog.cfg.cache_stores}

    def _own_rank(self, now: float) -> int:
        """Return this node's rank among the serving nodes."""
        return self._peers.own_rank(now)

    def _record_epoch(self, address: str, epoch: int, cause: str) -> None:
        if self._epochs.get(address) != epoch:
            _LOGGER.info(
                "Cache store %s %s",
                address,
                "answers" if epoch else "does not answer",
                extra={"address": address, "epoch": epoch, "cause": cause},
            )
        self._epochs[address] = epoch
        self._segments.set_store_epoch(address, epoch)
