"""Track the backend servers by incarnation, and which of them may take requests."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b

from msgspec import Struct, field
from msgspec.structs import replace

from arbutusyard.fleet.const import (
    FACTS_MAX,
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    LEAVING_REPORT_S,
    OUTAGE_GRACE_S,
    REMOVED_INCARNATION_RETENTION_S,
    REMOVED_INCARNATIONS_MAX,
    REMOVED_REPORT_S,
    REMOVED_REPORTS_MAX,
    SATURATED_PAUSE_MAX_S,
    SUSPECT_BACKOFF_FIRST_S,
    SUSPECT_BACKOFF_MAX_S,
)
from arbutusyard.fleet.messages import RemovedServer, ServerLoad
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.http1.pacing import PieceBudget, peer_budget
from arbutusyard.routing.speed import PrefillSpeed

_LOGGER = logging.getLogger(__name__)


class ServerFacts(Struct):
    """Hold what stays true of an incarnation while its entry vanishes and returns."""

    # It announced that it drains, or its entry said so.
    leaving: bool = False
    # A later incarnation has its id, or another server has its address.
    superseded: bool = False
    paused_until: float = 0.0


class Removal(Struct, frozen=True):
    """Hold by which version of the store an incarnation's entry was gone."""

    version: tuple[int, int]
    at: float
    # This node itself has read it.
    first_hand: bool


class Server(Struct):
    """Hold what a node knows about one incarnation of a backend server."""

    entry: ServerEntry
    weights: dict[str, int] = field(default_factory=dict)
    in_flight: int = 0
    prompt_tokens: int = 0
    # Tokens that this node's requests hold in the server's KV memory, and requests that
    # the server has just refused because it was full; counted by admission under load.
    held_tokens: int = 0
    refusals: int = 0
    busy_since: float = 0.0
    last_byte_at: float = 0.0
    reached_at: float = float("-inf")
    # When a connection for requests was last opened.
    connected_at: float = float("-inf")
    suspected: bool = False
    first_hand: bool = True
    # When this node itself began to find the server unreachable.
    unreachable_since: float = float("-inf")
    suspect_until: float = 0.0
    suspect_s: float = 0.0
    # When something last hinted at a restart under the same id, and when a check that
    # ruled it out was sent.
    restart_suspected_at: float = float("-inf")
    verified_at: float = float("-inf")
    # Time before which the server is not asked again when it started.
    verify_after: float = float("-inf")
    failure_rate: float = 0.0
    failure_at: float = 0.0
    loading_until: float = 0.0
    mismatch_until: float = 0.0
    reported_leaving_until: float = 0.0
    facts: ServerFacts = field(default_factory=ServerFacts)
    # The entry is missing, but perhaps only since the store was away.
    removal: Removal | None = None
    # The entry was there before and after this node last lost the store.
    kept_entry: bool = False
    dead: bool = False
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    # Small pieces that came on all connections to it, and when a slow read was logged.
    pieces: PieceBudget = field(default_factory=peer_budget)
    slowed_log_at: float = float("-inf")

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the server id and start that identify this incarnation."""
        return (self.entry.server_id, self.entry.started_at_ms)

    def usable(self, now: float) -> bool:
        """Return whether the server may take a request now."""
        return (
            self.is_staying
            and not self.suspected
            and now >= self.loading_until
            and now >= self.mismatch_until
            and now >= self.reported_leaving_until
            and now >= self.facts.paused_until
        )

    @property
    def is_staying(self) -> bool:
        """Return whether the server is neither removed, superseded nor draining."""
        return not (
            self.dead
            or self.facts.leaving
            or self.facts.superseded
            or self.entry.state is not ServerState.READY
        )

    def usable_in_s(self, now: float) -> float:
        """Return the seconds until a server that stays may be used; 0 if unknown."""
        if self.suspected:
            return 0.0
        until = max(
            self.loading_until,
            self.mismatch_until,
            self.reported_leaving_until,
            self.facts.paused_until,
        )
        return max(0.0, until - now)

    def pause(self, pause_s: float, now: float) -> None:
        """Send a saturated server nothing for as long as it asks, up to a maximum."""
        pause_s = min(pause_s, SATURATED_PAUSE_MAX_S)
        self.facts.paused_until = max(self.facts.paused_until, now + pause_s)

    def failures(self, now: float) -> float:
        """Return the fraction of recent requests that the server failed (0 to 1)."""
        age_s = max(0.0, now - self.failure_at)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def count_outcome(self, failed: bool, now: float) -> None:
        """Record whether the server failed a request."""
        rate = self.failures(now)
        self.failure_rate = rate + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_at = now
        if not failed:
            self.suspect_s = 0.0

    def count_sent(self, prompt_tokens: int, now: float) -> None:
        """Count a request that was sent to the server."""
        if self.in_flight == 0:
            self.busy_since = now
        self.in_flight += 1
        self.prompt_tokens += prompt_tokens

    def since_last_byte_s(self, now: float) -> float:
        """Return for how many seconds requests in flight have received no byte."""
        if self.in_flight == 0:
            return 0.0
        return now - max(self.busy_since, self.last_byte_at)

    def load(self) -> ServerLoad:
        """Return this node's load on the server, for the other nodes."""
        return ServerLoad(
            self.entry.server_id,
            self.in_flight,
            self.prompt_tokens,
            self.held_tokens,
            self.refusals,
        )

    def suspect(self, now: float, first_hand: bool = True) -> None:
        """Stop using the server until it can be reached again.

        `first_hand` says that this node itself could not open a connection. Only such
        a server is reported to the peers.
        """
        if first_hand and not (self.suspected and self.first_hand):
            self.unreachable_since = now
        self.suspected = True
        self.first_hand = first_hand
        if now < self.suspect_until:
            return
        self.suspect_s = min(
            SUSPECT_BACKOFF_MAX_S, self.suspect_s * 2 or SUSPECT_BACKOFF_FIRST_S
        )
        self.suspect_until = now + self.suspect_s


