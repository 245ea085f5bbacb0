"""Watch the cache stores, so that nobody fetches from one that is gone."""

import logging
from collections import deque

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import (
    CACHE_PACE_S,
    CACHE_RETRY_S,
    CACHE_TELLERS,
    CACHE_WATCHERS,
    STORE_NOTES_MAX,
    UPDATE_HEARTBEATS,
)
from arbutusyard.fleet.knowledge import Knowledge
from arbutusyard.fleet.messages import CacheNote, CacheSign, StoreNote
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.platform.exceptions import PlatformUnsettled
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.parts import PartMap, part_key
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)


class CacheWatcher:
    """Follow each cache store's events for its lifetime, on a few nodes."""

    name = "caches"

    __slots__ = (
        "_client",
        "_epochs",
        "_knowledge",
        "_news",
        "_parts",
        "_peers",
        "_supervisor",
        "_watched",
    )

    def __init__(
        self,
        knowledge: Knowledge,
        peers: PeerTable,
        parts: PartMap,
        client: ServerClient,
    ) -> None:
        self._knowledge = knowledge
        self._peers = peers
        self._parts = parts
        self._client = client
        self._epochs: dict[str, int] = {}
        self._news: deque[list] = deque(maxlen=STORE_NOTES_MAX)
        self._supervisor: Supervisor | None = None
        self._watched: set[str] = set()

    def setup(self, app: Application) -> None:
        """Start watching."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("stores", self._watch_stores)

    def drain(self) -> None:
        """Go on watching until the end."""

    def unload(self) -> None:
        """Stop watching."""
        self._supervisor.stop()

    def notes(self) -> tuple[CacheNote, ...]:
        """Return what this node itself has seen of the cache stores."""
        return tuple(CacheNote(*item) for item in self._epochs.items())

    def take_notes(self, notes: tuple[CacheNote, ...]) -> None:
        """Take over what another node has seen, unless this one watches itself."""
        for note in notes:
            if note.address not in self._epochs:
                self._parts.see_store(note.address, note.epoch)

    def _watch_stores(self) -> None:
        """Watch every configured store while this node is one of the watchers."""
        while True:
            wanted = self._addresses() if self._watches() else set()
            for address in wanted - self._watched:
                self._watched.add(address)
                self._supervisor.spawn(
                    address, self._watch, address, restart=Restart.NEVER
                )
            gevent.sleep(CACHE_RETRY_S)

    def _watches(self) -> bool:
        return self._place(clock.now()) < CACHE_WATCHERS

    def _watch(self, address: str) -> None:
        try:
            self._follow(address)
        finally:
            self._watched.discard(address)
            self._epochs.pop(address, None)

    def _follow(self, address: str) -> None:
        """Follow one store's events while it is this node's to watch."""
        position = 0
        while self._watches() and address in self._addresses():
            try:
                sign = self._client.watch_cache(address, position)
            except PlatformUnsettled as exc:
                self._see(address, 0, str(exc))
                position = 0
                gevent.sleep(CACHE_RETRY_S)
                continue
            if sign.epoch != self._epochs.get(address):
                self._see(address, sign.epoch, "")
            self._apply(address, sign)
            position = sign.position
            gevent.sleep(CACHE_PACE_S)

    def _apply(self, address: str, sign: CacheSign) -> None:
        now = clock.now()
        kept, dropped = [], []
        for event in sign.events:
            key = part_key(event.salt, event.part_id)
            (kept if event.kept else dropped).append(key)
        self._parts.forget_store(address, tuple(dropped))
        self._parts.learn_store(address, tuple(kept), now)
        if (kept or dropped) and self._place(now) < CACHE_TELLERS:
            note = StoreNote(address, tuple(kept), tuple(dropped))
            # Two nodes tell the same, which makes up for a lost datagram.
            heartbeats = 1 if self._peers.large() else UPDATE_HEARTBEATS
            self._news.append([note, heartbeats])

    def store_notes(self) -> tuple[StoreNote, ...]:
        """Return the news of cache stores, each for a few datagrams."""
        notes = tuple(item[0] for item in self._news)
        for item in self._news:
            item[1] -= 1
        while self._news and self._news[0][1] <= 0:
            self._news.popleft()
        return notes

    def take_store_notes(self, notes: tuple[StoreNote, ...], now: float) -> None:
        """Take over what another node has read, unless this one reads itself."""
        for note in notes:
            if note.address not in self._epochs:
                self._parts.forget_store(note.address, note.dropped)
                self._parts.learn_store(note.address, note.kept, now)

    def _addresses(self) -> set[str]:
        catalog = self._knowledge.catalog
        if catalog is None:
            return set()
        return {store.address for store in catalog.cfg.cache_stores}

    def _place(self, now: float) -> int:
        """Return this node's place among those that take callers."""
        return self._peers.place(now)

    def _see(self, address: str, epoch: int, cause: str) -> None:
        if self._epochs.get(address) != epoch:
            _LOGGER.info(
                "Cache store %s %s",
                address,
                "answers" if epoch else "does not answer",
                extra={"address": address, "epoch": epoch, "cause": cause},
            )
        self._epochs[address] = epoch
        self._parts.see_store(address, epoch)
