"""Hold the state that the other nodes have reported."""

import logging
from collections.abc import Iterable

from msgspec import Struct, field

from arbutusyard.fleet.const import (
    BUSY_REQUESTS_PER_S,
    ENTRY_NODE_AGE_MAX_S,
    HEARTBEAT_INTERVAL_LARGE_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_STANDBY_S,
    LARGE_FLEET_NODES,
    PEER_FORGET_S,
    PEER_TIMEOUT_HEARTBEATS,
    PEER_TIMEOUT_S,
    RANKING_MAX_AGE_S,
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
    """Hold another node's newest heartbeat, the time of its receipt, and the loads.

    `load_seqs` and `engine_seqs` hold the sequence numbers of updates on loads and
    engines that are newer than the heartbeat, by server id.
    """

    heartbeat: Heartbeat
    received_at: float
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    load_seqs: dict[str, int] = field(default_factory=dict)
    engine_seqs: dict[str, int] = field(default_factory=dict)


class PeerTable:
    """Hold the other nodes' heartbeats, the sums of their loads, and the ranking."""

    __slots__ = (
        "_past_incarnations",
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
        # Packed addresses for clients, as reported by a serving node, and their time.
        self.entries: tuple[tuple[str, bytes], ...] = ()
        self.entries_at = float("-inf")
        self._ranked: list[Heartbeat] = []
        self._ranked_at = float("-inf")
        self._serving: frozenset[str] = frozenset()
        self._past_incarnations: dict[str, set[int]] = {}
        self._totals: dict[str, list[int]] = {}

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return False if it is outdated or this node's own."""
        if heartbeat.name == self.me:
            return False
        past = self._past_incarnations.setdefault(heartbeat.name, set())
        if heartbeat.incarnation in past:
            return False
        peer = self.peers.get(heartbeat.name)
        if peer is not None:
            if peer.heartbeat.incarnation != heartbeat.incarnation:
                # A clock may be set back, so another incarnation is newer whatever its
                # number.
                past.add(peer.heartbeat.incarnation)
            elif heartbeat.seq <= peer.heartbeat.seq:
                return False
        if peer is None or peer.heartbeat.ready is not heartbeat.ready:
            # Hundreds of nodes that start at once would each log all the others.
            level = logging.DEBUG if peer is None else logging.INFO
            _LOGGER.log(
                level,
                "Node %s is %s",
                heartbeat.name,
                "ready" if heartbeat.ready else "not ready",
                extra={"peer": heartbeat.name, "leaving": heartbeat.leaving},
            )
        if peer is None or _rank_state(peer.heartbeat) != _rank_state(heartbeat):
            self._ranked_at = float("-inf")
        if heartbeat.entries:
            self.entries, self.entries_at = heartbeat.entries, now
        self._replace_heartbeat(heartbeat, peer, now)
        return True

    def _replace_heartbeat(
        self, heartbeat: Heartbeat, previous: Peer | None, now: float
    ) -> None:
        """Replace a peer's heartbeat, but keep the updates that are newer."""
        peer = Peer(heartbeat, now, {load.server_id: load for load in heartbeat.loads})
        if previous is not None:
            self._add_loads(previous.loads.values(), -1)
            if previous.heartbeat.incarnation == heartbeat.incarnation:
                for server_id, seq in previous.load_seqs.items():
                    if seq > heartbeat.seq:
                        peer.loads[server_id] = previous.loads[server_id]
                        peer.load_seqs[server_id] = seq
                peer.engine_seqs = {
                    server_id: seq
                    for server_id, seq in previous.engine_seqs.items()
                    if seq > heartbeat.seq
                }
        self.peers[heartbeat.name] = peer
        self._add_loads(peer.loads.values(), 1)

    def apply_load_update(self, update: LoadUpdate) -> bool:
        """Apply a node's load at one server; return False if it is outdated."""
        peer = self.peers.get(update.name)
        if peer is None or peer.heartbeat.incarnation != update.incarnation:
            return False
        server_id = update.load.server_id
        if update.seq <= max(peer.heartbeat.seq, peer.load_seqs.get(server_id, 0)):
            return False
        known = peer.loads.get(server_id)
        if known is not None:
            self._add_loads((known,), -1)
        peer.loads[server_id] = update.load
        peer.load_seqs[server_id] = update.seq
        self._add_loads((update.load,), 1)
        return True

    def apply_engine_update(self, update: EngineUpdate) -> bool:
        """Record a node's report on one engine; return False if it is outdated."""
        peer = self.peers.get(update.name)
        if peer is None or peer.heartbeat.incarnation != update.incarnation:
            return False
        server_id = update.status.server_id
        if update.seq <= max(peer.heartbeat.seq, peer.engine_seqs.get(server_id, 0)):
            return False
        peer.engine_seqs[server_id] = update.seq
        return True

    def newest_engine_statuses(self, heartbeat: Heartbeat) -> tuple[EngineStatus, ...]:
        """Return a heartbeat's engine statuses that no newer update superseded."""
        newer = self.peers[heartbeat.name].engine_seqs
        return tuple(
            status
            for status in heartbeat.engine_statuses
            if status.server_id not in newer
        )

    def heartbeat_interval_s(self, now: float) -> float:
        """Return the interval between this node's heartbeats, in seconds."""
        if not self.large():
            return HEARTBEAT_INTERVAL_S
        if self.serves(self.me, now):
            return HEARTBEAT_INTERVAL_LARGE_S
        return HEARTBEAT_INTERVAL_STANDBY_S

    def large(self) -> bool:
        """Return whether the fleet is large, so that only some nodes serve clients."""
        return len(self.peers) > LARGE_FLEET_NODES

    def live_heartbeats(self, now: float) -> list[Heartbeat]:
        """Return the newest heartbeats of the peers that have not timed out."""
        return [
            peer.heartbeat
            for peer in self.peers.values()
            if now - peer.received_at <= _timeout_s(peer.heartbeat)
        ]

    def ranked(self, now: float) -> list[Heartbeat]:
        """Return the serving nodes by rank; this node may be among them."""
        if not 0.0 <= now - self._ranked_at < RANKING_MAX_AGE_S:
            nodes = self.live_heartbeats(now)
            if self.own is not None:
                nodes.append(self.own)
            self._ranked = serving_nodes(nodes)
            self._ranked_at = now
            # The leader of the roll-out of weights has to know the load of each server.
            others = (
                heartbeat.name
                for heartbeat in nodes
                if heartbeat.rate_s > BUSY_REQUESTS_PER_S or heartbeat.fencing_token
            )
            self._serving = frozenset([*(b.name for b in self._ranked), *others])
        return self._ranked

    def entry_nodes(self, now: float) -> list[Heartbeat]:
        """Return the ranked nodes that the directory may name to clients.

        Heartbeats in rotation are up to tens of seconds apart, and a node that sent one
        may have been removed since. Without any node heard from recently, the whole
        ranking is returned.
        """
        ranked = self.ranked(now)
        recent = [node for node in ranked if self._is_recent(node.name, now)]
        return recent or ranked

    def _is_recent(self, name: str, now: float) -> bool:
        if name == self.me:
            return True
        peer = self.peers.get(name)
        return peer is not None and now - peer.received_at <= ENTRY_NODE_AGE_MAX_S

    def set_own(self, heartbeat: Heartbeat) -> None:
        """Set this node's own heartbeat."""
        if self.own is None or _rank_state(self.own) != _rank_state(heartbeat):
            self._ranked_at = float("-inf")
        self.own = heartbeat

    def serves(self, name: str, now: float) -> bool:
        """Return whether a node serves clients, or still receives requests."""
        self.ranked(now)
        return name in self._serving

    def own_rank(self, now: float) -> int:
        """Return this node's rank among the ready nodes; their number if unranked."""
        names = [node.name for node in self.ranked(now) if node.ready]
        return names.index(self.me) if self.me in names else len(names)

    def sweep(self, now: float) -> None:
        """Drop the loads of unresponsive peers; later remove the peers themselves."""
        for name, peer in list(self.peers.items()):
            age_s = now - peer.received_at
            limit_s = _timeout_s(peer.heartbeat)
            if age_s > limit_s and peer.loads:
                self._add_loads(peer.loads.values(), -1)
                peer.loads = {}
                peer.load_seqs = {}
                _LOGGER.warning(
                    "Node %s is unresponsive: its heartbeats are overdue",
                    name,
                    extra={"peer": name},
                )
            if age_s > max(PEER_FORGET_S, 2 * limit_s):
                del self.peers[name]

    def load(self, server_id: str) -> tuple[int, int]:
        """Return the requests and prompt tokens in flight from peers to a server."""
        total = self._totals.get(server_id)
        return (total[0], total[1]) if total is not None else (0, 0)

    def held_tokens(self, server_id: str) -> int:
        """Return the tokens that requests of peers hold in a server's KV memory."""
        total = self._totals.get(server_id)
        return total[2] if total is not None else 0

    def refusals(self, server_id: str) -> int:
        """Return how many requests of peers a full server has just refused."""
        total = self._totals.get(server_id)
        return total[3] if total is not None else 0

    def _add_loads(self, loads: Iterable[ServerLoad], sign: int) -> None:
        for item in loads:
            total = self._totals.setdefault(item.server_id, [0, 0, 0, 0])
            total[0] += sign * item.in_flight
            total[1] += sign * item.prompt_tokens
            total[2] += sign * item.held_tokens
            total[3] += sign * item.refusals
            if total == [0, 0, 0, 0]:
                del self._totals[item.server_id]


def _timeout_s(heartbeat: Heartbeat) -> float:
    """Return the seconds after a heartbeat until its sender is unresponsive."""
    return max(PEER_TIMEOUT_S, PEER_TIMEOUT_HEARTBEATS * heartbeat.next_in_s)


def _rank_state(heartbeat: Heartbeat) -> tuple[int, bool, bool]:
    return (heartbeat.incarnation, heartbeat.ready, heartbeat.leaving)
