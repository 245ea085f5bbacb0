"""Watch the store's tables and track how old the known state may be."""

import logging
import math
from collections.abc import Callable
from functools import partial
from typing import Final

import gevent
from gevent.event import Event
from msgspec import Struct
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.const import (
    ANSWER_DELAY_MAX_S,
    CONFIG_LONG_POLL_MAX_S,
    CONFIG_LONG_POLL_S,
    CONFIRMATION_FRACTION,
    CONFIRMATION_FRESH_S,
    CONFIRMATION_MARGIN_S,
    CONFIRMATION_POLL_S,
    LARGE_FLEET_NODES,
    OUTAGE_GAP_S,
    OWN_READ_FRESH_S,
    READ_INTERVAL_FRACTION,
    READ_INTERVAL_PER_NODE_S,
    READ_RETRY_LARGE_S,
    READ_RETRY_MAX_S,
    READ_RETRY_S,
    READER_LONG_POLL_S,
    SERVERS_LONG_POLL_S,
    SERVERS_READ_INTERVAL_S,
    SNAPSHOT_DELAY_S,
    STORE_GAP_MAX_S,
    STORE_READERS,
    TARGET_AGES_MAX,
)
from arbutusyard.fleet.messages import Heartbeat, TargetWeightsAge
from arbutusyard.fleet.servers import ServerTable
from arbutusyard.gateway.models import ServerEntry
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import (
    HistoryUnavailable,
    MalformedRow,
    PlatformError,
)
from arbutusyard.platform.models import Changes, Row
from arbutusyard.platform.rows import (
    KEY_CONFIG,
    PREFIX_WEIGHTS,
    TABLE_OPERATOR,
    TABLE_SERVERS,
    read_configuration,
    read_server,
    read_weights,
)
from arbutusyard.supervisor import Supervisor

_LOGGER = logging.getLogger(__name__)

# Difference from the known time of a target at which a reported one is logged, in
# seconds. The ages in heartbeats differ by the time that datagrams take.
TARGET_SHIFT_LOGGED_S: Final = 0.1


