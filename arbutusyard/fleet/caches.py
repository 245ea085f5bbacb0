"""Watch the cache stores, so that nobody fetches from one that is gone."""

import logging

import gevent

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import CACHE_PACE_S, CACHE_RETRY_S, CACHE_WATCHERS
from arbutusyard.fleet.knowledge import Knowledge
from arbutusyard.fleet.messages import CacheNote, CacheSign
from arbutusyard.fleet.peers import PeerTable
from arbutusyard.platform.exceptions import PlatformUnsettled
from arbutusyard.platform.servers import ServerClient
from arbutusyard.routing.parts import PartMap, part_key
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)


class CacheWatcher:
    """Follow each cache store's events for its lifetime, on a few nodes."""

    name = "caches"

    __slots__ = ("_client", "_epochs", "_knowledge", "_parts", "_peers", "_supervisor")

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
        self._supervisor: Supervisor | None = None

    def setup(self, app: Application) -> None:
        """Start watching."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("watch", self._watch_forever)

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

    def _watch_forever(self) -> None:
        position = 0
        while True:
            address = self._address()
            if address is None or not self._watches(clock.now()):
                self._epochs.clear()
                gevent.sleep(CACHE_RETRY_S)
                continue
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
        for event in sign.events:
            piece = (part_key(event.salt, event.part_id),)
            if event.kept:
                self._parts.learn_store(address, piece, now)
            else:
                self._parts.forget_store(address, piece)

    def _address(self) -> str | None:
        catalog = self._knowledge.catalog
        if catalog is None or not catalog.cfg.cache_stores:
            return None
        return catalog.cfg.cache_stores[0].address

    def _watches(self, now: float) -> bool:
        """Tell whether this node is among the few that watch."""
        names = [beat.name for beat in self._peers.alive(now)]
        return sum(name < self._peers.me for name in names) < CACHE_WATCHERS

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
