"""Keep what the other nodes have told of themselves."""

import logging
from collections.abc import Iterable

from msgspec import Struct, field

from arbutusyard.fleet.const import (
    BEAT_INTERVAL_LARGE_S,
    BEAT_INTERVAL_S,
    BEAT_INTERVAL_STANDBY_S,
    BUSY_RATE_S,
    LARGE_FLEET,
    PEER_FORGET_S,
    PEER_SILENT_BEATS,
    PEER_SILENT_S,
    RANK_KEEP_S,
)
from arbutusyard.fleet.messages import (
    Beat,
    EngineNews,
    EngineNote,
    LoadNews,
    ServerLoad,
)
from arbutusyard.fleet.serving import serving_nodes

_LOGGER = logging.getLogger(__name__)


class Peer(Struct):
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
        self.own: Beat | None = None
        self.peers: dict[str, Peer] = {}
        # What a serving node has told of the addresses for callers, and when.
        self.entries: tuple[tuple[str, bytes], ...] = ()
        self.entries_at = float("-inf")
        self._ranked: list[Beat] = []
        self._ranked_at = float("-inf")
        self._serving: frozenset[str] = frozenset()
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
            # Hundreds of nodes that start hear of each other at once.
            level = logging.DEBUG if peer is None else logging.INFO
            _LOGGER.log(
                level,
                "Node %s is %s",
                beat.name,
                "ready" if beat.ready else "not ready",
                extra={"peer": beat.name, "leaving": beat.leaving},
            )
        if peer is None or _standing(peer.beat) != _standing(beat):
            self._ranked_at = float("-inf")
        if beat.entries:
            self.entries, self.entries_at = beat.entries, now
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

    def interval_s(self, now: float) -> float:
        """Return the pause between this node's beats."""
        if not self.large():
            return BEAT_INTERVAL_S
        if self.serves(self.me, now):
            return BEAT_INTERVAL_LARGE_S
        return BEAT_INTERVAL_STANDBY_S

    def large(self) -> bool:
        """Tell whether only a part of the nodes takes callers."""
        return len(self.peers) > LARGE_FLEET

    def alive(self, now: float) -> list[Beat]:
        """Return the newest datagrams of the peers that were heard in time."""
        return [
            peer.beat
            for peer in self.peers.values()
            if now - peer.heard_at <= _silent_after_s(peer.beat)
        ]

    def ranked(self, now: float) -> list[Beat]:
        """Return the nodes that take callers, this one among them, in their rank."""
        if not 0.0 <= now - self._ranked_at < RANK_KEEP_S:
            nodes = self.alive(now)
            if self.own is not None:
                nodes.append(self.own)
            self._ranked = serving_nodes(nodes)
            self._ranked_at = now
            # Whoever leads the roll-out of weights needs to know what waits where.
            others = (
                beat.name for beat in nodes if beat.rate_s > BUSY_RATE_S or beat.fence
            )
            self._serving = frozenset([*(b.name for b in self._ranked), *others])
        return self._ranked

    def set_own(self, beat: Beat) -> None:
        """Take what this node tells of itself."""
        if self.own is None or _standing(self.own) != _standing(beat):
            self._ranked_at = float("-inf")
        self.own = beat

    def serves(self, name: str, now: float) -> bool:
        """Tell whether a node takes callers, or still gets requests of some."""
        self.ranked(now)
        return name in self._serving

    def sharers(self, now: float) -> int:
        """Return how many nodes send requests to servers, this one among them."""
        self.ranked(now)
        return len(self._serving | {self.me})

    def place(self, now: float) -> int:
        """Return this node's place in the rank; after the last when it has none."""
        names = [node.name for node in self.ranked(now) if node.ready]
        return names.index(self.me) if self.me in names else len(names)

    def sweep(self, now: float) -> None:
        """Stop counting what silent peers had in flight; forget the long silent."""
        for name, peer in list(self.peers.items()):
            age_s = now - peer.heard_at
            limit_s = _silent_after_s(peer.beat)
            if age_s > limit_s and peer.loads:
                self._count(peer.loads.values(), -1)
                peer.loads = {}
                peer.news = {}
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


def _silent_after_s(beat: Beat) -> float:
    """Return how long a peer may be silent after a beat."""
    return max(PEER_SILENT_S, PEER_SILENT_BEATS * beat.again_s)


def _standing(beat: Beat) -> tuple[int, bool, bool]:
    return (beat.incarnation, beat.ready, beat.leaving)
