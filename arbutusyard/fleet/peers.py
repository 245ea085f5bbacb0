"""Know the other nodes by the datagrams that all send each other."""

import logging
import random
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import (
    BEAT_FANOUT,
    BEAT_INTERVAL_LARGE_S,
    BEAT_INTERVAL_S,
    BEAT_PAUSE_S,
    MAX_DATAGRAM_BYTES,
    NEWS_FANOUT,
    PEER_FORGET_S,
    PEER_REGISTER_RETRY_S,
    PEER_SILENT_BEATS,
    PEER_SILENT_S,
    SENT_KEPT,
    SERVER_NEWS_DELAY_S,
    STORE_READERS,
    TABLE_NODES,
)
from arbutusyard.fleet.messages import (
    Beat,
    Confirmation,
    Datagram,
    EngineNews,
    EngineNote,
    LoadNews,
    NodeRow,
    PartNote,
    ServerLoad,
    ServerNews,
)
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class Peer:
    """Hold the newest beat of another node, when it came, and the node's loads.

    `news` numbers the loads that are newer than the beat, `notes` the word on engines.
    """

    beat: Beat
    heard_at: float
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    news: dict[str, int] = field(default_factory=dict)
    notes: dict[str, int] = field(default_factory=dict)


class PeerTable:
    """Keep the other nodes' datagrams and the sum of their loads."""

    __slots__ = ("_past", "_totals", "me", "peers")

    def __init__(self, me: str) -> None:
        self.me = me
        self.peers: dict[str, Peer] = {}
        self._past: dict[str, set[int]] = {}
        self._totals: dict[str, list[int]] = {}

    def take(self, beat: Beat, now: float) -> bool:
        """Take a datagram; return False when it is old or this node's own."""
        if beat.name == self.me:
            return False
        past = self._past.setdefault(beat.name, set())
        if beat.incarnation in past:
            return False
        peer = self.peers.get(beat.name)
        if peer is not None:
            if peer.beat.incarnation != beat.incarnation:
                # Clocks may go back, so a new number is newer whatever its size.
                past.add(peer.beat.incarnation)
            elif beat.seq <= peer.beat.seq:
                return False
        if peer is None or peer.beat.ready is not beat.ready:
            _LOGGER.info(
                "Node %s is %s",
                beat.name,
                "ready" if beat.ready else "not ready",
                extra={"peer": beat.name, "leaving": beat.leaving},
            )
        self._replace(beat, peer, now)
        return True

    def _replace(self, beat: Beat, old: Peer | None, now: float) -> None:
        """Put a beat in the place of the last one; news that is newer holds."""
        peer = Peer(beat, now, {load.server_id: load for load in beat.loads})
        if old is not None:
            self._count(old.loads.values(), -1)
            if old.beat.incarnation == beat.incarnation:
                for server_id, seq in old.news.items():
                    if seq > beat.seq:
                        peer.loads[server_id] = old.loads[server_id]
                        peer.news[server_id] = seq
                peer.notes = {
                    server_id: seq
                    for server_id, seq in old.notes.items()
                    if seq > beat.seq
                }
        self.peers[beat.name] = peer
        self._count(peer.loads.values(), 1)

    def take_news(self, news: LoadNews) -> bool:
        """Take a node's load at one server; return False when it is old."""
        peer = self.peers.get(news.name)
        if peer is None or peer.beat.incarnation != news.incarnation:
            return False
        server_id = news.load.server_id
        if news.seq <= max(peer.beat.seq, peer.news.get(server_id, 0)):
            return False
        known = peer.loads.get(server_id)
        if known is not None:
            self._count((known,), -1)
        peer.loads[server_id] = news.load
        peer.news[server_id] = news.seq
        self._count((news.load,), 1)
        return True

    def take_engine_news(self, news: EngineNews) -> bool:
        """Take a node's word on one engine; return False when it is old."""
        peer = self.peers.get(news.name)
        if peer is None or peer.beat.incarnation != news.incarnation:
            return False
        server_id = news.note.server_id
        if news.seq <= max(peer.beat.seq, peer.notes.get(server_id, 0)):
            return False
        peer.notes[server_id] = news.seq
        return True

    def newest_notes(self, beat: Beat) -> tuple[EngineNote, ...]:
        """Return a beat's notes on engines, but for those that news has replaced."""
        newer = self.peers[beat.name].notes
        return tuple(note for note in beat.engines if note.server_id not in newer)

    def interval_s(self) -> float:
        """Return the pause between datagrams, by the number of peers."""
        return BEAT_INTERVAL_LARGE_S if self.large() else BEAT_INTERVAL_S

    def large(self) -> bool:
        """Tell whether a datagram reaches only a part of the peers."""
        return len(self.peers) > BEAT_FANOUT

    def silent_after_s(self) -> float:
        """Return how long a peer may be silent, by the number of peers."""
        if not self.large():
            return PEER_SILENT_S
        rounds = len(self.peers) / BEAT_FANOUT
        return PEER_SILENT_BEATS * rounds * self.interval_s()

    def alive(self, now: float) -> list[Beat]:
        """Return the newest datagrams of the peers that were heard lately."""
        limit_s = self.silent_after_s()
        return [p.beat for p in self.peers.values() if now - p.heard_at <= limit_s]

    def sweep(self, now: float) -> None:
        """Stop counting what silent peers had in flight; forget the long silent."""
        limit_s = self.silent_after_s()
        for name, peer in list(self.peers.items()):
            age_s = now - peer.heard_at
            if age_s > limit_s and peer.loads:
                self._count(peer.loads.values(), -1)
                peer.loads = {}
                peer.news = {}
                _LOGGER.warning("Node %s is silent", name, extra={"peer": name})
            if age_s > PEER_FORGET_S:
                del self.peers[name]

    def load(self, server_id: str) -> tuple[int, int]:
        """Return requests and prompt tokens that the peers have at a server."""
        total = self._totals.get(server_id)
        return (total[0], total[1]) if total is not None else (0, 0)

    def _count(self, loads: Iterable[ServerLoad], sign: int) -> None:
        for item in loads:
            total = self._totals.setdefault(item.server_id, [0, 0])
            total[0] += sign * item.in_flight
            total[1] += sign * item.prompt_tokens
            if total == [0, 0]:
                del self._totals[item.server_id]


