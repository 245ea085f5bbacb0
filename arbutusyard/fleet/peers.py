"""Know the other nodes by the datagrams that all send each other."""

import logging
import random
import socket
from collections.abc import Callable
from typing import TypeVar

import gevent
import msgspec
from gevent.event import Event
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.const import (
    ENTRIES_FRESH_S,
    HEARTBEAT_MIN_INTERVAL_S,
    HEARTBEAT_ROTATION,
    LARGE_FLEET,
    MAX_DATAGRAM_BYTES,
    PEER_REGISTER_RETRY_S,
    READER_KEEP_S,
    SENT_KEPT,
    SERVER_UPDATE_DELAY_S,
    SERVING_KEEP_S,
    STORE_READERS,
    TABLE_NODES,
    UPDATE_FANOUT,
)
from arbutusyard.fleet.messages import (
    Datagram,
    EngineStatus,
    EngineUpdate,
    Heartbeat,
    LoadUpdate,
    NodeRow,
    ReadConfirmation,
    SegmentUpdate,
    ServerLoad,
    ServerUpdate,
)
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

# An IPv4 address and a port.
ADDRESS_BYTES = 6


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
        "_wake",
        "_readers",
        "_registered",
        "_replaced",
        "_rng",
        "_sent_at",
        "_seq",
        "_served_at",
        "_unresponsive",
        "_socket",
        "_supervisor",
        "_frequent_receivers",
        "_turn",
        "on_heartbeat",
        "on_confirmation",
        "on_engines",
        "on_segment_update",
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
        describe: Callable[[int], Heartbeat],
        failure_domain: str = "",
    ) -> None:
        self.table = PeerTable(name)
        self._address = address
        self._addresses = {seed for seed in seeds if seed != address}
        self._client = client
        self._describe = describe
        self._domain = failure_domain
        self._incarnation = incarnation
        self._wake = Event()
        self._readers: dict[str, float] = {}
        self._registered = False
        self._leaving: set[tuple[str, int]] = set()
        self._replaced: set[str] = set()
        self._unresponsive: set[str] = set()
        self._rng = random.Random(name)
        self._seq = 0
        self._served_at: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._socket: socket.socket | None = None
        self._supervisor: Supervisor | None = None
        self._frequent_receivers: set[str] = set()
        self._turn = 0
        self.on_heartbeat: Callable[[Heartbeat, float], None] = lambda heartbeat, now: (
            None
        )
        self.on_confirmation: Callable[[ReadConfirmation, float, float], None] = (
            lambda confirmation, known_at, now: None
        )
        self.on_engines: Callable[[tuple[EngineStatus, ...], float], None] = (
            lambda statuses, now: None
        )
        self.on_segment_update: Callable[[SegmentUpdate, float], None] = (
            lambda update, now: None
        )
        self.on_servers: Callable[[ServerUpdate, float], None] = lambda update, now: (
            None
        )
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
        now = clock.now()
        heartbeat = self._describe(self._next_seq())
        self.table.set_own(heartbeat)
        if len(self._addresses) <= LARGE_FLEET:
            self._send_heartbeat(heartbeat, self._addresses, self.table.interval_s(now))
            return
        self._send_large(heartbeat, now)

    def _send_large(self, heartbeat: Heartbeat, now: float) -> None:
        """Tell serving nodes all, those that read the store and some others less."""
        interval_s = self.table.interval_s(now)
        brief = replace(
            heartbeat,
            loads=(),
            segment_updates=(),
            cache_store_updates=(),
            unresponsive=(),
        )
        whole: set[str] = set()
        if self.table.serves(self.table.me, now):
            whole = self._serving_addresses(now)
            brief = replace(brief, entries=self._pack_entries(now))
        readers = self._reader_addresses(now) - whole
        others = sorted(self._addresses - whole - readers)
        turns = max(1, -(-len(others) // HEARTBEAT_ROTATION))
        self._turn += 1
        start = self._turn * HEARTBEAT_ROTATION % max(1, len(others))
        turn = set((others + others)[start : start + HEARTBEAT_ROTATION])
        # Whoever expects the next beat sooner than in its turn hears the change.
        turn |= (self._frequent_receivers - whole - readers) & set(others)
        self._frequent_receivers = whole | readers
        self._send_heartbeat(heartbeat, whole, interval_s)
        self._send_heartbeat(brief, readers, interval_s)
        self._send_heartbeat(brief, turn, turns * interval_s)

    def _send_heartbeat(
        self, heartbeat: Heartbeat, addresses: set[str], next_in_s: float
    ) -> None:
        if not addresses:
            return
        data = msgspec.msgpack.encode(replace(heartbeat, next_in_s=next_in_s))
        if len(data) > MAX_DATAGRAM_BYTES:
            _LOGGER.error("A datagram of %d bytes is not sent", len(data))
            return
        for address in addresses:
            self._send_to(address, data)

    def _serving_addresses(self, now: float) -> set[str]:
        """Return the nodes that serve, or did so lately."""
        for heartbeat in self.table.alive(now):
            if self.table.serves(heartbeat.name, now):
                self._served_at[heartbeat.peer_address] = now
        for address, served_at in list(self._served_at.items()):
            if now - served_at > SERVING_KEEP_S:
                del self._served_at[address]
        return set(self._served_at)

    def _pack_entries(self, now: float) -> tuple[tuple[str, bytes], ...]:
        """Return callers' addresses of the serving nodes, by region."""
        by_region: dict[str, list[str]] = {}
        for node in self.table.ranked(now):
            by_region.setdefault(node.region, []).append(node.callers_address)
        return tuple(
            (region, pack_addresses(addresses))
            for region, addresses in by_region.items()
        )

    def reported_entries(self, now: float) -> dict[str, list[str]] | None:
        """Return what serving nodes have lately told one that stands by."""
        table = self.table
        if not table.large() or table.serves(table.me, now):
            return None
        if now - table.entries_at > ENTRIES_FRESH_S:
            return None
        return {region: unpack_addresses(data) for region, data in table.entries}

    def _next_seq(self) -> int:
        """Return the next datagram's number and remember when it is sent."""
        self._seq += 1
        self._sent_at[self._seq] = clock.now()
        self._sent_at.pop(self._seq - SENT_KEPT, None)
        return self._seq

    def broadcast_load(self, load: ServerLoad, segments: SegmentUpdate | None) -> None:
        """Tell the others at once of this node's load at one server."""
        me, seq = self.table.me, self._next_seq()
        self._broadcast(LoadUpdate(me, self._incarnation, seq, load, segments))

    def broadcast_engine_status(self, status: EngineStatus) -> None:
        """Tell the others at once of an engine's weights or load."""
        me, seq = self.table.me, self._next_seq()
        self._broadcast(EngineUpdate(me, self._incarnation, seq, status))

    def broadcast_servers(
        self,
        silent: tuple[str, ...] = (),
        replaced: tuple[str, ...] = (),
        leaving: tuple[tuple[str, int], ...] = (),
    ) -> None:
        """Tell the others soon of servers that requests have just found unusable."""
        waits = bool(self._unresponsive or self._replaced or self._leaving)
        self._unresponsive.update(silent)
        self._replaced.update(replaced)
        self._leaving.update(leaving)
        if not waits:
            delay_s = self._rng.uniform(0.0, SERVER_UPDATE_DELAY_S)
            self._supervisor.spawn(
                "servers", self._broadcast_servers, delay_s, restart=Restart.NEVER
            )

    def _broadcast_servers(self, delay_s: float) -> None:
        gevent.sleep(delay_s)
        unresponsive, replaced = tuple(self._unresponsive), tuple(self._replaced)
        leaving = tuple(self._leaving)
        self._unresponsive.clear()
        self._replaced.clear()
        self._leaving.clear()
        if unresponsive or replaced or leaving:
            self._broadcast(
                ServerUpdate(self.table.me, unresponsive, replaced, leaving)
            )

    def _apply_server_update(self, update: ServerUpdate, now: float) -> None:
        # What another node has told need not be told again.
        self._unresponsive.difference_update(update.unresponsive)
        self._replaced.difference_update(update.replaced)
        self._leaving.difference_update(update.leaving)
        self.on_servers(update, now)

    def _broadcast(self, update: LoadUpdate | EngineUpdate | ServerUpdate) -> None:
        data = msgspec.msgpack.encode(update)
        now = clock.now()
        heartbeats = self.table.alive(now)
        if self.table.large():
            heartbeats = [
                heartbeat
                for heartbeat in heartbeats
                if self.table.serves(heartbeat.name, now)
            ]
        if len(heartbeats) > UPDATE_FANOUT:
            heartbeats.sort(
                key=lambda heartbeat: heartbeat.failure_domain != self._domain
            )
        for heartbeat in heartbeats[:UPDATE_FANOUT]:
            self._send_to(heartbeat.peer_address, data)

    def _send_to(self, address: str, data: bytes) -> None:
        host, port = address.rsplit(":", 1)
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as exc:
            _LOGGER.debug("Datagram to %s was not sent: %s", address, exc)

    def send_soon(self) -> None:
        """Send this node's next datagram ahead of its time."""
        self._wake.set()

    def _send_forever(self) -> None:
        while True:
            self._wake.clear()
            now = clock.now()
            self.table.sweep(now)
            self.on_tick(now)
            self.send()
            gevent.sleep(HEARTBEAT_MIN_INTERVAL_S)
            pause_s = self.table.interval_s(clock.now())
            self._wake.wait(pause_s * self._rng.uniform(0.9, 1.1))

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
                case Heartbeat():
                    if self.table.apply_heartbeat(datagram, now):
                        self._meet(datagram, now)
                        self.on_heartbeat(datagram, now)
                        self.on_engines(
                            self.table.newest_engine_statuses(datagram), now
                        )
                case ReadConfirmation():
                    self._apply_confirmation(datagram, now)
                case LoadUpdate():
                    if (
                        self.table.apply_load_update(datagram)
                        and datagram.segments is not None
                    ):
                        self.on_segment_update(datagram.segments, now)
                case ServerUpdate():
                    self._apply_server_update(datagram, now)
                case EngineUpdate():
                    if self.table.apply_engine_update(datagram):
                        self.on_engines((datagram.status,), now)

    def _apply_confirmation(self, confirmation: ReadConfirmation, now: float) -> None:
        sent_at = self._sent_at.get(confirmation.echo)
        if sent_at is not None and confirmation.incarnation == self._incarnation:
            peer = self.table.peers.get(confirmation.name)
            if peer is not None:
                self._readers[peer.heartbeat.peer_address] = now
            self.on_confirmation(confirmation, sent_at, now)

    def reads_for_others(self, now: float) -> bool:
        """Tell whether this node is one of the few that read the store for all."""
        return self.table.own_rank(now) < STORE_READERS

    def _reader_addresses(self, now: float) -> set[str]:
        """Return the nodes that date what they tell by what they hear of this one."""
        for address, confirmed_at in list(self._readers.items()):
            if now - confirmed_at > READER_KEEP_S:
                del self._readers[address]
        ready = [node for node in self.table.ranked(now) if node.ready]
        first = (node.peer_address for node in ready[:STORE_READERS])
        return {*self._readers, *first} - {self._address}

    def _meet(self, heartbeat: Heartbeat, now: float) -> None:
        """Tell a node that was not known of this one, if callers are sent here."""
        known = heartbeat.peer_address in self._addresses
        self._addresses.add(heartbeat.peer_address)
        if known or not self.table.large() or not self._registered:
            return
        if self.table.serves(self.table.me, now) and self.table.own is not None:
            entries = self._pack_entries(now)
            own = replace(self.table.own, seq=self._next_seq(), entries=entries)
            self._send_heartbeat(
                own, {heartbeat.peer_address}, self.table.interval_s(now)
            )
            self._frequent_receivers.add(heartbeat.peer_address)

    def heard(self) -> list[Heartbeat]:
        """Return the newest datagrams of the living peers."""
        return self.table.alive(clock.now())

    def confirm(self, table: str, digest: bytes, heard: list[Heartbeat]) -> None:
        """Tell the other nodes of a read before which their datagrams were heard."""
        me = self.table.me
        for heartbeat in heard:
            confirmation = ReadConfirmation(
                me, table, digest, heartbeat.incarnation, heartbeat.seq
            )
            self._send_to(heartbeat.peer_address, msgspec.msgpack.encode(confirmation))

    def register_again(self) -> None:
        """Write this node's row anew, which an older copy of the store may lack."""
        self._supervisor.spawn("row", self._write_row, restart=Restart.NEVER)

    def _write_row(self) -> None:
        row = msgspec.msgpack.encode(NodeRow(self._address, self._incarnation))
        self._insist(lambda: self._client.write(TABLE_NODES, self.table.me, row))

    def _insist(self, call: Callable[[], T]) -> T:
        """Call the store until it answers."""
        while True:
            try:
                return call()
            except PlatformError as exc:
                _LOGGER.warning("Cannot register this node: %s", exc)
                gevent.sleep(PEER_REGISTER_RETRY_S)

    def _register(self) -> None:
        """Write this node's row and learn the others' addresses."""
        self._write_row()
        for item in self._insist(lambda: self._client.scan(TABLE_NODES)):
            try:
                node = msgspec.msgpack.decode(item.value, type=NodeRow)
            except msgspec.DecodeError as exc:
                _LOGGER.warning("Ignored the row of node %s: %s", item.key, exc)
                continue
            if node.peer_address != self._address:
                self._addresses.add(node.peer_address)
        self._registered = True
        _LOGGER.info("Node is registered; %d others are known", len(self._addresses))
        self._greet(clock.now())

    def _greet(self, now: float) -> None:
        """Tell all nodes of this one once, whoever hears of it in turn afterwards."""
        heartbeat = self._describe(self._next_seq())
        self.table.set_own(heartbeat)
        turns = len(self._addresses) / HEARTBEAT_ROTATION
        next_in_s = max(1.0, turns) * self.table.interval_s(now)
        self._send_heartbeat(heartbeat, self._addresses, next_in_s)


def pack_addresses(addresses: list[str]) -> bytes:
    """Pack IP:port addresses into six bytes each."""
    packed = bytearray()
    for address in addresses:
        host, port = address.rsplit(":", 1)
        packed += socket.inet_aton(host) + int(port).to_bytes(2)
    return bytes(packed)


def unpack_addresses(packed: bytes) -> list[str]:
    """Unpack addresses; bytes that are no whole address are left out."""
    whole = len(packed) - len(packed) % ADDRESS_BYTES
    return [
        f"{socket.inet_ntoa(packed[at : at + 4])}:"
        f"{int.from_bytes(packed[at + 4 : at + ADDRESS_BYTES])}"
        for at in range(0, whole, ADDRESS_BYTES)
    ]
