"""Find a server for a request and remember what is under way there."""

import random
from collections import deque
from collections.abc import Callable
from hashlib import blake2b

from msgspec import Struct

from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.const import UPDATE_HEARTBEATS
from arbutusyard.fleet.messages import EngineStatus, SegmentUpdate, ServerLoad
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import Account, CallerRequest, EngineTraits
from arbutusyard.routing.chain import rank
from arbutusyard.routing.placement import (
    LARGE_TOKENS,
    SPREAD_S,
    ServerView,
    Work,
    choose,
    expected_s,
    reserved_engines,
)
from arbutusyard.routing.segments import (
    Fetch,
    SegmentMap,
    Source,
    best_fetch,
    least_fetch,
    segment_key,
)
from arbutusyard.routing.speed import PrefillSpeed

# Parts below this size, in tokens, are not worth a server of their own, nor news.
AFFINITY_SEGMENT_TOKENS = 512
# Datagrams carry so many notes on parts at most.
SEGMENT_UPDATES_MAX = 64
# A server that works answers something within so long, besides the time in which
# it may be reading the prompts that wait there, estimated with room to spare.
QUIET_S = 0.7
QUIET_READ_FACTOR = 2.0
QUIET_MAX_S = 1.5
# Another node's word that a server is silent is not checked so soon after this node
# heard of the server: a word that was just found, and one that is repeated.
JUST_FOUND_KEEP_S = 0.3
WORD_KEEP_S = 4.0
# By the users' page requests that begin on replaced weights by 1.5 s are worth as much;
# they begin a while after they are sent.
OUTDATED_WEIGHTS_FREE_S = 1.2


class Prompt(Struct):
    """Hold what routing needs of a prompt under one version of the weights."""

    salt: str
    segment_keys: tuple[bytes, ...]
    sent: dict[str, int]
    engines: dict[str, int]
    stores: dict[str, int]


class Placement(Struct):
    """Hold the choice of a server for one try of a request."""

    server: Server
    expected_s: float
    weights_version: int | None = None
    prompt: Prompt | None = None
    cached_tokens: int = 0
    prefill_tokens: int = 0
    fetch: Fetch | None = None
    save_to: str = ""
    shared_segment_keys: tuple[bytes, ...] = ()
    broadcast: bool = False
    tokens_ahead: int = 0
    sent_at: float = 0.0
    started: bool = False

    @property
    def cache_salt(self) -> str:
        """Return the salt under which the server looks for kept parts."""
        return self.prompt.salt if self.prompt is not None else ""


