"""Measure for how long one task holds the test process."""

import time

import gevent

# Processor time for which one task may hold a process, in seconds; beside it the
# measured time contains that of the scripted servers.
TURN_S = 0.05


class TurnWatch:
    """Measure the longest processor time between two turns of a task of its own."""

    def __init__(self):
        self._longest_s = 0.0
        self._task = gevent.spawn(self._run)

    def _run(self):
        while True:
            began = time.thread_time()
            gevent.sleep(0.001)
            self._longest_s = max(self._longest_s, time.thread_time() - began)

    def longest_s(self):
        """Return the longest turn, with the one that has just ended."""
        gevent.sleep(0.005)
        return self._longest_s

    def stop(self):
        self._task.kill()
