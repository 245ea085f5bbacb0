"""Read streams as clients that resume them, and check whose events they hold."""

import random
import re

import gevent

# Maximum number of times that a client resumes a stream, and maximum pause before it.
RESUMES_MAX = 4
RESUME_PAUSE_S = 0.8
# Maximum pause between two streams, in seconds.
STREAM_PAUSE_S = 0.5
# Pause between two events of such a stream, in seconds, and their minimum number.
EVENT_INTERVAL_S = 0.1
MIN_EVENTS = 6
# Ids of such streams begin with it.
STREAM_PREFIX = "s"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)/(\d+) (\S+)\n\n")


def software_event(stream_id, number, total, software):
    """Return an event that names its stream and the software version that sent it."""
    return f"id: {number}\ndata: {stream_id} {number}/{total} {software}\n\n".encode()


class ResumingClient:
    """Read one stream after another, each to its end if it can be resumed."""

    def __init__(self, world, number):
        self._world = world
        self._number = number
        self._rng = random.Random(f"resumes {number}")

    def run(self):
        """Read streams until killed."""
        count = 0
        while True:
            gevent.sleep(self._rng.uniform(0, STREAM_PAUSE_S))
            count += 1
            self._read_stream(f"{STREAM_PREFIX}{self._number}-{count}")

    def _read_stream(self, stream_id):
        ledger = self._world.ledger
        events = []
        # The attempt that brought the first event.
        began_id = ""
        for attempt in range(RESUMES_MAX + 1):
            request_id = f"{stream_id}.{attempt}" if attempt else stream_id
            headers = ()
            if events:
                headers = (f"Resumes: {began_id}", f"Last-Event-Id: {events[-1][0]}")
                ledger.resumes["tried"] += 1
            received = self._world.send_stream(self._rng, request_id, headers)
            if received is not None and received.status == 200:
                new = [
                    (int(n), name, int(total), software)
                    for n, name, _, total, software in EVENT.findall(received.body)
                ]
                if new and events:
                    ledger.resumes["went on"] += 1
                if new and not events:
                    began_id = request_id
                events += new
                self._check(stream_id, events)
                if received.complete:
                    if not events or events[-1][0] != events[-1][2]:
                        ledger.add_violation("ORDER", f"{request_id} ended too early")
                    return
            elif received is not None and "retry-after" not in received.headers:
                ledger.resumes["refused"] += bool(events)
                return
            gevent.sleep(self._rng.uniform(0, RESUME_PAUSE_S))

    def _check(self, stream_id, events):
        """Check that events follow one another and come from one software version."""
        numbers = [number for number, *_ in events]
        names = {name for _, name, *_ in events}
        versions = {software for *_, software in events}
        if numbers != list(range(1, len(events) + 1)) or len(names) > 1:
            self._world.ledger.add_violation("ORDER", f"{stream_id}: {events}")
        if len(versions) > 1:
            self._world.ledger.add_violation(
                "ORDER", f"{stream_id} holds events of {sorted(versions)}"
            )
