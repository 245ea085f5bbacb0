"""Claim an idempotency key in the platform's table before dispatching a request."""

import logging
import uuid
from collections.abc import Callable

import msgspec
from msgspec import Struct

from arbutusyard.claims.const import (
    OUTCOME_BODY_MAX_BYTES,
    READ_BACK_ATTEMPTS,
    READ_BACK_DELAY_S,
    RECORD_ATTEMPTS,
    RECORD_DELAY_MAX_S,
    RECORD_DELAY_S,
    TABLE_CLAIMS,
    TAKEOVER_AFTER_S,
)
from arbutusyard.claims.exceptions import DispatchNotSent, DispatchOutcomeUnknown
from arbutusyard.claims.models import (
    Claim,
    ClaimState,
    Done,
    KeyReused,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reply,
)
from arbutusyard.const import MS_PER_S
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from arbutusyard.platform.models import Put, Row

_LOGGER = logging.getLogger(__name__)

# Sends the request with a fencing token and returns the service's answer.
Dispatch = Callable[[int], Reply]


class ClaimedCall(Struct, frozen=True):
    """Describe one attempt at a non-idempotent request.

    `fenced` states whether the service checks the fencing token.
    """

    account: str
    key: str
    fingerprint: str
    fenced: bool = False
    attempt: int = 1


class AcquiredClaim(Struct, frozen=True):
    """Hold the claim that this attempt acquired, and the version of its row."""

    claim: Claim
    version: int


