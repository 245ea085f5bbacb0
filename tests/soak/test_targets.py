"""Set targets one after another while real nodes are killed or paused."""

import json
import random
from functools import partial

import gevent
import pytest
from gevent.select import select

from tests.gateway.support import not_run
from tests.soak.const import BOUNDS
from tests.soak.world import World

ROUNDS = 3
# Maximum number of targets that follow each other.
MAX_TARGETS = 7
# The shortest bound of an installation, in seconds.
VERSION_S = 6.0
# Ranges of the pauses between two targets and before a fault, of the time after which
# an order is carried out, and of the time that a request waits in a server, in seconds.
TARGET_PAUSE_S = (0.8, 2.0)
FAULT_PAUSE_S = (0.0, 8.0)
ORDER_DELAY_S = (2.0, 12.0)
QUEUE_WAIT_S = (0.0, 4.0)
# Fraction of the requests that wait.
WAITING_FRACTION = 0.15
# Ranges of the time for which a node is suspended, and of the time from its start until
# it reads the store, in seconds.
PAUSE_S = (0.3, 2.5)
FIRST_READS_S = (0.2, 0.6)


class TargetCheck:
    """Check that no request begins on weights that were superseded too long ago."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._set_at = {}
        self.begun_on_superseded = self.dropped = 0
        self._execute = {}
        for backend in world.backends:
            if backend.is_engine:
                self._execute[backend] = backend._execute
                backend._execute = partial(self._wait_and_execute, backend)
                backend._handle_order = partial(self._delay_order, backend)

    def set_target(self):
        """Set the next target weights."""
        self._world.raise_target_weights()
        self._set_at[self._world._target_version] = self._world.ledger.now()

    def answer_orders(self):
        """Let the engines carry out orders at once again."""
        for backend in self._execute:
            del backend._handle_order

    def _delay_order(self, backend, sock, request):
        """Leave an order unanswered and carry it out later."""
        order = request.body
        gevent.spawn_later(
            self._rng.uniform(*ORDER_DELAY_S), self._carry_out, backend, order
        )
        request.last = True

    @staticmethod
    def _carry_out(backend, order):
        backend._apply_order(json.loads(order))

    def _wait_and_execute(self, backend, sock, request):
        """Let some requests wait; refuse those that a load has overtaken."""
        if self._rng.random() < WAITING_FRACTION:
            readable, _, _ = select([sock], [], [], self._rng.uniform(*QUEUE_WAIT_S))
            if readable:
                # The node withdrew the request.
                self.dropped += 1
                request.last = True
                return
        if backend.loading or backend._expects_other_version(request):
            sock.sendall(not_run(request))
            return
        self._check_beginning(backend, request)
        self._execute[backend](sock, request)

    def _check_beginning(self, backend, request):
        ledger = self._world.ledger
        now = ledger.now()
        version = backend.version
        later = [at for target, at in self._set_at.items() if target > version]
        if not later:
            return
        self.begun_on_superseded += 1
        attempt = ledger.attempts[request.headers["request-id"]]
        late_s = now - min(later) - VERSION_S
        if late_s > 0 and ledger.is_undisturbed(attempt.node):
            ledger.add_violation(
                "VERSION",
                f"{attempt.request_id} of {attempt.node} on {version} at "
                f"{backend.server_id} {late_s:.3f} s too late",
            )


def kill_all(world, rng):
    """Kill all nodes and start them again."""
    for node in world.nodes:
        world.ledger.mark_harmed(node.name)
        node.kill()
    gevent.sleep(rng.uniform(0.1, 0.5))
    for node in world.nodes:
        world.start(node)


def kill_all_and_pause(world, rng):
    """Kill all nodes, and suspend them while the store answers their first reads."""
    kill_all(world, rng)
    gevent.sleep(rng.uniform(*FIRST_READS_S))
    pause_all(world, rng, world.nodes)


def kill_in_turn(world, rng):
    """Kill the nodes one after another, each once the one before runs again."""
    for node in world.nodes:
        world.ledger.mark_harmed(node.name)
        node.kill()
        world.start(node)
        gevent.sleep(rng.uniform(0.2, 1.0))


def pause_some(world, rng):
    """Suspend some nodes for different times."""
    pause_all(world, rng, rng.sample(world.nodes, rng.randint(1, len(world.nodes))))


def pause_all(world, rng, nodes):
    """Suspend nodes for different times."""

    def pause(node):
        with world.disturbed(node.name):
            node.pause(rng.uniform(*PAUSE_S))

    gevent.joinall([gevent.spawn(pause, node) for node in nodes], raise_error=True)


FAULTS = (kill_all, kill_all_and_pause, kill_in_turn, pause_some)


def run_targets(seed, folder, rounds):
    """Run targets and faults of a seed; return the ledger and the check."""
    rng = random.Random(f"targets {seed}")
    world = World(1, folder)
    for node in world.nodes:
        node._settings["bounds"] = {**BOUNDS, "version_ms": VERSION_S * 1000}
    check = TargetCheck(world, rng)

    def set_targets():
        for _ in range(rounds):
            fault = rng.choice(FAULTS)
            world.ledger.log(f"targets with {fault.__name__}")
            task = gevent.spawn_later(rng.uniform(*FAULT_PAUSE_S), fault, world, rng)
            for _ in range(rng.randint(1, MAX_TARGETS)):
                check.set_target()
                gevent.sleep(rng.uniform(*TARGET_PAUSE_S))
            task.join()
            gevent.sleep(VERSION_S)
        check.answer_orders()

    return world.run(timed=False, faults=set_targets), check


# Guards against VERSION: real nodes are killed or paused while targets follow each
# other, servers carry out orders late and let requests wait.
@pytest.mark.parametrize("seed", [1])
def test_no_request_begins_on_weights_superseded_too_long_ago(tmp_path, seed):
    ledger, check = run_targets(seed, tmp_path, ROUNDS)
    assert not ledger.violations, "\n".join(ledger.log_lines)
    assert check.begun_on_superseded > 0
    assert check.dropped > 0
