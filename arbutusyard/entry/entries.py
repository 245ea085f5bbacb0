"""Rank the entries that a caller should use."""

from msgspec import Struct

from arbutusyard.entry.models import Caller
from arbutusyard.membership.models import EntryView
from arbutusyard.routing.chain import rank


class EntryAddress(Struct, frozen=True):
    """Name one address that callers may use."""

    address: str
    failure_domain: str


class EntriesReply(Struct, frozen=True):
    """List addresses in the order of their use."""

    entries: tuple[EntryAddress, ...]
    keep_s: float


def entries_for(
    caller: Caller, prefix: str, entries: tuple[EntryView, ...], keep_s: float
) -> EntriesReply:
    """Rank the entries for a caller, its home first."""
    key = caller.name
    if caller.account.large and prefix:
        key = f"{key}/{prefix}"
    by_name = {entry.name: entry for entry in entries}
    ranked = [by_name[name] for name in rank(key.encode(), by_name)]
    addresses = tuple(
        EntryAddress(e.address, e.failure_domain) for e in _spread(ranked)
    )
    return EntriesReply(addresses, keep_s)


def _spread(ranked: list[EntryView]) -> list[EntryView]:
    """Put the home first, then the best of other failure domains, then the rest."""
    if not ranked:
        return []
    seen = {ranked[0].failure_domain}
    first, later = [ranked[0]], []
    for entry in ranked[1:]:
        if entry.failure_domain in seen:
            later.append(entry)
        else:
            seen.add(entry.failure_domain)
            first.append(entry)
    return first + later
