"""Follow the store's tables and say how old what is known may be."""

import logging
from collections.abc import Callable
from functools import partial

import gevent
from gevent.event import Event

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.const import (
    CONFIG_WAIT_MAX_S,
    CONFIG_WAIT_S,
    CONFIRMATION_FRACTION,
    CONFIRMATION_FRESH_S,
    CONFIRMATION_MARGIN_S,
    CONFIRMATION_POLL_S,
    FOLLOW_RETRY_MAX_S,
    FOLLOW_RETRY_S,
    HISTORY_PAUSE_S,
    OUTAGE_AFTER_S,
    PACE_FRACTION,
    PACE_NODE_S,
    READER_WAIT_S,
    READS_FRESH_S,
    SERVERS_PACE_S,
    SERVERS_WAIT_S,
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
from arbutusyard.platform.models import Row
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


class TableWatcher:
    """Keep a copy of one table by long polls; times are those of the sending."""

    __slots__ = (
        "_apply",
        "_client",
        "_replace",
        "table",
        "_version",
        "confirmed_at",
        "_confirmation_at",
        "_wake",
        "era",
        "lost",
        "after_read",
        "before_read",
        "digest",
        "on_era",
        "on_return",
        "pace_s",
        "read_at",
        "reader",
        "confirmation_fresh_s",
        "unseen_since",
        "wait_s",
    )

    def __init__(
        self,
        client: PlatformClient,
        table: str,
        wait_s: float,
        pace_s: float,
        replace: Callable[[tuple[Row, ...]], None],
        apply: Callable[[tuple[Row, ...]], None],
    ) -> None:
        self._client = client
        self.table = table
        self.wait_s = wait_s
        self.pace_s = pace_s
        self._replace = replace
        self._apply = apply
        self._version: int | None = None
        self.era: int | None = None
        self.on_era: Callable[[], None] = lambda: None
        self.confirmed_at = float("-inf")
        self.unseen_since: float | None = None
        self.lost = False
        self.on_return: Callable[[float], None] = lambda now: None
        self.before_read: Callable[[], list[Heartbeat]] = list
        self.after_read: Callable[[list[Heartbeat]], None] = lambda heard: None
        self.digest: Callable[[], bytes] = lambda: b""
        self.reader = True
        self.read_at = float("-inf")
        self._confirmation_at = float("-inf")
        self.confirmation_fresh_s = CONFIRMATION_FRESH_S
        self._wake = Event()

    def apply_confirmation(self, equal: bool, known_at: float, now: float) -> None:
        """Take another node's word on a read that is younger than a time.

        Unless it showed what is known here, read at once.
        """
        if not equal or not self.started:
            self._confirmation_at = float("-inf")
            self._wake.set()
            return
        # Others' reads say nothing of the way from here to the store, so an outage
        # that this node has seen ends only by a read of its own.
        self._confirmation_at = now
        self.confirmed_at = max(self.confirmed_at, known_at)

    def _wait_turn(self) -> None:
        """Wait while others read the store and their word is fresh."""
        while not self.reader and self.started and not self.lost:
            confirmation_age_s = clock.now() - self._confirmation_at
            if confirmation_age_s > self.confirmation_fresh_s or self._wake.is_set():
                break
            self._wake.wait(CONFIRMATION_POLL_S)
        self._wake.clear()

    def run(self) -> None:
        """Follow the table for ever."""
        retry_s = FOLLOW_RETRY_S
        while True:
            self._wait_turn()
            heard = self.before_read()
            sent_at = clock.now()
            try:
                self._read(sent_at)
                # What was just read is as good as what others tell.
                self._confirmation_at = self.read_at = clock.now()
                self.after_read(heard)
            except HistoryUnavailable:
                _LOGGER.info("Table %s is read anew: history is gone", self.table)
                self._version = None
                gevent.sleep(HISTORY_PAUSE_S)
                continue
            except PlatformError as exc:
                self._lose(exc)
                gevent.sleep(retry_s)
                retry_s = min(FOLLOW_RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = FOLLOW_RETRY_S
            gevent.sleep(self.pace_s)

    @property
    def started(self) -> bool:
        """Tell whether the table was read whole and is followed from there."""
        return self._version is not None

    def _read(self, sent_at: float) -> None:
        if self._version is None:
            snapshot = self._client.snapshot(self.table)
            known_at = self.confirmed_at
            self.unseen_since = known_at if known_at > float("-inf") else None
            self._enter_era(snapshot.era)
            self._confirm(sent_at)
            self._replace(snapshot.rows)
            self._version = snapshot.version
            return
        wait_s = self.wait_s if self.reader else 0.0
        changes = self._client.follow(self.table, self._version, wait_s)
        if changes.era != self.era:
            # Its versions were given out again, so they say nothing of what is missing.
            raise HistoryUnavailable("the store came back from an older copy")
        self.unseen_since = clock.now()
        self._confirm(sent_at)
        if changes.rows:
            self._apply(changes.rows)
        self._version = max(self._version, changes.version)

    def _enter_era(self, era: int) -> None:
        if self.era is not None and era != self.era:
            _LOGGER.warning(
                "Table %s is read anew in era %d",
                self.table,
                era,
                extra={"era": era, "era_before": self.era},
            )
            self.on_return(clock.now())
            self.on_era()
        self.era = era

    def _confirm(self, sent_at: float) -> None:
        # A long gap is an outage even when no call failed, as in a suspended VM.
        gap_s = sent_at - self.confirmed_at
        if self.lost or OUTAGE_AFTER_S < gap_s < float("inf"):
            self.on_return(clock.now())
        if self.lost:
            _LOGGER.info("Table %s is read again", self.table)
        self.lost = False
        self.confirmed_at = sent_at

    def _lose(self, exc: PlatformError) -> None:
        if not self.lost:
            _LOGGER.warning("Table %s cannot be read: %s", self.table, exc)
        self.lost = True


class FleetState:
    """Hold the configuration, the named weights and the backend servers."""

    name = "knowledge"

    __slots__ = (
        "_client",
        "_config_rows",
        "_malformed",
        "_newest",
        "_server_rows",
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
        self.on_store_rollback: Callable[[], None] = lambda: None
        self.on_target_weights: Callable[[], None] = lambda: None
        self._malformed: set[tuple[str, str]] = set()
        self._supervisor: Supervisor | None = None
        self._config_rows = TableWatcher(
            client,
            TABLE_OPERATOR,
            CONFIG_WAIT_S,
            0.0,
            self._take_operator_rows,
            self._take_operator_rows,
        )
        self._server_rows = TableWatcher(
            client,
            TABLE_SERVERS,
            SERVERS_WAIT_S,
            SERVERS_PACE_S,
            self._replace_servers,
            self._take_servers,
        )
        self._server_rows.on_return = self.servers.outage_ended
        self._server_rows.digest = self.servers.digest
        self._config_rows.digest = self._config_digest
        self._config_rows.on_era = self._forget_versions
        self._server_rows.on_era = self.servers.handle_store_rollback
        self._newest = 0

    def setup(self, app: Application) -> None:
        """Start following the store."""
        self._supervisor = app.supervisor.child(self.name)
        self._supervisor.spawn("config", self._config_rows.run)
        self._supervisor.spawn("servers", self._server_rows.run)

    def drain(self) -> None:
        """Go on following until the end."""

    def unload(self) -> None:
        """Stop following."""
        self._supervisor.stop()

    def config_age_s(self, now: float) -> float:
        """Return how old the configuration's last confirmation is."""
        return now - self._config_rows.confirmed_at

    def servers_age_s(self, now: float) -> float:
        """Return how old the last confirmed read of the servers' entries is."""
        return now - self._server_rows.confirmed_at

    def bind_readers(
        self,
        heard: Callable[[], list[Heartbeat]],
        announce: Callable[[str, bytes, list[Heartbeat]], None],
    ) -> None:
        """Set what tells the other nodes of each read."""
        for rows in (self._config_rows, self._server_rows):
            rows.before_read = heard
            rows.after_read = partial(_announce, rows, announce)

    def set_reader(self, reader: bool) -> None:
        """Say whether this node is one of those that read for the others."""
        for rows in (self._config_rows, self._server_rows):
            rows.reader = reader

    def apply_confirmation(
        self, table: str, digest: bytes, known_at: float, now: float
    ) -> None:
        """Take another node's word on a read of a table."""
        if table == TABLE_OPERATOR:
            # Whoever has a newer row of an era has all before it as well.
            era, _, version = digest.partition(b".")
            equal = era == b"%d" % (self._config_rows.era or 0) and (
                version.isdigit() and int(version) <= self._newest
            )
            self._config_rows.apply_confirmation(equal, known_at, now)
        elif table == TABLE_SERVERS:
            equal = digest == self.servers.digest()
            self._server_rows.apply_confirmation(equal, known_at, now)

    def _config_digest(self) -> bytes:
        return b"%d.%d" % (self._config_rows.era or 0, self._newest)

    def _forget_versions(self) -> None:
        """Compare no row with versions that the store has given out again.

        Configurations and weights stay: operators write theirs again, and what was
        acknowledged never goes back.
        """
        self._newest = 0
        self.on_store_rollback()

    def set_pace(self, nodes: int, drain_s: float) -> None:
        """Read less often in a large fleet, but in time for every drain."""
        extra_s = PACE_NODE_S * nodes
        longest_s = max(SERVERS_PACE_S, PACE_FRACTION * drain_s)
        self._server_rows.pace_s = min(longest_s, SERVERS_PACE_S + extra_s)
        self._config_rows.wait_s = min(CONFIG_WAIT_MAX_S, CONFIG_WAIT_S + extra_s)
        if nodes > STORE_READERS:
            # What is told is dated by the sending of the read, so reads are short.
            self._config_rows.wait_s = READER_WAIT_S
        round_s = self._server_rows.pace_s + SERVERS_WAIT_S + CONFIRMATION_MARGIN_S
        self._server_rows.confirmation_fresh_s = max(
            CONFIRMATION_FRESH_S, min(round_s, CONFIRMATION_FRACTION * drain_s)
        )

    def reads(self, now: float) -> bool:
        """Tell whether this node itself has lately read what operators wrote."""
        return now - self._config_rows.read_at < READS_FRESH_S

    def complete(self) -> bool:
        """Tell whether enough is known to serve requests."""
        return self.catalog is not None and self.servers.known

    def target(self, model: str) -> int:
        """Return the version of a model that operators named last; 0 if none."""
        return self.weights.get(model, 0)

    def superseded_s(self, model: str, version: int, now: float) -> float | None:
        """Return how long ago a version was replaced by the next one that was named.

        None when that was before this node's start, 0 when it was not replaced.
        """
        for named, named_at in self.target_history.get(model, ()):
            if named > version:
                return None if named_at is None else now - named_at
        return 0.0

    def target_ages(self, now: float) -> tuple[TargetWeightsAge, ...]:
        """Return the ages of named weights that this node knows."""
        return tuple(
            TargetWeightsAge(model, version, now - named_at)
            for model, named in self.target_history.items()
            for version, named_at in named[-TARGET_AGES_MAX:]
            if named_at is not None
        )

    def apply_target_ages(
        self, reported: tuple[TargetWeightsAge, ...], now: float
    ) -> None:
        """Take over ages that this node, which may just have started, knows later."""
        for item in reported:
            known = dict(self.target_history.get(item.model, ()))
            known_at = known.get(item.version)
            if known_at is None or now - item.age_s < known_at:
                known[item.version] = now - item.age_s
                self.target_history[item.model] = sorted(known.items())

    def _take_operator_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            self._newest = max(self._newest, row.version)
            if row.version == 0:
                continue
            try:
                if row.key == KEY_CONFIG:
                    self._take_config(row)
                elif row.key.startswith(PREFIX_WEIGHTS):
                    self._take_weights(row)
            except MalformedRow as exc:
                self._count_malformed(TABLE_OPERATOR, row.key, exc)

    def _take_config(self, row: Row) -> None:
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

    def _take_weights(self, row: Row) -> None:
        target = read_weights(row.value)
        if target.version <= self.weights.get(target.model, 0):
            return
        self.weights[target.model] = target.version
        # What was named before this node started has no known age. Where a part of the
        # history is missing it may have been named any time since the last read.
        named_at = self._config_rows.unseen_since
        named = self.target_history.setdefault(target.model, [])
        # Another node may have told of it first.
        if target.version not in dict(named):
            named.append((target.version, named_at))
        _LOGGER.info(
            "Weights %d of %s are wanted",
            target.version,
            target.model,
            extra={"model": target.model, "weights": target.version},
        )
        self.on_target_weights()

    def _replace_servers(self, rows: tuple[Row, ...]) -> None:
        now = clock.now()
        entries = {row.key: entry for row in rows if (entry := self._entry(row))}
        self.servers.replace(entries, now)
        self.servers.sweep(now)

    def _take_servers(self, rows: tuple[Row, ...]) -> None:
        now = clock.now()
        for row in rows:
            entry = self._entry(row)
            if entry is not None:
                self.servers.update(entry)
            else:
                # An entry that cannot be read names no server to use.
                self.servers.remove(row.key, now)
        self.servers.sweep(now)

    def _entry(self, row: Row) -> ServerEntry | None:
        if row.version == 0:
            return None
        try:
            return read_server(row.key, row.value)
        except MalformedRow as exc:
            self._count_malformed(TABLE_SERVERS, row.key, exc)
            return None

    def _count_malformed(self, table: str, key: str, exc: MalformedRow) -> None:
        if (table, key) not in self._malformed:
            self._malformed.add((table, key))
            _LOGGER.warning("Ignored %s in table %s: %s", key, table, exc)


def _announce(
    rows: TableWatcher,
    announce: Callable[[str, bytes, list[Heartbeat]], None],
    heard: list[Heartbeat],
) -> None:
    if rows.reader:
        announce(rows.table, rows.digest(), heard)
