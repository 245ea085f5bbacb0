"""Shed load by first refusing accounts above their fair share."""

from typing import Final

from arbutusyard.limits.bucket import DemandMeter

# Fraction of the wait bound above which fair shares are enforced.
PRESSURE_FRACTION: Final = 0.5
# Fraction of its fair share that an account may use under pressure.
SHARE_SLACK: Final = 0.95


class FairShare:
    """Admit requests by their expected wait.

    Under pressure, each account is limited to its max-min fair rate.
    """

    __slots__ = ("_admitted", "_requested")

    def __init__(self) -> None:
        self._requested: dict[str, DemandMeter] = {}
        self._admitted: dict[str, DemandMeter] = {}

    def admit(
        self,
        account: str,
        work_s: float,
        wait_s: float,
        bound_s: float,
        capacity: float,
        now: float,
    ) -> bool:
        """Return whether a request with this expected wait is admitted.

        `capacity` is the work that this entry's fraction of the engines does,
        in seconds of work a second.
        """
        self._meter(self._requested, account, now).add(work_s, now)
        if wait_s > bound_s:
            return False
        under_pressure = wait_s > PRESSURE_FRACTION * bound_s
        if under_pressure and self._over_share(account, capacity, now):
            return False
        self._meter(self._admitted, account, now).add(work_s, now)
        return True

    def _over_share(self, account: str, capacity: float, now: float) -> bool:
        # Little work may have been admitted recently because little was requested.
        # The capacity as the minimum keeps that from looking like a full system.
        admitted = sum(meter.rate(now) for meter in self._admitted.values())
        requested = [meter.rate(now) for meter in self._requested.values()]
        share = max_min_share(requested, max(admitted, capacity))
        used = self._meter(self._admitted, account, now).rate(now)
        return used > share * SHARE_SLACK

    @staticmethod
    def _meter(meters: dict[str, DemandMeter], account: str, now: float) -> DemandMeter:
        if account not in meters:
            meters[account] = DemandMeter(now)
        return meters[account]


def max_min_share(demands: list[float], capacity: float) -> float:
    """Return the rate up to which every demand can be met (max-min fairness)."""
    remaining = capacity
    unmet = sorted(demands)
    while unmet:
        share = remaining / len(unmet)
        if unmet[0] >= share:
            return share
        remaining -= unmet.pop(0)
    return float("inf")
