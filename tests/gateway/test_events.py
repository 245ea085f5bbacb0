"""Test splitting of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.gateway.events import EventSplitter


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
