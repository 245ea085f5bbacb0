"""Specify how two would-be owners order one engine under a lease.

Time passes in ticks. A node's clock may miss one tick in a lease. A holder may pause at
any moment; what it sends after its last look at the clock arrives within the longest
delivery time, unless the engine checks fencing numbers, when it may come at any time.
"""

from typing import NamedTuple

from minicheck import Protocol

LEASE = 4
MARGIN = 1
DELIVERY = 2
FENCE_MAX = 3
RENEWALS_MAX = 1


class Owner(NamedTuple):
    fence: int = 0  # 0 when no lease is held
    valid: int = 0  # ticks left by its own clock
    missed: bool = False  # its clock has missed a tick in this lease
    unchanged: int = 0  # ticks since it saw the row change
    seen: int = 0  # row version that it saw last
    sending: int = 0  # fence of an order under way
    left: int = 0  # ticks until that order has arrived


class Faults(NamedTuple):
    no_delivery_wait: bool = False  # take over as soon as the lease has ended
    no_margin: bool = False  # use the lease to its last tick
    no_check_before_send: bool = False  # send without a look at the clock
    no_reset: bool = False  # count on although the row has changed


NO_FAULTS = Faults()


def protocol(checks_fence: bool, faults: Faults = NO_FAULTS) -> Protocol:
    spec = Spec(checks_fence, faults)
    return Protocol(
        name="leases",
        candidate=False,
        fields=("fence", "version", "a", "b", "engine", "went_back"),
        initial=(0, 0, Owner(), Owner(), 0, False),
        transitions=spec.transitions,
        invariants={"engine_never_goes_back": lambda s: not s["went_back"]},
    )


class Spec:
    def __init__(self, checks_fence, faults):
        self.checks_fence = checks_fence
        self.faults = faults

    def transitions(self, state):
        yield from self.ticks(state)
        for index in (2, 3):
            yield from self.steps(state, index)

    def ticks(self, state):
        for slow_a in (False, True):
            for slow_b in (False, True):
                after = self.tick(state, slow_a, slow_b)
                if after is not None:
                    yield f"tick, slow a {slow_a}, slow b {slow_b}", after

    def tick(self, state, slow_a, slow_b):
        owners = []
        for owner, slow in ((state[2], slow_a), (state[3], slow_b)):
            if slow and (owner.missed or not owner.fence):
                return None
            if owner.sending and owner.left == 0 and not self.checks_fence:
                return None
            owners.append(
                owner._replace(
                    valid=max(0, owner.valid - (not slow)),
                    missed=owner.missed or slow,
                    unchanged=min(LEASE + DELIVERY, owner.unchanged + 1),
                    left=max(0, owner.left - 1),
                )
            )
        return (*state[:2], *owners, *state[4:])

    def steps(self, state, index):
        fence, version, _, _, engine, went_back = state
        mine = state[index]
        name = "ab"[index - 2]

        def to(new, fence=fence, version=version, engine=engine, back=went_back):
            after = [fence, version, state[2], state[3], engine, back]
            after[index] = new
            return tuple(after)

        if mine.seen != version:
            unchanged = mine.unchanged if self.faults.no_reset else 0
            seen = mine._replace(seen=version, unchanged=unchanged)
            yield f"{name}: looks at the row", to(seen)
        yield from self.lease_steps(name, mine, fence, version, to)
        valid = mine.fence and (mine.valid > 0 or self.faults.no_check_before_send)
        if valid and not mine.sending:
            sent = mine._replace(
                sending=mine.fence, left=0 if self.checks_fence else DELIVERY
            )
            yield f"{name}: sends an order", to(sent)
        if mine.sending:
            arrived = mine._replace(sending=0, left=0)
            if self.checks_fence and mine.sending < engine:
                yield f"{name}: order is refused", to(arrived)
            else:
                back = went_back or mine.sending < engine
                yield (
                    f"{name}: order arrives",
                    to(arrived, engine=mine.sending, back=back),
                )

    def lease_steps(self, name, mine, fence, version, to):
        length = LEASE if self.faults.no_margin else LEASE - MARGIN
        if mine.fence and mine.fence == fence and version < fence + RENEWALS_MAX:
            renewed = mine._replace(
                valid=length, missed=False, seen=version + 1, unchanged=0
            )
            yield f"{name}: renews", to(renewed, version=version + 1)
        if mine.fence and mine.valid == 0:
            yield f"{name}: lets go", to(mine._replace(fence=0))
        wait = LEASE if self.faults.no_delivery_wait else LEASE + DELIVERY
        expired = fence == 0 or (mine.seen == version and mine.unchanged >= wait)
        if not mine.fence and expired and fence < FENCE_MAX:
            taken = mine._replace(
                fence=fence + 1,
                valid=length,
                missed=False,
                seen=version + 1,
                unchanged=0,
            )
            yield (
                f"{name}: takes the lease",
                to(taken, fence=fence + 1, version=version + 1),
            )