class ClaimCoordinator:
    """Run each claimed call at most once and record its outcome."""

    __slots__ = ("_background", "_platform", "_sleep", "_wall_ms")

    def __init__(
        self,
        platform: PlatformClient,
        sleep: Callable[[float], None],
        wall_ms: Callable[[], int],
        background: Callable[[Callable[[], None]], None],
    ) -> None:
        self._platform = platform
        self._sleep = sleep
        self._wall_ms = wall_ms
        self._background = background

    def run(self, call: ClaimedCall, dispatch: Dispatch) -> Outcome:
        """Return the one outcome of the call's key.

        The call is dispatched, and its outcome recorded, only if this attempt acquires
        the claim.
        """
        match self._acquire(call):
            case AcquiredClaim() as acquired:
                return self._dispatch(call, acquired, dispatch)
            case outcome:
                return outcome

    def _acquire(self, call: ClaimedCall) -> AcquiredClaim | Outcome:
        try:
            row = self._platform.get(TABLE_CLAIMS, _key(call))
        except PlatformError:
            return _table_unavailable(call)
        existing = _decode_claim(row)
        fencing_token = 1
        took_over = False
        if existing is not None:
            if existing.fingerprint != call.fingerprint:
                return KeyReused()
            if not self._is_replaceable(call, existing):
                return _outcome_of_claim(existing)
            fencing_token = existing.fence + 1
            took_over = existing.state is not ClaimState.RELEASED
        claim = Claim(
            attempt=uuid.uuid4().hex,
            state=ClaimState.CLAIMED,
            fingerprint=call.fingerprint,
            fence=fencing_token,
            claimed_at_ms=self._wall_ms(),
            took_over=took_over,
        )
        return self._write_claim(call, claim, row)

    def _is_replaceable(self, call: ClaimedCall, existing: Claim) -> bool:
        if existing.state is ClaimState.RELEASED:
            return True
        if not call.fenced or existing.state is ClaimState.DONE:
            return False
        age_s = (self._wall_ms() - existing.claimed_at_ms) / MS_PER_S
        return existing.state is ClaimState.UNKNOWN or age_s > TAKEOVER_AFTER_S

    def _write_claim(
        self, call: ClaimedCall, claim: Claim, row: Row
    ) -> AcquiredClaim | Outcome:
        try:
            version = self._put_claim(call, claim, row.version)
        except PlatformUnavailable:
            return _table_unavailable(call)
        except PlatformOutcomeUnknown:
            return self._resolve_lost_write(call, claim, row)
        if version:
            return AcquiredClaim(claim, version)
        return self._acquired_or_outcome(claim, self._read_row_with_retries(call))

    def _acquired_or_outcome(
        self, claim: Claim, row: Row | None
    ) -> AcquiredClaim | Outcome:
        found = None if row is None else _decode_claim(row)
        if found is None:
            return OutcomeUnknown("another attempt may hold this key")
        if found.attempt == claim.attempt and found.state is ClaimState.CLAIMED:
            return AcquiredClaim(claim, row.version)
        if found.fingerprint != claim.fingerprint:
            return KeyReused()
        return _outcome_of_claim(found)

    def _resolve_lost_write(
        self, call: ClaimedCall, claim: Claim, before: Row
    ) -> AcquiredClaim | Outcome:
        """Find out whether a claim write with a lost answer took effect.

        The write may still arrive late even if the row reads as before. Writing an
        abandoned claim in its place changes the row's version, so that the late write
        is rejected.
        """
        row = self._read_row_with_retries(call)
        if row is not None and row.version != before.version:
            return self._acquired_or_outcome(claim, row)
        if row is not None and self._overwrite_abandoned(call, claim, before):
            if claim.took_over:
                return OutcomeUnknown("an earlier attempt with this key may have run")
            return _platform_unavailable()
        self._release_in_background(call, claim.attempt)
        return OutcomeUnknown("the claim of this key could not be settled")

    def _overwrite_abandoned(
        self, call: ClaimedCall, claim: Claim, before: Row
    ) -> bool:
        try:
            return bool(self._put_claim(call, _abandoned_claim(claim), before.version))
        except PlatformError:
            return False

    def _dispatch(
        self, call: ClaimedCall, acquired: AcquiredClaim, dispatch: Dispatch
    ) -> Outcome:
        try:
            reply = dispatch(acquired.claim.fence)
        except DispatchNotSent as exc:
            self._record_outcome(call, acquired, acquired.claim.abandoned_state, None)
            if acquired.claim.took_over:
                return OutcomeUnknown("an earlier attempt with this key may have run")
            return NotRun("backend_unreachable", str(exc))
        except DispatchOutcomeUnknown as exc:
            self._record_outcome(call, acquired, ClaimState.UNKNOWN, None)
            return OutcomeUnknown(str(exc))
        stored_reply = reply
        if len(reply.body) > OUTCOME_BODY_MAX_BYTES:
            stored_reply = Reply(reply.status, reply.content_type, b"")
        self._record_outcome(call, acquired, ClaimState.DONE, stored_reply)
        return Done(reply)

    def _record_outcome(
        self,
        call: ClaimedCall,
        acquired: AcquiredClaim,
        state: ClaimState,
        reply: Reply | None,
    ) -> None:
        claim = msgspec.structs.replace(acquired.claim, state=state, reply=reply)
        try:
            self._put_claim(call, claim, acquired.version)
        except PlatformError:
            self._background(
                lambda: self._update_with_retries(call, claim.attempt, lambda _: claim)
            )

    def _update_with_retries(
        self, call: ClaimedCall, attempt: str, change: Callable[[Claim], Claim]
    ) -> None:
        """Update an attempt's claim once the platform is available again."""
        delay_s = RECORD_DELAY_S
        for _ in range(RECORD_ATTEMPTS):
            try:
                row = self._platform.get(TABLE_CLAIMS, _key(call))
                found = _decode_claim(row)
                if found is None or found.attempt != attempt:
                    return
                updated = change(found)
                if found == updated or self._put_claim(call, updated, row.version):
                    return
            except PlatformError:
                pass
            self._sleep(delay_s)
            delay_s = min(delay_s * 2, RECORD_DELAY_MAX_S)
        _LOGGER.error(
            "Could not record the outcome of claim %s: all updates of its row failed",
            call.key,
        )

    def _release_in_background(self, call: ClaimedCall, attempt: str) -> None:
        """Release a key whose claim may have been written but was never dispatched."""
        self._background(
            lambda: self._update_with_retries(call, attempt, _abandoned_claim)
        )

    def _read_row_with_retries(self, call: ClaimedCall) -> Row | None:
        for attempt in range(READ_BACK_ATTEMPTS):
            try:
                return self._platform.get(TABLE_CLAIMS, _key(call))
            except PlatformError:
                self._sleep(READ_BACK_DELAY_S * 2**attempt)
        return None

    def _put_claim(self, call: ClaimedCall, claim: Claim, if_version: int) -> int:
        value = msgspec.msgpack.encode(claim)
        return self._platform.put(Put(TABLE_CLAIMS, _key(call), value, if_version))


def _key(call: ClaimedCall) -> str:
    return f"{call.account}/{call.key}"


def _decode_claim(row: Row) -> Claim | None:
    if row.version == 0:
        return None
    return msgspec.msgpack.decode(row.value, type=Claim)


def _table_unavailable(call: ClaimedCall) -> Outcome:
    if call.attempt > 1:
        return OutcomeUnknown("the table that knows the earlier attempts is down")
    return _platform_unavailable()


def _abandoned_claim(claim: Claim) -> Claim:
    return msgspec.structs.replace(claim, state=claim.abandoned_state)


def _platform_unavailable() -> NotRun:
    return NotRun("platform_unavailable", "the platform's table did not answer")


def _outcome_of_claim(claim: Claim) -> Outcome:
    if claim.state is ClaimState.DONE and claim.reply is not None:
        return Done(claim.reply, replayed=True)
    if claim.state is ClaimState.RELEASED:
        return NotRun("claim_released", "the attempt that held this key did not run")
    return OutcomeUnknown("an earlier attempt with this key has no recorded outcome")
