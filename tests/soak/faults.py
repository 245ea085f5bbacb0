"""Inject faults that are drawn at random from a seed and may overlap."""

import gevent

from tests.soak.proxy import LinkMode

# Ways in which a backend server handles requests wrongly: it refuses them, answers 500,
# resets, truncates its answer, sends extra bytes, hangs, or applies orders late.
BACKEND_FAULTS = ("shed", "errors", "reset", "torn", "extra", "mute", "late")
LINK_MODES = (LinkMode.SLOW, LinkMode.RESET, LinkMode.SILENT, LinkMode.ONE_WAY)
# Maximum time for which a node is paused, in seconds.
MAX_PAUSE_S = 5.0
# Maximum duration of an outage, in seconds.
MAX_OUTAGE_S = 5.0
# Fraction of the faults that come with a rollback of the store to an older copy.
ROLLBACK_FRACTION = 0.12
# Maximum age of that copy, in seconds.
MAX_COPY_AGE_S = 4.0
# Fraction of the faults that come with a server that names a limit, the maximum time
# for which it does, in seconds, and the range of its limit in requests per second, by
# service.
LIMIT_FRACTION = 0.3
MAX_LIMITED_S = 12.0
LIMITS_S = {"llm": (2.0, 6.0), "app": (6.0, 12.0)}


