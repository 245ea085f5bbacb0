"""Test that streams are split once, whatever their pieces are."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.http1.events import EVENT_BYTES_MAX, EventTooLarge, split_events


@given(st.lists(st.sampled_from([b"\n", b"\n\n", b"a", b"\n\n\nb"])))
def test_events_do_not_depend_on_the_chunks(chunks):
    *expected, _ = b"".join(chunks).split(b"\n\n")
    assert list(split_events(chunks)) == expected


def test_an_event_without_end_ends_at_the_size_limit():
    with pytest.raises(EventTooLarge):
        list(split_events([b"x" * 65_536] * 17))


# Guards against engines that hold an entry by an event in many small chunks.
def test_an_event_of_many_chunks_takes_time_proportional_to_its_bytes():
    chunks = [b"data: xxxxxxxxxxxxxxxxxxxxxxxx\n"] * (EVENT_BYTES_MAX // 32) + [b"\n"]
    began = time.thread_time()
    assert len(list(split_events(chunks))) == 1
    # It took 19 s when each chunk was joined to all bytes before it.
    assert time.thread_time() - began < 0.5
