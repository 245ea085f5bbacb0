"""Choose a backend server for each request and track what is in flight there."""

import random
from collections import Counter, deque
from collections.abc import Callable

from msgspec import Struct

from arbutusyard import clock
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.const import UPDATE_HEARTBEATS
from arbutusyard.fleet.messages import (
    EngineStatus,
    SegmentUpdate,
    ServerLimitReport,
    ServerLoad,
)
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.cache_groups import cache_groups
from arbutusyard.gateway.const import LAST_SERVER_FRACTION
from arbutusyard.gateway.models import Account, CallerRequest, EngineTraits
from arbutusyard.gateway.outdated_weights import OutdatedWeights
from arbutusyard.gateway.prompts import (
    AFFINITY_SEGMENT_TOKENS,
    Prompt,
    affinity_target,
    cache_salt,
    leading_tokens,
    segment_keys,
)
from arbutusyard.limits.const import LIMIT_GRACE_S
from arbutusyard.limits.server_limits import ServerLimits
from arbutusyard.routing.chain import rank
from arbutusyard.routing.placement import (
    LARGE_TOKENS,
    RANDOM_COST_MAX_S,
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
    min_fetch_tokens,
)
from arbutusyard.routing.speed import PrefillSpeed

# Weight of the newest prompt in the average size of a service's prompts, from 0 to 1.
PROMPT_WEIGHT = 0.02
# Segment updates in one heartbeat.
SEGMENT_UPDATES_MAX = 64
# Time without a byte after which a server with requests in flight is unresponsive, in
# seconds; the estimated prefill time of the prompts that wait there, multiplied by the
# factor for safety, is added.
UNRESPONSIVE_AFTER_S = 0.7
PREFILL_TIME_FACTOR = 2.0
# Time without a byte after which a server is checked even if prefill may explain it, in
# seconds.
UNRESPONSIVE_AFTER_MAX_S = 1.5
# Time after this node's own last contact with a server within which peer reports that
# the server is unreachable are ignored, in seconds, for first and repeated reports.
FIRST_REPORT_GRACE_S = 0.3
REPEATED_REPORT_GRACE_S = 4.0
# Time after weights were superseded in which requests may be sent to them at no cost,
# in seconds. By the platform's specification requests that begin up to 1.5 s after it
# count in full, and they begin some time after they are sent.
OUTDATED_WEIGHTS_GRACE_S = 1.2


class Placement(Struct):
    """Hold the server chosen for one attempt at a request, and why."""

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
    # Other nodes learn of the request at once, whatever is left to prefill.
    announced: bool = False
    tokens_ahead: int = 0
    # Seconds since newer weights were the target; 0 if none are, None if not known.
    superseded_s: float | None = 0.0
    sent_at: float = 0.0
    first_event_at: float | None = None
    # This node ended the attempt, which says nothing about the server.
    given_up: bool = False

    @property
    def cache_salt(self) -> str:
        """Return the salt under which the server looks for cached segments."""
        return self.prompt.salt if self.prompt is not None else ""


