"""Roll-outs of weights to scripted engines, with failures of orders and leases."""

import json

import gevent
import pytest
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.app import Application
from arbutusyard.fleet.catalog import Catalog
from arbutusyard.fleet.messages import Heartbeat
from arbutusyard.fleet.peers import PeerCoordinator
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.models import ServerEntry, ServerState
from arbutusyard.gateway.router import PlacementRouter
from arbutusyard.limits.server_limits import ServerLimits
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.rows import read_configuration
from arbutusyard.platform.servers import ServerClient
from arbutusyard.weights.coordinator import WeightsCoordinator
from tests.fleet.support import CONFIG, Store
from tests.gateway.support import ScriptedServer, wait_for


class Engine:
    """Engine that executes orders; `faults` lists the failures of the next ones."""

    def __init__(self, version=1):
        self.version = version
        self.born = 5
        self.orders = 0
        self.fencing_token = 0
        self.log = []
        self.faults = []
        self.busy = False
        # Times at which a report without end was asked for.
        self.endless_reports = None
        self.server = ScriptedServer(self._script)

    @property
    def address(self):
        return self.server.address

    def _script(self, request):
        if request.first.startswith("GET /-/report"):
            if self.endless_reports is not None:
                self.endless_reports.append(clock.now())
                yield b"HTTP/1.1 200 OK\r\n\r\n"
                while True:
                    yield b" " * 65_536
            report = {
                "busy": self.busy,
                "sequence": self.orders,
                "models": [{"name": "m", "version": self.version}],
                "born": self.born,
            }
            yield self._reply(200, json.dumps(report))
            return
        order = json.loads(request.body)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lost":
            request.last = True
            return
        if fault == "late":
            gevent.spawn_later(0.6, self._execute, order)
            request.last = True
            return
        status = self._execute(order)
        if fault != "unanswered":
            yield self._reply(status, "")
        else:
            request.last = True

    def _execute(self, order):
        self.log.append((order["version"], order["fencing_token"]))
        if order["fencing_token"] < self.fencing_token:
            return 412
        self.fencing_token = order["fencing_token"]
        if order["version"] == self.version:
            return 200
        if order["if_revision"] != self.orders:
            return 409
        self.orders += 1
        self.version = order["version"]
        return 202

    @staticmethod
    def _reply(status, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        return (head + body).encode()


class SilencedPeers(PeerCoordinator):
    """Peers that send nothing, so that nodes do not see each other."""

    __slots__ = ()

    def send(self):
        pass


class Node:
    """Node that competes for the lease on load orders."""

    def __init__(self, name, store, engines):
        client = PlatformClient(store.address)
        self.fleet_state = FleetState(None)
        cfg = read_configuration(json.dumps(CONFIG).encode())
        self.fleet_state.catalog = Catalog(cfg)
        entries = {
            f"e{n}": ServerEntry(
                f"e{n}", 5, "svc", engine.address, "z", ServerState.READY, 8, {"m": 1}
            )
            for n, engine in enumerate(engines)
        }
        self.fleet_state.servers.replace(entries, clock.now())
        self.peers = SilencedPeers(name, "127.0.0.1:0", (), client, 1, lambda seq: None)
        self.weights = WeightsCoordinator(
            name, self.fleet_state, self.peers, client, ServerClient(), 3.0, 8.0
        )
        self.limits = ServerLimits("n1")
        self.weights.bind(lambda now: self.ready, lambda now: self.up_s, self.limits)
        self.ready, self.up_s = True, 0.0
        self.fleet_state._config_watcher.read_at = float("inf")
        self.weights.setup(Application("test"))

    def set_target(self, version):
        self.fleet_state.weights["m"] = version
        self.weights.wake()

    def versions(self):
        return {s.weights["m"] for s in self.fleet_state.servers.servers.values()}


@pytest.fixture
def make_nodes():
    store = Store()
    made = []

    def make(engines, *names):
        nodes = [Node(name, store, engines) for name in names]
        made.extend(node.weights.unload for node in nodes)
        made.extend(engine.server.stop for engine in engines)
        return nodes

    yield make
    for stop in made:
        stop()
    store.stop()


def start_holder_and_other(make_nodes, engines):
    """Start a node that acquires the lease, then one that finds it held."""
    (first,) = make_nodes(engines, "n1")
    wait_for(lambda: first.weights.fencing_token, 8)
    (second,) = make_nodes(engines, "n2")
    assert not second.weights.fencing_token
    return first, second


def test_every_engine_loads_the_target_weights(make_nodes):
    engines = [Engine() for _ in range(3)]
    (node,) = make_nodes(engines, "n1")
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 12)
    assert [engine.orders for engine in engines] == [1, 1, 1]


