"""Divide an account's limit between the entries that its requests reach."""


def entry_shares(
    own: dict[str, float], elsewhere: dict[str, float], limits: dict[str, int]
) -> dict[str, float]:
    """Return the fraction of each account's limit that one entry may use."""
    return {
        account: share(own[account], elsewhere.get(account, 0.0), limits[account])
        for account in own
        if account in limits
    }


def share(own: float, elsewhere: float, limit: int) -> float:
    """Return a fraction by demand, or what the others leave if that is more."""
    total = own + elsewhere
    by_demand = own / total if total > 0 else 1.0
    left = 1.0 - elsewhere / limit
    return min(1.0, max(by_demand, left, 0.0))
