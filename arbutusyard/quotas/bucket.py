"""Account for what a leader may still grant, or a node may still spend."""

from collections import deque

from arbutusyard.quotas.const import HEADROOMS_MAX, REFUND_MAX_AGE_S


class Bucket:
    """Hold a level that rises at a rate up to a capacity.

    A charge may be taken back later. The level then rises only as far as it would be
    higher if the charge had never been made: what flowed over the capacity since then
    would have been lost. So charges that stay never exceed the rate and the capacity.
    """

    __slots__ = (
        "_headrooms",
        "capacity",
        "full_since",
        "level",
        "rate_s",
        "updated_at",
    )

    def __init__(self, now: float, rate_s: float = 0.0, capacity: float = 0.0) -> None:
        # What ran before is not known, so the bucket starts empty.
        self.level = 0.0
        self.rate_s = rate_s
        self.capacity = capacity
        self.updated_at = now
        # Time since when the bucket has been full; None if it is not.
        self.full_since: float | None = None
        # Times and values of capacity - level, of which no later one is lower.
        self._headrooms: deque[tuple[float, float]] = deque([(now, capacity)])

    def settle(self, now: float) -> None:
        """Raise the level by what the time since the last call has brought."""
        elapsed_s = now - self.updated_at
        if elapsed_s > 0:
            self.updated_at = now
            missing = self.capacity - self.level
            self.level = min(self.capacity, self.level + self.rate_s * elapsed_s)
            if self.level >= self.capacity and self.full_since is None:
                needed_s = missing / self.rate_s if self.rate_s > 0 else elapsed_s
                self.full_since = now - max(0.0, elapsed_s - needed_s)
        self._note_headroom(now)

    def reshape(self, rate_s: float, capacity: float, now: float) -> None:
        """Change the rate and the capacity; the level is never raised."""
        self.settle(now)
        if (rate_s, capacity) == (self.rate_s, self.capacity):
            return
        self.rate_s, self.capacity = rate_s, capacity
        self.level = min(self.level, capacity)
        self.full_since = now if self.level >= capacity else None
        self._note_headroom(now)

    def charge(self, cost: float) -> None:
        """Lower the level, which has been settled."""
        self.level -= cost
        if cost > 0:
            self.full_since = None

    def add(self, amount: float, now: float) -> float:
        """Raise the level up to the capacity; return what did not fit."""
        self.settle(now)
        fitting = min(amount, max(0.0, self.capacity - self.level))
        self.level += fitting
        self._note_headroom(now)
        return amount - fitting

    def refund(self, cost: float, charged_at: float, now: float) -> None:
        """Take back a charge, or as much of it as has not flowed over since."""
        self.settle(now)
        if now - charged_at > REFUND_MAX_AGE_S:
            return
        before = [item for item in self._headrooms if item[0] <= charged_at]
        after = [item for item in self._headrooms if item[0] > charged_at]
        headroom = after[0][1] if after else self.capacity - self.level
        amount = min(cost, headroom)
        if amount <= 0:
            return
        self.level += amount
        self._headrooms = deque(before)
        for at, headroom in after:
            self._append_headroom(at, headroom - amount)
        self._note_headroom(now)

    def _note_headroom(self, now: float) -> None:
        self._append_headroom(now, self.capacity - self.level)
        while now - self._headrooms[0][0] > REFUND_MAX_AGE_S:
            self._headrooms.popleft()

    def _append_headroom(self, at: float, headroom: float) -> None:
        headrooms = self._headrooms
        while headrooms and headrooms[-1][1] >= headroom:
            headrooms.pop()
        headrooms.append((at, headroom))
        if len(headrooms) > HEADROOMS_MAX:
            # The lower value stands for both, so less is refunded at the most.
            _, lower = headrooms.popleft()
            headrooms[0] = (headrooms[0][0], lower)
