"""Record what clients and backend servers observe, and check the guarantees on it."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tests.soak.const import (
    CONTACT_S,
    DEADLY_BODY,
    DEADLY_CRASHES,
    DEADLY_RETRIES,
    DRAIN_S,
    QUOTAS,
    REVOKE_S,
)
from tests.soak.limits import LimitCheck
from tests.soak.quotas import QuotaCheck

# Kinds of requests whose answers are streams; clients resume those of a sequence.
STREAMS = ("stream", "sequence")
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Attempt:
    """One request as its client sent it, and the outcome that the client received."""

    request_id: str
    kind: str
    non_idempotent: bool
    key: str
    account: str
    node: str
    sent_at: float
    body: bytes = b""
    headers: tuple[str, ...] = ()
    # The start of the node whose process the request was sent to, counted from 1.
    start_count: int = 0
    # Prompt tokens and maximum output tokens, stated for streams.
    tokens: tuple[int, int] = (400, 12)
    status: int | None = None
    ended_at: float | None = None

    @property
    def process(self):
        """Return the process that the request was sent to: node and start."""
        return (self.node, self.start_count)


@dataclass(slots=True)
class Run:
    """One execution of a request by a backend server."""

    server_id: str
    started_at: float
    answered: bool = False  # the server sent its whole answer


@dataclass(slots=True)
class Ledger:
    """Collect attempts and runs; `violations` lists each violated guarantee.

    All times are in seconds since the soak began.
    """

    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    violations: list[str] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    draining_at: dict[str, float] = field(default_factory=dict)
    salt_scopes: dict[str, tuple] = field(default_factory=dict)
    token_holders: dict[int, str] = field(default_factory=dict)
    disturbed_at: dict[str, float] = field(default_factory=dict)
    # When each server crashed that ran a deadly request, and later runs of it.
    deadly_crashes: list[float] = field(default_factory=list)
    deadly_retries: int = 0
    # Resumed streams: tried, went on, and refused for good.
    resumes: Counter = field(default_factory=Counter)
    limits: LimitCheck = field(default_factory=LimitCheck)
    quotas: QuotaCheck = field(default_factory=QuotaCheck)
    # Requests that full servers rejected.
    full: int = 0
    started_at: float = field(default_factory=time.monotonic)

    def now(self):
        """Return the seconds since the soak began."""
        return time.monotonic() - self.started_at

    def log(self, text):
        """Append a line with the current time."""
        self.log_lines.append(f"{self.now():7.3f} {text}")

    def add_violation(self, rule, text):
        """Record that a guarantee was violated."""
        self.violations.append(f"{rule}: {text}")
        self.log(f"BROKEN {rule}: {text}")

    def mark_disturbed(self, *names):
        """Record that a fault affects nodes or the store now."""
        for name in names:
            self.disturbed_at[name] = self.now()

    def mark_harmed(self, node):
        """Record that a fault other than a regular shutdown affects a node now."""
        self.mark_disturbed(node, _harm_key(node))

    def is_undisturbed(self, *names):
        """Return whether no fault has affected any of them for CONTACT_S."""
        now = self.now()
        return all(
            now - self.disturbed_at.get(name, -CONTACT_S) >= CONTACT_S for name in names
        )

    def record_arrival(self, server_id, request):
        """Record that a request reached a backend server, and check its limit."""
        attempt = self.attempts.get(request.headers.get("request-id", ""))
        if attempt is None:
            # Orders and reports; their sender is not known, so each of them counts.
            process, excused = ("", 0), False
            self.limits.record_answer(server_id, process, -CONTACT_S)
        else:
            process = attempt.process
            excused = not self.is_undisturbed(attempt.node, server_id)
        excess = self.limits.record_arrival(server_id, process, excused, self.now())
        if excess:
            self.add_violation("LIMIT", excess)

    def record_run(self, server_id, request):
        """Record that a backend server begins to execute a request, and check it."""
        request_id = request.headers.get("request-id", "")
        attempt = self.attempts.get(request_id)
        run = Run(server_id, self.now())
        if attempt is None:
            self.add_violation("UNASKED", f"{server_id} runs {request_id!r}")
            return run
        self.runs[request_id].append(run)
        if attempt.non_idempotent and len(self.runs[request_id]) > 1:
            self.add_violation("TWICE", f"{request_id} at {server_id}")
        if attempt.status in NOT_RUN_STATUSES:
            self.add_violation("REFUSED", f"{request_id} runs after {attempt.status}")
        if "api-key" in request.headers:
            self.add_violation("UNASKED", f"{request_id} carries its key")
        if request.headers.get("tenant") != attempt.account:
            self.add_violation("UNASKED", f"{request_id} runs for another account")
        if request.body != attempt.body:
            self.add_violation("UNASKED", f"{request_id} has another body")
        if request.body == DEADLY_BODY:
            self._check_deadly(attempt)
        if attempt.account in QUOTAS:
            excused = not self.is_undisturbed(server_id)
            excess = self.quotas.record_run(attempt, excused, run.started_at)
            if excess:
                self.add_violation("QUOTA", excess)
        self._check_times(attempt, run)
        self._check_salt(request, attempt)
        return run

    def record_deadly_crash(self, server_id):
        """Record that a deadly request crashed a server."""
        self.deadly_crashes.append(self.now())
        self.log(f"{server_id} crashed by a request")

    def _check_deadly(self, attempt):
        """Check that a deadly request hardly comes again once it is known."""
        if len(self.deadly_crashes) < DEADLY_CRASHES:
            return
        known_at = self.deadly_crashes[DEADLY_CRASHES - 1] + CONTACT_S
        if self.now() <= known_at or not self.is_undisturbed(attempt.node):
            return
        self.deadly_retries += 1
        if self.deadly_retries > DEADLY_RETRIES:
            crashes = len(self.deadly_crashes)
            self.add_violation("BUDGET", f"{attempt.request_id} after {crashes}")

    def _check_times(self, attempt, run):
        """Check the bounds on removed keys and on draining servers."""
        revoked_at = self.revoked_at.get(attempt.key)
        if revoked_at is not None and attempt.sent_at > revoked_at + REVOKE_S:
            late_s = attempt.sent_at - revoked_at
            self.add_violation("REVOKED", f"{attempt.request_id} {late_s:.2f} s after")
        draining_at = self.draining_at.get(run.server_id)
        if draining_at is None or run.started_at <= draining_at + DRAIN_S:
            return
        if attempt.sent_at > draining_at + DRAIN_S and self.is_undisturbed(
            attempt.node, "store"
        ):
            late_s = run.started_at - draining_at
            self.add_violation("DRAIN", f"{attempt.request_id} at {late_s:.2f} s")

    def _check_salt(self, request, attempt):
        """Check that a cache salt is used by one isolated account and version only."""
        salt = request.headers.get("cache-salt")
        if salt is None:
            return
        isolated_account = attempt.account if attempt.account == "walled" else ""
        scope = (isolated_account, request.headers.get("expect-version"))
        if self.salt_scopes.setdefault(salt, scope) != scope:
            self.add_violation(
                "WALL", f"{attempt.request_id}: {self.salt_scopes[salt]}, {scope}"
            )

    def record_outcome(self, attempt, status, body, complete):
        """Record what a client received, and check it."""
        attempt.status = status
        attempt.ended_at = self.now()
        runs = self.runs.get(attempt.request_id, [])
        if status in NOT_RUN_STATUSES and attempt.non_idempotent and runs:
            self.add_violation("REFUSED", f"{attempt.request_id} {status} has run")
        if status == 200 and complete and attempt.kind != "sequence":
            self._check_answer(attempt, runs, body)
        if status is None and any(run.answered for run in runs):
            self._check_lost(attempt)

    def _check_lost(self, attempt):
        """Check that an answer that a backend server sent reached its client.

        This must hold while a node ends by SIGTERM, too.
        """
        if attempt.kind not in STREAMS and self.is_undisturbed(_harm_key(attempt.node)):
            self.add_violation("LOST", f"{attempt.request_id} of {attempt.node}")

    def _check_answer(self, attempt, runs, body):
        name = attempt.request_id
        if attempt.kind == "stream":
            total = int(body.rsplit(b"/", 1)[1].strip()) if b"/" in body else 0
            expected = b"".join(
                stream_event(name, n, total) for n in range(1, total + 1)
            )
            if not total or body != expected:
                self.add_violation("ORDER", f"{name}: {body[-80:]!r}")
        elif body not in {plain_body(run.server_id, name) for run in runs}:
            self.add_violation("MIXED", f"{name}: {body[:80]!r}")

    def record_order(self, holder, token):
        """Record the holder of an order's token; check that it is the only holder."""
        if self.token_holders.setdefault(token, holder) != holder:
            self.add_violation(
                "ONE", f"{holder} and {self.token_holders[token]} with {token}"
            )


def _harm_key(node):
    return f"{node} harmed"


def plain_body(server_id, request_id):
    """Return the answer that a server without streams gives to a request."""
    return f"{server_id} {request_id}\n".encode()


def stream_event(request_id, number, total):
    """Return one event of a stream; each event contains the total number of events."""
    return f"id: {number}\ndata: {request_id} {number}/{total}\n\n".encode()
