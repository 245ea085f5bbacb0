"""Claim a key in the platform's table before a request is dispatched."""

import logging
import uuid
from collections.abc import Callable

import msgspec
from msgspec import Struct

from arbutusyard.claims.const import (
    OUTCOME_BODY_MAX_BYTES,
    RECORD_DELAY_MAX_S,
    RECORD_DELAY_S,
    RECORD_TRIES,
    SETTLE_DELAY_S,
    SETTLE_TRIES,
    TABLE_CLAIMS,
    TAKEOVER_AFTER_S,
)
from arbutusyard.claims.exceptions import DispatchNeverLeft, DispatchUnsettled
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
    PlatformUnavailable,
    PlatformUnsettled,
)
from arbutusyard.platform.models import Put, Row

_LOGGER = logging.getLogger(__name__)

Dispatch = Callable[[int], Reply]


class ClaimedCall(Struct, frozen=True):
    """Describe a non-idempotent request and the number of this attempt at it."""

    account: str
    key: str
    fingerprint: str
    fenced: bool = False
    attempt: int = 1


class Held(Struct, frozen=True):
    """Hold a claim that this attempt has won."""

    claim: Claim
    version: int


class ClaimCoordinator:
    """Run each claimed call at most once and remember its outcome."""

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
        """Claim, dispatch and record; return the one outcome of the key."""
        match self._claim(call):
            case Held() as held:
                return self._dispatch(call, held, dispatch)
            case outcome:
                return outcome

    def _claim(self, call: ClaimedCall) -> Held | Outcome:
        try:
            row = self._platform.get(TABLE_CLAIMS, _key(call))
        except PlatformError:
            return _unreadable(call)
        existing = _claim(row)
        fence = 1
        took_over = False
        if existing is not None:
            if existing.fingerprint != call.fingerprint:
                return KeyReused()
            if not self._may_replace(call, existing):
                return _outcome_of(existing)
            fence = existing.fence + 1
            took_over = existing.state is not ClaimState.RELEASED
        claim = Claim(
            attempt=uuid.uuid4().hex,
            state=ClaimState.CLAIMED,
            fingerprint=call.fingerprint,
            fence=fence,
            claimed_at_ms=self._wall_ms(),
            took_over=took_over,
        )
        return self._insert(call, claim, row)

    def _may_replace(self, call: ClaimedCall, existing: Claim) -> bool:
        if existing.state is ClaimState.RELEASED:
            return True
        if not call.fenced or existing.state is ClaimState.DONE:
            return False
        age_s = (self._wall_ms() - existing.claimed_at_ms) / MS_PER_S
        return existing.state is ClaimState.UNKNOWN or age_s > TAKEOVER_AFTER_S

    def _insert(self, call: ClaimedCall, claim: Claim, row: Row) -> Held | Outcome:
        try:
            version = self._write(call, claim, row.version)
        except PlatformUnavailable:
            return _unreadable(call)
        except PlatformUnsettled:
            return self._settle(call, claim, row)
        if version:
            return Held(claim, version)
        return self._held_or_outcome(claim, self._read_back(call))

    def _held_or_outcome(self, claim: Claim, row: Row | None) -> Held | Outcome:
        found = None if row is None else _claim(row)
        if found is None:
            return OutcomeUnknown("another attempt may hold this key")
        if found.attempt == claim.attempt and found.state is ClaimState.CLAIMED:
            return Held(claim, row.version)
        if found.fingerprint != claim.fingerprint:
            return KeyReused()
        return _outcome_of(found)

    def _settle(self, call: ClaimedCall, claim: Claim, before: Row) -> Held | Outcome:
        """Find out whether a write took effect whose answer was lost.

        A row that still reads as before may yet change when the write arrives
        late; an abandoned row is put in its place so that it cannot.
        """
        row = self._read_back(call)
        if row is not None and row.version != before.version:
            return self._held_or_outcome(claim, row)
        if row is not None and self._block(call, claim, before):
            if claim.took_over:
                return OutcomeUnknown("an earlier attempt with this key may have run")
            return _store_down()
        self._release_later(call, claim.attempt)
        return OutcomeUnknown("the claim of this key could not be settled")

    def _block(self, call: ClaimedCall, claim: Claim, before: Row) -> bool:
        try:
            return bool(self._write(call, _abandoned(claim), before.version))
        except PlatformError:
            return False

    def _dispatch(self, call: ClaimedCall, held: Held, dispatch: Dispatch) -> Outcome:
        try:
            reply = dispatch(held.claim.fence)
        except DispatchNeverLeft as exc:
            self._finish(call, held, held.claim.abandoned_state, None)
            if held.claim.took_over:
                return OutcomeUnknown("an earlier attempt with this key may have run")
            return NotRun("backend_unreachable", str(exc))
        except DispatchUnsettled as exc:
            self._finish(call, held, ClaimState.UNKNOWN, None)
            return OutcomeUnknown(str(exc))
        kept = reply
        if len(reply.body) > OUTCOME_BODY_MAX_BYTES:
            kept = Reply(reply.status, reply.content_type, b"")
        self._finish(call, held, ClaimState.DONE, kept)
        return Done(reply)

    def _finish(
        self, call: ClaimedCall, held: Held, state: ClaimState, reply: Reply | None
    ) -> None:
        claim = msgspec.structs.replace(held.claim, state=state, reply=reply)
        try:
            self._write(call, claim, held.version)
        except PlatformError:
            self._background(
                lambda: self._change_later(call, claim.attempt, lambda _: claim)
            )

    def _change_later(
        self, call: ClaimedCall, attempt: str, change: Callable[[Claim], Claim]
    ) -> None:
        """Change an attempt's claim as soon as the platform is back."""
        delay_s = RECORD_DELAY_S
        for _ in range(RECORD_TRIES):
            try:
                row = self._platform.get(TABLE_CLAIMS, _key(call))
                found = _claim(row)
                if found is None or found.attempt != attempt:
                    return
                new = change(found)
                if found == new or self._write(call, new, row.version):
                    return
            except PlatformError:
                pass
            self._sleep(delay_s)
            delay_s = min(delay_s * 2, RECORD_DELAY_MAX_S)
        _LOGGER.error("Outcome of claim %s was not recorded", call.key)

    def _release_later(self, call: ClaimedCall, attempt: str) -> None:
        """Free a key whose claim may have been written but was never dispatched."""
        self._background(lambda: self._change_later(call, attempt, _abandoned))

    def _read_back(self, call: ClaimedCall) -> Row | None:
        for attempt in range(SETTLE_TRIES):
            try:
                return self._platform.get(TABLE_CLAIMS, _key(call))
            except PlatformError:
                self._sleep(SETTLE_DELAY_S * 2**attempt)
        return None

    def _write(self, call: ClaimedCall, claim: Claim, if_version: int) -> int:
        value = msgspec.msgpack.encode(claim)
        return self._platform.put(Put(TABLE_CLAIMS, _key(call), value, if_version))


def _key(call: ClaimedCall) -> str:
    return f"{call.account}/{call.key}"


def _claim(row: Row) -> Claim | None:
    if row.version == 0:
        return None
    return msgspec.msgpack.decode(row.value, type=Claim)


def _unreadable(call: ClaimedCall) -> Outcome:
    if call.attempt > 1:
        return OutcomeUnknown("the table that knows the earlier attempts is down")
    return _store_down()


def _abandoned(claim: Claim) -> Claim:
    return msgspec.structs.replace(claim, state=claim.abandoned_state)


def _store_down() -> NotRun:
    return NotRun("platform_unavailable", "the platform's table did not answer")


def _outcome_of(claim: Claim) -> Outcome:
    if claim.state is ClaimState.DONE and claim.reply is not None:
        return Done(claim.reply, replayed=True)
    if claim.state is ClaimState.RELEASED:
        return NotRun("claim_released", "the attempt that held this key did not run")
    return OutcomeUnknown("an earlier attempt with this key has no recorded outcome")