class TableWatcher:
    """Keep a copy of one table up to date by long polls.

    `confirmed_at` is the time at which the newest confirmed read was sent. `changed_at`
    is the earliest time at which the changes that a read returns can have been made,
    None if that is not known. `is_change_dated` says that they were made at that time.
    """

    __slots__ = (
        "_answered_at",
        "_apply",
        "_client",
        "_replace",
        "table",
        "_version",
        "confirmed_at",
        "_confirmation_at",
        "_wake",
        "era",
        "unreachable",
        "after_read",
        "before_read",
        "digest",
        "is_change_dated",
        "on_era_change",
        "on_outage_end",
        "interval_s",
        "read_at",
        "is_reader",
        "confirmation_fresh_s",
        "changed_at",
        "read_version",
        "_read_sent_at",
        "_uninterrupted_since",
        "_is_peer_read_known",
        "_peer_read_at",
        "retry_max_s",
        "wait_s",
    )

    def __init__(
        self,
        client: PlatformClient,
        table: str,
        wait_s: float,
        interval_s: float,
        replace: Callable[[tuple[Row, ...]], None],
        apply: Callable[[tuple[Row, ...]], None],
    ) -> None:
        self._client = client
        self.table = table
        self.wait_s = wait_s
        self.interval_s = interval_s
        self._replace = replace
        self._apply = apply
        self._version: int | None = None
        self.era: int | None = None
        self.on_era_change: Callable[[], None] = lambda: None
        self.confirmed_at = float("-inf")
        self.changed_at: float | None = None
        self.is_change_dated = False
        self.unreachable = False
        self.on_outage_end: Callable[[float], None] = lambda now: None
        self.before_read: Callable[[], list[Heartbeat]] = list
        self.after_read: Callable[[list[Heartbeat]], None] = lambda heartbeats: None
        self.digest: Callable[[], bytes] = lambda: b""
        self.is_reader = True
        self.read_at = float("-inf")
        # Time at which the store gave the newest answer, which may have come later.
        self._answered_at = float("-inf")
        self._confirmation_at = float("-inf")
        # Era and version of the store up to which the rows of a read are complete.
        self.read_version = (0, 0)
        self._read_sent_at = float("-inf")
        self._uninterrupted_since = float("inf")
        self.confirmation_fresh_s = CONFIRMATION_FRESH_S
        # Maximum delay between retries while other nodes read the table, in seconds.
        self.retry_max_s = READ_RETRY_MAX_S
        self._wake = Event()
        # Whether this node knows what the newest confirmation that it lacked reported,
        # and when the newest confirmation of any kind came.
        self._is_peer_read_known: Callable[[], bool] = lambda: False
        self._peer_read_at = float("-inf")

    def apply_confirmation(
        self, is_known: Callable[[], bool], known_at: float, now: float
    ) -> None:
        """Apply a peer's confirmation of a read that is newer than `known_at`.

        Read at once unless this node already knows what the peer read.
        """
        self._peer_read_at = now
        if not self.started or not is_known():
            self._confirmation_at = float("-inf")
            self._is_peer_read_known = is_known
            self._wake.set()
            return
        # A peer's read does not show that this node can reach the store, so an outage
        # that this node has seen ends only with a read of its own.
        self._confirmation_at = now
        self.confirmed_at = max(self.confirmed_at, known_at)

    def _wait_while_confirmed(self) -> None:
        """Wait while peers read the store and their confirmations are fresh."""
        while not self.needs_read(clock.now()):
            self._wake.wait(CONFIRMATION_POLL_S)

    def needs_read(self, now: float) -> bool:
        """Return whether no fresh confirmation of a peer replaces an own read."""
        if self.is_reader or not self.started or self.unreachable:
            return True
        confirmation_age_s = now - self._confirmation_at
        return confirmation_age_s > self.confirmation_fresh_s or self._wake.is_set()

    def run(self) -> None:
        """Keep reading the table until stopped."""
        retry_s = READ_RETRY_S
        while True:
            self._wait_while_confirmed()
            try:
                self.read_once()
            except HistoryUnavailable:
                gevent.sleep(SNAPSHOT_DELAY_S)
                continue
            except PlatformError:
                self._wait_to_retry(retry_s)
                longest_s = READ_RETRY_MAX_S if self.is_reader else self.retry_max_s
                retry_s = min(longest_s, retry_s * 2)
                continue
            except Exception as exc:
                # A table that is not followed leads requests to servers that left.
                _LOGGER.exception(
                    "Reading table %s failed with %s: %s",
                    self.table,
                    type(exc).__name__,
                    exc,
                )
                gevent.sleep(retry_s)
                retry_s = min(READ_RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = READ_RETRY_S
            gevent.sleep(self.interval_s)

    def _wait_to_retry(self, retry_s: float) -> None:
        """Wait after a failed read, no longer than needed once a peer has read."""
        failed_at = clock.now()
        while not self.is_retry_due(failed_at, retry_s, clock.now()):
            gevent.sleep(CONFIRMATION_POLL_S)

    def is_retry_due(self, failed_at: float, retry_s: float, now: float) -> bool:
        """Return whether a read that failed should be tried again."""
        if now - failed_at >= retry_s:
            return True
        has_peer_read = self._peer_read_at > failed_at
        return has_peer_read and now - failed_at >= READ_RETRY_MAX_S

    def read_once(self) -> None:
        """Read the table or its changes once.

        Raise HistoryUnavailable if the table has to be read whole next, PlatformError
        if it cannot be read.
        """
        self._wake.clear()
        heartbeats = self.before_read()
        try:
            self._read(clock.now())
        except HistoryUnavailable:
            _LOGGER.info(
                "Reading table %s whole: change history is incomplete", self.table
            )
            self._version = None
            raise
        except PlatformError as exc:
            self._record_failure(exc)
            raise
        except Exception:
            # Which rows were applied is not known, so the table is read whole next.
            self._version = None
            raise
        # This node's own read confirms as much as a peer's confirmation.
        self._confirmation_at = self.read_at = clock.now()
        if self._wake.is_set() and self._is_peer_read_known():
            # Other readers confirmed the same change while this read was on its way.
            self._wake.clear()
        self.after_read(heartbeats)

    @property
    def started(self) -> bool:
        """Return whether the whole table was read and changes are read since."""
        return self._version is not None

    def _read(self, sent_at: float) -> None:
        if self._version is None:
            snapshot = self._client.snapshot(self.table)
            known_at = self.confirmed_at
            self.changed_at = known_at if known_at > float("-inf") else None
            self.is_change_dated = False
            self._update_era(snapshot.era)
            self._end_outage(sent_at)
            self.read_version = (snapshot.era, snapshot.version)
            self._replace(snapshot.rows)
            self._version = snapshot.version
            # Later pages may lack what changed after the first one.
            self._answered_at = sent_at
            self._record_read(sent_at)
            return
        wait_s = self.wait_s if self.is_reader else 0.0
        changes = self._client.follow(self.table, self._version, wait_s)
        if changes.era != self.era:
            # The store reuses the versions after a rollback, so this node's version
            # does not show which rows it lacks.
            raise HistoryUnavailable("the store was restored from an older copy")
        self._date_changes(sent_at, self._answer_time(changes, clock.now()))
        self._end_outage(sent_at)
        self.read_version = (changes.era, changes.version)
        if changes.rows:
            self._apply(changes.rows)
        self._version = max(self._version, changes.version)
        self._record_read(sent_at)

    def _answer_time(self, changes: Changes, now: float) -> float:
        """Return when the store gave an answer that was read just now."""
        if changes.answered_s is None:
            return now
        delay_s = self._client.store_time_s(now) - changes.answered_s
        return now - max(0.0, delay_s)

    def _date_changes(self, sent_at: float, answered_at: float) -> None:
        """Set when the changes were made that a read sent at a time has returned."""
        # The store answers a waiting read as soon as something changes.
        self.is_change_dated = sent_at - self._answered_at <= ANSWER_DELAY_MAX_S
        if self.is_change_dated:
            self.changed_at = answered_at
        else:
            # What changed while this node did not read may have changed at any time.
            earliest_at = self._answered_at - ANSWER_DELAY_MAX_S
            self.changed_at = max(self.confirmed_at, earliest_at)
        self._answered_at = answered_at

    def _update_era(self, era: int) -> None:
        if self.era is not None and era != self.era:
            _LOGGER.warning(
                "Table %s was read whole: the store's era changed to %d",
                self.table,
                era,
                extra={"era": era, "era_before": self.era},
            )
            self.on_outage_end(clock.now())
            self.on_era_change()
            self._uninterrupted_since = float("inf")
        self.era = era

    def _end_outage(self, sent_at: float) -> None:
        """Record that an outage has ended, before the rows of a read are applied."""
        # A long gap is an outage even if no call failed, as after a VM was suspended.
        gap_s = sent_at - self.confirmed_at
        if self.unreachable or OUTAGE_GAP_S < gap_s < float("inf"):
            self.on_outage_end(clock.now())
            _LOGGER.info(
                "Table %s is readable again"
                if self.unreachable
                else "Table %s is read again after a pause",
                self.table,
                extra={"away_s": round(gap_s, 3)},
            )

    def _record_read(self, sent_at: float) -> None:
        """Record a read whose rows were applied."""
        is_interrupted = (
            self.unreachable or sent_at - self._read_sent_at > STORE_GAP_MAX_S
        )
        if is_interrupted or self._uninterrupted_since == float("inf"):
            self._uninterrupted_since = sent_at
        self._read_sent_at = sent_at
        self.unreachable = False
        self.confirmed_at = sent_at

    def uninterrupted_s(self, now: float) -> float:
        """Return for how many seconds this node has read the table without a gap.

        Reads of peers do not count; 0 if the newest own read is too old or failed.
        """
        if self.unreachable or now - self._read_sent_at > STORE_GAP_MAX_S:
            return 0.0
        return max(0.0, now - self._uninterrupted_since)

    def _record_failure(self, exc: PlatformError) -> None:
        if not self.unreachable:
            _LOGGER.warning("Cannot read table %s: %s", self.table, exc)
        self.unreachable = True


class ReadGap(Struct, frozen=True):
    """Hold the target that was known before a gap between reads, and its start."""

    previous: int
    since: float


class FleetState:
    """Hold the configuration, the target weights and the backend servers."""

    name = "knowledge"

    __slots__ = (
        "_client",
        "_config_watcher",
        "_malformed_rows",
        "_newest_version",
        "_targets_read_after_gap",
        "_undated_targets",
        "_server_watcher",
        "_supervisor",
        "catalog",
        "on_store_rollback",
        "on_target_weights",
        "servers",
        "weights",
        "target_history",
    )

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self.catalog: Catalog | None = None
        self.servers = ServerTable()
        self.weights: dict[str, int] = {}
        self.target_history: dict[str, list[tuple[int, float | None]]] = {}
        # Targets of which only the earliest possible time is known: not dated ones.
        self._undated_targets: set[tuple[str, int]] = set()
        # Targets that this node read after a time in which it did not read the table.
        self._targets_read_after_gap: dict[tuple[str, int], ReadGap] = {}
        self.on_store_rollback: Callable[[], None] = lambda: None
        self.on_target_weights: Callable[[], None] = lambda: None
        self._malformed_rows: set[tuple[str, str]] = set()
        self._supervisor: Supervisor | None = None
        self._config_watcher = TableWatcher(
            client,
            TABLE_OPERATOR,
            CONFIG_LONG_POLL_S,
            0.0,
            self._apply_operator_rows,
            self._apply_operator_rows,
        )
        self._server_watcher = TableWatcher(
            client,
            TABLE_SERVERS,
            SERVERS_LONG_POLL_S,
            SERVERS_READ_INTERVAL_S,
            self._replace_servers,
            self._apply_servers,
        )
        self._server_watcher.on_outage_end = self.servers.outage_ended
        self._server_watcher.digest = self.servers.digest
        self._config_watcher.digest = self._config_digest
        self._config_watcher.on_era_change = self._handle_store_rollback
        self._server_watcher.on_era_change = self.servers.handle_store_rollback
        self._newest_version = 0

    def setup(self, app: Application) -> None:
        """Start watching the store's tables."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("config", self._config_watcher.run)
        self._supervisor.spawn("servers", self._server_watcher.run)

    def drain(self) -> None:
        """Continue watching until the node stops."""

    def unload(self) -> None:
        """Stop watching the store's tables."""
        self._supervisor.stop()

    def config_age_s(self, now: float) -> float:
        """Return the age of the configuration's newest confirmation, in seconds."""
        return now - self._config_watcher.confirmed_at

    def servers_age_s(self, now: float) -> float:
        """Return the age of the newest confirmed read of the servers, in seconds."""
        return now - self._server_watcher.confirmed_at

    def store_read_s(self, now: float) -> float:
        """Return for how long this node has read the servers without a gap."""
        return self._server_watcher.uninterrupted_s(now)

    def set_read_hooks(
        self,
        live_heartbeats: Callable[[], list[Heartbeat]],
        confirm: Callable[[str, bytes, list[Heartbeat]], None],
    ) -> None:
        """Set the functions by which each read is confirmed to the other nodes."""
        for watcher in (self._config_watcher, self._server_watcher):
            watcher.before_read = live_heartbeats
            watcher.after_read = partial(_confirm_to_peers, watcher, confirm)

    def set_reader(self, is_reader: bool) -> None:
        """Set whether this node is one of those that read for the others."""
        for watcher in (self._config_watcher, self._server_watcher):
            watcher.is_reader = is_reader

    def apply_confirmation(
        self, table: str, digest: bytes, known_at: float, now: float
    ) -> None:
        """Apply a peer's confirmation of a read of a table."""
        if table == TABLE_OPERATOR:
            self._config_watcher.apply_confirmation(
                lambda: self._has_operator_rows(digest), known_at, now
            )
        elif table == TABLE_SERVERS:
            self._server_watcher.apply_confirmation(
                lambda: digest == self.servers.digest(), known_at, now
            )

    def _has_operator_rows(self, digest: bytes) -> bool:
        """Return whether this node has the rows up to those of a digest."""
        # A node that has a row of an era has all older rows of that era as well.
        era, _, version = digest.partition(b".")
        return era == b"%d" % (self._config_watcher.era or 0) and (
            version.isdigit() and int(version) <= self._newest_version
        )

    def _config_digest(self) -> bytes:
        return b"%d.%d" % (self._config_watcher.era or 0, self._newest_version)

    def _handle_store_rollback(self) -> None:
        """Reset the newest row version, since a store rollback reuses versions.

        Configurations and weights stay: operators write theirs again, and what was
        acknowledged is never reverted.
        """
        self._newest_version = 0
        self.on_store_rollback()

    def set_read_intervals(self, nodes: int, drain_s: float) -> None:
        """Set longer intervals in a large fleet, but notice each drain in time."""
        extra_s = READ_INTERVAL_PER_NODE_S * nodes
        longest_s = max(SERVERS_READ_INTERVAL_S, READ_INTERVAL_FRACTION * drain_s)
        self._server_watcher.interval_s = min(
            longest_s, SERVERS_READ_INTERVAL_S + extra_s
        )
        self._config_watcher.wait_s = min(
            CONFIG_LONG_POLL_MAX_S, CONFIG_LONG_POLL_S + extra_s
        )
        if nodes > STORE_READERS:
            # A confirmation is dated by the sending of its read, so reads are short.
            self._config_watcher.wait_s = READER_LONG_POLL_S
        round_s = (
            self._server_watcher.interval_s
            + SERVERS_LONG_POLL_S
            + CONFIRMATION_MARGIN_S
        )
        self._server_watcher.confirmation_fresh_s = max(
            CONFIRMATION_FRESH_S, min(round_s, CONFIRMATION_FRACTION * drain_s)
        )
        if nodes > LARGE_FLEET_NODES:
            self._reduce_reads()

    def _reduce_reads(self) -> None:
        """Let the readers of a large fleet spare the other nodes their own reads."""
        watcher = self._server_watcher
        # Nodes that start together read in step. If the readers' cycle exceeds the
        # validity of their confirmations, all nodes read for themselves each time.
        longest_s = watcher.confirmation_fresh_s - watcher.interval_s
        watcher.wait_s = min(READER_LONG_POLL_S, longest_s - CONFIRMATION_MARGIN_S)
        self._config_watcher.retry_max_s = READ_RETRY_LARGE_S
        watcher.retry_max_s = READ_RETRY_LARGE_S

    def has_recent_read(self, now: float) -> bool:
        """Return whether this node itself has recently read what operators wrote."""
        return now - self._config_watcher.read_at < OWN_READ_FRESH_S

    def can_serve(self) -> bool:
        """Return whether enough is known to serve requests."""
        return self.catalog is not None and self.servers.known

    def target_version(self, model: str) -> int:
        """Return the version of a model's target weights; 0 if there are none."""
        return self.weights.get(model, 0)

    def superseded_at(self, model: str, version: int) -> float:
        """Return the earliest time at which a version can have been superseded.

        -inf if nothing is known of it, inf if no later target is known.
        """
        earliest_at = -math.inf
        next_target: int | None = None
        for target, target_at in self.target_history.get(model, ()):
            is_dated = target_at is not None and self.is_target_dated(model, target)
            if next_target is None:
                if target > version:
                    next_target = target
                if is_dated and target > version:
                    earliest_at = target_at
                elif target_at is not None:
                    # Later versions were set later, even if it is not known when.
                    earliest_at = max(earliest_at, target_at)
            elif is_dated:
                earliest_at = min(earliest_at, target_at)
        if next_target is None:
            return math.inf
        away = self._targets_read_after_gap.get((model, next_target))
        if away is not None and away.previous <= version < next_target - 1:
            # Another target may have come between, which no node has reported.
            earliest_at = min(earliest_at, away.since)
        return earliest_at

    def superseded_s(self, model: str, version: int, now: float) -> float | None:
        """Return how many seconds ago the next target version superseded a version.

        None if that was before this node's start, 0 if it was not superseded.
        """
        for target, target_at in self.target_history.get(model, ()):
            if target > version:
                return (
                    None
                    if target_at is None
                    else now - self.superseded_at(model, version)
                )
        return 0.0

    def target_ages(self, now: float) -> tuple[TargetWeightsAge, ...]:
        """Return the ages of target weights that this node knows.

        Of a target that is not dated, that is the age which it has at most.
        """
        ages = []
        for model, history in self.target_history.items():
            earliest_at = -math.inf
            for version, target_at in history[-TARGET_AGES_MAX:]:
                if target_at is not None:
                    earliest_at = max(earliest_at, target_at)
                if earliest_at == -math.inf:
                    continue
                is_dated = target_at is not None and self.is_target_dated(
                    model, version
                )
                at = target_at if is_dated else earliest_at
                ages.append(TargetWeightsAge(model, version, now - at, is_dated))
        return tuple(ages)

    def is_target_dated(self, model: str, version: int) -> bool:
        """Return whether a target was set at its known time, not at that or later."""
        return (model, version) not in self._undated_targets

    def apply_target_ages(
        self, reported: tuple[TargetWeightsAge, ...], now: float, source: str = ""
    ) -> None:
        """Adopt reported ages that are better than this node's own.

        A node that has just started, or relied on the reads of others, does not know
        when targets were set. `source` names the node that reported them, or the store.
        """
        for item in reported:
            known = dict(self.target_history.get(item.model, ()))
            known_at = known.get(item.version)
            target_at = now - item.age_s
            if not self._merge_target(
                item.model, item.version, target_at, item.is_dated
            ):
                continue
            if known_at is None or abs(known_at - target_at) >= TARGET_SHIFT_LOGGED_S:
                _log_target_time(
                    item, source, None if known_at is None else now - known_at
                )

    def _merge_target(
        self, model: str, version: int, target_at: float | None, is_dated: bool
    ) -> bool:
        """Adopt a time of a target if it is better; return whether it is.

        A dated time is better than an earliest one, the earlier one of two dated times,
        and the later one of two earliest times, wherever they come from.
        """
        known = dict(self.target_history.get(model, ()))
        known_at = known.get(version)
        target = (model, version)
        is_known_dated = known_at is not None and target not in self._undated_targets
        match target_at:
            case None:
                if version in known:
                    return False
            case _ if is_dated:
                if is_known_dated and target_at >= known_at:
                    return False
                self._undated_targets.discard(target)
            case _:
                if is_known_dated or (known_at is not None and target_at <= known_at):
                    return False
                self._undated_targets.add(target)
        known[version] = target_at
        # Nodes learn of targets in any order.
        self.target_history[model] = sorted(known.items())
        return True

    def _apply_operator_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            self._newest_version = max(self._newest_version, row.version)
            if row.version == 0:
                continue
            try:
                if row.key == KEY_CONFIG:
                    self._apply_config(row)
                elif row.key.startswith(PREFIX_WEIGHTS):
                    self._apply_target_weights(row)
            except MalformedRow as exc:
                self._log_malformed(TABLE_OPERATOR, row.key, exc)

    def _apply_config(self, row: Row) -> None:
        cfg = read_configuration(row.value)
        if self.catalog is not None and cfg.version <= self.catalog.cfg.version:
            return
        self.catalog = Catalog(cfg)
        _LOGGER.info(
            "Configuration %d is in force: %d routes",
            cfg.version,
            len(cfg.routes),
            extra={"config": cfg.version, "store_version": row.version},
        )

    def _apply_target_weights(self, row: Row) -> None:
        target = read_weights(row.value)
        if target.version <= self.weights.get(target.model, 0):
            return
        previous = self.weights.get(target.model, 0)
        self.weights[target.model] = target.version
        # The age of a target that was set before this node started is unknown.
        target_at = self._config_watcher.changed_at
        is_dated = self._config_watcher.is_change_dated
        self._merge_target(target.model, target.version, target_at, is_dated)
        if previous and target_at is not None and not is_dated:
            self._targets_read_after_gap[target.model, target.version] = ReadGap(
                previous, target_at
            )
        now = clock.now()
        _LOGGER.info(
            "Target weights are now version %d of %s",
            target.version,
            target.model,
            extra={
                "model": target.model,
                "weights": target.version,
                "age_s": None if target_at is None else round(now - target_at, 3),
                "dated": is_dated,
                "era": row.era,
                "store_version": row.version,
            },
        )
        self.on_target_weights()

    def _replace_servers(self, rows: tuple[Row, ...]) -> None:
        now = clock.now()
        entries = {row.key: entry for row in rows if (entry := self._entry(row))}
        self.servers.replace(entries, now, self._server_watcher.read_version)
        self.servers.sweep(now)

    def _apply_servers(self, rows: tuple[Row, ...]) -> None:
        now = clock.now()
        newest = {row.key: row for row in rows}
        for row in rows:
            entry = self._entry(row)
            if entry is not None:
                self.servers.update(entry)
            elif newest[row.key] is row:
                # A malformed entry describes no usable server.
                self.servers.remove(row.key, now, self._server_watcher.read_version)
        self.servers.sweep(now)

    def _entry(self, row: Row) -> ServerEntry | None:
        if row.version == 0:
            return None
        try:
            entry = read_server(row.key, row.value)
            return replace(entry, row_version=(row.era, row.version))
        except MalformedRow as exc:
            self._log_malformed(TABLE_SERVERS, row.key, exc)
            return None

    def _log_malformed(self, table: str, key: str, exc: MalformedRow) -> None:
        if (table, key) not in self._malformed_rows:
            self._malformed_rows.add((table, key))
            _LOGGER.warning("Ignored malformed row %s of table %s: %s", key, table, exc)


def _log_target_time(
    item: TargetWeightsAge, source: str, age_before_s: float | None
) -> None:
    _LOGGER.info(
        "Learned when target weights of %s were set",
        item.model,
        extra={
            "model": item.model,
            "weights": item.version,
            "age_s": round(item.age_s, 3),
            "age_before_s": None if age_before_s is None else round(age_before_s, 3),
            "dated": item.is_dated,
            "source": source,
        },
    )


def _confirm_to_peers(
    watcher: TableWatcher,
    confirm: Callable[[str, bytes, list[Heartbeat]], None],
    heartbeats: list[Heartbeat],
) -> None:
    if watcher.is_reader:
        confirm(watcher.table, watcher.digest(), heartbeats)
