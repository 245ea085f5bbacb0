"""Find the segments and requests that crash servers, from crashes and from answers."""

import logging
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from hashlib import blake2b

from arbutusyard.gateway.models import CallerRequest, PromptSegment
from arbutusyard.quarantine.const import (
    AWAITED_CRASHES,
    BEGUN_CRASHES,
    CRASH_BEGUN_MAX,
    CRASH_REQUESTS_MAX,
    CRASHES_MAX,
    EVIDENCE_S,
    KEY_BYTES,
    NEWS_CRASHES_MAX,
    NEWS_HEARTBEATS,
    NEWS_QUARANTINED_MAX,
    NEWS_SOUND_MAX,
    QUARANTINE_FIRST_S,
    QUARANTINE_MAX_S,
    QUARANTINED_MAX,
    RECENT_BYTES_MAX,
    RECENT_MAX,
    REQUEST_KEY_BYTES,
    SEGMENTS_MAX,
    SETTLE_S,
    SHARED_CRASHES,
    SOUND_MAX,
    SOUND_NEWS_INTERVAL_S,
    SOUND_NEWS_MAX,
    SOUND_S,
    TOGETHER_S,
)
from arbutusyard.quarantine.models import (
    Crash,
    CrashedRequest,
    CrashReport,
    Incarnation,
    Judgement,
    Keys,
    Quarantine,
    Quarantined,
    QuarantineNews,
    QuarantineReport,
    Sound,
    SoundReport,
    Suspect,
)

_LOGGER = logging.getLogger(__name__)


def shared_keys(model: str, segments: tuple[PromptSegment, ...]) -> Keys:
    """Return a key for each segment but the last, which belongs to the request."""
    return tuple(
        blake2b(
            f"{len(model)}:{model}{segment.segment_id}".encode(), digest_size=KEY_BYTES
        ).digest()
        for segment in segments[:-1][-SEGMENTS_MAX:]
    )


