"""Test reading the configuration from the object store."""

import time

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.config.models import Configuration
from arbutusyard.config.store import ConfigStore
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from tests.framing import FRAMINGS, frame
from tests.raw_server import RawServer

CONFIG = Configuration(7, "change", ())


# Guards against a part of the stored configuration, or an empty one, being taken for
# the whole when the store's answer ends early.
@given(st.sampled_from(FRAMINGS), st.floats(0.0, 1.0), st.booleans())
def test_an_object_that_ends_early_is_no_configuration(framing, cut, reset):
    headers, body = frame(framing, [msgspec.msgpack.encode(CONFIG)])
    whole = f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode() + body
    server = RawServer()
    server.data, server.reset = whole[: int(cut * len(whole))], reset
    try:
        # The rows cannot be read either: the answer is no JSON.
        cfg = ConfigStore(PlatformClient(server.address), time.sleep).read()
    except PlatformError:
        return
    finally:
        server.stop()
    assert cfg == CONFIG
