"""Test that messages are parsed as h11 parses them, in time proportional to bytes."""

import time

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.http1.parser import Http1Parser

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECES = [
    b"2\r\nab\r\n",
    b"1;x=y \r\nc\r\n",
    b"0\r\n\r\n",
    b"00 \r\nT: v\r\n\r\n",
    b"0\n\r\n",
    b"3;\x00\r\nd\ne\r\n",
    b"1; \nf\r\n",
    b"\r\n",
    b"\x00",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"A: \x0b\r\n\r\n",
    b"Content-Length: 3\r\n\r\nabc",
    b"B:\r\n folded\r\n\r\n",
]


def parse(parser, data, sizes):
    """Return the events of received bytes, with joined data, and the error if any."""
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    events, body = [], b""
    try:
        while data:
            size = sizes[len(data) % len(sizes)]
            parser.receive_data(data[:size])
            data = data[size:]
            while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    events.append((repr(event), body))
    except h11.RemoteProtocolError:
        events.append(("error", b""))
    return events, body


@given(
    st.sampled_from([HEAD, CHUNKED, b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED]),
    st.lists(st.sampled_from(PIECES), max_size=6).map(b"".join),
    st.lists(st.integers(1, 9), min_size=1),
)
def test_messages_are_parsed_as_by_h11_however_they_are_split(head, rest, sizes):
    expected = parse(h11.Connection(h11.CLIENT), head + rest, sizes)
    events, body = parse(Http1Parser(h11.CLIENT), head + rest, sizes)
    if events and events[-1][0] == "error":
        # A malformed line is rejected before it is complete.
        data = head + rest + b"\r\n\r\n"
        assert events == parse(h11.Connection(h11.CLIENT), data, sizes)[0]
    else:
        assert (events, body) == expected


SPACES = b" " * 60_000


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"A:" + SPACES + b"\x00\r\n\r\n",
        HEAD + b"A:" + b"\r\n " * 20_000 + b"\x0c\r\n\r\n",
        CHUNKED + b"1;" + SPACES + b"\n\r\n",
        CHUNKED + b"1\r\nx\r\n1;" + SPACES + b"\n\r\n",
        CHUNKED + b"0\r\nA:" + SPACES + b"\r\r\n\r\n",
    ],
)
@pytest.mark.parametrize("size", [1_000, 65_536])
def test_no_malformed_line_takes_time_with_the_square_of_its_spaces(data, size):
    """Guards against lines that hold a process for seconds while h11 rejects them."""
    began = time.thread_time()
    events, _ = parse(Http1Parser(h11.CLIENT), data, [size])
    assert events[-1][0] == "error"
    assert time.thread_time() - began < 0.25