class PlacementRouter:
    """Choose servers by their load, their kept parts and their weights."""

    __slots__ = (
        "_domain",
        "_fleet_state",
        "_segment_updates",
        "_peers",
        "_weights_margin_s",
        "_rng",
        "_speeds",
        "has_connection",
        "on_check",
        "on_weights_mismatch",
        "on_leaving",
        "on_load",
        "on_replaced",
        "on_unresponsive",
        "segments",
    )

    def __init__(
        self,
        fleet_state: FleetState,
        peers: PeerTable,
        failure_domain: str,
        weights_margin_s: float,
    ) -> None:
        self._fleet_state = fleet_state
        self._peers = peers
        self._domain = failure_domain
        self._weights_margin_s = weights_margin_s
        self._segment_updates: deque[list] = deque(maxlen=SEGMENT_UPDATES_MAX)
        self.segments = SegmentMap()
        self._speeds: dict[str, PrefillSpeed] = {}
        self._rng = random.Random(peers.me)
        self.has_connection: Callable[[Server, float], bool] = lambda server, now: True
        self.on_load: Callable[[ServerLoad, SegmentUpdate | None], None] = (
            lambda load, segments: None
        )
        self.on_leaving: Callable[[tuple[str, int]], None] = lambda incarnation: None
        self.on_check: Callable[[Server], None] = lambda server: None
        self.on_weights_mismatch: Callable[[Server], None] = lambda server: None
        self.on_replaced: Callable[[str], None] = lambda server_id: None
        self.on_unresponsive: Callable[[str], None] = lambda server_id: None

    def place(
        self,
        req: CallerRequest,
        account: Account | None,
        service: str,
        objective_s: float,
        avoid: set[str],
        now: float,
    ) -> Placement | None:
        """Return the best usable server; None when there is none."""
        servers = [
            server
            for server in self._fleet_state.servers.of_service(service)
            if server.usable(now) and server.entry.server_id not in avoid
        ]
        if req.model:
            servers = self._with_allowed_weights(servers, req.model, now)
        if not servers:
            return None
        if not req.model:
            return self._place_plain(servers, now)
        return self._place_prompt(req, account, service, objective_s, servers, now)

    def _with_allowed_weights(
        self, servers: list[Server], model: str, now: float
    ) -> list[Server]:
        """Leave out servers whose weights were replaced too long ago."""
        oldest: int | None = None
        for version in sorted({server.weights.get(model, 0) for server in servers}):
            age_s = self._fleet_state.superseded_s(model, version, now)
            if age_s is not None and age_s <= self._weights_margin_s:
                oldest = version
                break
        if oldest is None:
            # A node that just started can't know whether the old ones are overdue.
            return [
                server
                for server in servers
                if self._fleet_state.superseded_s(
                    model, server.weights.get(model, 0), now
                )
                is None
            ]
        # What is newer was replaced later, also where that moment is not known.
        return [s for s in servers if s.weights.get(model, 0) >= oldest]

    def _superseded(self, model: str, version: int, now: float) -> bool:
        """Tell whether answers of a version are already worth less."""
        age_s = self._fleet_state.superseded_s(model, version, now)
        return age_s is None or age_s > OUTDATED_WEIGHTS_FREE_S

    def _place_plain(self, servers: list[Server], now: float) -> Placement:
        work = Work(self._domain)
        views = {s.entry.server_id: self._view(s, now) for s in servers}
        best = choose(work, list(views.values()))
        server = self._fleet_state.servers.servers[best.server_id]
        return Placement(server, expected_s(work, best))

    def _place_prompt(
        self,
        req: CallerRequest,
        account: Account | None,
        service: str,
        objective_s: float,
        servers: list[Server],
        now: float,
    ) -> Placement:
        group = account.name if account is not None and account.isolated else ""
        newest = max(server.weights.get(req.model, 0) for server in servers)
        fresh = [
            server.entry.server_id
            for server in servers
            if server.weights.get(req.model, 0) == newest
        ]
        affinity_target = _affinity_target(req, group, fresh)
        reserved = reserved_engines(fresh)
        shared = sum(segment.tokens for segment in req.segments[:-1])
        work = Work(self._domain, max(1, req.prompt_tokens), shared, objective_s)
        prompts: dict[int, Prompt] = {}
        fetches: dict[str, Fetch | None] = {}
        views = []
        for server in servers:
            version = server.weights.get(req.model, 0)
            if version not in prompts:
                prompts[version] = self._prompt(req, group, version, now)
            prompt = prompts[version]
            server_id = server.entry.server_id
            cached = self._tokens(req, prompt.sent.get(server_id, 0))
            fetch = self._fetch(req, service, server, prompt, cached)
            fetches[server_id] = fetch
            views.append(
                self._view(
                    server,
                    now,
                    cached_tokens=cached,
                    fetch=fetch,
                    known_tokens=self._tokens(
                        req, max(prompt.sent.values(), default=0)
                    ),
                    affinity_target=server_id == affinity_target,
                    reserved=server_id in reserved,
                    outdated_weights=version < newest
                    and self._superseded(req.model, version, now),
                )
            )
        best = choose(work, views)
        server = self._fleet_state.servers.servers[best.server_id]
        version = server.weights.get(req.model, 0)
        prompt = prompts[version]
        fetch = fetches[best.server_id]
        ready = best.cached_tokens + (fetch.tokens if fetch else 0)
        if fetch is None:
            # The server may have dropped what it is believed to hold.
            fetch = self._fetch(req, service, server, prompt, 0)
        placement = Placement(
            server,
            expected_s(work, best),
            version,
            prompt,
            best.cached_tokens,
            max(0, work.prompt_tokens - ready),
            fetch,
        )
        if shared >= self._least_fetch(service):
            placement.shared_segment_keys = prompt.segment_keys[:-1]
            placement.broadcast = shared >= self._least_broadcast_tokens()
            placement.save_to = self._save_to(prompt)
        return placement

    def _prompt(
        self, req: CallerRequest, group: str, version: int, now: float
    ) -> Prompt:
        salt = cache_salt(group, req.model, version)
        keys = segment_keys(req, salt)
        return Prompt(
            salt,
            keys,
            self.segments.sent_to_engines(keys, now),
            self.segments.cached_by_engines(keys, now),
            self.segments.cached_by_stores(keys, now),
        )

    @staticmethod
    def _tokens(req: CallerRequest, count: int) -> int:
        return sum(segment.tokens for segment in req.segments[:count])

    def _fetch(
        self,
        req: CallerRequest,
        service: str,
        server: Server,
        prompt: Prompt,
        cached: int,
    ) -> Fetch | None:
        """Return from where a server should fetch parts that it does not hold."""
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(service) if catalog else None
        if known is None or known.engine is None:
            return None
        sources = [
            (source, self._tokens(req, depth))
            for source, depth in self._sources(catalog, known.engine, prompt)
            if source.name != server.entry.server_id
        ]
        domain = server.entry.failure_domain
        return best_fetch(sources, cached, known.engine.token_bytes, domain)

    def _least_broadcast_tokens(self) -> int:
        """Return from how many tokens on other nodes are told of shared parts.

        In a large fleet a datagram to each serving node costs more than a fetch from a
        cache store, and all hear of its parts anyway.
        """
        return LARGE_TOKENS if self._peers.large() else AFFINITY_SEGMENT_TOKENS

    def _least_fetch(self, service: str) -> float:
        """Return from how many tokens on shared parts are worth keeping track of."""
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(service) if catalog else None
        if known is None or known.engine is None:
            return AFFINITY_SEGMENT_TOKENS
        return least_fetch(known.engine.token_bytes, known.engine.link_mbps)

    def _sources(
        self, catalog: Catalog, engine: EngineTraits, prompt: Prompt
    ) -> list[tuple[Source, int]]:
        found = []
        for server_id, depth in prompt.engines.items():
            server = self._fleet_state.servers.get(server_id)
            if server is not None and not server.dead and not server.suspected:
                entry = server.entry
                source = Source(
                    server_id, entry.address, entry.failure_domain, engine.link_mbps
                )
                found.append((source, depth))
        for store in catalog.cfg.cache_stores:
            if depth := prompt.stores.get(store.address, 0):
                source = Source(
                    store.address, store.address, store.failure_domain, store.link_mbps
                )
                found.append((source, depth))
        return found

    def _save_to(self, prompt: Prompt) -> str:
        """Return the cache store that lacks the shared parts of a prompt."""
        if max(prompt.stores.values(), default=0) >= len(prompt.segment_keys) - 1:
            return ""
        living = [
            store.address
            for store in self._fleet_state.catalog.cfg.cache_stores
            if self.segments.store_epoch(store.address)
        ]
        return rank(prompt.segment_keys[0], living)[0] if living else ""

    def _view(
        self,
        server: Server,
        now: float,
        cached_tokens: int = 0,
        fetch: Fetch | None = None,
        affinity_target: bool = False,
        reserved: bool = False,
        known_tokens: int = 0,
        outdated_weights: bool = False,
    ) -> ServerView:
        in_flight, prompt_tokens = self._peers.load(server.entry.server_id)
        return ServerView(
            server.entry.server_id,
            server.entry.failure_domain,
            server.entry.slots,
            in_flight + server.in_flight,
            prompt_tokens + server.prompt_tokens,
            cached_tokens,
            affinity_target,
            server.failures(now),
            outdated_weights,
            fetch.tokens if fetch else 0,
            fetch.expected_s if fetch else 0.0,
            reserved,
            max(0, known_tokens - cached_tokens - (fetch.tokens if fetch else 0)),
            not self.has_connection(server, now),
            self._spread_s(),
            self._tokens_s(server),
        )

    def _tokens_s(self, server: Server) -> float:
        """Return how many prompt tokens a server is expected to read in a second."""
        known = self._speeds.get(server.entry.service)
        return server.speed.tokens_s(known.tokens_s() if known else None)

    def _spread_s(self) -> float:
        """Return a random cost that keeps nodes that see the same from one choice."""
        return self._rng.uniform(0.0, SPREAD_S) if self._peers.large() else 0.0

    def started(self, placement: Placement, now: float) -> None:
        """Count a try as under way."""
        server = placement.server
        _, ahead = self._peers.load(server.entry.server_id)
        placement.tokens_ahead = ahead + server.prompt_tokens
        placement.sent_at = now
        server.count_sent(placement.prefill_tokens, now)
        update = None
        if placement.shared_segment_keys:
            update = self._record_segments(placement, False, now)
        if placement.prefill_tokens > LARGE_TOKENS:
            self.on_load(_load(server), update)

    def _record_segments(
        self, placement: Placement, prefilled: bool, now: float
    ) -> SegmentUpdate | None:
        """Learn which parts a try leaves at its server; return what others are told.

        Of small parts they learn from the cache store that they are saved to.
        """
        server_id = placement.server.entry.server_id
        update = SegmentUpdate(server_id, placement.shared_segment_keys, prefilled)
        self._apply_segment_update(update, now)
        if not placement.broadcast:
            return None
        if not self._peers.large():
            # In a large fleet a part that was read is told once, at once; beats that
            # repeat it would take up the narrow links.
            self._segment_updates.append([update, UPDATE_HEARTBEATS])
        return update

    def _apply_segment_update(self, update: SegmentUpdate, now: float) -> None:
        server = self._fleet_state.servers.get(update.server_id)
        if server is not None:
            started_at_ms = server.entry.started_at_ms
            self.segments.learn_engine(
                update.server_id,
                started_at_ms,
                update.segment_keys,
                update.prefilled,
                now,
            )

    def first_event(self, placement: Placement, now: float) -> None:
        """Take note that a try's prompt was read."""
        if placement.prompt is not None and now >= placement.server.loading_until:
            self._learn_speed(placement, now)
        update = None
        if placement.shared_segment_keys:
            update = self._record_segments(placement, True, now)
        self.prompt_read(placement, update)

    def _learn_speed(self, placement: Placement, now: float) -> None:
        server = placement.server
        tokens = placement.prefill_tokens + placement.tokens_ahead
        took_s = now - placement.sent_at
        server.speed.observe(tokens, took_s)
        service = self._speeds.setdefault(server.entry.service, PrefillSpeed())
        service.observe(tokens, took_s)

    def prompt_read(
        self, placement: Placement, update: SegmentUpdate | None = None
    ) -> None:
        """Stop counting a try's prompt as waiting to be read."""
        large = placement.prefill_tokens > LARGE_TOKENS
        placement.server.prompt_tokens -= placement.prefill_tokens
        placement.prefill_tokens = 0
        if large or update is not None:
            self.on_load(_load(placement.server), update)

    def ended(self, placement: Placement) -> None:
        """Stop counting a try."""
        self.prompt_read(placement)
        placement.server.in_flight -= 1

    def not_run(self, placement: Placement) -> None:
        """Forget the parts that a try would have left at its server."""
        server_id = placement.server.entry.server_id
        self.segments.forget_engine(server_id, placement.shared_segment_keys)

    def quiet(self, server: Server, now: float) -> bool:
        """Tell whether a server with work in hand is silent longer than it should."""
        if now < server.loading_until:
            return False
        limit_s = min(self._longest_quiet_s(server), QUIET_MAX_S)
        return server.since_last_byte_s(now) > limit_s

    def reading(self, server: Server, now: float) -> bool:
        """Tell whether the prompts at a server explain all of its silence."""
        return server.since_last_byte_s(now) <= self._longest_quiet_s(server)

    def _longest_quiet_s(self, server: Server) -> float:
        _, prompt_tokens = self._peers.load(server.entry.server_id)
        tokens = prompt_tokens + server.prompt_tokens
        return QUIET_S + QUIET_READ_FACTOR * tokens / self._tokens_s(server)

    def unresponsive(self) -> tuple[str, ...]:
        """Return the servers that this node itself has found out of reach."""
        servers = self._fleet_state.servers.servers.values()
        return tuple(s.entry.server_id for s in servers if s.suspected and s.first_hand)

    def apply_unresponsive(
        self, server_ids: tuple[str, ...], now: float, just_found: bool = False
    ) -> None:
        """Check servers that another node can't reach.

        The teller may itself be cut off, and repeats its word in each beat: whoever has
        heard of the server since needs no check for a while. A node that stands by
        sends nothing to servers and checks none.
        """
        if not server_ids or self._stands_by(now):
            return
        keep_s = JUST_FOUND_KEEP_S if just_found else WORD_KEEP_S
        for server_id in server_ids:
            server = self._fleet_state.servers.get(server_id)
            if server is None or server.suspected:
                continue
            if now - max(server.last_byte_at, server.reached_at) > keep_s:
                server.suspect(now, first_hand=False)
                self.on_check(server)

    def _stands_by(self, now: float) -> bool:
        return self._peers.large() and not self._peers.serves(self._peers.me, now)

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this node has in flight, for the other nodes."""
        return tuple(
            _load(server)
            for server in self._fleet_state.servers.servers.values()
            if server.in_flight
        )

    def segment_updates(self) -> tuple[SegmentUpdate, ...]:
        """Return the newest notes on parts, each for a few datagrams."""
        updates = tuple(item[0] for item in self._segment_updates)
        for item in self._segment_updates:
            item[1] -= 1
        while self._segment_updates and self._segment_updates[0][1] <= 0:
            self._segment_updates.popleft()
        return updates

    def apply_segment_updates(
        self, updates: tuple[SegmentUpdate, ...], now: float
    ) -> None:
        """Take over which parts other nodes have sent where."""
        for update in updates:
            self._apply_segment_update(update, now)

    def apply_engine_statuses(
        self, statuses: tuple[EngineStatus, ...], now: float
    ) -> None:
        """Take over what another node says of servers' weights."""
        for status in statuses:
            server = self._fleet_state.servers.get(status.server_id)
            if server is None:
                continue
            if status.loading_s:
                server.loading_until = now + status.loading_s
            elif status.version >= (known := server.weights.get(status.model, 0)):
                server.weights[status.model] = status.version
                if status.version > known:
                    server.mismatch_until = 0.0
                if status.loading_s is not None:
                    server.loading_until = 0.0


def _load(server: Server) -> ServerLoad:
    return ServerLoad(server.entry.server_id, server.in_flight, server.prompt_tokens)


def _affinity_target(req: CallerRequest, group: str, server_ids: list[str]) -> str:
    """Return the server that every node would send this shared part to first."""
    if len(req.segments) < 2 or req.segments[0].tokens < AFFINITY_SEGMENT_TOKENS:
        return ""
    return rank(f"{group}/{req.segments[0].segment_id}".encode(), server_ids)[0]


def cache_salt(group: str, model: str, version: int) -> str:
    """Return the salt under which only the same accounts and weights share parts."""
    text = f"{len(group)}:{group}{len(model)}:{model}{version}"
    return blake2b(text.encode(), digest_size=12).hexdigest()


def segment_keys(req: CallerRequest, salt: str) -> tuple[bytes, ...]:
    """Return a key for each part of a prompt under a salt."""
    return tuple(segment_key(salt, segment.segment_id) for segment in req.segments)