class ServerTable:
    """Hold the servers; those whose entries expired in a store outage are retained."""

    __slots__ = (
        "_by_service",
        "_facts",
        "_removed",
        "_rolled_back",
        "_outage_ended_at",
        "_software",
        "_software_changes",
        "changes",
        "known",
        "on_new_software",
        "servers",
    )

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.known = False
        # Counts the changes of entries.
        self.changes = 0
        # Software versions by service, as of a number of changes.
        self._software: dict[str, frozenset[str]] = {}
        self._software_changes = -1
        self.on_new_software: Callable[[Server], None] = lambda previous: None
        # What is known of incarnations without an entry, in the order of learning.
        self._facts: OrderedDict[tuple[str, int], ServerFacts] = OrderedDict()
        self._removed: OrderedDict[tuple[str, int], Removal] = OrderedDict()
        self._rolled_back = False
        self._outage_ended_at = -OUTAGE_GRACE_S
        self._by_service: dict[str, list[Server]] | None = None

    def get(self, server_id: str) -> Server | None:
        """Return a server by its id."""
        return self.servers.get(server_id)

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service that are not known to be removed."""
        if self._by_service is None:
            self._by_service = {}
            for server in self.servers.values():
                group = self._by_service.setdefault(server.entry.service, [])
                group.append(server)
        return self._by_service.get(service, [])

    def software_versions(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's servers."""
        if self._software_changes != self.changes:
            self._software_changes = self.changes
            self._software = {}
        versions = self._software.get(service)
        if versions is None:
            versions = self._software[service] = frozenset(
                server.entry.software_version for server in self.of_service(service)
            )
        return versions

    def usable_in_s(
        self,
        service: str,
        now: float,
        limit_wait_s: Callable[[tuple[str, int]], float] = lambda incarnation: 0.0,
    ) -> float:
        """Return in how many seconds the first server of a service may be used.

        0 if that is unknown, for example because all servers are draining.
        `limit_wait_s` returns how long an incarnation's limit defers a request.
        """
        waits = (
            max(server.usable_in_s(now), limit_wait_s(server.incarnation))
            for server in self.of_service(service)
            if server.is_staying
        )
        return min(waits, default=0.0)

    def outage_ended(self, now: float) -> None:
        """Record that the store answers this node again after an outage."""
        self._outage_ended_at = now
        for server in self.servers.values():
            server.kept_entry = server.removal is None

    def apply_store_read(self, read_s: float, reporter: str, now: float) -> None:
        """Apply that a peer has read the store without interruption for a time.

        The store was not away then, so entries did not expire for that reason.
        """
        if read_s <= 0 or now - read_s >= self._outage_ended_at:
            return
        self._outage_ended_at = now - read_s
        if any(server.removal is not None for server in self.servers.values()):
            _LOGGER.info(
                "Node %s has read the store for %.1f s without interruption; entries "
                "removed since then are not expected back",
                reporter,
                read_s,
                extra={"peer": reporter},
            )
        self.sweep(now)

    def without_retained(self, service: str, servers: list[Server]) -> list[Server]:
        """Leave out servers without an entry if another one's entry has stayed.

        An outage of the store lets all entries expire, so those that are missing beside
        one that stayed were removed by their servers.
        """
        if not any(s.kept_entry for s in self.of_service(service)):
            return servers
        return [server for server in servers if server.removal is None]

    def handle_store_rollback(self) -> None:
        """Record that the next whole table is from an older copy of the store."""
        self._rolled_back = True

    def replace(
        self,
        entries: dict[str, ServerEntry],
        now: float,
        version: tuple[int, int] = (0, 0),
    ) -> None:
        """Apply a whole table of a version; servers that it lacks are removed."""
        self.known = True
        for entry in entries.values():
            incarnation = (entry.server_id, entry.started_at_ms)
            if self._rolled_back and incarnation in self._removed:
                # A server that is still running writes its entry again.
                _LOGGER.info(
                    "Ignored server %s in an older copy of the store: it was already "
                    "removed",
                    entry.server_id,
                    extra={"server": entry.server_id, "born_ms": entry.started_at_ms},
                )
                if entry.state is ServerState.DRAINING:
                    self._remember_leaving(incarnation)
                continue
            self.update(entry)
        self._rolled_back = False
        for server_id in list(self.servers):
            if server_id not in entries:
                self.remove(server_id, now, version)

    def update(self, entry: ServerEntry) -> None:
        """Apply a new or changed entry."""
        known = self.servers.get(entry.server_id)
        if known is None or known.entry.started_at_ms != entry.started_at_ms:
            self._add(entry, known)
            return
        if known.entry.state is ServerState.DRAINING:
            # An incarnation never stops draining, so this entry is an older one.
            entry = replace(entry, state=ServerState.DRAINING)
        elif entry.state is ServerState.DRAINING:
            known.facts.leaving = True
        if known.entry.state is not entry.state:
            _log_entry("Server %s of %s changed: %s, %s", entry)
        if known.entry.service != entry.service:
            self._by_service = None
        if known.entry.software_version != entry.software_version:
            # It started again and doesn't state when.
            self.on_new_software(known)
        if known.removal is not None or known.entry.row_version != entry.row_version:
            known.kept_entry = False
        known.entry = entry
        self.changes += 1
        known.removal = None
        for model, version in entry.weights.items():
            # Weights never get older within an incarnation; such an entry is late.
            if version > known.weights.get(model, 0):
                known.weights[model] = version

    def _add(self, entry: ServerEntry, previous: Server | None) -> None:
        """Add an incarnation that was not in the table."""
        incarnation = (entry.server_id, entry.started_at_ms)
        facts = self._facts.get(incarnation) or ServerFacts()
        if facts.superseded:
            _LOGGER.info(
                "Ignored a late entry of server %s: a later incarnation is known",
                entry.server_id,
                extra={"server": entry.server_id, "born_ms": entry.started_at_ms},
            )
            return
        removal = self._removed.get(incarnation)
        if removal is not None and (0, 0) < entry.row_version <= removal.version:
            _LOGGER.info(
                "Ignored a late entry of server %s: it was removed since",
                entry.server_id,
                extra={"server": entry.server_id, "born_ms": entry.started_at_ms},
            )
            return
        self.changes += 1
        if previous is not None:
            if previous.entry.software_version != entry.software_version:
                self.on_new_software(previous)
            previous.dead = True
            if previous.entry.started_at_ms < entry.started_at_ms:
                previous.facts.superseded = True
            self._keep_facts(previous.incarnation, previous.facts)
        self._facts.pop(incarnation, None)
        # It is running, so an older copy of the store may show it too.
        self._removed.pop(incarnation, None)
        if entry.state is ServerState.DRAINING:
            facts.leaving = True
        server = Server(entry, dict(entry.weights), facts=facts)
        self.servers[entry.server_id] = server
        self._by_service = None
        _log_entry("Server %s of %s is known: %s, %s", entry)

    def _keep_facts(self, incarnation: tuple[str, int], facts: ServerFacts) -> None:
        """Remember what is known of an incarnation without an entry."""
        if facts == ServerFacts():
            return
        self._facts[incarnation] = facts
        self._facts.move_to_end(incarnation)
        while len(self._facts) > FACTS_MAX:
            self._facts.popitem(last=False)

    def _remember_leaving(self, incarnation: tuple[str, int]) -> None:
        """Remember that an incarnation without an entry said that it drains."""
        facts = self._facts.get(incarnation) or ServerFacts()
        facts.leaving = True
        self._keep_facts(incarnation, facts)

    def remove(
        self, server_id: str, now: float, version: tuple[int, int] = (0, 0)
    ) -> None:
        """Remove the server of a removed entry, but retain it just after an outage.

        `version` is one of the store by which the entry was gone.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        if now - self._outage_ended_at < OUTAGE_GRACE_S:
            if server.removal is None:
                server.removal = Removal(version, now, True)
                server.kept_entry = False
                _LOGGER.info(
                    "Retained server %s: its entry was removed while this node did "
                    "not read the store",
                    server_id,
                    extra={
                        "server": server_id,
                        "born_ms": server.entry.started_at_ms,
                        "left_s": round(
                            self._outage_ended_at + OUTAGE_GRACE_S - now, 3
                        ),
                    },
                )
            return
        self._delete(server, Removal(version, now, True))

    def sweep(self, now: float) -> None:
        """Remove servers whose entries were not written again after an outage."""
        for server in list(self.servers.values()):
            waited_s = now - self._outage_ended_at
            if server.removal is not None and waited_s >= OUTAGE_GRACE_S:
                self._delete(server, Removal(server.removal.version, now, True))
        while self._removed:
            incarnation, oldest = next(iter(self._removed.items()))
            if now - oldest.at <= REMOVED_INCARNATION_RETENTION_S:
                break
            del self._removed[incarnation]

    def suspects(self, now: float) -> list[Server]:
        """Return the suspected servers that are due for another check."""
        return [
            server
            for server in self.servers.values()
            if server.suspected and now >= server.suspect_until
        ]

    def leaving(self, now: float) -> tuple[str, ...]:
        """Return the servers whose entries are draining or were recently removed."""
        draining = (
            server.entry.server_id
            for server in self.servers.values()
            if server.entry.state is ServerState.DRAINING
        )
        removed = (
            report.server_id
            for report in self.removed_reports(now)
            if report.server_id not in self.servers
        )
        return (*draining, *removed)

    def removed_reports(self, now: float) -> tuple[RemovedServer, ...]:
        """Return the removals that this node has read recently, the newest first."""
        reports: list[RemovedServer] = []
        for incarnation, removal in reversed(self._removed.items()):
            if now - removal.at > REMOVED_REPORT_S:
                break
            if removal.first_hand and len(reports) < REMOVED_REPORTS_MAX:
                reports.append(RemovedServer(*incarnation, *removal.version))
        return tuple(reports)

    def remembered_removals(self, age_s: float, now: float) -> list[RemovedServer]:
        """Return the remembered removals that a node may lack.

        `age_s` is the age of its newest read in seconds; readers may have read the
        removals somewhat later than it did.
        """
        since = now - age_s - REMOVED_REPORT_S
        return [
            RemovedServer(*incarnation, *removal.version)
            for incarnation, removal in self._removed.items()
            if removal.at >= since
        ]

    def apply_removed(
        self, reports: tuple[RemovedServer, ...], reporter: str, now: float
    ) -> None:
        """Apply a peer's report of removed entries.

        It holds for good: only an entry that was written later shows that the server
        runs.
        """
        for report in reports:
            incarnation = (report.server_id, report.started_at_ms)
            removal = Removal((report.era, report.version), now, False)
            server = self.servers.get(report.server_id)
            if server is None or server.incarnation != incarnation:
                known = self._removed.get(incarnation)
                if known is None or known.version < removal.version:
                    self._remember_removal(incarnation, removal)
            elif server.entry.row_version <= removal.version:
                _LOGGER.info(
                    "The entry of server %s was removed, as reported by node %s",
                    report.server_id,
                    reporter,
                    extra={
                        "server": report.server_id,
                        "born_ms": report.started_at_ms,
                        "peer": reporter,
                        "store_version": report.version,
                    },
                )
                self._delete(server, removal)

    def apply_leaving(
        self, server_ids: tuple[str, ...], reporter: str, now: float
    ) -> None:
        """Apply a peer report of draining servers.

        This node's own reads of the store may be delayed.
        """
        for server_id in server_ids:
            server = self.servers.get(server_id)
            if server is None:
                continue
            if server.usable(now):
                _LOGGER.info(
                    "Server %s is draining, as reported by node %s",
                    server_id,
                    reporter,
                    extra={"server": server_id, "peer": reporter},
                )
            server.reported_leaving_until = now + LEAVING_REPORT_S

    def mark_leaving(self, server_id: str, started_at_ms: int) -> bool:
        """Record an incarnation's announcement to drain; return whether it is new."""
        server = self.servers.get(server_id)
        incarnation = (server_id, started_at_ms)
        if server is None or server.incarnation != incarnation:
            # Its entry may come later than the report, or once more.
            self._remember_leaving(incarnation)
            return False
        if server.facts.leaving:
            return False
        server.facts.leaving = True
        _LOGGER.info(
            "Server %s announced that it is draining",
            server_id,
            extra={"server": server_id, "born_ms": started_at_ms},
        )
        return True

    def announced_leaving(self) -> tuple[tuple[str, int], ...]:
        """Return the known incarnations that said that they are draining."""
        return tuple(s.incarnation for s in self.servers.values() if s.facts.leaving)

    def digest(self) -> bytes:
        """Return a digest of all that decides whether servers may be used."""
        known = blake2b(digest_size=8)
        for server in sorted(self.servers.values(), key=lambda s: s.entry.server_id):
            entry = server.entry
            text = (
                f"{entry.server_id} {entry.started_at_ms} {entry.state} {entry.address}"
            )
            known.update(f"{text} {entry.service}\n".encode())
        return known.digest()

    def mark_dead(self, server: Server) -> None:
        """Stop using an incarnation because another one has its address."""
        server.dead = True
        server.facts.superseded = True

    def _remember_removal(self, incarnation: tuple[str, int], removal: Removal) -> None:
        self._removed[incarnation] = removal
        self._removed.move_to_end(incarnation)
        while len(self._removed) > REMOVED_INCARNATIONS_MAX:
            self._removed.popitem(last=False)

    def _delete(self, server: Server, removal: Removal) -> None:
        server.dead = True
        self.changes += 1
        self._keep_facts(server.incarnation, server.facts)
        del self.servers[server.entry.server_id]
        self._remember_removal(server.incarnation, removal)
        self._by_service = None
        _LOGGER.info(
            "Removed server %s",
            server.entry.server_id,
            extra={"server": server.entry.server_id, "at": removal.at},
        )


def _log_entry(text: str, entry: ServerEntry) -> None:
    _LOGGER.info(
        text,
        entry.server_id,
        entry.service,
        entry.state.value,
        entry.address,
        extra={
            "server": entry.server_id,
            "state": entry.state.value,
            "weights": entry.weights,
            "software_version": entry.software_version,
        },
    )