class FaultInjector:
    """Inject faults into a world.

    Each public method except `run` is one kind of fault; its name is written to the
    ledger.
    """

    def __init__(self, world, rng, rollback_rng, limit_rng):
        self._world = world
        self._rng = rng
        # Separate generators, so that rollbacks and limits leave a seed's other faults
        # unchanged.
        self._rollback_rng = rollback_rng
        self._limit_rng = limit_rng
        self._tasks = []
        self.kinds = (
            self.kill_node,
            self.pause_node,
            self.stop_node,
            self.reload_node,
            self.kill_all_nodes,
            self.spoil_store_link,
            self.silence_store_link,
            self.store_outage,
            self.store_slow,
            self.store_answers_lost,
            self.store_history_lost,
            self.crash_backend,
            self.backend_leaves,
            self.backend_spoils,
            self.spoil_backend_link,
            self.silence_backend_link,
            self.change_configuration,
            self.take_key_away,
            self.name_weights,
        )

    def run(self, duration_s, pause_s):
        """Inject faults for a time; return once the last one has ended."""
        world = self._world
        until = world.ledger.now() + duration_s
        while world.ledger.now() < until:
            kind = self._rng.choice(self.kinds)
            world.ledger.log(f"fault {kind.__name__}")
            self._tasks.append(gevent.spawn(kind))
            if self._rng.random() < 0.2:
                # The same kind of fault may occur twice at once.
                self._tasks.append(gevent.spawn(kind))
            if (
                self._rollback_rng is not None
                and self._rollback_rng.random() < ROLLBACK_FRACTION
            ):
                world.ledger.log("fault store_goes_back")
                self._tasks.append(gevent.spawn(self.store_goes_back))
            if (
                self._limit_rng is not None
                and self._limit_rng.random() < LIMIT_FRACTION
            ):
                world.ledger.log("fault limit_backend")
                self._tasks.append(gevent.spawn(self.limit_backend))
            gevent.sleep(self._rng.uniform(0.1, 2 * pause_s))
        gevent.joinall(self._tasks, raise_error=True)

    def _node(self):
        return self._rng.choice(self._world.nodes)

    def _backend(self):
        return self._rng.choice(self._world.backends)

    def _draw_duration(self, max_s):
        return self._rng.uniform(0.2, max_s)

    def kill_node(self):
        """Kill a node and start it again after a while."""
        node = self._node()
        self._world.ledger.mark_harmed(node.name)
        node.kill()
        gevent.sleep(self._draw_duration(2.0))
        self._world.start(node)

    def kill_all_nodes(self):
        """Kill every node and start them all again after a while."""
        for node in self._world.nodes:
            self._world.ledger.mark_harmed(node.name)
            node.kill()
        gevent.sleep(self._draw_duration(1.0))
        for node in self._world.nodes:
            self._world.start(node)

    def pause_node(self):
        """Freeze a node's process for a while."""
        node = self._node()
        pause_s = self._draw_duration(MAX_PAUSE_S)
        with self._world.disturbed(node.name):
            node.pause(pause_s)

    def stop_node(self):
        """Let a node end by SIGTERM and start it again."""
        node = self._node()
        self._world.ledger.mark_disturbed(node.name)
        node.terminate()
        self._world.start(node)

    def reload_node(self):
        """Change a node's settings while it runs."""
        self._node().reload(self._rng.randint(20, 60))

    def spoil_store_link(self):
        """Disturb a node's link to the store for a while."""
        node = self._node()
        with self._world.disturbed(node.name), self._world.disturbed("links"):
            node.link.set_mode(self._rng.choice(LINK_MODES))
            gevent.sleep(self._draw_duration(MAX_OUTAGE_S))
            node.link.set_mode(LinkMode.OPEN)

    def silence_store_link(self):
        """Stall a node's open connections to the store, permanently."""
        node = self._node()
        self._world.ledger.mark_disturbed(node.name)
        node.link.stall_open_connections()

    def store_outage(self):
        """Let the store answer with errors for a while."""
        with self._world.disturbed("store"):
            self._world.platform.down = True
            gevent.sleep(self._draw_duration(MAX_OUTAGE_S))
            self._world.platform.down = False

    def store_slow(self):
        """Delay the store's answers for a while."""
        with self._world.disturbed("store"):
            self._world.platform.delay_s = self._rng.uniform(0.1, 1.0)
            gevent.sleep(self._draw_duration(MAX_OUTAGE_S))
            self._world.platform.delay_s = 0.0

    def store_answers_lost(self):
        """Lose the answers to the next few writes, which are applied."""
        self._world.ledger.mark_disturbed("store")
        self._world.platform.lose_answers += self._rng.randint(1, 4)

    def store_history_lost(self):
        """Drop the store's change history, so that its watchers must read all rows."""
        self._world.ledger.mark_disturbed("store")
        self._world.platform.drop_history()

    def store_goes_back(self):
        """Roll the store back to an older copy.

        Operators and servers then write their rows again.
        """
        platform = self._world.platform
        copy = platform.snapshot()
        gevent.sleep(self._rollback_rng.uniform(0.3, MAX_COPY_AGE_S))
        with self._world.disturbed("store"):
            platform.down = True
            gevent.sleep(self._rollback_rng.uniform(0.1, 1.0))
            platform.restore(copy)
            platform.down = False
            self._world.rewrite_lost_rows()

    def crash_backend(self):
        """Crash a server and start a new incarnation after a while."""
        backend = self._backend()
        if backend.state != "ready":
            return
        backend.state = "crashed"
        backend.crash()
        gevent.sleep(self._draw_duration(3.0))
        backend.start()

    def backend_leaves(self):
        """Drain a server and start a new incarnation."""
        backend = self._backend()
        if backend.state == "ready":
            backend.drain()

    def backend_spoils(self):
        """Let a server handle a fraction of its requests wrongly for a while."""
        backend = self._backend()
        backend.fault = self._rng.choice(BACKEND_FAULTS)
        gevent.sleep(self._draw_duration(MAX_OUTAGE_S))
        backend.fault = ""

    def spoil_backend_link(self):
        """Disturb the link to a server for a while."""
        backend = self._backend()
        link = backend.link
        with self._world.disturbed(backend.server_id), self._world.disturbed("links"):
            link.set_mode(self._rng.choice(LINK_MODES))
            gevent.sleep(self._draw_duration(MAX_OUTAGE_S))
            link.set_mode(LinkMode.OPEN)

    def silence_backend_link(self):
        """Stall the open connections to a server, permanently."""
        self._backend().link.stall_open_connections()

    def limit_backend(self):
        """Let a server name a limit on its requests for a while."""
        backend = self._limit_rng.choice(self._world.backends)
        if backend.state != "ready" or backend.limit_header:
            return
        server_id = backend.server_id
        backend.name_limit(
            round(self._limit_rng.uniform(*LIMITS_S[backend.service]), 2)
        )
        gevent.sleep(self._limit_rng.uniform(4.0, MAX_LIMITED_S))
        if backend.server_id == server_id:
            backend.end_limit()

    def change_configuration(self):
        """Add a route to the configuration."""
        self._world.add_route()

    def take_key_away(self):
        """Remove an API key of a client account."""
        self._world.revoke_key()

    def name_weights(self):
        """Set newer target weights."""
        self._world.raise_target_weights()
