"""What an answer's relay takes for received by its client."""

from arbutusyard.backends.stream import EventKind, StreamEvent
from arbutusyard.entry.relay import Relay
from arbutusyard.limits.coordinator import RetryBudget
from tests.entry.test_relay import make_state, make_work


def token(index, text="x"):
    data = b'{"choices":[{"delta":{"content":"%s"}}]}' % text.encode()
    return StreamEvent(index, EventKind.TOKEN, b"id: %d\ndata: %s" % (index, data))


def usage(index, data=b'{"usage":{}}'):
    return StreamEvent(index, EventKind.USAGE, b"id: %d\ndata: %s" % (index, data))


def done(index):
    return StreamEvent(index, EventKind.DONE, b"id: %d\ndata: [DONE]" % index)


class ScriptedStream:
    weights_version = "v1"

    def __init__(self, backend, answer):
        self.backend = backend
        self.incarnation = f"incarnation of {backend}"
        self._answer = answer

    def events(self, first_index):
        return iter([e for e in self._answer if e.index >= first_index])

    def finish(self, remaining):
        pass

    def close(self):
        pass


class ScriptedClient:
    """Client of engines, of which each start gets the next answer."""

    def __init__(self, *answers):
        self._answers = iter(answers)

    def start(self, backend, address, request_id, body):
        return ScriptedStream(backend, next(self._answers))


# Guards against events that are missing from an answer that looks complete: an event
# that was refused counted as relayed.
def test_a_malformed_event_is_not_taken_for_a_relayed_one():
    client = ScriptedClient(
        [token(0), usage(1, b"{"), done(2)], [token(0), usage(1), done(2)]
    )
    relay = Relay(make_state(3), client, RetryBudget(), make_work(), lambda _: None)
    indexes = [event.index for event in relay.events(relay.open())]
    assert indexes == [0, 1, 2]
