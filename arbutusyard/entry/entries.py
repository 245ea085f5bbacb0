"""Rank the entries that a client account should use."""

from msgspec import Struct

from arbutusyard.entry.models import Caller
from arbutusyard.membership.models import EntryView
from arbutusyard.routing.chain import rank


class EntryAddress(Struct, frozen=True):
    """Hold the address of one entry for clients."""

    address: str
    failure_domain: str


class EntriesReply(Struct, frozen=True):
    """List addresses in order of preference, valid for `keep_s` seconds."""

    entries: tuple[EntryAddress, ...]
    keep_s: float


def rank_entries(
    caller: Caller, prefix: str, entries: tuple[EntryView, ...], keep_s: float
) -> EntriesReply:
    """Return the entries for a client account, its home entry first.

    A large account has one home entry for each prefix instead of a single one.
    """
    key = caller.name
    if caller.account.large and prefix:
        key = f"{key}/{prefix}"
    by_name = {entry.name: entry for entry in entries}
    ranked = [by_name[name] for name in rank(key.encode(), by_name)]
    addresses = tuple(
        EntryAddress(e.address, e.failure_domain)
        for e in _spread_failure_domains(ranked)
    )
    return EntriesReply(addresses, keep_s)


def _spread_failure_domains(ranked: list[EntryView]) -> list[EntryView]:
    """Order the home entry, the best of each other failure domain, then the rest."""
    if not ranked:
        return []
    seen = {ranked[0].failure_domain}
    preferred, others = [ranked[0]], []
    for entry in ranked[1:]:
        if entry.failure_domain in seen:
            others.append(entry)
        else:
            seen.add(entry.failure_domain)
            preferred.append(entry)
    return preferred + others