class PeerCoordinator:
    """Send this node's datagrams and take those of the others."""

    name = "peers"

    __slots__ = (
        "_address",
        "_addresses",
        "_client",
        "_describe",
        "_domain",
        "_incarnation",
        "_leaving",
        "_news",
        "_registered",
        "_replaced",
        "_rng",
        "_sent_at",
        "_seq",
        "_silent",
        "_socket",
        "_supervisor",
        "on_beat",
        "on_confirmation",
        "on_engines",
        "on_part",
        "on_servers",
        "on_tick",
        "rejected",
        "table",
    )

    def __init__(
        self,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        client: PlatformClient,
        incarnation: int,
        describe: Callable[[int], Beat],
        failure_domain: str = "",
    ) -> None:
        self.table = PeerTable(name)
        self._address = address
        self._addresses = {seed for seed in seeds if seed != address}
        self._client = client
        self._describe = describe
        self._domain = failure_domain
        self._incarnation = incarnation
        self._news = Event()
        self._registered = False
        self._leaving: set[tuple[str, int]] = set()
        self._replaced: set[str] = set()
        self._silent: set[str] = set()
        self._rng = random.Random(name)
        self._seq = 0
        self._sent_at: dict[int, float] = {}
        self._socket: socket.socket | None = None
        self._supervisor: Supervisor | None = None
        self.on_beat: Callable[[Beat, float], None] = lambda beat, now: None
        self.on_confirmation: Callable[[Confirmation, float, float], None] = (
            lambda told, known_at, now: None
        )
        self.on_engines: Callable[[tuple[EngineNote, ...], float], None] = (
            lambda notes, now: None
        )
        self.on_part: Callable[[PartNote, float], None] = lambda part, now: None
        self.on_servers: Callable[[ServerNews, float], None] = lambda news, now: None
        self.on_tick: Callable[[float], None] = lambda now: None
        self.rejected = 0

    def setup(self, app: Application) -> None:
        """Start sending and receiving."""
        host, port = self._address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("receive", self._receive_forever)
        self._supervisor.spawn("send", self._send_forever)
        self._supervisor.spawn("register", self._register)

    def drain(self) -> None:
        """Tell the others at once that this node leaves."""
        self.send()

    def unload(self) -> None:
        """Stop sending and receiving."""
        self.send()
        self._supervisor.stop()
        self._socket.close()

    def send(self) -> None:
        """Send this node's datagram to the others, or to a part of many."""
        data = msgspec.msgpack.encode(self._describe(self._next_seq()))
        if len(data) > MAX_DATAGRAM_BYTES:
            _LOGGER.error("A datagram of %d bytes is not sent", len(data))
            return
        addresses = sorted(self._addresses)
        if len(addresses) > BEAT_FANOUT:
            start = self._seq * BEAT_FANOUT % len(addresses)
            part = (addresses + addresses)[start : start + BEAT_FANOUT]
            # Readers date what they tell by what they last heard of this node.
            addresses = sorted({*part, *self._reader_addresses()})
        for address in addresses:
            self._send_to(address, data)

    def _next_seq(self) -> int:
        """Return the next datagram's number and remember when it is sent."""
        self._seq += 1
        self._sent_at[self._seq] = clock.now()
        self._sent_at.pop(self._seq - SENT_KEPT, None)
        return self._seq

    def send_news(self, load: ServerLoad, part: PartNote | None) -> None:
        """Tell the others at once of this node's load at one server."""
        me, seq = self.table.me, self._next_seq()
        self._send_news(LoadNews(me, self._incarnation, seq, load, part))

    def send_engine_news(self, note: EngineNote) -> None:
        """Tell the others at once of an engine's weights or load."""
        me, seq = self.table.me, self._next_seq()
        self._send_news(EngineNews(me, self._incarnation, seq, note))

    def tell_servers(
        self,
        silent: tuple[str, ...] = (),
        replaced: tuple[str, ...] = (),
        leaving: tuple[tuple[str, int], ...] = (),
    ) -> None:
        """Tell the others soon of servers that requests have just found unusable."""
        waits = bool(self._silent or self._replaced or self._leaving)
        self._silent.update(silent)
        self._replaced.update(replaced)
        self._leaving.update(leaving)
        if not waits:
            delay_s = self._rng.uniform(0.0, SERVER_NEWS_DELAY_S)
            self._supervisor.spawn(
                "servers", self._send_server_news, delay_s, restart=Restart.NEVER
            )

    def _send_server_news(self, delay_s: float) -> None:
        gevent.sleep(delay_s)
        silent, replaced = tuple(self._silent), tuple(self._replaced)
        leaving = tuple(self._leaving)
        self._silent.clear()
        self._replaced.clear()
        self._leaving.clear()
        if silent or replaced or leaving:
            self._send_news(ServerNews(self.table.me, silent, replaced, leaving))

    def _take_server_news(self, news: ServerNews, now: float) -> None:
        # What another node has told need not be told again.
        self._silent.difference_update(news.silent)
        self._replaced.difference_update(news.replaced)
        self._leaving.difference_update(news.leaving)
        self.on_servers(news, now)

    def _send_news(self, news: LoadNews | EngineNews | ServerNews) -> None:
        data = msgspec.msgpack.encode(news)
        beats = self.table.alive(clock.now())
        if len(beats) > NEWS_FANOUT:
            beats.sort(key=lambda beat: beat.failure_domain != self._domain)
        for beat in beats[:NEWS_FANOUT]:
            self._send_to(beat.peer_address, data)

    def _send_to(self, address: str, data: bytes) -> None:
        host, port = address.rsplit(":", 1)
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as exc:
            _LOGGER.debug("Datagram to %s was not sent: %s", address, exc)

    def send_soon(self) -> None:
        """Send this node's next datagram ahead of its time."""
        self._news.set()

    def _send_forever(self) -> None:
        while True:
            self._news.clear()
            now = clock.now()
            self.table.sweep(now)
            self.on_tick(now)
            self.send()
            gevent.sleep(BEAT_PAUSE_S)
            self._news.wait(self.table.interval_s() * self._rng.uniform(0.9, 1.1))

    def _receive_forever(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                datagram = msgspec.msgpack.decode(data, type=Datagram)
            except msgspec.DecodeError:
                self.rejected += 1
                continue
            now = clock.now()
            match datagram:
                case Beat():
                    if self.table.take(datagram, now):
                        self._addresses.add(datagram.peer_address)
                        self.on_beat(datagram, now)
                        self.on_engines(self.table.newest_notes(datagram), now)
                case Confirmation():
                    self._take_confirmation(datagram, now)
                case LoadNews():
                    if self.table.take_news(datagram) and datagram.part is not None:
                        self.on_part(datagram.part, now)
                case ServerNews():
                    self._take_server_news(datagram, now)
                case EngineNews():
                    if self.table.take_engine_news(datagram):
                        self.on_engines((datagram.note,), now)

    def _take_confirmation(self, told: Confirmation, now: float) -> None:
        sent_at = self._sent_at.get(told.echo)
        if sent_at is not None and told.incarnation == self._incarnation:
            self.on_confirmation(told, sent_at, now)

    def reads_for_others(self, now: float) -> bool:
        """Tell whether this node is one of the few that read the store for all."""
        ready = [beat.name for beat in self.table.alive(now) if beat.ready]
        return sum(name < self.table.me for name in ready) < STORE_READERS

    def _reader_addresses(self) -> list[str]:
        ready = [beat for beat in self.table.alive(clock.now()) if beat.ready]
        ready.sort(key=lambda beat: beat.name)
        return [beat.peer_address for beat in ready[:STORE_READERS]]

    def heard(self) -> list[Beat]:
        """Return the newest datagrams of the living peers."""
        return self.table.alive(clock.now())

    def confirm(self, table: str, mark: bytes, heard: list[Beat]) -> None:
        """Tell the other nodes of a read before which their datagrams were heard."""
        me = self.table.me
        for beat in heard:
            told = Confirmation(me, table, mark, beat.incarnation, beat.seq)
            self._send_to(beat.peer_address, msgspec.msgpack.encode(told))

    def _register(self) -> None:
        """Write this node's row and learn the others' addresses."""
        row = msgspec.msgpack.encode(NodeRow(self._address, self._incarnation))
        while True:
            try:
                self._client.write(TABLE_NODES, self.table.me, row)
                rows = self._client.scan(TABLE_NODES)
                break
            except PlatformError as exc:
                _LOGGER.warning("Cannot register this node: %s", exc)
                gevent.sleep(PEER_REGISTER_RETRY_S)
        for item in rows:
            try:
                node = msgspec.msgpack.decode(item.value, type=NodeRow)
            except msgspec.DecodeError as exc:
                _LOGGER.warning("Ignored the row of node %s: %s", item.key, exc)
                continue
            if node.peer_address != self._address:
                self._addresses.add(node.peer_address)
        self._registered = True
        _LOGGER.info("Node is registered; %d others are known", len(self._addresses))
        self.send()
