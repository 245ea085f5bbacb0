"""Misbehaving clients against a node process with the limits of a small VM.

Guards against clients, each within the limits on one request, that together make a node
exceed the memory or the descriptors of its VM, or keep it from answering others.
"""

import gevent
import pytest

from tests.hostile.support import LIMITS, MIB, Site

BODY_BYTES = 4 * MIB
HEAD = b"POST /a HTTP/1.1\r\nHost: h.test\r\nRequest-Id: bad\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def site(tmp_path):
    running = Site(tmp_path)
    yield running
    running.stop()


def check(site):
    status = site.call_ordinary()
    site.sample()
    print(f"peak {site.peak_bytes / MIB:.0f} MiB, {site.peak_fds} descriptors")
    assert site.node.running
    assert site.ledger.violations == []
    assert status == 200
    assert site.peak_bytes <= LIMITS["memory_mb"] * MIB
    assert site.peak_fds <= LIMITS["max_fds"]


def almost_whole_body():
    """Send all of a body but its last byte."""
    yield HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield b"x" * (BODY_BYTES - 1)


def almost_whole_chunks():
    """Send all chunks of a body but the last, empty one."""
    yield CHUNKED
    for _ in range(BODY_BYTES // 65_536):
        yield b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def one_byte_chunks():
    yield CHUNKED
    for _ in range(BODY_BYTES // 4096):
        yield b"1\r\nx\r\n" * 4096


def whole_bodies():
    """Send whole bodies, whose answers are read, and stay open."""
    yield HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield b"x" * BODY_BYTES


def bare_requests():
    """Pipeline requests that have no header at all."""
    for _ in range(2000):
        yield b"GET /large HTTP/1.1\r\n\r\n" * 100


def anonymous_requests():
    """Pipeline requests that have no header but Host."""
    for _ in range(2000):
        yield b"GET /large HTTP/1.1\r\nHost: h.test\r\n\r\n" * 100


def large_answer():
    yield b"GET /large HTTP/1.1\r\nHost: h.test\r\nRequest-Id: bad\r\n\r\n"


@pytest.mark.parametrize(
    "pieces", [almost_whole_body, almost_whole_chunks, one_byte_chunks]
)
def test_unfinished_bodies(site, pieces):
    site.attack(60, pieces)
    check(site)


def test_kept_connections_hold_no_bodies(site):
    site.attack(60, whole_bodies, read=65_536)
    check(site)


@pytest.mark.parametrize("pieces", [bare_requests, anonymous_requests])
def test_pipelined_requests_with_unread_answers(site, pieces):
    site.attack(60, pieces)
    check(site)


def test_slow_readers_of_large_answers(site):
    site.attack(60, large_answer, read=512)
    check(site)


def test_more_unfinished_requests_than_connections_are_allowed(site):
    def trickle():
        yield HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        while True:
            yield b"x"
            gevent.sleep(1)

    # 700 descriptors leave 100 for clients.
    site.attack(140, trickle)
    check(site)


def test_one_slow_large_body_is_served(site):
    # Guards against limits that refuse a single client within the documented ones.
    def send_slowly():
        yield HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        for _ in range(16):
            yield b"x" * (BODY_BYTES // 16)
            gevent.sleep(0.4)

    assert site.call(send_slowly()) == 200
    check(site)