def test_waiting_engines_load_only_the_last_of_several_targets(make_nodes):
    engines = [Engine() for _ in range(3)]
    (node,) = make_nodes(engines, "n1")
    node.set_target(2)
    wait_for(lambda: any(engine.orders for engine in engines), 5)
    node.set_target(3)
    wait_for(lambda: node.versions() == {3}, 15)
    assert sum(engine.orders for engine in engines) < 6


@pytest.mark.parametrize("fault", ["lost", "unanswered", "late"])
def test_the_report_decides_the_outcome_of_an_unanswered_order(make_nodes, fault):
    engine = Engine()
    engine.faults = [fault]
    (node,) = make_nodes([engine], "n1")
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 8)
    gevent.sleep(0.7)
    assert engine.version == 2
    assert engine.orders == 1


# Guards against LIMIT: an engine that answers no order got over a hundred per second.
def test_an_engine_that_answers_no_order_is_asked_less_often(make_nodes):
    engine = Engine()
    engine.faults = ["lost"] * 10_000
    (node,) = make_nodes([engine], "n1")
    node.set_target(2)
    wait_for(lambda: len(engine.faults) < 10_000, 8)
    gevent.sleep(2.0)
    assert len(engine.faults) >= 10_000 - 10
    engine.faults.clear()
    wait_for(lambda: node.versions() == {2}, 2)


# Guards against LIMIT: orders without an answer, and the reads of reports after them,
# took twice the limit that an engine had named.
def test_orders_without_an_answer_keep_the_limit_of_an_engine(make_nodes):
    limit_s, window_s = 3.0, 4.0
    engine = Engine()
    engine.faults = ["lost"] * 10_000
    (node,) = make_nodes([engine], "n1")
    node.limits.observe(("e0", 5), limit_s, clock.now())
    node.set_target(2)
    wait_for(lambda: len(engine.faults) < 10_000, 8)
    gevent.sleep(window_s)
    assert len(engine.server.requests) <= 1.5 * limit_s * window_s


# Guards against engines that get new weights later, as the wait for an answer that does
# not come was followed by the delay between two orders.
def test_the_wait_for_an_answer_counts_in_the_delay_between_orders(make_nodes):
    (node,) = make_nodes([Engine()], "n1")
    server = node.fleet_state.servers.get("e0")
    pause_s = node.weights.order_pause_s
    assert [pause_s(server, n, 0.0) > 0 for n in (0, 1, 2, 3)] == [0, 0, 1, 1]
    assert [pause_s(server, n, 1.0) for n in (2, 3, 9)] == [0, 0, 0]
    node.limits.observe(server.incarnation, 1.0, clock.now())
    assert pause_s(server, 2, 0.2) == pytest.approx(pause_s(server, 2, 0.0) - 0.2)


def test_the_report_is_read_before_the_first_order_to_an_engine(make_nodes):
    engine = Engine()
    engine.orders = 4
    (node,) = make_nodes([engine], "n1")
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 8)
    assert len(engine.log) == 1


def test_only_one_of_two_nodes_that_do_not_see_each_other_sends_orders(make_nodes):
    engines = [Engine(), Engine()]
    first, second = make_nodes(engines, "n1", "n2")
    first.set_target(2)
    second.set_target(2)
    wait_for(lambda: first.versions() == {2} or second.versions() == {2}, 15)
    tokens = [token for engine in engines for _, token in engine.log]
    assert len(set(tokens)) == 1


def test_a_rejected_fencing_token_releases_the_lease(make_nodes):
    engine = Engine()
    engine.fencing_token = 50
    (node,) = make_nodes([engine], "n1")
    node.set_target(2)
    wait_for(lambda: engine.log, 5)
    wait_for(lambda: not node.weights.fencing_token, 2)


