"""Define claims and what becomes of a non-idempotent request."""

import enum

from msgspec import Struct


class ClaimState(enum.Enum):
    """Name how far a claimed request has come."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Reply(Struct, frozen=True):
    """Hold a plain service's answer."""

    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True):
    """Hold the claim row of one idempotency key.

    A claim that took over another one cannot be released as not run, because the
    earlier attempt may have run.
    """

    attempt: str
    state: ClaimState
    fingerprint: str
    fence: int
    claimed_at_ms: int
    took_over: bool = False
    reply: Reply | None = None

    @property
    def abandoned_state(self) -> ClaimState:
        """Return the state to leave when this attempt does not dispatch."""
        return ClaimState.UNKNOWN if self.took_over else ClaimState.RELEASED


class NotRun(Struct, frozen=True):
    """Say truthfully that the request was not run."""

    code: str
    message: str
    retry_after_s: float = 1.0


class OutcomeUnknown(Struct, frozen=True):
    """Say that the request may or may not have run."""

    message: str


class Done(Struct, frozen=True):
    """Hold the answer of the one run; replayed when it was recorded before."""

    reply: Reply
    replayed: bool = False


class KeyReused(Struct, frozen=True):
    """Say that an idempotency key was used for another request."""


Outcome = NotRun | OutcomeUnknown | Done | KeyReused
