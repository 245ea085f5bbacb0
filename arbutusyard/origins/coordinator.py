"""Find the software version that began a stream, and remember it for all nodes."""

import logging
from typing import Final

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from msgspec import Struct, field

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.messages import (
    Heartbeat,
    OriginAnswer,
    OriginQuery,
    OriginUpdate,
)
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.origins.const import (
    ASK_TIMEOUT_S,
    DATAGRAM_DIGESTS_MAX,
    KEEPERS_MIN,
    KEEPERS_PER_STREAM,
    NODES_PER_KEEPER,
    PERSIST_INTERVAL_S,
    PUSH_INTERVAL_S,
    RECORDS_MAX,
    ROW_DIGESTS_MAX,
    SLOT_S,
    STORE_TIMEOUT_S,
    TABLE_ORIGINS,
    VERSIONS_INTERVAL_S,
)
from arbutusyard.origins.models import (
    AMBIGUOUS,
    Began,
    Origin,
    OriginBatch,
    OriginRow,
    UnknownOrigin,
)
from arbutusyard.origins.records import OriginRecord, OriginRecords, stream_digest
from arbutusyard.origins.versions import SoftwareVersions
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError, PlatformUnavailable
from arbutusyard.routing.chain import rank
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)

SOURCE_OWN: Final = "own"
SOURCE_PEER: Final = "peer"
SOURCE_STORE: Final = "store"
SOURCE_ONLY_VERSION: Final = "only_version"


class Question(Struct):
    """Hold a query that other nodes are asked; `waiting` did not answer yet."""

    waiting: set[str]
    done: Event = field(default_factory=Event)