def test_an_unreachable_engine_does_not_delay_the_others(make_nodes):
    engines = [Engine(), Engine(), Engine()]
    unreachable = Engine()
    unreachable.server.stop()
    (node,) = make_nodes([unreachable, *engines], "n1")
    node.set_target(2)
    wait_for(lambda: all(engine.version == 2 for engine in engines), 12)


# Guards against LOST and VERSION: a report without end held the roll-out up, and was
# asked for again at once.
def test_an_engine_whose_report_does_not_end_does_not_delay_the_others(make_nodes):
    engines = [Engine() for _ in range(4)]
    endless = Engine()
    endless.endless_reports = []
    (node,) = make_nodes([endless, *engines], "n1")
    node.set_target(2)
    wait_for(lambda: all(engine.version == 2 for engine in engines), 12)
    started_at = clock.now()
    gevent.sleep(4.0)
    asked = [at for at in endless.endless_reports if at >= started_at]
    assert 1 <= len(asked) <= 4
    # Once it can be read it gets its weights.
    endless.endless_reports = None
    wait_for(lambda: endless.version == 2, 4)
    # A mismatch found by a request does not ask more often either.
    endless.endless_reports = []
    server = node.fleet_state.servers.get("e0")
    for _ in range(20):
        node.weights.check_weights(server)
        gevent.sleep(0.05)
    assert len(endless.endless_reports) <= 2


def test_a_lease_holder_cut_off_from_the_store_is_succeeded_by_a_node_that_reads_it(
    make_nodes,
):
    engines = [Engine(), Engine()]
    first, second = start_holder_and_other(make_nodes, engines)
    reported = Heartbeat(
        "n1", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, first.weights.fencing_token
    )
    second.peers.table.apply_heartbeat(replace(reported, may_lead=False), clock.now())
    first.weights.unload()
    second.set_target(2)
    wait_for(lambda: second.versions() == {2}, 12)
    assert second.weights.fencing_token == reported.fencing_token + 1


def test_a_node_that_does_not_read_the_store_itself_sends_no_orders(make_nodes):
    engine = Engine()
    (node,) = make_nodes([engine], "n1")
    node.fleet_state._config_watcher.read_at = float("-inf")
    node.set_target(2)
    gevent.sleep(0.5)
    assert engine.log == []


# Guards against a leader whose orders cannot arrive, while other nodes wait for it.
def test_a_node_that_reaches_no_engine_sends_no_orders(make_nodes):
    engine = Engine()
    (node,) = make_nodes([engine], "n1")
    reaches = False
    node.weights.bind(
        lambda now: True, lambda now: 0.0, node.limits, lambda now: reaches
    )
    node.set_target(2)
    gevent.sleep(0.5)
    assert engine.log == []
    reaches = True
    wait_for(lambda: node.versions() == {2}, 10)


def test_a_draining_lease_holder_sends_orders_until_it_stops(make_nodes):
    engines = [Engine(), Engine()]
    (node,) = make_nodes(engines, "n1")
    wait_for(lambda: node.weights.fencing_token, 5)
    node.ready = False
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 10)


def test_a_node_that_just_restarted_does_not_lead_before_longer_running_ones(
    make_nodes,
):
    engine = Engine()
    (node,) = make_nodes([engine], "n5")
    node.up_s = 100.0
    restarted = Heartbeat(
        "n1", 1, 1, "a:1", "a:2", "z", "r", True, False, 1, 0, up_s=1.0
    )
    node.peers.table.apply_heartbeat(restarted, clock.now())
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 10)


def test_the_successor_acquires_the_lease_of_an_idle_draining_holder_early(make_nodes):
    engines = [Engine(), Engine()]
    first, second = start_holder_and_other(make_nodes, engines)
    reported = Heartbeat(
        "n1", 1, 1, "a:1", "a:2", "z", "r", False, True, 1, first.weights.fencing_token
    )
    seqs = iter(range(2, 10_000))

    def holder_is_alive():
        second.peers.table.apply_heartbeat(
            replace(reported, seq=next(seqs)), clock.now()
        )
        return second.weights.fencing_token > reported.fencing_token

    wait_for(holder_is_alive, 8)


