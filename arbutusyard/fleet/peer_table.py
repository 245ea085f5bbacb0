"""Keep what the other nodes have told of themselves."""

import logging
from collections.abc import Iterable

from msgspec import Struct, field

from arbutusyard.fleet.const import (
    BUSY_RATE_S,
    HEARTBEAT_INTERVAL_LARGE_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_STANDBY_S,
    LARGE_FLEET,
    PEER_FORGET_S,
    PEER_TIMEOUT_HEARTBEATS,
    PEER_TIMEOUT_S,
    RANK_KEEP_S,
)
from arbutusyard.fleet.messages import (
    EngineStatus,
    EngineUpdate,
    Heartbeat,
    LoadUpdate,
    ServerLoad,
)
from arbutusyard.fleet.serving import serving_nodes

_LOGGER = logging.getLogger(__name__)


class Peer(Struct):
    """Hold the newest beat of another node, when it came, and the node's loads.

    `load_seqs` numbers the loads that are newer than the beat, `engine_seqs` the word
    on engines.
    """

    heartbeat: Heartbeat
    received_at: float
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    load_seqs: dict[str, int] = field(default_factory=dict)
    engine_seqs: dict[str, int] = field(default_factory=dict)


class PeerTable:
    """Keep the other nodes' datagrams and the sum of their loads."""

    __slots__ = (
        "_past",
        "_ranked",
        "_ranked_at",
        "_serving",
        "_totals",
        "entries",
        "entries_at",
        "me",
        "own",
        "peers",
    )

    def __init__(self, me: str) -> None:
        self.me = me
        self.own: Heartbeat | None = None
        self.peers: dict[str, Peer] = {}
        # What a serving node has told of the addresses for callers, and when.
        self.entries: tuple[tuple[str, bytes], ...] = ()
        self.entries_at = float("-inf")
        self._ranked: list[Heartbeat] = []
        self._ranked_at = float("-inf")
        self._serving: frozenset[str] = frozenset()
        self._past: dict[str, set[int]] = {}
        self._totals: dict[str, list[int]] = {}

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a datagram; return False when it is old or this node's own."""
        if heartbeat.name == self.me:
            return False
        past = self._past.setdefault(heartbeat.name, set())
        if heartbeat.incarnation in past:
            return False
        peer = self.peers.get(heartbeat.name)
        if peer is not None:
            if peer.heartbeat.incarnation != heartbeat.incarnation:
                # Clocks may go back, so a new number is newer whatever its size.
                past.add(peer.heartbeat.incarnation)
            elif heartbeat.seq <= peer.heartbeat.seq:
                return False
        if peer is None or peer.heartbeat.ready is not heartbeat.ready:
            # Hundreds of nodes that start hear of each other at once.
            level = logging.DEBUG if peer is None else logging.INFO
            _LOGGER.log(
                level,
                "Node %s is %s",
                heartbeat.name,
                "ready" if heartbeat.ready else "not ready",
                extra={"peer": heartbeat.name, "leaving": heartbeat.leaving},
            )
        if peer is None or _standing(peer.heartbeat) != _standing(heartbeat):
            self._ranked_at = float("-inf")
        if heartbeat.entries:
            self.entries, self.entries_at = heartbeat.entries, now
        self._replace(heartbeat, peer, now)
        return True

    def _replace(self, heartbeat: Heartbeat, old: Peer | None, now: float) -> None:
        """Put a beat in the place of the last one; news that is newer holds."""
        peer = Peer(heartbeat, now, {load.server_id: load for load in heartbeat.loads})
        if old is not None:
            self._count(old.loads.values(), -1)
            if old.heartbeat.incarnation == heartbeat.incarnation:
                for server_id, seq in old.load_seqs.items():
                    if seq > heartbeat.seq:
                        peer.loads[server_id] = old.loads[server_id]
                        peer.load_seqs[server_id] = seq
                peer.engine_seqs = {
                    server_id: seq
                    for server_id, seq in old.engine_seqs.items()
                    if seq > heartbeat.seq
                }
        self.peers[heartbeat.name] = peer
        self._count(peer.loads.values(), 1)

    def apply_load_update(self, update: LoadUpdate) -> bool:
        """Take a node's load at one server; return False when it is old."""
        peer = self.peers.get(update.name)
        if peer is None or peer.heartbeat.incarnation != update.incarnation:
            return False
        server_id = update.load.server_id
        if update.seq <= max(peer.heartbeat.seq, peer.load_seqs.get(server_id, 0)):
            return False
        known = peer.loads.get(server_id)
        if known is not None:
            self._count((known,), -1)
        peer.loads[server_id] = update.load
        peer.load_seqs[server_id] = update.seq
        self._count((update.load,), 1)
        return True

    def apply_engine_update(self, update: EngineUpdate) -> bool:
        """Take a node's word on one engine; return False when it is old."""
        peer = self.peers.get(update.name)
        if peer is None or peer.heartbeat.incarnation != update.incarnation:
            return False
        server_id = update.status.server_id
        if update.seq <= max(peer.heartbeat.seq, peer.engine_seqs.get(server_id, 0)):
            return False
        peer.engine_seqs[server_id] = update.seq
        return True

    def newest_engine_statuses(self, heartbeat: Heartbeat) -> tuple[EngineStatus, ...]:
        """Return a beat's notes on engines, but for those that news has replaced."""
        newer = self.peers[heartbeat.name].engine_seqs
        return tuple(
            status
            for status in heartbeat.engine_statuses
            if status.server_id not in newer
        )

    def interval_s(self, now: float) -> float:
        """Return the pause between this node's beats."""
        if not self.large():
            return HEARTBEAT_INTERVAL_S
        if self.serves(self.me, now):
            return HEARTBEAT_INTERVAL_LARGE_S
        return HEARTBEAT_INTERVAL_STANDBY_S

    def large(self) -> bool:
        """Tell whether only a part of the nodes takes callers."""
        return len(self.peers) > LARGE_FLEET

    def alive(self, now: float) -> list[Heartbeat]:
        """Return the newest datagrams of the peers that were heard in time."""
        return [
            peer.heartbeat
            for peer in self.peers.values()
            if now - peer.received_at <= _timeout_s(peer.heartbeat)
        ]

    def ranked(self, now: float) -> list[Heartbeat]:
        """Return the nodes that take callers, this one among them, in their rank."""
        if not 0.0 <= now - self._ranked_at < RANK_KEEP_S:
            nodes = self.alive(now)
            if self.own is not None:
                nodes.append(self.own)
            self._ranked = serving_nodes(nodes)
            self._ranked_at = now
            # Whoever leads the roll-out of weights needs to know what waits where.
            others = (
                heartbeat.name
                for heartbeat in nodes
                if heartbeat.rate_s > BUSY_RATE_S or heartbeat.fencing_token
            )
            self._serving = frozenset([*(b.name for b in self._ranked), *others])
        return self._ranked

    def set_own(self, heartbeat: Heartbeat) -> None:
        """Take what this node tells of itself."""
        if self.own is None or _standing(self.own) != _standing(heartbeat):
            self._ranked_at = float("-inf")
        self.own = heartbeat

    def serves(self, name: str, now: float) -> bool:
        """Tell whether a node takes callers, or still gets requests of some."""
        self.ranked(now)
        return name in self._serving

    def active_count(self, now: float) -> int:
        """Return how many nodes send requests to servers, this one among them."""
        self.ranked(now)
        return len(self._serving | {self.me})

    def own_rank(self, now: float) -> int:
        """Return this node's place in the rank; after the last when it has none."""
        names = [node.name for node in self.ranked(now) if node.ready]
        return names.index(self.me) if self.me in names else len(names)

    def sweep(self, now: float) -> None:
        """Stop counting what silent peers had in flight; forget the long silent."""
        for name, peer in list(self.peers.items()):
            age_s = now - peer.received_at
            limit_s = _timeout_s(peer.heartbeat)
            if age_s > limit_s and peer.loads:
                self._count(peer.loads.values(), -1)
                peer.loads = {}
                peer.load_seqs = {}
                _LOGGER.warning("Node %s is silent", name, extra={"peer": name})
            if age_s > max(PEER_FORGET_S, 2 * limit_s):
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


def _timeout_s(heartbeat: Heartbeat) -> float:
    """Return how long a peer may be silent after a beat."""
    return max(PEER_TIMEOUT_S, PEER_TIMEOUT_HEARTBEATS * heartbeat.next_in_s)


def _standing(heartbeat: Heartbeat) -> tuple[int, bool, bool]:
    return (heartbeat.incarnation, heartbeat.ready, heartbeat.leaving)
