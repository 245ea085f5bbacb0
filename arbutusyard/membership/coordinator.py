"""Detect failures over UDP; datagrams also carry records of members."""

import logging
import random
import socket
from itertools import count

import gevent
import msgspec
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.membership.const import (
    DEAD_PROBE_ROUNDS,
    INDIRECT_PROBES,
    LARGE_MEMBER_COUNT,
    LEAVE_ANNOUNCEMENTS,
    MAX_DATAGRAM_BYTES,
    MAX_DATAGRAM_LARGE_BYTES,
    PROBE_INTERVAL_LARGE_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
)
from arbutusyard.membership.models import (
    Ack,
    Datagram,
    Member,
    Ping,
    PingRequest,
    Status,
)
from arbutusyard.membership.table import MemberTable
from arbutusyard.rpc.authentication import Envelope, MessageAuthenticator, ReplayGuard
from arbutusyard.rpc.exceptions import MessageRejected
from arbutusyard.supervisor import Restart, Supervisor

_LOGGER = logging.getLogger(__name__)

# Size of the socket's receive buffer, in bytes.
SOCKET_BUFFER_BYTES = 1 << 20
# Maximum size of a received datagram, in bytes.
RECEIVE_BYTES = 65_536


class MembershipCoordinator:
    """Run the failure detector of one node."""

    name = "membership"

    __slots__ = (
        "_authenticator",
        "_incarnation",
        "_pending_acks",
        "_probe_order",
        "_probe_rounds",
        "_random",
        "_replay_guard",
        "_seeds",
        "_seq",
        "_socket",
        "_supervisor",
        "bytes_received",
        "bytes_sent",
        "rejected",
        "table",
    )

    def __init__(
        self,
        me: Member,
        sock: socket.socket,
        authenticator: MessageAuthenticator,
        seeds: tuple[str, ...],
    ) -> None:
        self.table = MemberTable(me)
        self._socket = sock
        self._authenticator = authenticator
        self._seeds = seeds
        self._replay_guard = ReplayGuard()
        self._incarnation = me.incarnation
        self._pending_acks: dict[int, Event] = {}
        self._probe_order: list[str] = []
        self._random = random.Random(me.name)
        self._probe_rounds = 0
        self._seq = count(1)
        self._supervisor: Supervisor | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.rejected = 0

    def setup(self, app: Application) -> None:
        """Start receiving and probing."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("receive", self._receive_forever)
        self._supervisor.spawn("probe", self._probe_forever)

    def drain(self) -> None:
        """Announce to the other members that this node is leaving."""
        self.table.update_me(status=Status.LEAVING)
        for _ in range(LEAVE_ANNOUNCEMENTS):
            for member in self.table.live():
                self._send(member.address, Ping(next(self._seq), ()))
            gevent.sleep(PROBE_TIMEOUT_S / LEAVE_ANNOUNCEMENTS)

    def unload(self) -> None:
        """Stop probing."""
        self._supervisor.stop()
        self._socket.close()

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add addresses to contact for discovering members."""
        self._seeds = tuple(dict.fromkeys((*self._seeds, *addresses)))

    def probe_interval_s(self) -> float:
        """Return the probe interval for the current number of members, in seconds."""
        return PROBE_INTERVAL_LARGE_S if self._is_large_cluster() else PROBE_INTERVAL_S

    def _is_large_cluster(self) -> bool:
        return len(self.table.members) > LARGE_MEMBER_COUNT

    def _probe_forever(self) -> None:
        while True:
            self.table.sweep(clock.now())
            self._probe_rounds += 1
            self._ping_disconnected()
            member = self._next_target()
            if member is not None:
                self._supervisor.spawn(
                    "probe_one", self._probe, member, restart=Restart.NEVER
                )
            gevent.sleep(self.probe_interval_s() * self._random.uniform(0.9, 1.1))

    def _ping_disconnected(self) -> None:
        if self._probe_rounds % DEAD_PROBE_ROUNDS and self.table.live():
            return
        live_addresses = {member.address for member in self.table.live()}
        member_addresses = [m.address for m in self.table.members.values()]
        for address in (*self._seeds, *member_addresses):
            if address not in live_addresses and address != self.table.me.address:
                self._send(address, Ping(next(self._seq), ()))

    def _next_target(self) -> Member | None:
        while self._probe_order:
            member = self.table.members.get(self._probe_order.pop())
            if member is not None and member.status is not Status.DEAD:
                return member
        self._probe_order = [member.name for member in self.table.live()]
        self._random.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self.table.members[self._probe_order.pop()]

    def _probe(self, member: Member) -> None:
        if self._ping(member.address, PROBE_TIMEOUT_S):
            return
        if self._ping_through_helpers(member):
            return
        self.table.suspect(member.name, clock.now())
        self._send(member.address, Ping(next(self._seq), ()))

    def _ping(self, address: str, timeout_s: float) -> bool:
        seq = next(self._seq)
        self._send(address, Ping(seq, ()))
        return self._wait_for_ack(seq, timeout_s)

    def _ping_through_helpers(self, member: Member) -> bool:
        others = [m for m in self.table.live() if m.name != member.name]
        helpers = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        seq = next(self._seq)
        for helper in helpers:
            self._send(helper.address, PingRequest(seq, member.address, ()))
        return bool(helpers) and self._wait_for_ack(seq, 2 * PROBE_TIMEOUT_S)

    def _wait_for_ack(self, seq: int, timeout_s: float) -> bool:
        event = self._pending_acks[seq] = Event()
        try:
            return event.wait(timeout_s)
        finally:
            del self._pending_acks[seq]

    def _receive_forever(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(RECEIVE_BYTES)
            self.bytes_received += len(data)
            try:
                envelope = self._authenticator.decode(data, Envelope)
                self._replay_guard.check(envelope)
                datagram = msgspec.msgpack.decode(envelope.payload, type=Datagram)
            except (MessageRejected, msgspec.DecodeError):
                self.rejected += 1
                continue
            self._handle(datagram)

    def _handle(self, datagram: Datagram) -> None:
        now = clock.now()
        for record in datagram.updates:
            self.table.merge(record, now)
        sender = datagram.updates[0].address if datagram.updates else ""
        match datagram:
            case Ping(seq=seq):
                self._send(sender, Ack(seq, ()))
            case Ack(seq=seq):
                event = self._pending_acks.get(seq)
                if event is not None:
                    event.set()
            case PingRequest(seq=seq, target=target):
                self._supervisor.spawn(
                    "relay",
                    self._relay_ping,
                    sender,
                    seq,
                    target,
                    restart=Restart.NEVER,
                )

    def _relay_ping(self, requester: str, seq: int, target: str) -> None:
        if self._ping(target, PROBE_TIMEOUT_S):
            self._send(requester, Ack(seq, ()))

    def _send(self, address: str, datagram: Datagram) -> None:
        if not address:
            return
        host, port = address.rsplit(":", 1)
        data = self._encode(datagram)
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError:
            return
        self.bytes_sent += len(data)

    def _encode(self, datagram: Datagram) -> bytes:
        records = self.table.updates(limit=16)
        limit = (
            MAX_DATAGRAM_LARGE_BYTES if self._is_large_cluster() else MAX_DATAGRAM_BYTES
        )
        while True:
            full = msgspec.structs.replace(datagram, updates=tuple(records))
            envelope = Envelope(
                self.table.me.name,
                self._incarnation,
                next(self._seq),
                msgspec.Raw(msgspec.msgpack.encode(full)),
            )
            data = self._authenticator.encode(envelope)
            if len(data) <= limit or len(records) == 1:
                self.table.count_sent(records)
                return data
            records = records[: len(records) // 2]
