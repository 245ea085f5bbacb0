"""Test that only answers with the status of success count as load reports."""

import pytest

from arbutusyard.backends.client import BackendClient
from arbutusyard.backends.exceptions import BackendAnswerLost
from tests.framing import frame
from tests.raw_server import RawServer


@pytest.fixture
def engine():
    server = RawServer()
    yield server
    server.stop()


# Guards against MIXED: a report counted whatever the status of its answer.
@pytest.mark.parametrize("status", ["000", "99", "150", "404", "503", "600", "999"])
def test_a_report_with_another_status_than_200_is_none(engine, status):
    headers, body = frame("length", [b'{"kind":"engine"}'])
    client = BackendClient()
    engine.data = f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode() + body
    assert client.fetch_report(engine.address).kind == "engine"
    engine.data = engine.data.replace(b"200", status.encode(), 1)
    with pytest.raises(BackendAnswerLost):
        client.fetch_report(engine.address)
