"""No request ends what handles it, here or on the other nodes."""

import msgspec
import pytest

from arbutusyard.gateway.models import RetryPolicy
from tests.gateway.support import STAMP, answer, chunk, event, stream_head

HUGE = "9" * 30


# Guards against a request whose size makes the heartbeats of each node that gets it
# impossible to encode.
@pytest.mark.parametrize("tokens", [HUGE, "1" * 5000, "-5", "nan", "1e400"])
def test_a_prompt_of_any_size_leaves_heartbeats_that_can_be_sent(run, tokens):
    seen = []

    def good(request):
        seen.append(gateway.router.loads())
        yield stream_head(request, STAMP) + chunk(event(1)) + b"0\r\n\r\n"

    gateway, _ = run(good, streaming=True, retry_policy=RetryPolicy.RESUME)
    reported = []
    gateway.router.on_load = lambda load, update: reported.append(
        msgspec.msgpack.encode(load)
    )
    got = gateway.call(
        Model="m", Token_Count=f"{tokens},{tokens}", Prefix_Hash=f"aa:{tokens},bb:5"
    )
    assert got.status in (200, 400, 413, 431)
    for loads in seen:
        msgspec.msgpack.encode(loads)
    assert gateway.router.loads() == ()
    # The next request is served as ever.
    assert (
        gateway.call(Model="m", Token_Count="9,9", Prefix_Hash="aa:4,bb:5").status
        == 200
    )


def test_a_request_that_fails_unexpectedly_leaves_no_load_behind(run):
    def good(request):
        yield answer(request)

    gateway, _ = run(good)

    def fail(load, update):
        raise RuntimeError("broadcast failed")

    gateway.router.on_load = fail
    headers = {"Model": "m", "Token_Count": "90000,9", "Prefix_Hash": "aa:80000,bb:5"}
    gateway.call(**headers)
    assert gateway.router.loads() == ()
