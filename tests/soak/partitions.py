"""Cut nodes off from servers, again and again, beside faults that overlap the cuts."""

import random

import gevent

from tests.soak.const import SERVICES
from tests.soak.proxy import LinkMode

# What the links of a node that is cut off do.
MODES = (
    LinkMode.RESET,
    LinkMode.RESET,
    LinkMode.REFUSE,
    LinkMode.SILENT,
    LinkMode.ONE_WAY,
)
# Services that a node is cut off from together.
SERVICE_CHOICES = (SERVICES, SERVICES, ("llm",), ("app",))
# Number of cuts that may last at the same time.
CONCURRENT_CUTS = 2
# Ranges of how long a cut lasts, in seconds. Nodes that are cut off must serve only
# from CONTACT_S on.
DURATIONS_S = ((0.3, 0.8), (0.6, 2.5), (3.5, 7.0))
# Shortest and longest pause before the next cut, in seconds.
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.6
# Ranges of the pause between two faults of nodes, of how long a killed node is away,
# and of how long one is paused, in seconds.
NODE_FAULT_INTERVAL_S = (0.2, 2.0)
AWAY_S = (0.0, 1.0)
PAUSE_S = (0.1, 2.0)
# Ranges of the pauses between two bursts of new target weights, and between two of a
# burst, in seconds, and the maximum number in a burst.
BURST_INTERVAL_S = (0.5, 6.0)
TARGET_INTERVAL_S = (0.05, 1.0)
BURST_MAX = 4
# Fraction of the bursts during which engines apply orders late, the faults by which
# they do so, and the maximum time for which these outlast the burst, in seconds.
LATE_FRACTION = 0.5
LATE_FAULTS = ("late", "stuck")
LATE_S = 6.0
# Ranges of the pause between two silences of engines, and of how long one lasts, in
# seconds; the specification has "a second or so", which excuses nothing.
SILENCE_INTERVAL_S = (0.5, 3.0)
SILENCE_S = (0.3, 1.2)


class PartitionInjector:
    """Cut nodes off in overlapping series, and disturb those that serve for them."""

    def __init__(self, world, seed, disturbs_nodes):
        self._world = world
        self._seed = seed
        self._disturbs_nodes = disturbs_nodes
        self._is_active = False
        self._cut_off = set()
        self._tasks = []

    def start(self):
        """Begin all series; return their tasks."""
        self._is_active = True
        series = [self._cut_nodes] * CONCURRENT_CUTS
        series += [self._raise_targets, self._silence_engines]
        if self._disturbs_nodes:
            series.append(self._disturb_nodes)
        return [
            gevent.spawn(run, random.Random(f"{run.__name__} {number} {self._seed}"))
            for number, run in enumerate(series)
        ]

    def stop(self):
        """Let the series end after the faults that have begun."""
        self._is_active = False

    def _cut_nodes(self, rng):
        """Cut some nodes off from services; one at least reaches all of them."""
        world = self._world
        while self._is_active:
            # Many cuts begin right after another one has healed.
            longest_s = rng.choice((MIN_INTERVAL_S, MAX_INTERVAL_S))
            gevent.sleep(rng.uniform(MIN_INTERVAL_S, longest_s))
            free = [node for node in world.nodes if node not in self._cut_off]
            if len(free) < 2:
                continue
            nodes = rng.sample(free, rng.randint(1, len(free) - 1))
            services = rng.choice(SERVICE_CHOICES)
            duration_s = rng.uniform(*rng.choice(DURATIONS_S))
            self._cut_off.update(nodes)
            world.partition(nodes, rng.choice(MODES), duration_s, services)
            self._cut_off.difference_update(nodes)

    def _disturb_nodes(self, rng):
        """Disturb nodes that are not cut off, which the others forward to."""
        world = self._world
        kinds = (self._kill, self._terminate, self._terminate_and_kill, self._pause)
        while self._is_active:
            gevent.sleep(rng.uniform(*NODE_FAULT_INTERVAL_S))
            free = [node for node in world.nodes if node not in self._cut_off]
            node, kind = rng.choice(free), rng.choice(kinds)
            world.ledger.log(f"node fault {kind.__name__.strip('_')} of {node.name}")
            self._tasks.append(gevent.spawn(kind, rng, node))
        gevent.joinall(self._tasks, raise_error=True)

    def _kill(self, rng, node):
        self._world.ledger.mark_harmed(node.name)
        node.kill()
        gevent.sleep(rng.uniform(*AWAY_S))
        self._world.start(node)

    def _terminate(self, rng, node):
        self._world.ledger.mark_disturbed(node.name)
        node.terminate()
        self._world.start(node)

    def _terminate_and_kill(self, rng, node):
        self._world.ledger.mark_disturbed(node.name)
        task = gevent.spawn(node.terminate)
        gevent.sleep(rng.uniform(*AWAY_S))
        self._kill(rng, node)
        task.join()

    def _pause(self, rng, node):
        with self._world.disturbed(node.name):
            node.pause(rng.uniform(*PAUSE_S))

    def _raise_targets(self, rng):
        """Set new target weights in bursts, some while engines apply them late."""
        world = self._world
        engines = [backend for backend in world.backends if backend.is_engine]
        while self._is_active:
            gevent.sleep(rng.uniform(*BURST_INTERVAL_S))
            count = rng.randint(1, len(engines)) if rng.random() < LATE_FRACTION else 0
            late = rng.sample(engines, count)
            for engine in late:
                engine.fault = rng.choice(LATE_FAULTS)
            for _ in range(rng.randint(1, BURST_MAX)):
                world.raise_target_weights()
                gevent.sleep(rng.uniform(*TARGET_INTERVAL_S))
            if late:
                gevent.sleep(rng.uniform(0, LATE_S))
            for engine in late:
                engine.fault = ""

    def _silence_engines(self, rng):
        """Let engines fall silent, one after another."""
        engines = [backend for backend in self._world.backends if backend.is_engine]
        while self._is_active:
            gevent.sleep(rng.uniform(*SILENCE_INTERVAL_S))
            rng.choice(engines).fall_silent(rng.uniform(*SILENCE_S))
