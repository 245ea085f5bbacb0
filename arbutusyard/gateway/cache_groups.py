"""Decide which accounts share cached segments.

The group of an account is part of its cache salt. It follows from the configuration in
force alone: accounts that share use a group that names all isolated accounts, so that
no segment that an account made before it was isolated is found by others after. Nobody
has to remember who made a segment.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from arbutusyard.gateway.models import Account

if TYPE_CHECKING:
    from arbutusyard.fleet.catalog import Catalog

# Begins the groups that are not the name of an account.
PREFIX: Final = "\x00"
# Group of all accounts while none is isolated, and of requests without an account.
OPEN_GROUP: Final = ""


class CacheGroups:
    """Assign the accounts of one version of the configuration to cache groups."""

    __slots__ = ("_known", "_shared_group", "isolated")

    def __init__(self, accounts: Iterable[Account]) -> None:
        accounts = tuple(accounts)
        self._known = frozenset(account.name for account in accounts)
        self.isolated = frozenset(a.name for a in accounts if a.isolated)
        self._shared_group = OPEN_GROUP
        if self.isolated:
            self._shared_group = f"{PREFIX}shared:{_digest(self.isolated)}"

    def is_private(self, account: Account | None) -> bool:
        """Tell whether an account shares nothing.

        One that the configuration no longer has does not share what its last requests
        make.
        """
        if account is None:
            return False
        return account.name in self.isolated or account.name not in self._known

    def owner(self, account: Account | None) -> str:
        """Return the name of an account that shares nothing; empty for any other."""
        return account.name if self.is_private(account) else ""

    def group(self, account: Account | None) -> str:
        """Return the cache group of an account, or of requests without one."""
        if not self.is_private(account):
            return self._shared_group
        if account.name and not account.name.startswith(PREFIX):
            return account.name
        return f"{PREFIX}account:{account.name}"


def cache_groups(catalog: "Catalog | None") -> CacheGroups:
    """Return the groups of the configuration in force."""
    return catalog.cache_groups if catalog is not None else CacheGroups(())


def has_changed(group: str, catalog: "Catalog | None", account: Account | None) -> bool:
    """Tell whether an account has another group than when it was placed."""
    return group != cache_groups(catalog).group(account)


def _digest(names: frozenset[str]) -> str:
    text = "".join(f"{len(name)}:{name}" for name in sorted(names))
    return blake2b(text.encode(), digest_size=16).hexdigest()