def request_key(req: CallerRequest) -> bytes:
    """Return a key of a request's path, caller and body.

    It is keyed by what the caller authenticates with, so that no other caller can
    produce it.
    """
    digest = blake2b(
        digest_size=REQUEST_KEY_BYTES, key=blake2b(req.key.encode()).digest()
    )
    for part in (req.host.encode(), req.method, req.target, req.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def is_request_key(key: bytes) -> bool:
    """Tell whether a key is one of a whole request."""
    return len(key) == REQUEST_KEY_BYTES


class RecentAnswers:
    """Hold the requests that were answered last, without computing their keys."""

    __slots__ = ("_bytes", "_requests")

    def __init__(self) -> None:
        self._requests: deque[tuple[float, CallerRequest]] = deque()
        self._bytes = 0

    def add(self, req: CallerRequest, now: float) -> None:
        """Remember a request that was just answered."""
        self._requests.append((now, req))
        self._bytes += len(req.body)
        while len(self._requests) > RECENT_MAX or self._bytes > RECENT_BYTES_MAX:
            _, oldest = self._requests.popleft()
            self._bytes -= len(oldest.body)

    def take(self) -> list[tuple[float, bytes]]:
        """Return when which request was answered, by its key, and forget them."""
        taken = [(at, request_key(req)) for at, req in self._requests]
        self._requests.clear()
        self._bytes = 0
        return taken


class RequestQuarantine:
    """Judge requests by the crashes and the answers that all nodes have reported.

    A crash ends all requests of its server, so it is evidence against each segment of
    those whose answers had not begun, and against these requests as a whole, and proof
    against none. An answer proves its segments sound. What remains in several crashes
    is quarantined: keys that only occurred together are refused only together, as one
    of them may be sound.
    """

    __slots__ = (
        "_begun_suspects",
        "_crashes",
        "_me",
        "_own_crashes",
        "_quarantined",
        "_recent",
        "_report_offset",
        "_settles_at",
        "_sound",
        "_sound_news",
        "_sound_reported_at",
        "_suspects",
        "_suspects_requests",
        "_urgent_crashes",
        "_urgent_quarantined",
        "_urgent_sound",
        "on_news",
    )

    def __init__(self, me: str) -> None:
        self._me = me
        # When the newest answer on each segment came, in order of time.
        self._sound: OrderedDict[bytes, float] = OrderedDict()
        self._crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        # The segments that any of these crashes is evidence against.
        self._suspects: frozenset[bytes] = frozenset()
        # Those that were begun when a server crashed.
        self._begun_suspects: frozenset[bytes] = frozenset()
        self._suspects_requests = False
        self._quarantined: OrderedDict[Keys, Quarantine] = OrderedDict()
        self._recent = RecentAnswers()
        # What the next heartbeats repeat, and how often.
        self._own_crashes: dict[Incarnation, int] = {}
        self._sound_news: dict[bytes, int] = {}
        self._sound_reported_at: OrderedDict[bytes, float] = OrderedDict()
        self._report_offset = 0
        # What has not been reported yet, in order.
        self._urgent_crashes: dict[Incarnation, None] = {}
        self._urgent_quarantined: dict[Keys, None] = {}
        self._urgent_sound: dict[bytes, None] = {}
        # When the evidence of the newest crash is complete.
        self._settles_at: float | None = None
        # Called when the other nodes have to know something at once.
        self.on_news: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        """Return the number of sets of segments and of requests in quarantine."""
        return len(self._quarantined)

    def counts(self) -> tuple[int, int]:
        """Return how many sets of segments, and whole requests, are quarantined."""
        requests = sum(is_request_key(keys[-1]) for keys in self._quarantined)
        return len(self._quarantined) - requests, requests

    @property
    def judges_requests(self) -> bool:
        """Return whether any whole request is suspect or quarantined."""
        return self._suspects_requests or any(
            is_request_key(keys[-1]) for keys in self._quarantined
        )

    def judge(self, keys: Keys, now: float) -> Judgement:
        """Judge a request by the keys of its shared segments and its own.

        The request's own key matters only if `judges_requests`.
        """
        if not self._suspects and not self._quarantined:
            return Sound()
        self._settle(now)
        tried = suspect = begun = b""
        for quarantined, quarantine in self._quarantined.items():
            if _contains(keys, quarantined):
                if now < quarantine.until:
                    return Quarantined(quarantined, quarantine.until - now, quarantine)
                tried = quarantined[-1]
        for key in keys:
            if key in self._begun_suspects:
                begun = key
            elif key in self._suspects:
                suspect = key
        if not (tried or begun or suspect):
            return Sound()
        wait_s = 0.0 if self._settles_at is None else self._settles_at - now
        return Suspect(begun or tried or suspect, wait_s, bool(begun or tried))

    def record_answer(
        self, keys: Keys, now: float, req: CallerRequest | None = None
    ) -> None:
        """Record that a server answered a request, or began to, and did not crash.

        `req` is the request if its own key is not among the keys.
        """
        if req is not None:
            self._recent.add(req, now)
        for key in keys:
            if self._record_sound(key, now):
                self._report_sound(key, now)
                self.on_news()

    def has_unproven_key(self, keys: Keys, now: float) -> bool:
        """Tell whether a request has a key that is not known to be sound."""
        return any(not self._is_sound(key, now) for key in keys)

    def record_crash(
        self, incarnation: Incarnation, keys: Keys, begun: bool, now: float
    ) -> None:
        """Record that a server crashed before it answered a request, or began to."""
        request = CrashedRequest(keys, begun, keys[0])
        report = CrashReport(*incarnation, (request,))
        if self._add_crash(report, self._me, now):
            self._own_crashes[incarnation] = NEWS_HEARTBEATS
            self._urgent_crashes[incarnation] = None
            self._await_evidence(now)
            self.on_news()

    def apply(self, news: QuarantineNews, reporter: str, now: float) -> None:
        """Apply what another node reports."""
        for sound in news.sound[:NEWS_SOUND_MAX]:
            self._record_sound(sound.key, now - max(0.0, sound.age_s))
        changed = False
        for report in news.crashes:
            changed = self._add_crash(report, reporter, now) or changed
        for report in news.quarantined:
            self._apply_quarantine(report, reporter, now)
        if changed:
            self._await_evidence(now)
        if self._urgent_sound:
            self.on_news()

    def take_urgent(self, now: float) -> QuarantineNews | None:
        """Return what the other nodes have to know at once; None without news."""
        if not (self._urgent_crashes or self._urgent_quarantined or self._urgent_sound):
            return None
        news = QuarantineNews(
            self._crash_reports(self._urgent_crashes, now),
            self._sound_reports(self._urgent_sound, now),
            self._quarantine_reports(self._urgent_quarantined, now),
        )
        self._urgent_crashes.clear()
        self._urgent_quarantined.clear()
        self._urgent_sound.clear()
        return news

    def heartbeat_news(self, now: float) -> QuarantineNews | None:
        """Return what this node's next heartbeat repeats; None without news."""
        self._settle(now)
        self._forget(now)
        items = list(self._quarantined)
        start = self._report_offset % max(1, len(items))
        if len(items) > NEWS_QUARANTINED_MAX:
            self._report_offset = start + NEWS_QUARANTINED_MAX
            items = (items + items)[start : start + NEWS_QUARANTINED_MAX]
        news = QuarantineNews(
            self._crash_reports(self._own_crashes, now),
            self._sound_reports(self._sound_news, now),
            self._quarantine_reports(items, now),
        )
        _count_down(self._own_crashes)
        _count_down(self._sound_news)
        return news if news.crashes or news.sound or news.quarantined else None

    def _record_sound(self, key: bytes, answered_at: float) -> bool:
        """Record an answer on a segment; return whether that refutes evidence."""
        if answered_at < self._sound.get(key, answered_at):
            return False
        self._sound[key] = answered_at
        self._sound.move_to_end(key)
        while len(self._sound) > SOUND_MAX:
            self._sound.popitem(last=False)
        return self._refute(key, answered_at)

    def _is_sound(self, key: bytes, now: float) -> bool:
        answered_at = self._sound.get(key)
        return answered_at is not None and now - answered_at <= SOUND_S

    def _report_sound(self, key: bytes, now: float) -> None:
        """Tell the other nodes that a segment is sound, as one of them doubts it."""
        if now - self._sound_reported_at.get(key, -SOUND_S) < SOUND_NEWS_INTERVAL_S:
            return
        if len(self._sound_news) >= SOUND_NEWS_MAX:
            return
        self._sound_reported_at[key] = now
        self._sound_reported_at.move_to_end(key)
        while len(self._sound_reported_at) > SOUND_NEWS_MAX:
            self._sound_reported_at.popitem(last=False)
        self._sound_news[key] = NEWS_HEARTBEATS
        self._urgent_sound[key] = None

    def _add_crash(self, report: CrashReport, reporter: str, now: float) -> bool:
        """Add a node's evidence of a crash; return whether it is new."""
        incarnation = (report.server_id, report.started_at_ms)
        for answered_at, key in self._recent.take():
            self._record_sound(key, answered_at)
        suspects: list[CrashedRequest] = []
        for request in report.requests[:CRASH_BEGUN_MAX]:
            keys = []
            for key in request.keys[-SEGMENTS_MAX - 1 :]:
                if not self._is_sound(key, now):
                    keys.append(key)
                elif reporter != self._me:
                    self._report_sound(key, now)
            if keys:
                suspects.append(
                    CrashedRequest(tuple(keys), request.begun, request.first)
                )
        if not suspects:
            return False
        crash = self._crashes.get(incarnation)
        if crash is None:
            self._count_trials(suspects, now)
            crash = self._crashes[incarnation] = Crash(now - max(0.0, report.age_s))
            while len(self._crashes) > CRASHES_MAX:
                self._crashes.popitem(last=False)
        crash.reporters.add(reporter)
        changed = False
        for request in suspects:
            known = crash.requests.get(request.keys)
            most = CRASH_BEGUN_MAX if request.begun else CRASH_REQUESTS_MAX
            if known is None and len(crash.requests) >= most:
                continue
            crash.first_keys.add(request.first)
            if known is None or (request.begun and not known):
                crash.requests[request.keys] = request.begun
                changed = True
        return changed

    def _count_trials(self, requests: list[CrashedRequest], now: float) -> None:
        """Count another crash on quarantined segments; extend an ended quarantine."""
        for keys, quarantine in self._quarantined.items():
            if not any(_contains(request.keys, keys) for request in requests):
                continue
            quarantine.crashes += 1
            if now >= quarantine.until:
                quarantine.duration_s = min(QUARANTINE_MAX_S, 2 * quarantine.duration_s)
                quarantine.until = now + quarantine.duration_s
                self._urgent_quarantined[keys] = None
                self.on_news()
                _LOGGER.warning(
                    "Quarantine of %s goes on: a trial crashed a server",
                    _subject(keys),
                    extra={
                        "segment_keys": _hex(keys),
                        "crashes": quarantine.crashes,
                        "quarantine_s": quarantine.duration_s,
                    },
                )

    def _refute(self, key: bytes, answered_at: float) -> bool:
        """Drop the evidence that an answer refutes; return whether there was any.

        An answer long before a crash does not refute it.
        """
        found = key in self._suspects
        for keys, quarantine in list(self._quarantined.items()):
            if key in keys and quarantine.since - answered_at <= SOUND_S:
                found = True
                self._release(keys, key)
        if not found:
            return False
        for incarnation, crash in list(self._crashes.items()):
            if crash.at - answered_at > SOUND_S:
                continue
            requests: dict[Keys, bool] = {}
            for keys, begun in crash.requests.items():
                if rest := tuple(item for item in keys if item != key):
                    requests[rest] = begun or requests.get(rest, False)
            crash.requests = requests
            if not requests:
                del self._crashes[incarnation]
        self._update_suspects()
        return True

    def _release(self, keys: Keys, sound_key: bytes) -> None:
        """Release a segment; the others that were quarantined with it stay so."""
        quarantine = self._quarantined.pop(keys)
        _LOGGER.info(
            "Quarantine of %s ended: an answer came",
            _subject((sound_key,)),
            extra={"segment_keys": _hex(keys), "sound": sound_key.hex()},
        )
        rest = tuple(key for key in keys if key != sound_key)
        if rest and rest not in self._quarantined:
            self._quarantined[rest] = quarantine

    def _update_suspects(self) -> None:
        self._suspects = frozenset(
            key
            for crash in self._crashes.values()
            for keys in crash.requests
            for key in keys
        )
        self._begun_suspects = frozenset(
            key
            for crash in self._crashes.values()
            for keys, begun in crash.requests.items()
            if begun
            for key in keys
        )
        self._suspects_requests = any(is_request_key(key) for key in self._suspects)

    def _forget(self, now: float) -> None:
        """Forget evidence that is too old, and segments that nobody tries again."""
        old = [i for i, crash in self._crashes.items() if now - crash.at > EVIDENCE_S]
        for incarnation in old:
            del self._crashes[incarnation]
        if old:
            self._update_suspects()
        for keys, quarantine in list(self._quarantined.items()):
            if now - quarantine.until > EVIDENCE_S:
                del self._quarantined[keys]
                _LOGGER.info(
                    "Quarantine of %s ended: nobody tried again",
                    _subject(keys),
                    extra={"segment_keys": _hex(keys)},
                )

    def _await_evidence(self, now: float) -> None:
        self._update_suspects()
        self._settles_at = now + SETTLE_S

    def _settle(self, now: float) -> None:
        """Quarantine the segments that explain several crashes, if all is known."""
        if self._settles_at is None or now < self._settles_at:
            return
        self._settles_at = None
        while keys := self._most_suspect():
            self._quarantine(keys, now)

    def _most_suspect(self) -> Keys:
        """Return segments to quarantine, empty without any."""
        evidence = [
            (crash, suspects)
            for crash in self._crashes.values()
            if (suspects := self._unexplained(crash))
        ]
        awaited, begun = _count_crashes(evidence)
        firsts = {key for crash in self._crashes.values() for key in crash.first_keys}
        for _, suspects in evidence:
            keys = _distinct_keys(suspects, begun, awaited)
            if not keys or keys in self._quarantined:
                continue
            extra = (
                SHARED_CRASHES if len(keys) == 1 and self._leads(keys, firsts) else 0
            )
            if (
                begun[keys[0]] >= BEGUN_CRASHES + extra
                or awaited[keys[0]] >= AWAITED_CRASHES + extra
            ):
                return keys
        return ()

    def _unexplained(self, crash: Crash) -> dict[Keys, bool]:
        """Return the segments that a crash is evidence against, by request.

        One that quarantined segments explain is none against others.
        """
        present = {key for keys in crash.requests for key in keys}
        for quarantined in self._quarantined:
            if quarantined[0] not in present:
                continue
            if any(_contains(keys, quarantined) for keys in crash.requests):
                if len(quarantined) == 1:
                    return {}
                begun = any(
                    was_begun
                    for keys, was_begun in crash.requests.items()
                    if _contains(keys, quarantined)
                )
                return {quarantined: begun}
        return crash.requests

    def _leads(self, keys: Keys, firsts: set[bytes]) -> bool:
        """Tell whether a segment was the first of several in a prompt."""
        return keys[0] in firsts and any(
            keys[0] in item and len(item) > 1
            for crash in self._crashes.values()
            for item in crash.requests
        )

    def _quarantine(self, keys: Keys, now: float) -> None:
        crashes = {
            incarnation: crash
            for incarnation, crash in self._crashes.items()
            if any(_contains(item, keys) for item in crash.requests)
        }
        reporters = {name for crash in crashes.values() for name in crash.reporters}
        quarantine = Quarantine(
            now,
            now + QUARANTINE_FIRST_S,
            QUARANTINE_FIRST_S,
            len(crashes),
            tuple(server_id for server_id, _ in crashes),
            tuple(sorted(reporters)),
        )
        self._set_quarantine(keys, quarantine)
        self._urgent_quarantined[keys] = None
        self.on_news()
        _LOGGER.warning(
            "Quarantined %s: %d servers crashed",
            _subject(keys),
            len(crashes),
            extra={
                "segment_keys": _hex(keys),
                "servers": quarantine.servers,
                "reporters": quarantine.reporters,
                "quarantine_s": quarantine.duration_s,
            },
        )

    def _set_quarantine(self, keys: Keys, quarantine: Quarantine) -> None:
        """Quarantine segments; larger sets that contain them are not needed."""
        for item in list(self._quarantined):
            if item != keys and _contains(item, keys):
                del self._quarantined[item]
        self._quarantined[keys] = quarantine
        while len(self._quarantined) > QUARANTINED_MAX:
            self._quarantined.popitem(last=False)

    def _apply_quarantine(
        self, report: QuarantineReport, reporter: str, now: float
    ) -> None:
        keys = tuple(key for key in report.keys if not self._is_sound(key, now))
        for key in report.keys:
            if key not in keys:
                self._report_sound(key, now)
        if not keys or any(
            item != keys and _contains(keys, item) for item in self._quarantined
        ):
            return
        until = now + max(0.0, min(report.left_s, QUARANTINE_MAX_S))
        known = self._quarantined.get(keys)
        if known is not None:
            known.until = max(known.until, until)
            known.duration_s = max(known.duration_s, report.duration_s)
            return
        since = now - max(0.0, report.age_s)
        quarantine = Quarantine(since, until, report.duration_s, report.crashes)
        quarantine.reporters = (reporter,)
        self._set_quarantine(keys, quarantine)
        _LOGGER.warning(
            "Quarantined %s, as reported by node %s",
            _subject(keys),
            reporter,
            extra={
                "segment_keys": _hex(keys),
                "crashes": report.crashes,
                "age_s": round(report.age_s, 3),
                "quarantine_s": report.duration_s,
            },
        )

    def _crash_reports(
        self, incarnations: Iterable[Incarnation], now: float
    ) -> tuple[CrashReport, ...]:
        reports = []
        for incarnation in incarnations:
            crash = self._crashes.get(incarnation)
            if crash is not None and len(reports) < NEWS_CRASHES_MAX:
                requests = tuple(
                    CrashedRequest(
                        keys, begun, keys[0] if keys[0] in crash.first_keys else b""
                    )
                    for keys, begun in crash.requests.items()
                )
                reports.append(CrashReport(*incarnation, requests, now - crash.at))
        return tuple(reports)

    def _sound_reports(
        self, keys: Iterable[bytes], now: float
    ) -> tuple[SoundReport, ...]:
        known = ((key, self._sound.get(key)) for key in list(keys)[:NEWS_SOUND_MAX])
        return tuple(SoundReport(key, now - at) for key, at in known if at is not None)

    def _quarantine_reports(
        self, items: Iterable[Keys], now: float
    ) -> tuple[QuarantineReport, ...]:
        known = ((keys, self._quarantined.get(keys)) for keys in items)
        return tuple(
            QuarantineReport(
                keys, item.crashes, now - item.since, item.until - now, item.duration_s
            )
            for keys, item in known
            if item is not None
        )


def _contains(keys: Keys, subset: Keys) -> bool:
    return all(key in keys for key in subset)


def _subject(keys: Keys) -> str:
    return "a whole request" if is_request_key(keys[-1]) else "segments"


def _hex(keys: Keys) -> list[str]:
    return [key.hex() for key in keys]


def _count_crashes(
    evidence: list[tuple[Crash, dict[Keys, bool]]],
) -> tuple[Counter[bytes], Counter[bytes]]:
    """Count the crashes that are evidence against each key, and those just as begun.

    Of several crashes together only the first counts against a whole request.
    """
    awaited: Counter[bytes] = Counter()
    begun: Counter[bytes] = Counter()
    counted_at: dict[bytes, float] = {}
    for crash, suspects in sorted(evidence, key=lambda item: item[0].at):
        keys = {key for item in suspects for key in item}
        for key in [key for key in keys if is_request_key(key)]:
            if crash.at - counted_at.get(key, float("-inf")) < TOGETHER_S:
                keys.discard(key)
            else:
                counted_at[key] = crash.at
        awaited.update(keys)
        begun.update(
            keys & {key for item in suspects if suspects[item] for key in item}
        )
    return awaited, begun


def _distinct_keys(
    suspects: dict[Keys, bool], begun: Counter[bytes], awaited: Counter[bytes]
) -> Keys:
    """Return the segments of one request that explain a crash better than all others.

    Empty if requests without them explain it as well.
    """
    keys = {key for item in suspects for key in item}
    best = max((awaited[key], begun[key]) for key in keys)
    tied = {key for key in keys if (awaited[key], begun[key]) == best}
    for item in suspects:
        if tied <= set(item):
            return tuple(key for key in item if key in tied)
    return ()


def _count_down(counts: dict) -> None:
    """Count down the heartbeats that still repeat each item; drop it at 0."""
    for item in list(counts):
        counts[item] -= 1
        if counts[item] <= 0:
            del counts[item]
