"""Divide an account's limit between the entries that receive its requests."""


def entry_shares(
    own: dict[str, float], elsewhere: dict[str, float], limits: dict[str, int]
) -> dict[str, float]:
    """Return the fraction (0 to 1) of each account's limit that one entry may use.

    `own` is the demand on that entry, `elsewhere` that on all others; both and `limits`
    are in tokens a second.
    """
    return {
        account: share(own[account], elsewhere.get(account, 0.0), limits[account])
        for account in own
        if account in limits
    }


def share(own: float, elsewhere: float, limit: int) -> float:
    """Return the share by demand, or what the others leave if that is more."""
    total = own + elsewhere
    by_demand = own / total if total > 0 else 1.0
    unused = 1.0 - elsewhere / limit
    return min(1.0, max(by_demand, unused, 0.0))