class OriginCoordinator:
    """Remember at which software version each stream began, and find it again.

    While the servers of a service have one version, nothing is sent: that version began
    all streams. While they have several, each origin is sent to a few keepers, which
    also write it to the store.
    """

    name = "origins"

    __slots__ = (
        "_client",
        "_fleet_state",
        "_me",
        "_mixed",
        "_peers",
        "_pending",
        "_questions",
        "_scan_lock",
        "_scanned_at",
        "_slots",
        "_supervisor",
        "_unwritten",
        "is_loaded",
        "records",
        "versions",
    )

    def __init__(
        self,
        me: str,
        fleet_state: FleetState,
        client: PlatformClient | None = None,
        peers: PeerCoordinator | None = None,
    ) -> None:
        self._me = me
        self._fleet_state = fleet_state
        self._client = client
        self._peers = peers
        self.records = OriginRecords()
        self.versions = SoftwareVersions(fleet_state, client)
        # Services whose servers have, or lately had, several versions.
        self._mixed: frozenset[str] = frozenset()
        # Streams whose origins are yet to be sent to their keepers.
        self._pending: list[bytes] = []
        # Streams that this node keeps, by the time slot in which it learned of them.
        self._slots: dict[int, list[bytes]] = {}
        self._unwritten: set[int] = set()
        self._questions: dict[bytes, Question] = {}
        self._scan_lock = BoundedSemaphore()
        self._scanned_at = float("-inf")
        self._supervisor: Supervisor | None = None
        # What this node wrote before it was started again was read.
        self.is_loaded = False
        fleet_state.servers.on_new_software = self._revoke
        if peers is not None:
            peers.on_origins = self._apply_update
            peers.on_origin_query = self._answer
            peers.on_origin_answer = self._apply_answer

    def setup(self, app: Application) -> None:
        """Start tracking versions and exchanging origins."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("load", self._load_until_success)
        self._supervisor.spawn("versions", self._track_versions)
        self._supervisor.spawn("push", self._push_forever)
        self._supervisor.spawn("persist", self._persist_forever)

    def drain(self) -> None:
        """Continue until the node stops."""

    def unload(self) -> None:
        """Send what is pending, then stop."""
        self.push(clock.now())
        self._supervisor.stop()

    def handle_store_rollback(self) -> None:
        """Write to the store again what an older copy of it may lack."""
        self.versions.handle_store_rollback()
        self._unwritten |= set(self._slots)

    def record_beginning(
        self, account: str, request_id: str, server: Server, version: str, now: float
    ) -> None:
        """Record that a server's first event of a stream is being relayed."""
        record = OriginRecord(
            server.entry.service,
            version,
            now + self.versions.life_s,
            SOURCE_OWN,
            server.incarnation,
        )
        self._record(account, request_id, record)

    def record_forwarded(
        self,
        account: str,
        request_id: str,
        began: Began,
        server: tuple[str, int] | None,
        now: float,
    ) -> None:
        """Record that a stream is being relayed that began at another node.

        `server` is the id and start of its server; None if they are not known.
        """
        expires_at = now + self.versions.life_s
        record = OriginRecord(
            began.service, began.version, expires_at, began.source, server
        )
        self._record(account, request_id, record)

    def _record(self, account: str, request_id: str, record: OriginRecord) -> None:
        if not request_id:
            return
        digest = stream_digest(account, request_id)
        service = record.service
        if self.records.add(digest, record) and service in self._mixed:
            self._pending.append(digest)

    def find(
        self, account: str, request_id: str, service: str, arrived_at: float
    ) -> Origin:
        """Find the version that began a stream by the id of the attempt that did.

        This may take some calls to other nodes and to the store.
        """
        digest = stream_digest(account, request_id)
        record = self.records.get(digest, arrived_at) if request_id else None
        if record is not None:
            return _origin(record)
        is_readable = True
        if len(self.versions.of_service(service, arrived_at)) <= 1:
            try:
                with _store_timeout():
                    possible = self.versions.read(service)
            except PlatformError as exc:
                _LOGGER.info("Cannot read the software versions: %s", exc)
                is_readable = False
            else:
                if len(possible) == 1 and AMBIGUOUS not in possible:
                    return Began(service, possible.pop(), SOURCE_ONLY_VERSION)
        if not request_id:
            return UnknownOrigin("not_named", is_final=is_readable)
        self._ask(digest, arrived_at)
        record = self.records.get(digest, arrived_at)
        if record is not None:
            return _origin(record)
        if not is_readable:
            return UnknownOrigin("store_unreadable", is_final=False)
        try:
            with _store_timeout():
                self._scan(arrived_at)
        except PlatformError as exc:
            _LOGGER.info("Cannot read the origins of streams: %s", exc)
            return UnknownOrigin("store_unreadable", is_final=False)
        record = self.records.get(digest, arrived_at)
        if record is not None:
            return _origin(record)
        return UnknownOrigin("not_remembered", is_final=True)

    def is_keeper(self, now: float) -> bool:
        """Return whether this node keeps origins for others."""
        return self._client is not None and any(
            node.name == self._me for node in self._keepers(now)
        )

    def _keepers(self, now: float) -> list[Heartbeat]:
        """Return the nodes that keep origins for all.

        In an outage of the store no node is ready, and any may keep them.
        """
        table = self._peers.table
        ranked = table.ranked(now)
        ready = [node for node in ranked if node.ready] or ranked
        nodes = len(table.peers) + 1
        return ready[: max(KEEPERS_MIN, nodes // NODES_PER_KEEPER)]

    def _track_versions(self) -> None:
        while True:
            now = clock.now()
            self.track(now)
            gevent.sleep(VERSIONS_INTERVAL_S)

    def track(self, now: float) -> None:
        """Compare the servers' versions with the store's list once."""
        self.records.sweep(now)
        if not self._fleet_state.can_serve():
            return
        self.versions.update(self.is_keeper(now), now)
        catalog = self._fleet_state.catalog
        mixed = frozenset(
            service
            for service in catalog.cfg.services
            if len(self.versions.of_service(service, now)) > 1
        )
        for service in mixed - self._mixed:
            _LOGGER.info(
                "Service %s has servers of several software versions; the origins of "
                "its streams are shared",
                service,
                extra={
                    "service": service,
                    "software_versions": sorted(self.versions.of_service(service, now)),
                },
            )
            self._pending += self.records.own_digests(service)
        self._mixed = mixed

    def _push_forever(self) -> None:
        while True:
            self.push(clock.now())
            gevent.sleep(PUSH_INTERVAL_S)

    def push(self, now: float) -> None:
        """Send the pending origins to their keepers."""
        del self._pending[:-RECORDS_MAX]
        keepers = {node.name: node for node in self._keepers(now)}
        if not self._pending or not keepers:
            return
        pending, self._pending = self._pending, []
        by_keeper: dict[str, list[bytes]] = {}
        for digest in pending:
            for name in rank(digest, keepers)[:KEEPERS_PER_STREAM]:
                by_keeper.setdefault(name, []).append(digest)
        for name, digests in by_keeper.items():
            if name == self._me:
                self._keep(digests, now)
                continue
            for start in range(0, len(digests), DATAGRAM_DIGESTS_MAX):
                batches = self.records.batches(
                    digests[start : start + DATAGRAM_DIGESTS_MAX], now
                )
                update = OriginUpdate(self._me, batches)
                self._peers.send_datagram(keepers[name], update)

    def _apply_update(self, update: OriginUpdate, now: float) -> None:
        self._keep(self._add_batches(update.batches, SOURCE_PEER, now), now)

    def _add_batches(
        self, batches: tuple[OriginBatch, ...], source: str, now: float
    ) -> list[bytes]:
        """Add received origins; return those that are new."""
        new = []
        for batch in batches:
            left_s = min(batch.left_s, self.versions.life_s)
            if left_s <= 0:
                continue
            for digest in batch.digests:
                record = OriginRecord(
                    batch.service, batch.version, now + left_s, source
                )
                if self.records.add(digest, record):
                    new.append(digest)
        return new

    def _keep(self, digests: list[bytes], now: float) -> None:
        """Note origins for the next write to the store."""
        if not digests or self._client is None:
            return
        slot = int(self._client.store_time_s(now) // SLOT_S)
        self._slots.setdefault(slot, []).extend(digests)
        self._unwritten.add(slot)

    def _persist_forever(self) -> None:
        while True:
            self.persist(clock.now())
            gevent.sleep(PERSIST_INTERVAL_S)

    def persist(self, now: float) -> None:
        """Write the origins that this node has learned of since the last write."""
        if self._client is None or not self.is_loaded:
            return
        oldest = int((self._client.store_time_s(now) - self.versions.life_s) // SLOT_S)
        for slot in [slot for slot in self._slots if slot < oldest]:
            del self._slots[slot]
        for slot in sorted(self._unwritten & set(self._slots)):
            digests = self._slots[slot][-ROW_DIGESTS_MAX:]
            row = OriginRow(slot * SLOT_S, self.records.batches(digests, now))
            # Origins that come during the write are written next.
            self._unwritten.discard(slot)
            try:
                self._client.write(
                    TABLE_ORIGINS, self._row_key(slot), msgspec.msgpack.encode(row)
                )
            except PlatformError as exc:
                _LOGGER.warning("Cannot write the origins of streams: %s", exc)
                self._unwritten.add(slot)
                return
        self._unwritten &= set(self._slots)

    def _row_key(self, slot: int) -> str:
        """Return the key of a slot's row; rows are used again in rotation."""
        rows = 2 + int(self.versions.life_s // SLOT_S)
        return f"{self._me}/{slot % rows}"

    def _load_until_success(self) -> None:
        while not self.is_loaded:
            self.load(clock.now())
            gevent.sleep(VERSIONS_INTERVAL_S)

    def load(self, now: float) -> None:
        """Read what was written before this node started."""
        if not self._fleet_state.can_serve():
            return
        try:
            self._scan(now)
        except PlatformError as exc:
            _LOGGER.warning("Cannot read the origins of streams: %s", exc)
            return
        self.is_loaded = True

    def _scan(self, since: float) -> None:
        """Read the origins in the store, unless that was done since a time.

        Raise PlatformError if the store cannot be read.
        """
        if self._client is None:
            return
        with self._scan_lock:
            if self._scanned_at >= since:
                return
            sent_at = clock.now()
            rows = self._client.scan(TABLE_ORIGINS)
            self._scanned_at = sent_at
            for row in rows:
                try:
                    origins = msgspec.msgpack.decode(row.value, type=OriginRow)
                except msgspec.DecodeError as exc:
                    _LOGGER.warning(
                        "Ignored a malformed row of origins, %s: %s", row.key, exc
                    )
                    continue
                self._apply_row(row.key, origins, sent_at)

    def _apply_row(self, key: str, row: OriginRow, now: float) -> None:
        # The time left was that of the row's last write, at the end of its slot or
        # before.
        age_s = self._client.store_time_s(now) - row.began_s - SLOT_S
        batches = tuple(
            OriginBatch(b.service, b.version, b.left_s - max(0.0, age_s), b.digests)
            for b in row.batches
        )
        new = self._add_batches(batches, SOURCE_STORE, now)
        if key.startswith(f"{self._me}/"):
            # This node was started again and continues the row.
            slot = round(row.began_s / SLOT_S)
            self._slots.setdefault(slot, []).extend(new)

    def _ask(self, digest: bytes, now: float) -> None:
        """Ask the other nodes for an origin, and wait for their answers."""
        if self._peers is None:
            return
        table = self._peers.table
        asked = self._keepers(now) if table.large() else table.live_heartbeats(now)
        asked = [node for node in asked if node.name != self._me]
        if not asked:
            return
        question = self._questions.get(digest)
        if question is None:
            question = Question({node.name for node in asked})
            self._questions[digest] = question
            for node in asked:
                self._peers.send_datagram(node, OriginQuery(self._me, digest))
        question.done.wait(ASK_TIMEOUT_S)
        self._questions.pop(digest, None)

    def _answer(self, query: OriginQuery, now: float) -> None:
        peer = self._peers.table.peers.get(query.name)
        if peer is None:
            return
        batches = self.records.batches((query.digest,), now)
        answer = OriginAnswer(self._me, query.digest, batches[0] if batches else None)
        self._peers.send_datagram(peer.heartbeat, answer)

    def _apply_answer(self, answer: OriginAnswer, now: float) -> None:
        question = self._questions.get(answer.digest)
        if question is None:
            return
        if answer.batch is not None and answer.digest in answer.batch.digests:
            self._add_batches((answer.batch,), SOURCE_PEER, now)
            question.done.set()
            return
        question.waiting.discard(answer.name)
        if not question.waiting:
            question.done.set()

    def _revoke(self, previous: Server) -> None:
        """Withdraw the origins of an incarnation that has another version than known.

        Streams that seemed to begin there may have begun at its successor, which has
        the same id.
        """
        digests = self.records.revoke(previous.incarnation)
        self._pending += digests
        _LOGGER.info(
            "Server %s started again with another software version; the origins of "
            "%d streams are unproven",
            previous.entry.server_id,
            len(digests),
            extra={"server": previous.entry.server_id},
        )


def _store_timeout() -> gevent.Timeout:
    """Return a context that raises PlatformUnavailable if the store is too slow."""
    return gevent.Timeout(
        STORE_TIMEOUT_S, PlatformUnavailable(f"no answer in {STORE_TIMEOUT_S} s")
    )


def _origin(record: OriginRecord) -> Origin:
    if record.version == AMBIGUOUS:
        return UnknownOrigin("ambiguous", is_final=True)
    return Began(record.service, record.version, record.source)
