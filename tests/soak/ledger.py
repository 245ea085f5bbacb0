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
    SHORT_VERSION_S,
)
from tests.soak.limits import LimitCheck
from tests.soak.quotas import QuotaCheck
from tests.soak.reach import ReachCheck
from tests.soak.walls import WallCheck

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
    complete: bool = False
    # Whether its node was cut off from all services when it was sent, or others were.
    group: str | None = None

    @property
    def process(self):
        """Return the process that the request was sent to: node and start."""
        return (self.node, self.start_count)


@dataclass(slots=True)
class Run:
    """One execution of a request by a backend server."""

    server_id: str
    started_at: float
    sender: str  # the node that sent the request to the server
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
    reach: ReachCheck = field(default_factory=ReachCheck)
    walls: WallCheck = field(default_factory=WallCheck)
    # Names of the nodes, by the IP address from which they reach servers.
    nodes_by_ip: dict[str, str] = field(default_factory=dict)
    # When weights were superseded by newer target weights, in runs that check it, and
    # the runs that began on such weights: how many, and the most time after it that
    # counted, in seconds.
    superseded_at: dict[int, float] | None = None
    superseded_runs: int = 0
    superseded_max_s: float = 0.0
    # Runs that another node than the client's sent to the server.
    forwarded: int = 0
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

    def record_run(self, server_id, request, weights=None):
        """Record that a backend server begins to execute a request, and check it."""
        request_id = request.headers.get("request-id", "")
        attempt = self.attempts.get(request_id)
        sender = self.nodes_by_ip.get(request.source, "")
        run = Run(server_id, self.now(), sender)
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
        self.forwarded += sender not in ("", attempt.node)
        self._check_times(attempt, run)
        if weights is not None and self.superseded_at is not None:
            self._check_weights(attempt, run, weights)
        self._check_salt(request, attempt)
        excused = not self.is_undisturbed(attempt.node, sender, "store")
        breach = self.walls.record_run(request, attempt, excused)
        if breach:
            self.add_violation("WALL", breach)
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
            attempt.node, run.sender, "store"
        ):
            late_s = run.started_at - draining_at
            self.add_violation("DRAIN", f"{attempt.request_id} at {late_s:.2f} s")

    def _check_weights(self, attempt, run, weights):
        """Check that a run does not begin on weights superseded for too long.

        That time counts since the store was last unstable or a link was disturbed. A
        node that is cut off from servers stays bound, but a request may be held up on
        its link.
        """
        superseded_at = self.superseded_at.get(weights)
        if superseded_at is None:
            return
        self.superseded_runs += 1
        since = max(
            superseded_at,
            self.disturbed_at.get("store", -CONTACT_S) + CONTACT_S,
            self.disturbed_at.get("links", -CONTACT_S),
        )
        late_s = run.started_at - since
        if not self.is_undisturbed(run.sender) or self.reach.was_cut(
            run.sender, "llm", run.started_at
        ):
            return
        self.superseded_max_s = max(self.superseded_max_s, late_s)
        if late_s > SHORT_VERSION_S:
            self.add_violation(
                "VERSION",
                f"{attempt.request_id} of {attempt.node}, sent by {run.sender}, at "
                f"{run.server_id} on {weights}, {late_s:.2f} s late, "
                f"{run.started_at - attempt.sent_at:.2f} s after it was sent",
            )

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
        attempt.complete = complete
        self._record_try(attempt, status == 200 and complete)
        runs = self.runs.get(attempt.request_id, [])
        if status in NOT_RUN_STATUSES and attempt.non_idempotent and runs:
            self.add_violation("REFUSED", f"{attempt.request_id} {status} has run")
        if status == 200 and attempt.kind == "stream":
            self._check_stream(attempt, body, complete)
        elif status == 200 and complete and attempt.kind != "sequence":
            self._check_answer(attempt, runs, body)
        if status is None and any(run.answered for run in runs):
            self._check_lost(attempt)

    def _record_try(self, attempt, served):
        """Record a first try if its node was in touch and its group lasted."""
        if any(line.startswith("Resumes:") for line in attempt.headers):
            return
        group = self.group(attempt.node)
        self.reach.record_try(group if group == attempt.group else None, served)

    def group(self, node):
        """Return the group of a node's tries now, or None if it is not in touch."""
        nodes = [n for n in self.nodes_by_ip.values() if self.is_undisturbed(n)]
        return self.reach.group(node, nodes, self.now())

    def _check_lost(self, attempt):
        """Check that an answer that a backend server sent reached its client.

        This must hold while a node ends by SIGTERM, too.
        """
        if attempt.kind in STREAMS or not self.is_undisturbed(_harm_key(attempt.node)):
            return
        for run in self.runs[attempt.request_id]:
            # The answer may have been lost on the way to another node or in its link.
            service = run.server_id.rstrip("-0123456789")
            if not self.is_undisturbed(_harm_key(run.sender)) or self.reach.was_cut(
                run.sender, service, self.now()
            ):
                return
        self.add_violation("LOST", f"{attempt.request_id} of {attempt.node}")

    def _check_stream(self, attempt, body, complete):
        """Check that a stream has each event once and in order, up to where it ends."""
        name = attempt.request_id
        first, end, _ = body.partition(b"\n\n")
        total = int(first.rsplit(b"/", 1)[1]) if end and b"/" in first else 0
        if not end and not complete:
            return
        expected = b"".join(stream_event(name, n, total) for n in range(1, total + 1))
        is_ordered = body == expected if complete else expected.startswith(body)
        if not total or not is_ordered:
            self.add_violation("ORDER", f"{name}: {body[-80:]!r}")

    def _check_answer(self, attempt, runs, body):
        name = attempt.request_id
        if body not in {plain_body(run.server_id, name) for run in runs}:
            self.add_violation("MIXED", f"{name}: {body[:80]!r}")

    def summarize_attempts(self):
        """Return each attempt and its runs as lists for a JSON file."""
        return [
            [a.request_id, a.node, a.group, a.sent_at, a.ended_at, a.status, a.complete]
            + [[r.server_id, r.sender, r.started_at] for r in self.runs.get(name, ())]
            for name, a in self.attempts.items()
        ]

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