class PlacementRouter:
    """Choose servers by their load, their cached segments and their weights."""

    __slots__ = (
        "_domain",
        "_fleet_state",
        "_mean_prompt_tokens",
        "_segment_updates",
        "_peers",
        "_rng",
        "_service_speeds",
        "choose",
        "has_connection",
        "has_room",
        "is_listed",
        "limits",
        "on_check",
        "on_weights_mismatch",
        "on_leaving",
        "on_limit",
        "on_load",
        "on_replaced",
        "on_unreachable",
        "outdated",
        "segments",
        "slow_s",
    )

    def __init__(
        self,
        fleet_state: FleetState,
        peers: PeerTable,
        failure_domain: str,
        superseded_max_s: float,
        limit_grace_s: float = LIMIT_GRACE_S,
    ) -> None:
        self._fleet_state = fleet_state
        self._peers = peers
        self._domain = failure_domain
        self.outdated = OutdatedWeights(fleet_state, superseded_max_s, clock.now())
        self._segment_updates: deque[list] = deque(maxlen=SEGMENT_UPDATES_MAX)
        self._mean_prompt_tokens: dict[str, float] = {}
        self.limits = ServerLimits(peers.me, limit_grace_s)
        self.segments = SegmentMap()
        self._service_speeds: dict[str, PrefillSpeed] = {}
        self._rng = random.Random(peers.me)
        self.is_listed: Callable[[str, str], bool] = lambda service, version: True
        self.has_connection: Callable[[Server, float], bool] = lambda server, now: True
        self.choose: Callable[[Work, list[ServerView]], ServerView] = choose
        self.has_room: Callable[[ServerView, Work, float], bool] | None = None
        # How many seconds later a server responds to such a number of tokens.
        self.slow_s: Callable[[Server, int, float], float] = lambda server, n, now: 0.0
        self.on_load: Callable[[ServerLoad, SegmentUpdate | None], None] = (
            lambda load, segments: None
        )
        self.on_leaving: Callable[[tuple[str, int]], None] = lambda incarnation: None
        self.on_limit: Callable[[ServerLimitReport], None] = lambda report: None
        self.on_check: Callable[[Server], None] = lambda server: None
        self.on_weights_mismatch: Callable[[Server], None] = lambda server: None
        self.on_replaced: Callable[[str], None] = lambda server_id: None
        self.on_unreachable: Callable[[str], None] = lambda server_id: None

    def place(
        self,
        req: CallerRequest,
        account: Account | None,
        service: str,
        objective_s: float,
        excluded: set[str],
        now: float,
        suspect_key: bytes = b"",
        software_version: str | None = None,
        is_resumable: bool = False,
    ) -> Placement | None:
        """Choose the best usable server; return None when there is none.

        The key of a suspect selects one server, the same on all nodes. A stream that
        has begun goes only to servers of its software version.
        """
        servers = [
            server
            for server in self._fleet_state.servers.of_service(service)
            if self.accepts(server, now) and server.entry.server_id not in excluded
        ]
        servers = self._fleet_state.servers.without_retained(service, servers)
        if req.model:
            servers = self.outdated.without_overdue(
                servers,
                req.model,
                lambda server: self._prefill_wait_s(server, req.prompt_tokens),
                now,
            )
        if software_version is not None:
            servers = [
                s for s in servers if s.entry.software_version == software_version
            ]
        elif is_resumable:
            servers = self._for_new_stream(service, servers)
        if not servers:
            return None
        if suspect_key:
            by_id = {server.entry.server_id: server for server in servers}
            servers = [by_id[rank(suspect_key, by_id)[0]]]
        if not req.model:
            return self._place_plain(servers, now)
        return self._place_prompt(req, account, service, objective_s, servers, now)

    def accepts(self, server: Server, now: float) -> bool:
        """Return whether this node may send a server a request now."""
        return server.usable(now) and self.limits.wait_s(server.incarnation, now) <= 0

    def has_software(self, service: str, version: str | None) -> bool:
        """Return whether a server that stays has a software version; None is any."""
        return version is None or any(
            server.is_staying and server.entry.software_version == version
            for server in self._fleet_state.servers.of_service(service)
        )

    def _for_new_stream(self, service: str, servers: list[Server]) -> list[Server]:
        """Prefer servers at which a new stream may begin while versions differ."""
        versions = self._fleet_state.servers.software_versions(service)
        if len(versions) <= 1 and all(self.is_listed(service, v) for v in versions):
            return servers
        counts = Counter(
            server.entry.software_version
            for server in self._fleet_state.servers.of_service(service)
            if server.is_staying
        )
        listed = [
            server
            for server in servers
            if self.is_listed(service, server.entry.software_version)
        ]
        roomy = [
            server
            for server in listed
            if counts[server.entry.software_version] > 1
            or self._in_flight(server) < LAST_SERVER_FRACTION * server.entry.slots
        ]
        return roomy or listed or servers

    def _in_flight(self, server: Server) -> int:
        return server.in_flight + self._peers.load(server.entry.server_id)[0]

    def usable_in_s(self, service: str, now: float) -> float:
        """Return in how many seconds a server of a service may take a request.

        0 if that is unknown, for example because all servers are draining.
        """
        return self._fleet_state.servers.usable_in_s(
            service, now, lambda incarnation: self.limits.retry_in_s(incarnation, now)
        )

    def retry_after_s(self, service: str, now: float) -> float:
        """Return in how many seconds a refused request should be retried."""
        servers = self._fleet_state.servers.of_service(service)
        usable = (server.incarnation for server in servers if server.usable(now))
        wait_s = self.usable_in_s(service, now)
        return self.limits.spread_retry_s(service, usable, wait_s, now)

    def record_limit(self, server: Server, limit_s: float | None, now: float) -> None:
        """Apply the limit that an answer of a server states, None if it states none."""
        report = self.limits.observe(server.incarnation, limit_s, now)
        if report is not None:
            self.on_limit(report)

    def tick(self, now: float) -> None:
        """Update which nodes share the limits of servers, and forget old limits."""
        self.limits.update_nodes([node.name for node in self._peers.ranked(now)], now)
        self.limits.sweep(self._is_known, now)

    def _is_known(self, incarnation: tuple[str, int]) -> bool:
        server = self._fleet_state.servers.get(incarnation[0])
        return server is not None and server.incarnation == incarnation

    def _is_outdated(self, model: str, version: int, now: float) -> bool:
        """Tell whether requests to a version of the weights no longer count in full."""
        age_s = self._fleet_state.superseded_s(model, version, now)
        return age_s is None or age_s > OUTDATED_WEIGHTS_GRACE_S

    def _choose(
        self, work: Work, views: list[ServerView], now: float
    ) -> ServerView | None:
        """Choose a server that has room; return None if none has."""
        if self.has_room is not None:
            views = [view for view in views if self.has_room(view, work, now)]
        return self.choose(work, views) if views else None

    def _place_plain(self, servers: list[Server], now: float) -> Placement | None:
        work = Work(self._domain)
        views = {s.entry.server_id: self._server_view(s, now) for s in servers}
        best = self._choose(work, list(views.values()), now)
        if best is None:
            return None
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
    ) -> Placement | None:
        groups = cache_groups(self._fleet_state.catalog)
        newest = max(server.weights.get(req.model, 0) for server in servers)
        newest_servers = [s for s in servers if s.weights.get(req.model, 0) == newest]
        newest_ids = [server.entry.server_id for server in newest_servers]
        target_id = affinity_target(req, groups.owner(account), newest_ids)
        # A server with a limit is a candidate only now and then.
        reserved = reserved_engines(
            [s.entry.server_id for s in newest_servers if not self._is_limited(s)]
        )
        shared_tokens = sum(segment.tokens for segment in req.segments[:-1])
        tokens = max(1, req.prompt_tokens)
        work = Work(
            self._domain,
            tokens,
            shared_tokens,
            objective_s,
            self._is_small(service, tokens),
        )
        leading = leading_tokens(req)
        prompts: dict[int, Prompt] = {}
        max_depths: dict[int, int] = {}
        fetches: dict[str, Fetch | None] = {}
        views = []
        for server in servers:
            version = server.weights.get(req.model, 0)
            if version not in prompts:
                group = groups.group(account)
                prompts[version] = self._look_up_prompt(
                    req, service, group, version, now
                )
                max_depths[version] = max(
                    prompts[version].sent_depths.values(), default=0
                )
            prompt = prompts[version]
            server_id = server.entry.server_id
            cached = leading[prompt.sent_depths.get(server_id, 0)]
            fetch = self._find_fetch(service, server, prompt, cached)
            fetches[server_id] = fetch
            views.append(
                self._server_view(
                    server,
                    now,
                    tokens=tokens,
                    cached_tokens=cached,
                    fetch=fetch,
                    max_sent_tokens=leading[max_depths[version]],
                    affinity_target=server_id == target_id,
                    reserved=server_id in reserved,
                    outdated_weights=version < newest
                    and self._is_outdated(req.model, version, now),
                )
            )
        best = self._choose(work, views, now)
        if best is None:
            return None
        server = self._fleet_state.servers.servers[best.server_id]
        version = server.weights.get(req.model, 0)
        prompt = prompts[version]
        fetch = fetches[best.server_id]
        available_tokens = best.cached_tokens + (fetch.tokens if fetch else 0)
        if fetch is None:
            # The server may have evicted the segments that it is believed to cache.
            fetch = self._find_fetch(service, server, prompt, 0)
        placement = Placement(
            server,
            expected_s(work, best),
            version,
            prompt,
            best.cached_tokens,
            max(0, work.prompt_tokens - available_tokens),
            fetch,
            superseded_s=self._fleet_state.superseded_s(req.model, version, now),
        )
        # A cached prompt takes a slot and KV memory too, which admission counts.
        placement.announced = self.has_room is not None and tokens > LARGE_TOKENS
        if shared_tokens >= self._tracking_min_tokens(service):
            placement.shared_segment_keys = prompt.segment_keys[:-1]
            placement.broadcast = shared_tokens >= self._broadcast_min_tokens()
            placement.save_to = self._choose_store(prompt)
        return placement

    def _is_limited(self, server: Server) -> bool:
        return self.limits.limit_s(server.incarnation) is not None

    def _is_small(self, service: str, tokens: int) -> bool:
        """Return whether a prompt is below the recent average of its service."""
        mean = self._mean_prompt_tokens.get(service, float(tokens))
        self._mean_prompt_tokens[service] = mean + PROMPT_WEIGHT * (tokens - mean)
        return tokens < mean

    def _look_up_prompt(
        self, req: CallerRequest, service: str, group: str, version: int, now: float
    ) -> Prompt:
        salt = cache_salt(group, req.model, version)
        keys = segment_keys(req, salt)
        prompt = Prompt(
            salt,
            keys,
            self.segments.sent_to_engines(keys, now),
            self.segments.cached_by_engines(keys, now),
            self.segments.cached_by_stores(keys, now),
            group=group,
        )
        engine = self._engine_traits(service)
        if engine is not None:
            tokens = leading_tokens(req)
            found = self._find_sources(self._fleet_state.catalog, engine, prompt)
            prompt.sources = [(source, tokens[depth]) for source, depth in found]
        return prompt

    def _engine_traits(self, service: str) -> EngineTraits | None:
        catalog = self._fleet_state.catalog
        known = catalog.cfg.services.get(service) if catalog else None
        return known.engine if known is not None else None

    def _find_fetch(
        self, service: str, server: Server, prompt: Prompt, cached: int
    ) -> Fetch | None:
        """Return the best source for segments that a server has not cached."""
        if not prompt.sources:
            return None
        entry = server.entry
        sources = [item for item in prompt.sources if item[0].name != entry.server_id]
        token_bytes = self._engine_traits(service).token_bytes
        return best_fetch(sources, cached, token_bytes, entry.failure_domain)

    def _broadcast_min_tokens(self) -> int:
        """Return the size from which shared segments are broadcast, in tokens.

        In a large fleet a datagram to each serving node costs more than a fetch from a
        cache store, and every node receives the stores' updates anyway.
        """
        return LARGE_TOKENS if self._peers.large() else AFFINITY_SEGMENT_TOKENS

    def _tracking_min_tokens(self, service: str) -> float:
        """Return the size from which shared segments are tracked, in tokens."""
        engine = self._engine_traits(service)
        if engine is None:
            return AFFINITY_SEGMENT_TOKENS
        return min_fetch_tokens(engine.token_bytes, engine.link_mbps)

    def _find_sources(
        self, catalog: Catalog, engine: EngineTraits, prompt: Prompt
    ) -> list[tuple[Source, int]]:
        found = []
        for server_id, depth in prompt.engine_depths.items():
            server = self._fleet_state.servers.get(server_id)
            if server is not None and not server.dead and not server.suspected:
                entry = server.entry
                source = Source(
                    server_id, entry.address, entry.failure_domain, engine.link_mbps
                )
                found.append((source, depth))
        for store in catalog.cfg.cache_stores:
            if depth := prompt.store_depths.get(store.address, 0):
                source = Source(
                    store.address, store.address, store.failure_domain, store.link_mbps
                )
                found.append((source, depth))
        return found

    def _choose_store(self, prompt: Prompt) -> str:
        """Return the address of the store that should save the shared segments.

        Empty when a store holds all of them or none answers.
        """
        if max(prompt.store_depths.values(), default=0) >= len(prompt.segment_keys) - 1:
            return ""
        store_addresses = [
            store.address
            for store in self._fleet_state.catalog.cfg.cache_stores
            if self.segments.store_epoch(store.address)
        ]
        return (
            rank(prompt.segment_keys[0], store_addresses)[0] if store_addresses else ""
        )

    def _server_view(
        self,
        server: Server,
        now: float,
        tokens: int = 0,
        cached_tokens: int = 0,
        fetch: Fetch | None = None,
        affinity_target: bool = False,
        reserved: bool = False,
        max_sent_tokens: int = 0,
        outdated_weights: bool = False,
    ) -> ServerView:
        in_flight, prompt_tokens = self._peers.load(server.entry.server_id)
        work_tokens = 0
        if tokens:
            missing = max(0, tokens - cached_tokens - (fetch.tokens if fetch else 0))
            work_tokens = missing + prompt_tokens + server.prompt_tokens
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
            max(0, max_sent_tokens - cached_tokens - (fetch.tokens if fetch else 0)),
            not self.has_connection(server, now),
            self._random_cost_s(),
            self._prefill_tokens_s(server),
            self._is_limited(server),
            self.slow_s(server, work_tokens, now),
        )

    def _prefill_tokens_s(self, server: Server) -> float:
        """Return the expected prefill speed of a server, in tokens per second."""
        known = self._service_speeds.get(server.entry.service)
        return server.speed.tokens_s(known.tokens_s() if known else None)

    def _random_cost_s(self) -> float:
        """Return a random cost, so that nodes with equal state choose differently."""
        return self._rng.uniform(0.0, RANDOM_COST_MAX_S) if self._peers.large() else 0.0

    def begin_attempt(self, placement: Placement, now: float) -> None:
        """Count an attempt as in flight."""
        server = placement.server
        _, ahead = self._peers.load(server.entry.server_id)
        placement.tokens_ahead = ahead + server.prompt_tokens
        placement.sent_at = now
        server.count_sent(placement.prefill_tokens, now)
        self.limits.count_sent(server.incarnation, now)
        update = None
        if placement.shared_segment_keys:
            update = self._record_segments(placement, False, now)
        if placement.prefill_tokens > LARGE_TOKENS or placement.announced:
            self.on_load(server.load(), update)

    def _record_segments(
        self, placement: Placement, prefilled: bool, now: float
    ) -> SegmentUpdate | None:
        """Record the segments that an attempt caches at its server.

        Return the update for the other nodes, None if there is none: they learn of
        small segments from the cache store to which these are saved.
        """
        server_id = placement.server.entry.server_id
        update = SegmentUpdate(server_id, placement.shared_segment_keys, prefilled)
        self._apply_segment_update(update, now)
        if not placement.broadcast:
            return None
        if not self._peers.large():
            # In a large fleet an update is only broadcast once, at once; repeating it
            # in heartbeats would fill the narrow links.
            self._segment_updates.append([update, UPDATE_HEARTBEATS])
        return update

    def _apply_segment_update(self, update: SegmentUpdate, now: float) -> None:
        server = self._fleet_state.servers.get(update.server_id)
        if server is not None:
            started_at_ms = server.entry.started_at_ms
            self.segments.record_engine_segments(
                update.server_id,
                started_at_ms,
                update.segment_keys,
                update.prefilled,
                now,
            )

    def record_first_event(self, placement: Placement, now: float) -> None:
        """Record that the prompt of an attempt was prefilled."""
        if placement.prompt is not None and now >= placement.server.loading_until:
            self._record_prefill_speed(placement, now)
        update = None
        if placement.shared_segment_keys:
            update = self._record_segments(placement, True, now)
        self.finish_prefill(placement, update)

    def _record_prefill_speed(self, placement: Placement, now: float) -> None:
        server = placement.server
        tokens = placement.prefill_tokens + placement.tokens_ahead
        took_s = now - placement.sent_at
        server.speed.observe(tokens, took_s)
        service = self._service_speeds.setdefault(server.entry.service, PrefillSpeed())
        service.observe(tokens, took_s)

    def finish_prefill(
        self, placement: Placement, update: SegmentUpdate | None = None
    ) -> None:
        """Stop counting the prompt of an attempt as waiting for prefill."""
        large = placement.prefill_tokens > LARGE_TOKENS
        placement.server.prompt_tokens -= placement.prefill_tokens
        placement.prefill_tokens = 0
        if large or update is not None:
            self.on_load(placement.server.load(), update)

    def end_attempt(self, placement: Placement) -> None:
        """Stop counting an attempt as in flight."""
        placement.server.in_flight -= 1
        self.finish_prefill(placement)

    def forget_segments(self, placement: Placement) -> None:
        """Forget the segments of an attempt that its server did not execute."""
        server_id = placement.server.entry.server_id
        self.segments.remove_sent_segments(server_id, placement.shared_segment_keys)

    def is_unresponsive(self, server: Server, now: float) -> bool:
        """Tell whether a server with requests in flight is unresponsive."""
        if now < server.loading_until:
            return False
        limit_s = min(self._response_limit_s(server), UNRESPONSIVE_AFTER_MAX_S)
        return server.since_last_byte_s(now) > limit_s

    def may_be_prefilling(self, server: Server, now: float) -> bool:
        """Tell whether prefill may explain the time since a server's last byte."""
        return server.since_last_byte_s(now) <= self._response_limit_s(server)

    def _response_limit_s(self, server: Server) -> float:
        return UNRESPONSIVE_AFTER_S + self._prefill_wait_s(server, 0)

    def _prefill_wait_s(self, server: Server, tokens: int) -> float:
        """Return how long the waiting prompts and further tokens may take."""
        _, peer_tokens = self._peers.load(server.entry.server_id)
        tokens += peer_tokens + server.prompt_tokens
        return PREFILL_TIME_FACTOR * tokens / self._prefill_tokens_s(server)

    def unreachable(self) -> tuple[str, ...]:
        """Return the servers that are unreachable by first-hand observation."""
        servers = self._fleet_state.servers.servers.values()
        return tuple(s.entry.server_id for s in servers if s.suspected and s.first_hand)

    def apply_unreachable(
        self, server_ids: tuple[str, ...], now: float, first_report: bool = False
    ) -> None:
        """Check servers that another node reports as unreachable.

        The reporting node may itself be cut off, and it repeats its report in each
        heartbeat, so a node that had contact with the server recently skips the check.
        A standby node sends nothing to servers and checks none.
        """
        if not server_ids or self._on_standby(now):
            return
        grace_s = FIRST_REPORT_GRACE_S if first_report else REPEATED_REPORT_GRACE_S
        for server_id in server_ids:
            server = self._fleet_state.servers.get(server_id)
            if server is None or server.suspected:
                continue
            if now - max(server.last_byte_at, server.reached_at) > grace_s:
                server.suspect(now, first_hand=False)
                server.restart_suspected_at = now
                self.on_check(server)

    def _on_standby(self, now: float) -> bool:
        return self._peers.large() and not self._peers.serves(self._peers.me, now)

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return this node's load on each server, for the other nodes."""
        return tuple(
            server.load()
            for server in self._fleet_state.servers.servers.values()
            if server.in_flight or server.refusals
        )

    def segment_updates(self) -> tuple[SegmentUpdate, ...]:
        """Return the pending segment updates, each for a few heartbeats."""
        updates = tuple(item[0] for item in self._segment_updates)
        for item in self._segment_updates:
            item[1] -= 1
        while self._segment_updates and self._segment_updates[0][1] <= 0:
            self._segment_updates.popleft()
        return updates

    def apply_segment_updates(
        self, updates: tuple[SegmentUpdate, ...], now: float
    ) -> None:
        """Apply the updates of other nodes on segments at servers."""
        for update in updates:
            self._apply_segment_update(update, now)

    def apply_engine_statuses(
        self, statuses: tuple[EngineStatus, ...], now: float
    ) -> None:
        """Apply another node's statuses of engines and their weights."""
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
