"""Check that decoders of outside data give a value or their own error for any input."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.backends.exceptions import BackendAnswerLost
from arbutusyard.backends.stream import EngineStream, EventKind
from arbutusyard.config.delta import diff, patch
from arbutusyard.config.models import Account, Configuration, Workload
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import ResumeToken
from arbutusyard.entry.parse import decode_chat_request
from arbutusyard.entry.resume import ResumeTokens
from arbutusyard.questionnaire.check import check, check_text
from arbutusyard.questionnaire.const import QUESTIONNAIRE
from arbutusyard.rpc.authentication import Envelope, MessageAuthenticator, ReplayGuard
from arbutusyard.rpc.exceptions import MessageRejected
from standins.cluster import ROOT

KEYS = (b"k" * 16, b"l" * 16)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "stream", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
TOKEN = ResumeToken("w/a", "r", "q0", "i1", "s", "v1")


@given(st.binary(max_size=200) | JSON.map(msgspec.json.encode))
def test_any_chat_body_is_decoded_or_refused_with_400(data):
    try:
        req, _ = decode_chat_request(data)
    except Refused as refused:
        assert refused.status == 400
    else:
        assert req.messages


def test_deeply_nested_body_is_refused():
    with pytest.raises(Refused):
        decode_chat_request(b'{"messages":' + b"[" * 100_000)


@given(st.text(max_size=300))
def test_any_questionnaire_text_is_accepted_or_has_errors(text):
    result = check_text(text)
    assert result.is_ok() or result.error


@given(
    st.dictionaries(
        st.sampled_from([question.name for question in QUESTIONNAIRE]), JSON, max_size=5
    )
)
def test_any_questionnaire_answers_are_accepted_or_have_error_texts(answers):
    result = check(answers)
    assert result.is_ok() or all(str(wrong) for wrong in result.error)


@pytest.mark.parametrize("name", ["quetzal", "venture"])
@given(st.data())
def test_an_answer_of_a_wrong_type_is_reported_by_its_question(name, data):
    text = (ROOT / f"examples/{name}.toml").read_text()
    lines = [n for n, line in enumerate(text.splitlines()) if " = " in line]
    number = data.draw(st.sampled_from(lines))
    changed = text.splitlines()
    question = changed[number].split(" = ")[0]
    changed[number] = f"{question} = []"
    result = check_text("\n".join(changed))
    if question == "large":
        return
    assert result.is_error()
    assert any(wrong.question.endswith(question) for wrong in result.error)


@given(st.binary(max_size=120))
def test_arbitrary_bytes_are_rejected_as_peer_message(data):
    with pytest.raises(MessageRejected):
        MessageAuthenticator(KEYS).decode(data, Envelope)


@given(st.binary(max_size=80))
def test_signed_random_bytes_are_decoded_or_rejected(data):
    authenticator = MessageAuthenticator(KEYS)
    with contextlib.suppress(MessageRejected):
        authenticator.decode(authenticator.sign(data), Envelope)


def test_either_key_is_accepted_during_a_change():
    old, new = MessageAuthenticator(KEYS[1:]), MessageAuthenticator(KEYS)
    assert new.verify(old.sign(b"x")) == b"x"
    with pytest.raises(MessageRejected):
        old.verify(new.sign(b"x"))


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 40)), max_size=60))
def test_replays_and_stale_incarnations_are_rejected(messages):
    guard = ReplayGuard()
    accepted = []
    for incarnation, seq in messages:
        envelope = Envelope("c0", incarnation, seq, msgspec.Raw(b""))
        try:
            guard.check(envelope)
        except MessageRejected:
            stale = accepted and incarnation < max(accepted)[0]
            assert stale or (incarnation, seq) in accepted
        else:
            assert (incarnation, seq) not in accepted
            accepted.append((incarnation, seq))


@given(st.text(max_size=120) | st.binary(max_size=90).map(bytes.hex))
def test_arbitrary_text_is_refused_as_resume_token(text):
    with pytest.raises(Refused):
        ResumeTokens(KEYS).read(text, "w/a")


@given(st.integers(0, 200), st.integers(1, 255))
def test_a_modified_resume_token_is_refused(position, change):
    tokens = ResumeTokens(KEYS)
    data = bytearray(tokens.issue(TOKEN).encode())
    data[position % len(data)] ^= change
    try:
        decoded = tokens.read(bytes(data).decode("latin-1"), "w/a")
    except Refused:
        return
    assert decoded == TOKEN


def test_a_resume_token_of_another_account_is_refused_with_403():
    tokens = ResumeTokens(KEYS)
    assert tokens.read(tokens.issue(TOKEN), "w/a") == TOKEN
    with pytest.raises(Refused) as refused:
        tokens.read(tokens.issue(TOKEN), "w/b")
    assert refused.value.status == 403


class FakeResponse:
    """An engine's answer that arrives in given chunks."""

    headers = {}

    def __init__(self, chunks):
        self.chunks = chunks

    def stream(self, _):
        return iter(self.chunks)


@given(st.lists(st.binary(max_size=40), max_size=6))
def test_any_bytes_of_a_stream_are_events_or_a_lost_answer(chunks):
    with contextlib.suppress(BackendAnswerLost):
        list(EngineStream("q0", FakeResponse(chunks)).events(0))


@given(st.lists(st.integers(1, 30), max_size=12))
def test_events_are_read_in_order_for_any_chunk_boundaries(cuts):
    data = b"".join(b"id: %d\ndata: {}\n\n: keepalive\n\n" % n for n in range(5))
    data += b"id: 5\ndata: [DONE]\n\n"
    chunks, position = [], 0
    for cut in cuts:
        chunks.append(data[position : position + cut])
        position += cut
    chunks.append(data[position:])
    events = [
        event
        for event in EngineStream("q0", FakeResponse(chunks)).events(0)
        if event.kind is not EventKind.KEEPALIVE
    ]
    assert [event.index for event in events] == list(range(6))
    assert events[-1].kind is EventKind.DONE


@pytest.mark.parametrize("numbers", [(0, 2), (1,), (0, 0)])
def test_a_gap_or_repeat_in_a_stream_raises(numbers):
    data = b"".join(b"id: %d\ndata: {}\n\n" % n for n in numbers)
    with pytest.raises(BackendAnswerLost):
        list(EngineStream("q0", FakeResponse([data])).events(0))


ACCOUNTS = st.dictionaries(st.sampled_from("abcd"), st.integers(1, 3), max_size=4).map(
    lambda limits: tuple(Account(n, n, limits[n], 1) for n in sorted(limits))
)
WORKLOADS = st.dictionaries(st.sampled_from("xyz"), ACCOUNTS, max_size=3).map(
    lambda accounts: tuple(
        Workload(name, "r", 1.0, "c", (), (), accounts[name], ())
        for name in sorted(accounts)
    )
)


@given(WORKLOADS, WORKLOADS)
def test_patching_with_a_delta_gives_the_newer_configuration(old, new):
    before, after = Configuration(1, "a", old), Configuration(2, "b", new)
    assert patch(before, diff(before, after)) == after
