"""Look up routes and client accounts in the configuration in force."""

import hmac
import random
from hashlib import blake2b

from arbutusyard.gateway.cache_groups import CacheGroups
from arbutusyard.gateway.models import Account, Configuration, Route


class Catalog:
    """Index one version of the configuration."""

    __slots__ = ("_accounts", "_hosts", "cache_groups", "cfg")

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self.cache_groups = CacheGroups(cfg.accounts)
        self._accounts: dict[bytes, tuple[str, Account]] = {}
        for account in cfg.accounts:
            for key in account.keys:
                self._accounts[_digest(key)] = (key, account)

    @property
    def keyed(self) -> bool:
        """Return whether requests need a key."""
        return bool(self.cfg.accounts)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that a path starts with."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def account(self, key: str) -> Account | None:
        """Return the account that holds a key, compared in constant time."""
        found = self._accounts.get(_digest(key))
        if found is None or not hmac.compare_digest(found[0].encode(), key.encode()):
            return None
        return found[1]


def pick_service(route: Route, rng: random.Random) -> str | None:
    """Draw a service of a route by the weights of its shares; None without shares."""
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return route.shares[0].service if route.shares else None
    point = rng.random() * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _digest(key: str) -> bytes:
    return blake2b(key.encode(), digest_size=16).digest()
