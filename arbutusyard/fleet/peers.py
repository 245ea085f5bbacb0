"""Exchange heartbeats, updates and read confirmations with the other nodes."""

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
    LARGE_FLEET_NODES,
    MAX_DATAGRAM_BYTES,
    PEER_REGISTER_RETRY_S,
    PEER_REREAD_S,
    READER_RETENTION_S,
    REMOVED_PER_DATAGRAM_MAX,
    REMOVED_RESEND_S,
    SENT_TIMES_MAX,
    SERVER_UPDATE_DELAY_MAX_S,
    SERVING_RETENTION_S,
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
    OriginAnswer,
    OriginQuery,
    OriginUpdate,
    QuarantineUpdate,
    QuotaAnswer,
    QuotaSync,
    ReadConfirmation,
    RemovalUpdate,
    RemovedServer,
    SegmentUpdate,
    ServerLimitReport,
    ServerLoad,
    ServerUpdate,
)
from arbutusyard.fleet.outbox import DatagramOutbox
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.limits.const import BUDGET_RETENTION_S
from arbutusyard.limits.sharing import FleetShare, SharingNodes
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.quarantine.models import QuarantineNews
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

# Size of a packed IPv4 address and port, in bytes.
ADDRESS_BYTES = 6


class PeerCoordinator:
    """Send this node's datagrams and receive those of the other nodes."""

    name = "peers"

    __slots__ = (
        "_address",
        "_addresses",
        "_client",
        "_build_heartbeat",
        "_failure_domain",
        "_incarnation",
        "_outbox",
        "_pending_leaving",
        "_pending_limits",
        "_removed_sent_at",
        "_wake",
        "_readers_seen_at",
        "_registered",
        "_registered_addresses",
        "_pending_replaced",
        "_rng",
        "_sent_at",
        "_seq",
        "_served_at",
        "_sharing",
        "_pending_unreachable",
        "_socket",
        "_supervisor",
        "_frequent_receivers",
        "_rotation",
        "on_heartbeat",
        "on_confirmation",
        "on_origin_answer",
        "on_origin_query",
        "on_origins",
        "on_engines",
        "on_quarantine",
        "on_quota",
        "on_removed",
        "on_segment_update",
        "on_servers",
        "on_tick",
        "known_addresses",
        "knows_all",
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
        build_heartbeat: Callable[[int], Heartbeat],
        failure_domain: str = "",
    ) -> None:
        self.table = PeerTable(name)
        self._address = address
        self._addresses = {seed for seed in seeds if seed != address}
        self.known_addresses = self._addresses
        self._client = client
        self._build_heartbeat = build_heartbeat
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._outbox: DatagramOutbox | None = None
        self._wake = Event()
        self._readers_seen_at: dict[str, float] = {}
        # When each peer was last sent the remembered removals of servers, by name.
        self._removed_sent_at: dict[str, float] = {}
        self._registered = False
        # Addresses of the nodes with rows; None before the rows were read once more.
        self._registered_addresses: set[str] | None = None
        self._sharing: SharingNodes | None = None
        self._pending_leaving: set[tuple[str, int]] = set()
        self._pending_limits: dict[tuple[str, int], ServerLimitReport] = {}
        self._pending_replaced: set[str] = set()
        self._pending_unreachable: set[str] = set()
        self._rng = random.Random(name)
        self._seq = 0
        self._served_at: dict[str, float] = {}
        self._sent_at: dict[int, float] = {}
        self._socket: socket.socket | None = None
        self._supervisor: Supervisor | None = None
        self._frequent_receivers: set[str] = set()
        self._rotation = 0
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
        self.on_removed: Callable[[tuple[RemovedServer, ...], str, float], None] = (
            lambda removed, reporter, now: None
        )
        self.on_origins: Callable[[OriginUpdate, float], None] = lambda update, now: (
            None
        )
        self.on_origin_query: Callable[[OriginQuery, float], None] = (
            lambda question, now: None
        )
        self.on_origin_answer: Callable[[OriginAnswer, float], None] = (
            lambda answer, now: None
        )
        self.on_quarantine: Callable[[QuarantineUpdate, float], None] = (
            lambda update, now: None
        )
        self.on_quota: Callable[..., None] = lambda datagram, now: None
        self.on_tick: Callable[[float], None] = lambda now: None
        self.knows_all = False
        self.rejected = 0

    def setup(self, app: Application) -> None:
        """Start sending and receiving."""
        host, port = self._address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._outbox = DatagramOutbox(self._socket)
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("outbox", self._outbox.run)
        self._supervisor.spawn("receive", self._receive_forever)
        self._supervisor.spawn("send", self._send_forever)
        self._supervisor.spawn("register", self._register)

    def drain(self) -> None:
        """Report to the others at once that this node is draining."""
        self.send()

    def unload(self) -> None:
        """Stop sending and receiving."""
        self.send()
        self._supervisor.stop()
        self._socket.close()

    def send(self) -> None:
        """Send a heartbeat to the other nodes; in a large fleet, to some of them."""
        now = clock.now()
        heartbeat = self._build_heartbeat(self._next_seq())
        self.table.set_own(heartbeat)
        if len(self._addresses) <= LARGE_FLEET_NODES:
            self._send_heartbeat(
                heartbeat, self._addresses, self.table.heartbeat_interval_s(now)
            )
            return
        self._send_large(heartbeat, now)

    def _send_large(self, heartbeat: Heartbeat, now: float) -> None:
        """Send a heartbeat to those nodes of a large fleet that are to receive it.

        A serving node sends the whole heartbeat to the other serving nodes. Readers of
        the store receive a brief one each time, and all other nodes in rotation.
        """
        interval_s = self.table.heartbeat_interval_s(now)
        brief = replace(
            heartbeat,
            loads=(),
            segment_updates=(),
            cache_store_updates=(),
            unreachable=(),
        )
        serving: set[str] = set()
        if self.table.serves(self.table.me, now):
            serving = self._serving_addresses(now)
            brief = replace(brief, entries=self._pack_entries(now))
        readers = self._reader_addresses(now) - serving
        others = sorted(self._addresses - serving - readers)
        rounds = max(1, -(-len(others) // HEARTBEAT_ROTATION))
        self._rotation += 1
        start = self._rotation * HEARTBEAT_ROTATION % max(1, len(others))
        scheduled = set((others + others)[start : start + HEARTBEAT_ROTATION])
        # A node that expects the next heartbeat sooner than the rotation reaches it has
        # to learn of the longer interval.
        scheduled |= (self._frequent_receivers - serving - readers) & set(others)
        self._frequent_receivers = serving | readers
        self._send_heartbeat(heartbeat, serving, interval_s)
        self._send_heartbeat(brief, readers, interval_s)
        self._send_heartbeat(brief, scheduled, rounds * interval_s)

    def _send_heartbeat(
        self, heartbeat: Heartbeat, addresses: set[str], next_in_s: float
    ) -> None:
        if not addresses:
            return
        data = msgspec.msgpack.encode(replace(heartbeat, next_in_s=next_in_s))
        if len(data) > MAX_DATAGRAM_BYTES:
            _LOGGER.error(
                "Heartbeat not sent: its %d bytes exceed the maximum datagram size",
                len(data),
            )
            return
        for address in addresses:
            self._send_to(address, data)

    def _serving_addresses(self, now: float) -> set[str]:
        """Return the addresses of the nodes that serve, or recently did."""
        for heartbeat in self.table.live_heartbeats(now):
            if self.table.serves(heartbeat.name, now):
                self._served_at[heartbeat.peer_address] = now
        for address, served_at in list(self._served_at.items()):
            if now - served_at > SERVING_RETENTION_S:
                del self._served_at[address]
        return set(self._served_at)

    def _pack_entries(self, now: float) -> tuple[tuple[str, bytes], ...]:
        """Return the packed addresses of the serving nodes for clients, by region."""
        by_region: dict[str, list[str]] = {}
        for node in self.table.entry_nodes(now):
            by_region.setdefault(node.region, []).append(node.callers_address)
        return tuple(
            (region, pack_addresses(addresses))
            for region, addresses in by_region.items()
        )

    def reported_entries(self, now: float) -> dict[str, list[str]] | None:
        """Return the addresses for clients that a standby node got from serving nodes.

        None in a small fleet, on a serving node, or if the newest report is too old.
        """
        table = self.table
        if not table.large() or table.serves(table.me, now):
            return None
        if now - table.entries_at > ENTRIES_FRESH_S:
            return None
        return {region: unpack_addresses(data) for region, data in table.entries}

    def _next_seq(self) -> int:
        """Return the next sequence number and record its time of sending."""
        self._seq += 1
        self._sent_at[self._seq] = clock.now()
        self._sent_at.pop(self._seq - SENT_TIMES_MAX, None)
        return self._seq

    def broadcast_load(self, load: ServerLoad, segments: SegmentUpdate | None) -> None:
        """Broadcast at once this node's load at one server."""
        me, seq = self.table.me, self._next_seq()
        self._broadcast(LoadUpdate(me, self._incarnation, seq, load, segments))

    def broadcast_engine_status(self, status: EngineStatus) -> None:
        """Broadcast at once which weights an engine has, or that it is loading."""
        me, seq = self.table.me, self._next_seq()
        self._broadcast(EngineUpdate(me, self._incarnation, seq, status))

    def broadcast_quarantine(self, news: QuarantineNews) -> None:
        """Broadcast at once what is known about segments that may crash servers."""
        self._broadcast(QuarantineUpdate(self.table.me, news))

    def broadcast_servers(
        self,
        unreachable: tuple[str, ...] = (),
        replaced: tuple[str, ...] = (),
        leaving: tuple[tuple[str, int], ...] = (),
        limits: tuple[ServerLimitReport, ...] = (),
    ) -> None:
        """Broadcast, after a short delay, what requests found out about servers."""
        is_scheduled = bool(
            self._pending_unreachable
            or self._pending_replaced
            or self._pending_leaving
            or self._pending_limits
        )
        self._pending_unreachable.update(unreachable)
        self._pending_replaced.update(replaced)
        self._pending_leaving.update(leaving)
        for report in limits:
            incarnation = (report.server_id, report.started_at_ms)
            self._pending_limits[incarnation] = report
        if not is_scheduled:
            delay_s = self._rng.uniform(0.0, SERVER_UPDATE_DELAY_MAX_S)
            self._supervisor.spawn(
                "servers", self._broadcast_servers, delay_s, restart=Restart.NEVER
            )

    def send_removed(
        self,
        peer: Heartbeat,
        list_removed: Callable[[], list[RemovedServer]],
        now: float,
    ) -> None:
        """Send removals of servers to a peer that has missed the reports of them."""
        sent_at = self._removed_sent_at.get(peer.name, float("-inf"))
        if not self.reads_for_others(now) or now - sent_at < REMOVED_RESEND_S:
            return
        self._removed_sent_at[peer.name] = now
        removed = list_removed()
        for start in range(0, len(removed), REMOVED_PER_DATAGRAM_MAX):
            reports = tuple(removed[start : start + REMOVED_PER_DATAGRAM_MAX])
            update = RemovalUpdate(self.table.me, reports)
            self._send_to(peer.peer_address, msgspec.msgpack.encode(update))

    def _broadcast_servers(self, delay_s: float) -> None:
        gevent.sleep(delay_s)
        unreachable, replaced = (
            tuple(self._pending_unreachable),
            tuple(self._pending_replaced),
        )
        leaving = tuple(self._pending_leaving)
        limits = tuple(self._pending_limits.values())
        self._pending_unreachable.clear()
        self._pending_replaced.clear()
        self._pending_leaving.clear()
        self._pending_limits.clear()
        if unreachable or replaced or leaving or limits:
            self._broadcast(
                ServerUpdate(self.table.me, unreachable, replaced, leaving, limits)
            )

    def _apply_server_update(self, update: ServerUpdate, now: float) -> None:
        # What a peer has reported does not have to be reported again.
        self._pending_unreachable.difference_update(update.unreachable)
        self._pending_replaced.difference_update(update.replaced)
        self._pending_leaving.difference_update(update.leaving)
        for report in update.limits:
            incarnation = (report.server_id, report.started_at_ms)
            pending = self._pending_limits.get(incarnation)
            if pending is not None and pending.limit_s == report.limit_s:
                del self._pending_limits[incarnation]
        self.on_servers(update, now)

    def _broadcast(
        self, update: LoadUpdate | EngineUpdate | ServerUpdate | QuarantineUpdate
    ) -> None:
        data = msgspec.msgpack.encode(update)
        now = clock.now()
        heartbeats = self.table.live_heartbeats(now)
        if self.table.large():
            heartbeats = [
                heartbeat
                for heartbeat in heartbeats
                if self.table.serves(heartbeat.name, now)
            ]
        if len(heartbeats) > UPDATE_FANOUT:
            heartbeats.sort(
                key=lambda heartbeat: heartbeat.failure_domain != self._failure_domain
            )
        for heartbeat in heartbeats[:UPDATE_FANOUT]:
            self._send_to(heartbeat.peer_address, data)

    def _send_to(self, address: str, data: bytes) -> None:
        self._outbox.send(address, data, clock.now())

    def send_datagram(self, peer: Heartbeat, datagram: Datagram) -> None:
        """Send one datagram to one node."""
        self._send_to(peer.peer_address, msgspec.msgpack.encode(datagram))

    def trigger_heartbeat(self) -> None:
        """Send the next heartbeat ahead of its time."""
        self._wake.set()

    def _send_forever(self) -> None:
        while True:
            self._wake.clear()
            now = clock.now()
            self.table.sweep(now)
            self.on_tick(now)
            self.send()
            gevent.sleep(HEARTBEAT_MIN_INTERVAL_S)
            pause_s = self.table.heartbeat_interval_s(clock.now())
            self._wake.wait(pause_s * self._rng.uniform(0.9, 1.1))

    def _receive_forever(self) -> None:
        while True:
            data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            self.apply_datagram(data, sender, clock.now())

    def apply_datagram(self, data: bytes, sender: object, now: float) -> None:
        """Apply a datagram that was received from an address."""
        try:
            datagram = msgspec.msgpack.decode(data, type=Datagram)
        except msgspec.DecodeError as exc:
            level = logging.DEBUG if self.rejected else logging.WARNING
            _LOGGER.log(level, "Rejected a datagram from %s: %s", sender, exc)
            self.rejected += 1
            return
        match datagram:
            case Heartbeat():
                if self.table.apply_heartbeat(datagram, now):
                    self._introduce(datagram, now)
                    self.on_heartbeat(datagram, now)
                    self.on_engines(self.table.newest_engine_statuses(datagram), now)
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
            case RemovalUpdate():
                self.on_removed(datagram.removed, datagram.name, now)
            case OriginUpdate():
                self.on_origins(datagram, now)
            case OriginQuery():
                self.on_origin_query(datagram, now)
            case OriginAnswer():
                self.on_origin_answer(datagram, now)
            case QuarantineUpdate():
                self.on_quarantine(datagram, now)
            case QuotaSync() | QuotaAnswer():
                self.on_quota(datagram, now)
            case EngineUpdate():
                if self.table.apply_engine_update(datagram):
                    self.on_engines((datagram.status,), now)

    def _apply_confirmation(self, confirmation: ReadConfirmation, now: float) -> None:
        sent_at = self._sent_at.get(confirmation.echo)
        if sent_at is not None and confirmation.incarnation == self._incarnation:
            peer = self.table.peers.get(confirmation.name)
            if peer is not None:
                self._readers_seen_at[peer.heartbeat.peer_address] = now
            self.on_confirmation(confirmation, sent_at, now)

    def reads_for_others(self, now: float) -> bool:
        """Return whether this node is one of the few that read the store for all."""
        return self.table.own_rank(now) < STORE_READERS

    def _reader_addresses(self, now: float) -> set[str]:
        """Return the addresses of the nodes that confirm reads of the store.

        They date their confirmations by this node's heartbeats.
        """
        for address, confirmed_at in list(self._readers_seen_at.items()):
            if now - confirmed_at > READER_RETENTION_S:
                del self._readers_seen_at[address]
        ready = [node for node in self.table.ranked(now) if node.ready]
        first = (node.peer_address for node in ready[:STORE_READERS])
        return {*self._readers_seen_at, *first} - {self._address}

    def _introduce(self, heartbeat: Heartbeat, now: float) -> None:
        """Send a heartbeat to a newly discovered node, if this node serves clients."""
        known = heartbeat.peer_address in self._addresses
        self._addresses.add(heartbeat.peer_address)
        if known or not self.table.large() or not self._registered:
            return
        if self.table.serves(self.table.me, now) and self.table.own is not None:
            entries = self._pack_entries(now)
            own = replace(self.table.own, seq=self._next_seq(), entries=entries)
            self._send_heartbeat(
                own, {heartbeat.peer_address}, self.table.heartbeat_interval_s(now)
            )
            self._frequent_receivers.add(heartbeat.peer_address)

    def live_heartbeats(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the peers that have not timed out."""
        return self.table.live_heartbeats(clock.now())

    def confirm(self, table: str, digest: bytes, heartbeats: list[Heartbeat]) -> None:
        """Confirm a read to the peers whose heartbeats had come before it was sent."""
        me = self.table.me
        for heartbeat in heartbeats:
            confirmation = ReadConfirmation(
                me, table, digest, heartbeat.incarnation, heartbeat.seq
            )
            self._send_to(heartbeat.peer_address, msgspec.msgpack.encode(confirmation))

    def rewrite_row(self) -> None:
        """Write this node's row again, since an older copy of the store may lack it."""
        self._supervisor.spawn("row", self._write_row, restart=Restart.NEVER)

    def _write_row(self) -> None:
        row = msgspec.msgpack.encode(NodeRow(self._address, self._incarnation))
        self._retry_until_success(
            lambda: self._client.write(TABLE_NODES, self.table.me, row)
        )

    def _retry_until_success(self, call: Callable[[], T]) -> T:
        """Repeat a call to the store until it succeeds, and return its result."""
        while True:
            try:
                return call()
            except PlatformError as exc:
                _LOGGER.warning("Cannot register this node, will retry: %s", exc)
                gevent.sleep(PEER_REGISTER_RETRY_S)

    def _register(self) -> None:
        """Write this node's row and read the other nodes' addresses."""
        self._read_rows()
        self._write_row()
        if not self.knows_all:
            # Nodes that start for the first time together find each other's new rows.
            self._read_rows()
        self._registered = True
        _LOGGER.info(
            "Registered this node; %d other nodes are known", len(self._addresses)
        )
        self._introduce_to_all(clock.now())
        gevent.sleep(PEER_REREAD_S)
        self._registered_addresses = self._read_rows()
        self.knows_all = True

    def _read_rows(self) -> set[str]:
        """Read the other nodes' rows; return their addresses."""
        addresses = set()
        for item in self._retry_until_success(lambda: self._client.scan(TABLE_NODES)):
            try:
                node = msgspec.msgpack.decode(item.value, type=NodeRow)
            except msgspec.DecodeError as exc:
                _LOGGER.warning("Ignored malformed row of node %s: %s", item.key, exc)
                continue
            if node.peer_address != self._address:
                addresses.add(node.peer_address)
            is_own = item.key == self.table.me and not self._registered
            if is_own and node.incarnation != self._incarnation:
                # This node ran before, so the rows are complete.
                self.knows_all = True
        self._addresses |= addresses
        return addresses

    def fleet_share(self, window_s: float, now: float) -> FleetShare:
        """Return what this node knows of the nodes that share its budgets.

        `window_s` tells how far the budgets look back, in seconds.
        """
        if self._sharing is None:
            self._sharing = SharingNodes(BUDGET_RETENTION_S, window_s)
        table = self.table
        heartbeats = table.live_heartbeats(now)
        active, idle, settled = set(), set(), set()
        for heartbeat in heartbeats:
            sends = not table.large() or table.serves(heartbeat.name, now)
            (active if sends else idle).add(heartbeat.peer_address)
            if heartbeat.up_s >= window_s:
                settled.add(heartbeat.peer_address)
        rows = self._registered_addresses
        expected = self._addresses if rows is None else rows
        self._sharing.update(active, now, idle, expected)
        nodes = set(self._sharing.names)
        is_settled = rows is not None and self._sharing.observed_s >= window_s
        return FleetShare(
            nodes=len(nodes) + 1,
            heard=len(nodes & self._sharing.heard) + 1,
            recent=len(nodes - settled) + (not is_settled),
            settled=is_settled,
        )

    def _introduce_to_all(self, now: float) -> None:
        """Send one heartbeat to all nodes, also to those reached in rotation later."""
        heartbeat = self._build_heartbeat(self._next_seq())
        self.table.set_own(heartbeat)
        rounds = len(self._addresses) / HEARTBEAT_ROTATION
        next_in_s = max(1.0, rounds) * self.table.heartbeat_interval_s(now)
        self._send_heartbeat(heartbeat, self._addresses, next_in_s)


def pack_addresses(addresses: list[str]) -> bytes:
    """Pack addresses of the form IP:port into 6 bytes each."""
    packed = bytearray()
    for address in addresses:
        host, port = address.rsplit(":", 1)
        packed += socket.inet_aton(host) + int(port).to_bytes(2)
    return bytes(packed)


def unpack_addresses(packed: bytes) -> list[str]:
    """Unpack addresses; an incomplete address at the end is dropped."""
    whole = len(packed) - len(packed) % ADDRESS_BYTES
    return [
        f"{socket.inet_ntoa(packed[at : at + 4])}:"
        f"{int.from_bytes(packed[at + 4 : at + ADDRESS_BYTES])}"
        for at in range(0, whole, ADDRESS_BYTES)
    ]
