"""Track which software versions serve each service, in the store before first use."""

import logging
from collections.abc import Iterable

import msgspec

from arbutusyard import clock
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.origins.const import (
    END_DELAY_S,
    LIFE_MARGIN_S,
    LIFE_TIMEOUT_FACTOR,
    RETRY_DELAY_S,
    TABLE_SOFTWARE,
    UNLIST_DELAY_S,
    WRITE_ATTEMPTS,
)
from arbutusyard.origins.models import AMBIGUOUS, SoftwareRow, VersionSpan
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.platform.models import Put, Row

_LOGGER = logging.getLogger(__name__)

# A service and a software version.
ServiceVersion = tuple[str, str]


class SoftwareVersions:
    """Hold the versions of the servers, and those that the store lists.

    The store lists a version before the first stream begins there, so its list proves
    which versions can have begun a stream that nobody remembers.
    """

    __slots__ = (
        "_catalog",
        "_client",
        "_fleet_state",
        "_life_s",
        "_listed",
        "_observed_changes",
        "_open",
        "_present",
        "_retry_at",
        "_seen_at",
        "_services",
    )

    def __init__(self, fleet_state: FleetState, client: PlatformClient | None) -> None:
        self._fleet_state = fleet_state
        self._client = client
        self._catalog: Catalog | None = None
        self._life_s = LIFE_MARGIN_S
        # Services to which routes send streams that may be resumed.
        self._services: set[str] = set()
        # Number of changes of the servers' table that `_present` takes into account.
        self._observed_changes = -1
        self._present: frozenset[ServiceVersion] = frozenset()
        # When each version was last among the servers, or first read from the store.
        self._seen_at: dict[ServiceVersion, float] = {}
        # Versions that this node has read to be listed as serving since it saw them.
        self._listed: set[ServiceVersion] = set()
        self._retry_at = float("-inf")
        # All versions that the store listed as serving when it was last read.
        self._open: set[ServiceVersion] = set()

    @property
    def life_s(self) -> float:
        """Return for how many seconds after its beginning a stream may be resumed."""
        self._read_config()
        return self._life_s

    def _read_config(self) -> None:
        """Read the configuration's resumable routes, if it is a new one."""
        catalog = self._fleet_state.catalog
        if catalog is self._catalog:
            return
        self._catalog = catalog
        routes = [r for r in catalog.cfg.routes if r.retry_policy is RetryPolicy.RESUME]
        timeout_s = max((route.timeout_s for route in routes), default=0.0)
        self._life_s = LIFE_TIMEOUT_FACTOR * timeout_s + LIFE_MARGIN_S
        self._services = {share.service for r in routes for share in r.shares}
        self._observed_changes = -1

    def is_listed(self, service: str, version: str) -> bool:
        """Return whether streams may begin at a version: the store lists it."""
        return self._client is None or (service, version) in self._listed

    def of_service(self, service: str, now: float) -> set[str]:
        """Return the versions of a service that this node saw in a stream's life."""
        self._observe(now)
        return {
            version
            for (name, version), seen_at in self._seen_at.items()
            if name == service and now - seen_at <= self.life_s
        }

    def read(self, service: str) -> set[str]:
        """Return the versions at which a stream that may be resumed can have begun.

        Raise PlatformError if the store cannot be read.
        """
        now = clock.now()
        possible = self.of_service(service, now)
        if self._client is None:
            return possible
        row = self._client.get(TABLE_SOFTWARE, service)
        store_s = self._client.store_time_s(now)
        for span in _decode(row):
            if span.ended_s is None or store_s - span.ended_s <= self.life_s:
                possible.add(span.version)
        return possible

    def handle_store_rollback(self) -> None:
        """List all versions again, since an older copy of the store may lack them."""
        self._listed.clear()

    def update(self, may_end: bool, now: float) -> None:
        """List new versions in the store; if `may_end`, also which ones have ended."""
        self._observe(now)
        if self._client is None:
            return
        for pair in list(self._listed):
            if now - self._seen_at[pair] > UNLIST_DELAY_S:
                self._listed.discard(pair)
        if now < self._retry_at:
            return
        unlisted = self._present - self._listed
        ended = {
            pair
            for pair in self._open - self._present
            if may_end and now - self._seen_at.setdefault(pair, now) > END_DELAY_S
        }
        for service in sorted({pair[0] for pair in unlisted | ended}):
            try:
                self._write(
                    service,
                    {version for name, version in unlisted if name == service},
                    {version for name, version in ended if name == service},
                )
            except PlatformError as exc:
                self._retry_at = clock.now() + RETRY_DELAY_S
                _LOGGER.warning(
                    "Cannot list the software versions of %s: %s", service, exc
                )
                return

    def _observe(self, now: float) -> None:
        """Record which versions the servers of resumable streams have now."""
        self._read_config()
        servers = self._fleet_state.servers
        if servers.changes != self._observed_changes:
            self._observed_changes = servers.changes
            self._present = frozenset(
                (server.entry.service, server.entry.software_version)
                for server in servers.servers.values()
                if server.entry.service in self._services
            )
        for pair in self._present:
            if pair not in self._seen_at:
                _LOGGER.info(
                    "Service %s has servers of software version %s",
                    *pair,
                    extra={"service": pair[0], "software_version": pair[1]},
                )
            self._seen_at[pair] = now

    def _write(self, service: str, new: set[str], ended: set[str]) -> None:
        for _ in range(WRITE_ATTEMPTS):
            row = self._client.get(TABLE_SOFTWARE, service)
            now = clock.now()
            spans = _decode(row)
            changed = merge_spans(
                spans, new, ended, self._client.store_time_s(now), self.life_s
            )
            value = msgspec.msgpack.encode(SoftwareRow(changed))
            if changed != spans and not self._client.put(
                Put(TABLE_SOFTWARE, service, value, row.version)
            ):
                continue
            serving = {(service, s.version) for s in changed if s.ended_s is None}
            self._open = {pair for pair in self._open if pair[0] != service} | serving
            self._listed |= serving & self._present
            if changed != spans:
                _LOGGER.info(
                    "Listed the software versions of %s: %s",
                    service,
                    ", ".join(sorted(version for _, version in serving)),
                    extra={"service": service, "ended": sorted(ended)},
                )
            return


def merge_spans(
    spans: tuple[VersionSpan, ...],
    new: Iterable[str],
    ended: Iterable[str],
    now_s: float,
    life_s: float,
) -> tuple[VersionSpan, ...]:
    """Return the versions with new ones and without those that ended long ago."""
    by_version = {span.version: span for span in spans}
    for version in sorted(ended):
        span = by_version.get(version)
        if span is not None and span.ended_s is None:
            by_version[version] = VersionSpan(version, span.began_s, now_s)
    for version in sorted(new):
        span = by_version.get(version)
        if span is None or span.ended_s is not None:
            began_s = span.began_s if span is not None else now_s
            by_version[version] = VersionSpan(version, began_s)
    return tuple(
        span
        for span in by_version.values()
        if span.ended_s is None or now_s - span.ended_s <= 2 * life_s
    )


def _decode(row: Row) -> tuple[VersionSpan, ...]:
    if row.version == 0:
        return ()
    try:
        return msgspec.msgpack.decode(row.value, type=SoftwareRow).versions
    except msgspec.DecodeError as exc:
        _LOGGER.warning(
            "Ignored a malformed list of software versions of %s: %s", row.key, exc
        )
        # Any version may have been listed there.
        return (VersionSpan(AMBIGUOUS, 0.0),)
