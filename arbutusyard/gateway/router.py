"""Find a server for a request and remember what is under way there."""

from dataclasses import dataclass
from hashlib import blake2b

from arbutusyard.fleet.knowledge import Knowledge
from arbutusyard.fleet.messages import EngineNote, ServerLoad
from arbutusyard.fleet.peers import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.gateway.models import Account, CallerRequest
from arbutusyard.routing.chain import rank
from arbutusyard.routing.index import PrefixIndex
from arbutusyard.routing.placement import ServerView, Work, choose, expected_s

# Parts below this size are not worth a server of their own.
HOME_PART_TOKENS = 512


@dataclass(slots=True)
class Placement:
    """Hold the choice of a server for one try of a request."""

    server: Server
    weights_version: int | None
    cache_salt: str
    pieces: tuple[bytes, ...]
    cached_tokens: int
    to_read: int
    expected_s: float


class PlacementRouter:
    """Choose servers by their load, their kept parts and their weights."""

    __slots__ = ("_domain", "_index", "_knowledge", "_peers")

    def __init__(
        self, knowledge: Knowledge, peers: PeerTable, failure_domain: str
    ) -> None:
        self._knowledge = knowledge
        self._peers = peers
        self._domain = failure_domain
        self._index = PrefixIndex()

    def place(
        self,
        req: CallerRequest,
        account: Account | None,
        service: str,
        avoid: set[str],
        now: float,
    ) -> Placement | None:
        """Return the best usable server; None when there is none."""
        servers = [
            server
            for server in self._knowledge.servers.of_service(service)
            if server.usable(now) and server.entry.server_id not in avoid
        ]
        if not servers:
            return None
        if not req.model:
            return self._place_plain(servers, now)
        return self._place_prompt(req, account, servers, now)

    def _place_plain(self, servers: list[Server], now: float) -> Placement:
        work = Work(self._domain)
        views = {s.entry.server_id: self._view(s, now) for s in servers}
        best = choose(work, list(views.values()))
        server = self._knowledge.servers.servers[best.server_id]
        return Placement(server, None, "", (), 0, 0, expected_s(work, best))

    def _place_prompt(
        self,
        req: CallerRequest,
        account: Account | None,
        servers: list[Server],
        now: float,
    ) -> Placement:
        group = account.name if account is not None and account.isolated else ""
        target = self._knowledge.target(req.model)
        depths: dict[str, dict[str, int]] = {}
        chains: dict[str, tuple[bytes, ...]] = {}
        shared = sum(part.tokens for part in req.parts[:-1])
        work = Work(self._domain, max(1, req.prompt_tokens), shared)
        home = ""
        if req.parts and req.parts[0].tokens >= HOME_PART_TOKENS:
            names = [server.entry.server_id for server in servers]
            home = rank(f"{group}/{req.parts[0].part_id}".encode(), names)[0]
        views = []
        for server in servers:
            version = server.weights.get(req.model, 0)
            salt = cache_salt(group, req.model, version)
            if salt not in depths:
                chains[salt] = piece_chain(req, salt)
                depths[salt] = self._index.match(chains[salt], now)
            server_id = server.entry.server_id
            depth = depths[salt].get(server_id, 0)
            cached = sum(part.tokens for part in req.parts[:depth])
            views.append(
                self._view(server, now, cached, server_id == home, version < target)
            )
        best = choose(work, views)
        server = self._knowledge.servers.servers[best.server_id]
        version = server.weights.get(req.model, 0)
        salt = cache_salt(group, req.model, version)
        return Placement(
            server,
            version,
            salt,
            chains[salt],
            best.cached_tokens,
            max(0, work.prompt_tokens - best.cached_tokens),
            expected_s(work, best),
        )

    def _view(
        self,
        server: Server,
        now: float,
        cached: int = 0,
        home: bool = False,
        old_weights: bool = False,
    ) -> ServerView:
        in_flight, prompt_tokens = self._peers.load(server.entry.server_id)
        return ServerView(
            server.entry.server_id,
            server.entry.failure_domain,
            server.entry.slots,
            in_flight + server.in_flight,
            prompt_tokens + server.prompt_tokens,
            cached,
            home,
            server.failures(now),
            old_weights,
        )

    def started(self, placement: Placement, now: float) -> None:
        """Count a try as under way."""
        server = placement.server
        server.in_flight += 1
        server.prompt_tokens += placement.to_read
        if placement.pieces:
            server_id = server.entry.server_id
            incarnation = f"{server.entry.born_ms}.{placement.weights_version}"
            if self._index.incarnation(server_id) != incarnation:
                self._index.set_incarnation(server_id, incarnation)
            self._index.learn(server_id, incarnation, placement.pieces, now)

    def prompt_read(self, placement: Placement) -> None:
        """Stop counting a try's prompt as waiting to be read."""
        placement.server.prompt_tokens -= placement.to_read
        placement.to_read = 0

    def ended(self, placement: Placement) -> None:
        """Stop counting a try."""
        self.prompt_read(placement)
        placement.server.in_flight -= 1

    def not_run(self, placement: Placement) -> None:
        """Forget the parts that a try would have left at its server."""
        server_id = placement.server.entry.server_id
        self._index.unlearn(server_id, placement.pieces)

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this node has in flight, for the other nodes."""
        return tuple(
            ServerLoad(server.entry.server_id, server.in_flight, server.prompt_tokens)
            for server in self._knowledge.servers.servers.values()
            if server.in_flight
        )

    def take_notes(self, notes: tuple[EngineNote, ...], now: float) -> None:
        """Take over what another node says of servers' weights."""
        for note in notes:
            server = self._knowledge.servers.get(note.server_id)
            if server is None:
                continue
            if note.loading_s > 0:
                server.loading_until = now + note.loading_s
            elif note.version >= server.weights.get(note.model, 0):
                server.weights[note.model] = note.version
                server.loading_until = 0.0


def cache_salt(group: str, model: str, version: int) -> str:
    """Return the salt under which only the same accounts and weights share parts."""
    text = f"{len(group)}:{group}{len(model)}:{model}{version}"
    return blake2b(text.encode(), digest_size=12).hexdigest()


def piece_chain(req: CallerRequest, salt: str) -> tuple[bytes, ...]:
    """Return a key for each part of a prompt that covers all parts before it."""
    keys = []
    previous = salt.encode()
    for part in req.parts:
        digest = blake2b(part.part_id.encode(), key=previous[:64], digest_size=12)
        previous = digest.digest()
        keys.append(previous)
    return tuple(keys)
