"""Test which segments are quarantined, by crashes and answers that nodes see."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusyard.gateway.models import CallerRequest, PromptSegment
from arbutusyard.quarantine.const import (
    CRASH_BEGUN_MAX,
    CRASH_REQUESTS_MAX,
    EVIDENCE_S,
    NEWS_HEARTBEATS,
    QUARANTINE_FIRST_S,
    QUARANTINED_MAX,
    RECENT_BYTES_MAX,
    RECENT_MAX,
    SETTLE_S,
    SOUND_MAX,
    SOUND_S,
)
from arbutusyard.quarantine.coordinator import (
    RequestQuarantine,
    is_request_key,
    request_key,
    shared_keys,
)
from arbutusyard.quarantine.models import (
    Quarantined,
    QuarantineNews,
    Sound,
    SoundReport,
    Suspect,
)
from arbutusyard.routing.chain import rank

COMMON, SESSION, CRASHER = b"common", b"session", b"crasher"


def request(body=b"b", request_id="r", **changes):
    """Build a request of one caller to one path."""
    fields = {"host": "h", "target": b"/a", "method": b"POST", "key": "k", **changes}
    return CallerRequest(
        request_id,
        fields["method"],
        fields["target"],
        fields["host"],
        "/a",
        [],
        body,
        0.0,
        key=fields["key"],
    )


# Keys of whole requests.
DEADLY, HOT = request_key(request(b"deadly")), request_key(request(b"hot"))


def crash(quarantine, number, *keys, begun=True, now=0.0):
    quarantine.record_crash((f"s{number}", 1), keys, begun, now)


@pytest.fixture
def quarantine():
    return RequestQuarantine("n0")


def test_only_segments_before_the_last_have_keys():
    segments = (PromptSegment("a", 1), PromptSegment("b", 2), PromptSegment("c", 3))
    assert len(shared_keys("m", segments)) == 2
    assert shared_keys("m", segments[:1]) == ()
    assert shared_keys("m", segments) != shared_keys("n", segments)


def test_one_crash_makes_segments_suspect_and_two_quarantine_them(quarantine):
    keys = (COMMON, SESSION, CRASHER)
    quarantine.record_answer((COMMON,), 0.0)
    assert quarantine.judge(keys, 1.0) == Sound()
    crash(quarantine, 1, *keys)
    assert quarantine.judge(keys, 1.0) == Suspect(CRASHER)
    crash(quarantine, 2, *keys)
    assert quarantine.judge(keys, 1.0).keys == (SESSION, CRASHER)
    # Either of the two may be sound.
    assert quarantine.judge((COMMON, SESSION), 1.0) == Suspect(SESSION)
    assert quarantine.judge((COMMON, CRASHER), 1.0) == Suspect(CRASHER)
    assert quarantine.judge((COMMON,), 1.0) == Sound()
    quarantine.record_answer((COMMON, SESSION), 2.0)
    assert quarantine.judge((COMMON, CRASHER), 2.0).keys == (CRASHER,)


def test_the_segment_that_different_requests_share_is_quarantined_alone(quarantine):
    quarantine.record_answer((COMMON,), 0.0)
    for number, session in enumerate((b"a", b"a", b"b")):
        crash(quarantine, number, COMMON, CRASHER, session, now=number)
        judgement = quarantine.judge((COMMON, CRASHER, session), number + 0.5)
    assert judgement.keys == (CRASHER,)
    assert quarantine.judge((b"a",), 5.0) == Suspect(b"a")


def test_reports_of_one_crash_count_once(quarantine):
    other = RequestQuarantine("n1")
    crash(other, 1, CRASHER)
    crash(quarantine, 1, CRASHER)
    quarantine.apply(other.take_urgent(0.0), "n1", 0.0)
    crash(quarantine, 1, SESSION, CRASHER)
    assert quarantine.judge((CRASHER,), 1.0) == Suspect(CRASHER)


def test_awaited_answers_are_weaker_evidence(quarantine):
    for number in range(2):
        crash(quarantine, number, CRASHER, begun=False)
    # Many prompts wait on a server, so they are not all sent to one.
    assert quarantine.judge((CRASHER,), 1.0) == Suspect(CRASHER, begun=False)
    crash(quarantine, 2, CRASHER, begun=False)
    assert isinstance(quarantine.judge((CRASHER,), 1.0), Quarantined)


def test_suspects_wait_until_all_nodes_have_reported_a_crash(quarantine):
    for number in range(2):
        crash(quarantine, number, CRASHER)
    assert quarantine.judge((CRASHER,), 0.0) == Suspect(CRASHER, SETTLE_S)
    quarantine.apply(
        QuarantineNews(sound=(SoundReport(CRASHER, 0.0),)), "n1", SETTLE_S / 2
    )
    assert quarantine.judge((CRASHER,), SETTLE_S) == Sound()


@pytest.mark.parametrize("order", [(CRASHER, SESSION), (SESSION, CRASHER)])
def test_an_innocent_request_beside_the_crashing_one_is_not_quarantined(
    quarantine, order
):
    for number in range(2):
        for key in order:
            crash(quarantine, number, key)
    # Both requests were there each time, so the evidence does not tell them apart.
    assert quarantine.judge((SESSION,), 1.0) == Suspect(SESSION)
    assert quarantine.judge((CRASHER,), 1.0) == Suspect(CRASHER)
    quarantine.record_answer((SESSION,), 1.0)
    crash(quarantine, 2, CRASHER, now=1.0)
    assert quarantine.judge((SESSION,), 2.0) == Sound()
    assert isinstance(quarantine.judge((CRASHER,), 2.0), Quarantined)


@pytest.mark.parametrize("followers", [1, 2, 5])
def test_a_first_segment_is_not_quarantined_for_those_that_follow_it(
    quarantine, followers
):
    now = 0.0
    for number in range(2 * followers):
        crash(quarantine, number, COMMON, b"%d" % (number // 2), now=now)
        assert quarantine.judge((COMMON,), now + 0.5) == Suspect(COMMON)
        assert quarantine.judge((COMMON, b"next"), now + 0.5) == Suspect(COMMON)
        if number % 2:
            quarantine.record_answer((COMMON,), now + 1)
            now += SOUND_S
        now += 2
    assert len(quarantine) == followers


def test_a_first_segment_with_new_followers_each_time_is_quarantined(quarantine):
    for number in range(4):
        crash(quarantine, number, CRASHER, b"%d" % (number // 2), now=number)
        judgement = quarantine.judge((CRASHER, b"next"), number + 0.5)
        assert isinstance(judgement, Suspect if number < 3 else Quarantined)


def test_an_answer_ends_all_evidence_on_every_node(quarantine):
    other = RequestQuarantine("n1")
    for number in range(2):
        crash(quarantine, number, CRASHER)
    assert isinstance(quarantine.judge((CRASHER,), 0.5), Quarantined)
    other.apply(quarantine.take_urgent(0.5), "n0", 0.5)
    assert isinstance(other.judge((CRASHER,), 0.6), Quarantined)
    other.record_answer((CRASHER,), 1.0)
    quarantine.apply(other.take_urgent(1.0), "n1", 1.0)
    assert quarantine.judge((CRASHER,), 1.0) == other.judge((CRASHER,), 1.0) == Sound()


def test_a_node_that_knows_a_segment_to_be_sound_corrects_the_others(quarantine):
    other = RequestQuarantine("n1")
    other.record_answer((SESSION,), 0.0)
    crash(quarantine, 1, SESSION, now=5.0)
    other.apply(quarantine.take_urgent(5.0), "n0", 5.0)
    quarantine.apply(other.take_urgent(5.0), "n1", 5.0)
    assert quarantine.judge((SESSION,), 5.0) == Sound()


def test_a_segment_that_was_sound_long_ago_may_crash_servers_now(quarantine):
    other = RequestQuarantine("n1")
    other.record_answer((CRASHER,), 0.0)
    for number in range(2):
        now = SOUND_S + 1 + number
        crash(quarantine, number, CRASHER, now=now)
        other.apply(quarantine.take_urgent(now), "n0", now)
        assert other.take_urgent(now) is None
    assert isinstance(quarantine.judge((CRASHER,), now + 1), Quarantined)


def test_reports_of_old_answers_do_not_renew_each_other(quarantine):
    other = RequestQuarantine("n1")
    other.record_answer((CRASHER,), 0.0)
    crash(quarantine, 1, CRASHER, now=8.0)
    other.apply(quarantine.take_urgent(8.0), "n0", 8.0)
    quarantine.apply(other.take_urgent(8.0), "n1", 8.0)
    assert not quarantine.has_unproven_key((CRASHER,), SOUND_S)
    assert quarantine.has_unproven_key((CRASHER,), SOUND_S + 1)


def test_a_trial_after_the_quarantine_ends_it_or_doubles_it(quarantine):
    for number in range(2):
        crash(quarantine, number, CRASHER)
    now = 1.0
    assert isinstance(quarantine.judge((CRASHER,), now), Quarantined)
    now += QUARANTINE_FIRST_S
    assert quarantine.judge((CRASHER,), now) == Suspect(CRASHER)
    crash(quarantine, 3, CRASHER, now=now)
    judgement = quarantine.judge((CRASHER,), now)
    assert judgement.left_s == 2 * QUARANTINE_FIRST_S
    assert judgement.quarantine.crashes == 3
    now += judgement.left_s
    quarantine.record_answer((CRASHER,), now)
    assert quarantine.judge((CRASHER,), now) == Sound()


def test_a_node_that_starts_learns_quarantined_segments_from_heartbeats(quarantine):
    for number in range(2):
        crash(quarantine, number, CRASHER)
    quarantine.judge((CRASHER,), 1.0)
    for _ in range(NEWS_HEARTBEATS + 1):
        news = quarantine.heartbeat_news(3.0)
    assert not news.crashes
    started = RequestQuarantine("n1")
    started.apply(news, "n0", 100.0)
    judgement = started.judge((CRASHER,), 100.0)
    assert judgement.left_s == QUARANTINE_FIRST_S - 2.0
    assert judgement.quarantine.reporters == ("n0",)


def test_old_evidence_and_unused_quarantines_are_forgotten(quarantine):
    crash(quarantine, 0, SESSION)
    for number in (1, 2):
        crash(quarantine, number, CRASHER)
    assert len(quarantine.heartbeat_news(1.0).quarantined) == 1
    end = 1.0 + QUARANTINE_FIRST_S + EVIDENCE_S + 1
    assert quarantine.heartbeat_news(end) is None
    assert quarantine.judge((SESSION, CRASHER), end) == Sound()


def test_memory_and_news_are_bounded_for_segments_that_never_repeat(quarantine):
    for number in range(2 * SOUND_MAX):
        quarantine.record_answer((b"%d" % number,), 0.0)
    assert len(quarantine._sound) == SOUND_MAX
    for number in range(1200):
        crash(quarantine, number, b"x%d" % (number // 2), now=number)
        quarantine.judge((b"x",), number + 0.5)
    assert len(quarantine) <= QUARANTINED_MAX
    news = quarantine.heartbeat_news(1200.0)
    assert len(news.quarantined) + len(news.crashes) <= 24


def test_two_crashes_quarantine_a_whole_request(quarantine):
    quarantine.record_answer((COMMON, SESSION), 0.0)
    crash(quarantine, 1, COMMON, SESSION, DEADLY)
    assert quarantine.judge((COMMON, SESSION, DEADLY), 1.0) == Suspect(DEADLY)
    crash(quarantine, 2, COMMON, SESSION, DEADLY, now=1.0)
    judgement = quarantine.judge((COMMON, SESSION, DEADLY), 2.0)
    assert judgement.keys == (DEADLY,)
    assert quarantine.judge((COMMON, SESSION, HOT), 2.0) == Sound()
    assert quarantine.counts() == (0, 1)


# Guards against the refusal of a request of which many run at a time.
def test_servers_that_crash_together_count_once_against_a_whole_request(quarantine):
    for number in range(5):
        crash(quarantine, number, HOT, now=0.005 * number)
    assert quarantine.judge((HOT,), 1.0) == Suspect(HOT)
    crash(quarantine, 5, HOT, now=1.0)
    assert isinstance(quarantine.judge((HOT,), 2.0), Quarantined)


def test_requests_have_keys_of_their_caller_path_and_body():
    own = request_key(request())
    assert own == request_key(request(request_id="r2"))
    others = [
        request_key(request(**change))
        for change in (
            {"host": "g"},
            {"target": b"/a?b"},
            {"body": b"c"},
            {"key": "l" * 100},
            {"key": ""},
            {"method": b"PUT"},
        )
    ]
    assert len({own, *others}) == 7
    assert is_request_key(own)
    assert not is_request_key(shared_keys("m", (PromptSegment("a", 1),) * 2)[0])


# Guards against the suspicion of a request that was answered a moment before a crash.
def test_a_request_that_was_just_answered_is_not_suspect(quarantine):
    quarantine.record_answer((), 0.0, request(b"hot"))
    crash(quarantine, 1, HOT, now=0.1)
    crash(quarantine, 2, DEADLY, now=0.1)
    assert quarantine.judge((HOT,), 1.0) == Sound()
    assert quarantine.judge((DEADLY,), 1.0) == Suspect(DEADLY)


def test_a_crash_with_many_requests_remembers_those_that_were_begun(quarantine):
    for number in range(2 * CRASH_REQUESTS_MAX):
        crash(quarantine, 1, b"waiting-%04d" % number, begun=False)
    for number in range(2 * CRASH_BEGUN_MAX):
        crash(quarantine, 1, b"begun-%06d" % number)
    assert quarantine.judge((b"begun-%06d" % 9,), 1.0).begun
    [known] = quarantine._crashes.values()
    assert len(known.requests) == CRASH_BEGUN_MAX


def test_the_memory_of_answered_requests_is_bounded(quarantine):
    for number in range(2 * RECENT_MAX):
        quarantine.record_answer((), 0.0, request(b"%d" % number))
    assert len(quarantine._recent._requests) == RECENT_MAX
    for _ in range(10):
        quarantine.record_answer((), 0.0, request(bytes(RECENT_BYTES_MAX // 3)))
    assert len(quarantine._recent._requests) == 3
    # A crash makes the keys known, after which answers are remembered by them.
    crash(quarantine, 1, HOT, now=0.1)
    assert len(quarantine._recent._requests) == 0


# Positions of the segment that crashes servers; 0 stands for one that never repeats.
# The last two crash them by the whole request.
SHAPES = (
    ("common", "session", "crasher"),
    ("common", "crasher", "session"),
    ("common", "crasher", 0),
    ("crasher", "session"),
    ("crasher", 0),
    ("crasher", 0, 0),
    ("common", "session", "deadly"),
    ("deadly",),
)


def play(seed, nodes, loss, failures=0.0, shape=SHAPES[0], rounds=150):
    """Play requests of several nodes, some of them with a segment that crashes servers.

    Each server also crashes by itself with the probability `failures` in a round.

    In a round each server begins its requests one after the other; those after the
    crashing one are broken off. Sound requests share the segments of the crashing ones.
    Return the number of crashes, the nodes and the sound segments.
    """
    rng = random.Random(seed)
    fleet = [RequestQuarantine(f"n{n}") for n in range(nodes)]
    starts = dict.fromkeys(range(5), 1)
    down_until = dict.fromkeys(starts, 0)
    sound = [b"common", *(b"session%d" % n for n in range(12)), HOT]
    waiting, crashes, count = [], 0, 0
    for now in range(rounds):
        for _ in range(6):
            session = rng.choice(sound[1:13])
            count += 1
            own = request(b"hot" if rng.random() < 0.3 else b"%d" % count)
            keys = (own,) if shape == ("deadly",) else (b"common", session, own)
            if rng.random() < 0.1:
                count += 1
                names = {
                    "common": b"common",
                    "session": session,
                    "crasher": CRASHER,
                    "deadly": request(b"deadly"),
                }
                keys = tuple(
                    names.get(part, b"%d-%d" % (count, index))
                    for index, part in enumerate(shape)
                )
                if "deadly" not in shape:
                    keys = (*keys, request(b"%d" % count))
            waiting.append((rng.randrange(nodes), keys[:-1], keys[-1]))
        queues = {n: [] for n in starts if down_until[n] <= now}
        for node, segments, req in waiting:
            item = (node, segments, req, (*segments, request_key(req)))
            match fleet[node].judge(item[3], now):
                case Suspect(key, begun=True) if queues:
                    best = rank(key, [str(n) for n in queues])[0]
                    queues[int(best)].append(item)
                case Sound() | Suspect() if queues:
                    queues[rng.choice(list(queues))].append(item)
        waiting = []
        for server, queue in queues.items():
            rng.shuffle(queue)
            crashing = [
                i
                for i, (_, _, _, keys) in enumerate(queue)
                if CRASHER in keys or DEADLY in keys
            ]
            fails = not crashing and rng.random() < failures
            end = rng.randint(0, len(queue)) if fails else len(queue)
            if crashing:
                end = crashing[0]
            for node, segments, req, keys in queue[:end]:
                if fleet[node].judges_requests:
                    fleet[node].record_answer(keys, now)
                else:
                    fleet[node].record_answer(segments, now, req)
            if not crashing and not fails:
                continue
            crashes += bool(crashing)
            for position, (node, segments, req, keys) in enumerate(queue[end:]):
                begun = (crashing and position == 0) or rng.random() < 0.2
                begun = begun or shape == ("deadly",)
                incarnation = (str(server), starts[server])
                fleet[node].record_crash(incarnation, keys, begun, now)
                if rng.random() < 0.5:
                    waiting.append((node, segments, req))
            starts[server] += 1
            down_until[server] = now + 5
        for sender in fleet:
            for news in (sender.take_urgent(now), sender.heartbeat_news(now)):
                for receiver in fleet:
                    if news and receiver is not sender and rng.random() >= loss:
                        receiver.apply(news, sender._me, now)
    return crashes, fleet, sound


@settings(max_examples=60)
@given(
    st.integers(0, 10**6),
    st.integers(1, 12),
    st.sampled_from([0.0, 0.3]),
    st.sampled_from([0.0, 0.02]),
    st.sampled_from(SHAPES),
)
def test_few_crashes_and_sound_segments_stay_usable(seed, nodes, loss, failures, shape):
    # Trials after 30 and 60 rounds more each cost up to one crash.
    crashes, fleet, sound = play(seed, nodes, loss, failures, shape)
    assert crashes <= 5 + 3
    for quarantine in fleet:
        for key in sound:
            assert not isinstance(quarantine.judge((key,), 150), Quarantined), key
