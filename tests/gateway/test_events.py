"""Test splitting of event streams."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.gateway.const import EVENT_BYTES_MAX
from arbutusyard.gateway.events import EventSequence, EventSplitter, StreamEvent


@given(
    st.sampled_from(["\n", "\r\n", "\r"]),
    st.integers(1, 4),
    st.lists(st.integers(1, 6), min_size=1),
)
def test_events_are_split_at_any_line_end_and_read_size(line_end, total, sizes):
    raw = [
        f"id: {number}{line_end}data: x{line_end * 2}".encode()
        for number in range(1, total + 1)
    ]
    data = b"".join(raw)
    splitter, events = EventSplitter(), []
    while data:
        size = sizes[len(data) % len(sizes)]
        events += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in events] == raw
    assert [event.event_id for event in events] == [
        str(number) for number in range(1, total + 1)
    ]
    assert not splitter.is_inside_event()


@pytest.mark.parametrize(
    ("data", "inside"),
    [(b"", False), (b"\n", False), (b"d", True), (b"data: x\n", True)],
)
def test_only_bytes_of_an_event_count_as_its_beginning(data, inside):
    splitter = EventSplitter()
    splitter.feed(b"id: 1\n\n" + data)
    assert splitter.is_inside_event() is inside


def numbered(*ids):
    return [StreamEvent(b"", str(event_id)) for event_id in ids]


@pytest.mark.parametrize(
    ("resume_after", "ids", "accepted", "complete"),
    [
        ("", (1, 2, 3), (1, 2, 3), True),
        ("", (0, 1, 1, 2), (0, 1, 2), True),
        ("", (1, 2, 4), (1, 2), False),
        ("3", (2, 3, 4, 5), (4, 5), True),
        ("3", (4, 6), (4,), False),
        # Ids only have to increase.
        ("", (10, 20, 30), (10, 20, 30), True),
        ("3", (10, 20), (10, 20), True),
        ("", ("9" * 5000, "9" * 5000), ("9" * 5000, "9" * 5000), True),
    ],
)
def test_repeated_events_are_dropped_and_gaps_in_consecutive_ids_found(
    resume_after, ids, accepted, complete
):
    sequence = EventSequence(resume_after)
    events, gap = sequence.accept(numbered(*ids))
    assert [event.event_id for event in events] == [str(number) for number in accepted]
    assert bool(gap) is not complete
    assert sequence.last_id == str(accepted[-1])


@pytest.mark.parametrize(
    ("data", "has_unnumbered"),
    [(b"data: x\n\n", True), (b": ping\n\n", False), (b"id: 2\ndata: x\n\n", False)],
)
def test_only_unnumbered_data_prevents_a_resume(data, has_unnumbered):
    sequence = EventSequence()
    sequence.accept(EventSplitter().feed(b"id: 1\ndata: x\n\n" + data))
    assert sequence.has_unnumbered is has_unnumbered


@given(
    st.lists(st.sampled_from([b"\n", b"\r", b"a", b"id:1", b"data"])).map(b"".join),
    st.lists(st.integers(1, 6), min_size=1),
    st.integers(1, 3),
)
def test_events_end_at_the_same_bytes_however_they_are_split(data, sizes, most):
    whole = EventSplitter()
    expected = whole.feed(data)
    splitter, events, rest = EventSplitter(), [], data
    while rest:
        size = sizes[len(rest) % len(sizes)]
        new = splitter.feed(rest[:size], most)
        while new:
            events += new
            new = splitter.feed(b"", most)
        rest = rest[size:]
    assert events == expected
    assert splitter.remaining() == whole.remaining()


@pytest.mark.parametrize(
    "line", [b"data: " + b"x" * 53 + b"\n", b"x" * 59 + b"\r", b"\n "]
)
def test_an_event_of_many_pieces_takes_time_proportional_to_its_bytes(line):
    """Guards against a search of all buffered bytes with each piece."""
    data = line * (EVENT_BYTES_MAX // len(line))
    splitter, began = EventSplitter(), time.thread_time()
    for start in range(0, len(data), 60):
        splitter.feed(data[start : start + 60])
    splitter.feed(b"\n\n")
    # About 0.05 s; it took a minute when all bytes were searched again.
    assert time.thread_time() - began < 1.0
