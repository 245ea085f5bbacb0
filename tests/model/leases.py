"""Specify how two nodes competing for a lease send orders to one engine.

Time passes in ticks. A node's clock may miss one tick per lease. A holder may pause at
any moment. An order that it sends after its last check of the clock arrives within the
maximum delivery time; if the engine checks fencing tokens, it may arrive at any time.
"""

from typing import NamedTuple

from minicheck import Protocol

# Lease duration, in ticks.
LEASE_TICKS = 4
# Ticks before the lease's end at which its holder stops using it.
MARGIN_TICKS = 1
# Maximum delivery time of an order, in ticks.
DELIVERY_TICKS = 2
# Number of leases granted before the model stops.
MAX_FENCING_TOKEN = 3
# Maximum number of renewals in all.
MAX_RENEWALS = 1


class Owner(NamedTuple):
    """The local state of a node that holds the lease or waits for it."""

    fencing_token: int = 0  # 0 if it holds no lease
    valid_ticks: int = 0  # ticks until its lease expires, by its own clock
    missed_tick: bool = False  # its clock has missed a tick in this lease
    unchanged_ticks: int = 0  # ticks since it last saw the lease row change
    seen_version: int = 0  # row version that it read last
    sent_token: int = 0  # fencing token of its order in flight, or 0
    delivery_ticks: int = 0  # ticks left within which that order must arrive


class Faults(NamedTuple):
    """Disable one protocol rule each; the check must then find a counterexample."""

    no_delivery_wait: bool = False  # take over as soon as the lease has expired
    no_margin: bool = False  # use the lease until its last tick
    no_check_before_send: bool = False  # send without checking the clock
    no_reset: bool = False  # don't restart the wait when the row has changed


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
    """The transitions of the protocol."""

    def __init__(self, checks_fence, faults):
        self.checks_fence = checks_fence
        self.faults = faults

    def transitions(self, state):
        """Yield every tick and every step of either node, with the state after it."""
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
        """Return the state after a tick, or None if that tick is not possible.

        A clock can miss only one tick per lease. Unless the engine checks fencing
        tokens, no tick passes while an order at its maximum delivery time is in flight.
        """
        owners = []
        for owner, slow in ((state[2], slow_a), (state[3], slow_b)):
            if slow and (owner.missed_tick or not owner.fencing_token):
                return None
            if owner.sent_token and owner.delivery_ticks == 0 and not self.checks_fence:
                return None
            owners.append(
                owner._replace(
                    valid_ticks=max(0, owner.valid_ticks - (not slow)),
                    missed_tick=owner.missed_tick or slow,
                    unchanged_ticks=min(
                        LEASE_TICKS + DELIVERY_TICKS, owner.unchanged_ticks + 1
                    ),
                    delivery_ticks=max(0, owner.delivery_ticks - 1),
                )
            )
        return (*state[:2], *owners, *state[4:])

    def steps(self, state, index):
        """Yield what one node can do: read the row, use the lease, send an order."""
        token, version, _, _, engine, went_back = state
        owner = state[index]
        name = "ab"[index - 2]

        def successor(
            new, token=token, version=version, engine=engine, reverted=went_back
        ):
            after = [token, version, state[2], state[3], engine, reverted]
            after[index] = new
            return tuple(after)

        if owner.seen_version != version:
            unchanged = owner.unchanged_ticks if self.faults.no_reset else 0
            read = owner._replace(seen_version=version, unchanged_ticks=unchanged)
            yield f"{name}: looks at the row", successor(read)
        yield from self.lease_steps(name, owner, token, version, successor)
        may_send = owner.fencing_token and (
            owner.valid_ticks > 0 or self.faults.no_check_before_send
        )
        if may_send and not owner.sent_token:
            sent = owner._replace(
                sent_token=owner.fencing_token,
                delivery_ticks=0 if self.checks_fence else DELIVERY_TICKS,
            )
            yield f"{name}: sends an order", successor(sent)
        if owner.sent_token:
            arrived = owner._replace(sent_token=0, delivery_ticks=0)
            if self.checks_fence and owner.sent_token < engine:
                yield f"{name}: order is refused", successor(arrived)
            else:
                reverted = went_back or owner.sent_token < engine
                yield (
                    f"{name}: order arrives",
                    successor(arrived, engine=owner.sent_token, reverted=reverted),
                )

    def lease_steps(self, name, owner, token, version, successor):
        """Yield how one node can renew, release or take the lease."""
        length_ticks = (
            LEASE_TICKS if self.faults.no_margin else LEASE_TICKS - MARGIN_TICKS
        )
        if (
            owner.fencing_token
            and owner.fencing_token == token
            and version < token + MAX_RENEWALS
        ):
            renewed = owner._replace(
                valid_ticks=length_ticks,
                missed_tick=False,
                seen_version=version + 1,
                unchanged_ticks=0,
            )
            yield f"{name}: renews", successor(renewed, version=version + 1)
        if owner.fencing_token and owner.valid_ticks == 0:
            yield f"{name}: lets go", successor(owner._replace(fencing_token=0))
        wait_ticks = (
            LEASE_TICKS
            if self.faults.no_delivery_wait
            else LEASE_TICKS + DELIVERY_TICKS
        )
        expired = token == 0 or (
            owner.seen_version == version and owner.unchanged_ticks >= wait_ticks
        )
        if not owner.fencing_token and expired and token < MAX_FENCING_TOKEN:
            taken = owner._replace(
                fencing_token=token + 1,
                valid_ticks=length_ticks,
                missed_tick=False,
                seen_version=version + 1,
                unchanged_ticks=0,
            )
            yield (
                f"{name}: takes the lease",
                successor(taken, token=token + 1, version=version + 1),
            )