def test_mismatched_weights_are_read_from_the_report_and_broadcast(make_nodes):
    engine = Engine(version=2)
    (node,) = make_nodes([engine], "a")
    server = node.fleet_state.servers.get("e0")
    server.mismatch_until = clock.now() + 60
    node.weights.check_weights(server)
    node.weights.check_weights(server)
    wait_for(lambda: server.usable(clock.now()))
    assert server.weights["m"] == 2
    statuses = node.weights.engine_statuses(clock.now())
    assert [(status.server_id, status.version) for status in statuses] == [("e0", 2)]
    assert len(engine.server.requests) == 1


def test_a_load_found_in_a_report_is_broadcast_at_once(make_nodes):
    engine = Engine(version=1)
    (node,) = make_nodes([engine], "a")
    engine.busy = True
    server = node.fleet_state.servers.get("e0")
    node.weights.check_weights(server)
    wait_for(lambda: node.weights.engine_statuses(clock.now()))
    (status,) = node.weights.engine_statuses(clock.now())
    assert (status.server_id, status.version) == ("e0", 0)
    assert status.loading_s > 0
    assert not server.usable(clock.now())


def test_reported_weights_do_not_end_the_draining_of_an_engine(make_nodes):
    engine = Engine(version=2)
    (node,) = make_nodes([engine], "a")
    server = node.fleet_state.servers.get("e0")
    draining_until = clock.now() + 60
    server.loading_until = draining_until
    node.weights.check_weights(server)
    wait_for(lambda: server.weights["m"] == 2)
    assert server.loading_until == draining_until
    router = PlacementRouter(node.fleet_state, node.peers.table, "z", 6.5)
    wait_for(lambda: node.weights.engine_statuses(clock.now()))
    router.apply_engine_statuses(node.weights.engine_statuses(clock.now()), clock.now())
    assert server.loading_until == draining_until


def test_an_engine_is_not_ordered_to_load_while_prompts_wait_there(make_nodes):
    # Seen on scale-2: an order made an engine refuse 37 waiting requests at once, and
    # their retries used up retry budget that other requests then lacked.
    engine = Engine()
    (node,) = make_nodes([engine], "a")
    server = node.fleet_state.servers.get("e0")
    server.count_sent(400, clock.now())
    node.set_target(2)
    wait_for(lambda: server.loading_until)
    gevent.sleep(1.5)
    assert engine.log == []
    assert node.weights._downtime_s < 1.7
    server.prompt_tokens = 0
    wait_for(lambda: engine.version == 2 and not node.weights._loading)
    # The time that this load took counts in planning the next ones.
    assert node.weights._downtime_s > 1.7


def test_orders_and_reports_count_against_a_limit(make_nodes, monkeypatch):
    counted = []
    monkeypatch.setattr(
        ServerLimits,
        "count_sent",
        lambda self, incarnation, now: counted.append(incarnation),
    )
    engine = Engine()
    (node,) = make_nodes([engine], "n1")
    node.limits.observe(("e0", 5), 4.0, clock.now())
    assert node.limits.poll_interval_s(("e0", 5)) == 0.25
    node.set_target(2)
    wait_for(lambda: node.versions() == {2}, 12)
    assert len(engine.server.requests) >= 3
    assert counted == [("e0", 5)] * len(engine.server.requests)


class FragileEngine(Engine):
    """Engine that an order crashes; it is back at once under the next start."""

    def __init__(self, crashes):
        super().__init__()
        self.crashes = crashes
        self.on_restart = lambda: None

    def _script(self, request):
        if request.first.startswith("POST"):
            self.crashes.append(self)
            request.last = True
            self.born += 1
            gevent.spawn(self.on_restart)
            return
        yield from super()._script(request)


# Guards against weights that crash each engine which loads them, one after the other.
def test_an_order_that_crashes_engines_is_given_to_few_of_them(make_nodes):
    crashes = []
    engines = [FragileEngine(crashes) for _ in range(4)]
    (node,) = make_nodes(engines, "n1")
    servers = node.fleet_state.servers

    def restart(name):
        known = servers.get(name).entry
        servers.update(replace(known, started_at_ms=known.started_at_ms + 1))

    for n, engine in enumerate(engines):
        engine.on_restart = lambda name=f"e{n}": restart(name)
    node.set_target(2)
    wait_for(lambda: crashes, 8)
    gevent.sleep(4.0)
    assert len(crashes) <= 3
