"""Test that no part of an answer of a plain service counts as its whole."""

from types import SimpleNamespace

import pytest

from arbutusyard.claims.exceptions import DispatchOutcomeUnknown
from arbutusyard.entry.services import ServiceCaller
from tests.framing import FRAMINGS, frame
from tests.raw_server import RawServer


@pytest.fixture
def service():
    """Send calls to a server that answers with bytes of the test's choice."""
    server = RawServer()
    backend = SimpleNamespace(name="b", address=server.address)
    caller = ServiceCaller(None, None)

    def send(method, body):
        settings = SimpleNamespace(timeout_s=2.0)
        return caller._send(backend, settings, method, "/x", body, {})

    yield server, send
    server.stop()


def answer(status, framing="length"):
    headers, body = frame(framing, [b"first", b"second"])
    return f"HTTP/1.1 {status}\r\n{headers}\r\n".encode() + body


# Guards against MIXED: a status that is none in the protocol, such as 600, reached the
# client as that of an answer.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "status",
    ["000", "0", "1", "99", "101", "150", "199", "600", "700", "999", "1000", "-1"]
    + ["2 0", "abc"],
)
def test_an_answer_with_an_invalid_status_has_an_unknown_outcome(
    service, status, method
):
    server, send = service
    server.data = answer(f"{status} X")
    with pytest.raises(DispatchOutcomeUnknown):
        send(method, b"")


# Guards against MIXED: a part of an answer without a length, reset while the call was
# still being sent, counted as the whole.
@pytest.mark.parametrize("body_bytes", [4, 200_000, 6_000_000])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_is_reset_has_an_unknown_outcome(service, framing, body_bytes):
    server, send = service
    server.data, server.reset = answer("200 OK", framing)[:-3], True
    with pytest.raises(DispatchOutcomeUnknown):
        send("POST", b"x" * body_bytes)
