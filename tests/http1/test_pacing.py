"""Test that peers with many small pieces share a bounded part of the processor."""

import time

import gevent
import pytest

from arbutusyard import clock
from arbutusyard.http1.const import (
    CONNECTION_PIECES_BURST,
    CONNECTION_PIECES_S,
    PIECES_PER_TURN,
)
from arbutusyard.http1.pacing import ConnectionPace, PieceBudget, peer_budget


def work(seconds):
    began = time.thread_time()
    while time.thread_time() - began < seconds:
        pass


@pytest.mark.parametrize("connections", [1, 4, 16])
def test_connections_beyond_their_rate_share_a_part_of_a_core(connections):
    """Guards against a peer that takes the processor by more connections."""
    worked = []
    budget = peer_budget()

    def read():
        pace = ConnectionPace(clock.now(), budget)
        pace._budgets[0].rate_s = pace._budgets[0].burst = 0.0
        while True:
            for _ in range(PIECES_PER_TURN):
                pace.count_piece(1)
            work(0.001)
            worked.append(0.001)
            assert pace.end_turn()

    tasks = [gevent.spawn(read) for _ in range(connections)]
    began = time.monotonic()
    gevent.sleep(1.0)
    elapsed_s = time.monotonic() - began
    gevent.killall(tasks)
    # A first turn of each comes before any pause.
    assert sum(worked) - 0.001 * connections < 0.4 * elapsed_s


def test_a_connection_within_its_rate_never_pauses():
    budget = PieceBudget(CONNECTION_PIECES_S, CONNECTION_PIECES_BURST)
    now = 100.0
    assert budget.take(int(CONNECTION_PIECES_BURST), now)
    for _ in range(1000):
        now += 1.01 * PIECES_PER_TURN / CONNECTION_PIECES_S
        assert budget.take(PIECES_PER_TURN, now)
    assert not budget.take(int(CONNECTION_PIECES_BURST), now)


def test_slow_reads_do_not_count_against_later_pieces():
    budget = PieceBudget(CONNECTION_PIECES_S, CONNECTION_PIECES_BURST)
    for _ in range(100):
        budget.take(1000, 100.0)
    later = 100.0 + 1.01 * PIECES_PER_TURN / CONNECTION_PIECES_S
    assert budget.take(PIECES_PER_TURN, later)
