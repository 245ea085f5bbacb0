"""Run a store, backend servers, nodes and clients together, and check them."""

import contextlib
import json
import random
import socket
import tempfile
from collections import Counter
from pathlib import Path

import gevent
import urllib3

from tests.fleet.support import Store
from tests.gateway.support import read_answer
from tests.soak.backends import Backend
from tests.soak.const import (
    CLIENT_TIMEOUT_S,
    CLIENTS,
    CONFIG_APPLY_S,
    DEADLY_BODY,
    ENTRY_EXPIRY_S,
    HOST,
    MAX_THINK_TIME_S,
    MODEL,
    NODES,
    OVERLOAD_SETTINGS,
    PARTITION_SETTINGS,
    PLAIN_TOKENS,
    QUOTAS,
    RECOVER_S,
    SLOTS,
)
from tests.soak.faults import FaultInjector
from tests.soak.ledger import STREAMS, Attempt, Ledger
from tests.soak.nodes import NodeProcess
from tests.soak.overload import (
    MISBEHAVING_CLIENTS,
    QUOTA_CLIENTS,
    MisbehavingClient,
    QuotaClient,
)
from tests.soak.partitions import PartitionInjector
from tests.soak.proxy import LinkMode
from tests.soak.reach import could_continue
from tests.soak.requests import encode_request
from tests.soak.resumes import ResumingClient

# For each kind of request: path prefix, kind of the route, service, and whether the
# route is resumable.
ROUTES = {
    "stream": ("/s/", "streaming", "llm", True),
    "once": ("/o/", "non_idempotent", "app", False),
    "any": ("/i/", "idempotent", "app", False),
}
# Maximum time for the start and for each step of the recovery, in seconds.
START_TIMEOUT_S = 20.0
# Interval at which nodes are probed for added routes, in seconds.
PROBE_INTERVAL_S = 0.3
# First seed whose runs roll the store back. Lower seeds were used before that fault
# existed, and their runs stay as they were.
FIRST_ROLLBACK_SEED = 1000
# First seed in whose runs servers name limits on their requests.
FIRST_LIMIT_SEED = 2000
# First seed in whose runs a request crashes servers, and entries of servers vanish and
# return.
FIRST_DEADLY_SEED = 3000
# First seed in whose runs servers leave without a report while nodes are away.
FIRST_REMOVAL_SEED = 4000
# Pause before nodes are away, how long they are, and how long a server that left then
# serves on, in seconds.
REMOVAL_INTERVAL_S = 1.0
REMOVAL_AWAY_S = 6.0
REMOVAL_LINGER_S = 13.0
# First seed in whose runs engines get newer software versions, all nodes are killed
# then and again, and clients resume streams; their number, the time between two
# versions, in seconds, and the fraction of the versions after which all nodes are
# killed.
FIRST_SOFTWARE_SEED = 5000
RESUMING_CLIENTS = 6
SOFTWARE_INTERVAL_S = 3.0
KILL_ALL_FRACTION = 0.5
# First seed in whose runs servers repeat rejections late, send reports without end or
# are behind narrow links, the pause between two such faults, and how long they last.
FIRST_ABUSE_SEED = 6000
ABUSE_INTERVAL_S = 1.0
ABUSE_S = 4.0
# First seed in whose runs accounts have quotas, servers reject requests when they are
# full and slow down, and clients misbehave, and the maximum pause between two
# slow-downs, in seconds.
FIRST_OVERLOAD_SEED = 7000
SLOW_INTERVAL_S = 1.0
# First seed in whose runs nodes are cut off from servers that other nodes reach, target
# weights are raised in bursts, and clients resume streams. Of four seeds the second
# and the fourth have the faults of all seeds, too; all but the first have faults of
# nodes and newer software, with a fraction of its versions after which all nodes are
# killed.
FIRST_PARTITION_SEED = 8000
PARTITION_KILL_ALL_FRACTION = 0.15
# First seed in whose runs two accounts are isolated and shared again, and one of them
# is removed and returns, and the maximum pause between two such changes, in seconds.
FIRST_ISOLATION_SEED = 9000
ISOLATION_INTERVAL_S = 6.0
CHANGING_ACCOUNTS = ("changing-1", "changing-2")
# Pauses between two such requests and between two such entries, in seconds.
DEADLY_INTERVAL_S = 0.4
FORGET_INTERVAL_S = 1.5
# Number of complete answers after the last fault that count as recovered.
RECOVERED_ANSWERS = 30


class World:
    """Run a whole system under the faults that one seed draws."""

    def __init__(self, seed, folder, max_think_time_s=MAX_THINK_TIME_S, update=None):
        self._max_think_time_s = max_think_time_s
        self._update = update
        self.rng = random.Random(seed)
        self._rollback_rng = (
            random.Random(f"return {seed}") if seed >= FIRST_ROLLBACK_SEED else None
        )
        self._limit_rng = (
            random.Random(f"limit {seed}") if seed >= FIRST_LIMIT_SEED else None
        )
        self._has_deadly = FIRST_DEADLY_SEED <= seed < FIRST_SOFTWARE_SEED
        self._has_removals = FIRST_REMOVAL_SEED <= seed < FIRST_SOFTWARE_SEED
        self._has_partitions = seed >= FIRST_PARTITION_SEED
        self._is_calm = self._has_partitions and seed % 2 == 0
        disturbs_nodes = self._has_partitions and seed % 4 != 0
        self._has_software = (
            FIRST_SOFTWARE_SEED <= seed < FIRST_ABUSE_SEED or disturbs_nodes
        )
        self._partitions = PartitionInjector(self, seed, disturbs_nodes)
        self._has_abuse = FIRST_ABUSE_SEED <= seed < FIRST_OVERLOAD_SEED
        self._has_overload = FIRST_OVERLOAD_SEED <= seed < FIRST_PARTITION_SEED
        # New nodes do not know for 8 s how many they are. Half of the seeds wait for
        # it, so that short runs test quotas, too; the others begin with the faults.
        self._awaits_quotas = self._has_overload and seed % 2 == 0
        self._abuse_rng = random.Random(f"abuse {seed}")
        self._deadly_kind = "stream" if seed % 2 else "once"
        self.ledger = Ledger()
        self.store = Store()
        self.platform = self.store.platform
        self._version = 0
        self._target_version = 1
        self._route_added_at = {0: 0.0}
        self._keys = {
            "open": [f"open-{n}" for n in range(4)],
            "walled": [f"walled-{n}" for n in range(4)],
        }
        self._changes_isolation = seed >= FIRST_ISOLATION_SEED
        self._isolation_rng = random.Random(f"isolation {seed}")
        if self._changes_isolation:
            self._keys |= {name: [f"{name}-key"] for name in CHANGING_ACCOUNTS}
        self._isolated = {"walled"}
        self._removed = set()
        # Complete answers, by account.
        self._served = Counter()
        self.configure()
        self.backends = [
            Backend(
                f"{service}{n}",
                service,
                self.ledger,
                self.store,
                self.rng,
                self._has_overload,
            )
            for service, count in (("llm", 3), ("app", 2))
            for n in range(count)
        ]
        changes = OVERLOAD_SETTINGS if self._has_overload else {}
        if self._has_partitions:
            changes = PARTITION_SETTINGS
            self.ledger.superseded_at = {}
        self.nodes = [
            NodeProcess(n, folder, self.ledger, self.store.address, changes)
            for n in range(NODES)
        ]
        self.ledger.nodes_by_ip = {node.ip: node.name for node in self.nodes}
        if update:
            update.install_old(self.nodes)
        self._tasks = []
        self._are_servers_slow = self._has_overload

    @property
    def _served_count(self):
        """Return the number of complete answers to accounts without a quota."""
        return sum(self._served[account] for account in self._keys)

    @property
    def open_key(self):
        """Return the newest key of the account that shares its cached prompts."""
        return self._keys["open"][-1]

    def configure(self):
        """Write the configuration under a newer version, 1 to 4 higher."""
        self._version += self.rng.randint(1, 4)
        self._write_configuration()

    def _write_configuration(self):
        """Write the current configuration under its current version."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "path_prefix": prefix,
                "kind": kind,
                "timeout_ms": CLIENT_TIMEOUT_S * 1000,
                "service": service,
                "max_attempts": 2,
                "resumable": resumable,
            }
            for name, (prefix, kind, service, resumable) in ROUTES.items()
        ]
        added_routes = [
            {**routes[2], "name": f"v{n}", "path_prefix": f"/v{n}/"}
            for n in self._route_added_at
        ]
        slots = SLOTS if self._has_overload else 32
        services = [{"name": "app", "max_connections": 60}, _engines(slots)]
        config = {
            "version": self._version,
            "routes": routes + added_routes,
            "services": services,
            "tenants": [
                {
                    "name": name,
                    "api_keys": keys,
                    "share_nothing": name in self._isolated,
                }
                for name, keys in self._keys.items()
                if name not in self._removed
            ]
            + (_quota_accounts() if self._has_overload else []),
        }
        self.store.write("op", "config", config)

    def add_route(self):
        """Add a route, which the nodes are then probed for."""
        number = max(self._route_added_at) + 1
        self._route_added_at[number] = self.ledger.now()
        self.configure()

    def revoke_key(self):
        """Remove the oldest key of an account, unless it is its last one."""
        keys = self._keys[self.rng.choice(sorted(self._keys))]
        if len(keys) > 1:
            key = keys.pop(0)
            self.configure()
            self.ledger.revoked_at[key] = self.ledger.now()

    def change_isolation(self):
        """Isolate an account, let it share again, remove it or bring it back."""
        rng = self._isolation_rng
        name = rng.choice(CHANGING_ACCOUNTS)
        if name in self._removed:
            self._removed.remove(name)
        elif name == CHANGING_ACCOUNTS[-1] and rng.random() < 0.3:
            self._removed.add(name)
        self._isolated ^= {name}
        self.configure()
        self.ledger.walls.set_isolated(
            self._isolated - self._removed, self.ledger.now()
        )

    def _change_isolation_repeatedly(self):
        """Change isolation until the faults end."""
        while self._changes_isolation:
            gevent.sleep(self._isolation_rng.uniform(0.2, ISOLATION_INTERVAL_S))
            self.change_isolation()

    def raise_target_weights(self):
        """Set the next version as target weights."""
        self._target_version += 1
        self._write_weights()
        if self.ledger.superseded_at is not None:
            self.ledger.superseded_at[self._target_version - 1] = self.ledger.now()

    def _write_weights(self):
        target = {"model": MODEL, "version": self._target_version}
        self.store.write("op", f"version/{MODEL}", target)

    def rewrite_lost_rows(self):
        """Write the rows that a store rollback lost.

        Entries of terminated servers that it restored are removed when they expire.
        """
        self._write_configuration()
        if self._target_version > 1:
            self._write_weights()
        current_ids = {b.server_id for b in self.backends if b.state != "left"}
        for table, server_id in list(self.platform.rows):
            if table == "servers" and server_id not in current_ids:
                gevent.spawn_later(
                    ENTRY_EXPIRY_S, self.store.remove, "servers", server_id
                )
        for backend in self.backends:
            if backend.has_entry:
                backend.write()
            elif backend.state == "left":
                # The store has lost the removal that it had acknowledged.
                self.ledger.draining_at.pop(backend.server_id, None)

    @contextlib.contextmanager
    def disturbed(self, name):
        """Mark a node or the store as harmed and disturbed while the block runs."""
        task = gevent.spawn(self._mark_harmed_forever, name)
        try:
            yield
        finally:
            task.kill()
            self.ledger.mark_harmed(name)

    def _mark_harmed_forever(self, name):
        while True:
            self.ledger.mark_harmed(name)
            gevent.sleep(0.2)

    def start(self, node):
        """Start a node unless it runs, and mark it as disturbed."""
        self.ledger.mark_disturbed(node.name)
        node.start()

    def run(self, duration_s=0.0, pause_s=1.0, timed=True, faults=None):
        """Serve clients during the faults and after them; return the ledger.

        `faults` replaces the random faults.
        """
        try:
            for node in self.nodes:
                node.start()
            self._wait_for(lambda: all(n.is_ready() for n in self.nodes), "start")
            for number in range(CLIENTS):
                self._tasks.append(gevent.spawn(self._run_client, number))
            self._tasks.append(gevent.spawn(self._probe_configuration))
            if self._has_deadly:
                self._tasks.append(gevent.spawn(self._run_deadly_client))
                self._tasks.append(gevent.spawn(self._forget_entries))
            disturbances = []
            if self._update:
                disturbances.append(
                    gevent.spawn(self._update.replace_nodes, self, duration_s)
                )
            if self._changes_isolation:
                disturbances.append(gevent.spawn(self._change_isolation_repeatedly))
            if self._has_removals:
                disturbances.append(gevent.spawn(self._remove_servers))
            if self._has_software:
                disturbances.append(gevent.spawn(self._renew_software))
            if self._has_partitions:
                disturbances += self._partitions.start()
            if self._has_software or self._has_partitions:
                self._tasks += self.start_resuming_clients()
            if self._has_abuse:
                disturbances.append(gevent.spawn(self._abuse_nodes))
            if self._has_overload:
                disturbances.append(gevent.spawn(self._slow_servers))
                self._tasks += [
                    gevent.spawn(QuotaClient(self, account, number).run)
                    for account, count in QUOTA_CLIENTS.items()
                    for number in range(count)
                ]
                self._tasks += [
                    gevent.spawn(MisbehavingClient(self, number).run)
                    for number in range(MISBEHAVING_CLIENTS)
                ]
            self._tasks += disturbances
            if self._awaits_quotas:
                self._wait_for(lambda: self._served["below"], "quotas")
            if faults is not None:
                faults()
            elif self._is_calm:
                gevent.sleep(duration_s)
            else:
                injector = FaultInjector(
                    self, self.rng, self._rollback_rng, self._limit_rng
                )
                injector.run(duration_s, pause_s)
            self._has_removals = self._has_software = self._has_abuse = False
            self._changes_isolation = False
            self._partitions.stop()
            self._are_servers_slow = False
            gevent.joinall(disturbances, raise_error=True)
            self._check_recovery(timed)
            if shortfall := self.ledger.reach.find_shortfall():
                self.ledger.add_violation("RECOVER", shortfall)
        finally:
            gevent.killall(self._tasks)
            resumes = self.ledger.resumes
            self.ledger.log(
                f"{len(self.ledger.attempts)} attempts, {self._served_count} ok"
                + (f", resumes {dict(resumes)}" if resumes else "")
                + (self._describe_overload() if self._has_overload else "")
                + (self._describe_reach() if self._has_partitions else "")
            )
            for node in self.nodes:
                node.stop()
            for backend in self.backends:
                backend.stop()
            self.store.stop()
        return self.ledger

    def _describe_overload(self):
        ledger = self.ledger
        quota_served = {name: self._served[name] for name in QUOTAS}
        refused = sum(a.status == 429 for a in ledger.attempts.values())
        return (
            f", of quotas {quota_served}, {ledger.quotas.counted} runs counted, "
            f"{ledger.quotas.excused} excused, peaks {ledger.quotas.peaks}; "
            f"{refused} rejected with 429, {ledger.full} by full servers"
        )

    def _describe_reach(self):
        ledger = self.ledger
        return (
            f", {ledger.forwarded} runs forwarded, {ledger.superseded_runs} on "
            f"superseded weights for up to {ledger.superseded_max_s:.2f} s; "
            f"{dict(ledger.reach.counts)}"
        )

    def _abuse_nodes(self):
        """Let servers repeat rejections or send without end, or narrow their links."""
        rng = self._abuse_rng
        while self._has_abuse:
            gevent.sleep(ABUSE_INTERVAL_S)
            backend = rng.choice(self.backends)
            kind = rng.choice(["copies", "copies", "report", "narrow"])
            self.ledger.log(f"{backend.server_id} abuses nodes: {kind}")
            link = backend.link
            if kind == "narrow":
                link.set_mode(LinkMode.NARROW)
            else:
                backend.abuse = kind
            gevent.sleep(rng.uniform(1.0, ABUSE_S))
            backend.abuse = ""
            link.set_mode(LinkMode.OPEN)

    def start_resuming_clients(self):
        """Start clients that read streams and resume them; return their tasks."""
        clients = [ResumingClient(self, number) for number in range(RESUMING_CLIENTS)]
        return [gevent.spawn(client.run) for client in clients]

    def partition(self, nodes, mode, duration_s, services=("llm",)):
        """Cut nodes off from services for a while; clients and nodes reach them."""
        ledger = self.ledger
        names = [node.name for node in nodes]
        ledger.log(f"{names} are cut off from {services}: {mode.value}")
        links = [(n, s) for n in nodes for s in services]
        backends = [b for b in self.backends if b.service in services]
        for node, service in links:
            resets = mode is LinkMode.RESET
            ledger.reach.begin_cut(node.name, service, resets, ledger.now())
        for backend in backends:
            for node in nodes:
                backend.cut_off(node.ip, mode)
        gevent.sleep(duration_s)
        for backend in backends:
            for node in nodes:
                backend.reconnect(node.ip)
        for node, service in links:
            ledger.reach.end_cut(node.name, service, ledger.now())
        ledger.log(f"{names} reach {services} again")

    def _slow_servers(self):
        """Let servers slow down for a while, one after another."""
        rng = random.Random("slow")
        while self._are_servers_slow:
            gevent.sleep(rng.uniform(0, SLOW_INTERVAL_S))
            rng.choice(self.backends).slow_down()

    def _check_recovery(self, timed):
        """Check that nodes, answers and target weights recover after the last fault."""
        since = self.ledger.now()
        self._wait_for(lambda: all(n.is_ready() for n in self.nodes), "recovery")
        served_before = self._served_count
        self._wait_for(
            lambda: self._served_count >= served_before + RECOVERED_ANSWERS, "answers"
        )
        accounts = QUOTAS if self._has_overload else ()
        quota_served = {name: self._served[name] for name in accounts}
        self._wait_for(
            lambda: all(self._served[name] > n for name, n in quota_served.items()),
            "answers to accounts with quotas",
        )
        engines = [b for b in self.backends if b.is_engine]
        target = self._target_version
        self._wait_for(lambda: all(b.version == target for b in engines), "weights")
        took_s = self.ledger.now() - since
        if timed and took_s > RECOVER_S:
            self.ledger.add_violation("RECOVER", f"{took_s:.1f} s")

    def _wait_for(self, condition, what):
        """Wait until a condition is met; record a violation at the timeout."""
        deadline = self.ledger.now() + START_TIMEOUT_S
        while not condition():
            if self.ledger.now() > deadline:
                self.ledger.add_violation(
                    "RECOVER", f"no {what} within {START_TIMEOUT_S:.0f} s"
                )
                return
            gevent.sleep(0.1)

    def _run_client(self, number):
        """Send requests one after another, reusing connections."""
        rng = random.Random(f"{number} {self.rng.random()}")
        reusable = None
        count = 0
        while True:
            gevent.sleep(rng.uniform(0, self._max_think_time_s))
            count += 1
            node, sock = reusable or self.connect(rng)
            if sock is None:
                continue
            kind = rng.choice(sorted(ROUTES))
            request_id = f"c{number}-{count}"
            reusable = (
                (node, sock)
                if self.send_request(node, sock, kind, request_id)
                else None
            )
            if reusable is None:
                sock.close()

    def _run_deadly_client(self):
        """Send one request again and again that crashes each server that runs it."""
        rng = random.Random("deadly")
        count = 0
        while True:
            gevent.sleep(DEADLY_INTERVAL_S)
            node, sock = self.connect(rng)
            if sock is None:
                continue
            count += 1
            key = self._keys["open"][-1]
            # Each kind has a path, and so a request, of its own.
            kind = self._deadly_kind
            self.send_request(node, sock, kind, f"d-{count}", None, key, DEADLY_BODY)
            sock.close()

    def _forget_entries(self):
        """Remove entries of servers that are running."""
        rng = random.Random("entries")
        while True:
            gevent.sleep(FORGET_INTERVAL_S)
            rng.choice(self.backends).forget_entry()

    def _remove_servers(self):
        """Let servers leave without a report while some nodes are away."""
        rng = random.Random("removals")
        while self._has_removals:
            gevent.sleep(REMOVAL_INTERVAL_S)
            away = rng.sample(self.nodes, rng.randint(1, NODES - 1))
            pauses = rng.random() < 0.5
            tasks = [gevent.spawn(self._keep_away, node, pauses) for node in away]
            gevent.sleep(0.5)
            backend = rng.choice(self.backends)
            peers = [b for b in self.backends if b.service == backend.service]
            if all(peer.state == "ready" for peer in peers):
                self.ledger.log(f"{backend.server_id} leaves without a report")
                self._tasks.append(gevent.spawn(backend.leave, REMOVAL_LINGER_S))
            gevent.joinall(tasks, raise_error=True)

    def _renew_software(self):
        """Start engines with newer software, and kill all nodes now and then."""
        rng = random.Random("software")
        kill_fraction = (
            PARTITION_KILL_ALL_FRACTION if self._has_partitions else KILL_ALL_FRACTION
        )
        number = 1
        while self._has_software:
            gevent.sleep(SOFTWARE_INTERVAL_S)
            number += 1
            engines = [b for b in self.backends if b.is_engine]
            for backend in engines:
                backend.next_software = f"v{number}"
            for backend in rng.sample(engines, rng.randint(1, len(engines) - 1)):
                if backend.state == "ready":
                    self.ledger.log(f"{backend.server_id} is replaced by v{number}")
                    self._tasks.append(gevent.spawn(backend.drain))
            if rng.random() < kill_fraction:
                gevent.sleep(rng.uniform(0.2, 2.0))
                self.ledger.log("all nodes are killed")
                for node in self.nodes:
                    self.ledger.mark_harmed(node.name)
                    node.kill()
                gevent.sleep(rng.uniform(0.1, 0.5))
                for node in self.nodes:
                    self.start(node)

    def send_stream(self, rng, request_id, headers):
        """Send the request of a stream to a random node; return what came, or None."""
        node, sock = self.connect(rng)
        if sock is None:
            return None
        key = self._keys["open"][-1]
        attempt = Attempt(
            request_id,
            "sequence",
            False,
            key,
            "open",
            node.name,
            self.ledger.now(),
            b"x",
            headers,
            node.start_count,
        )
        attempt.group = self.ledger.group(node.name)
        self.ledger.attempts[request_id] = attempt
        received = None
        try:
            sock.settimeout(CLIENT_TIMEOUT_S + 1)
            sock.sendall(encode_request(attempt, ROUTES["stream"][0] + "x"))
            received = read_answer(sock)
        except (OSError, ValueError):
            # What came before the connection ended is in what the reader returned.
            received = None
        finally:
            sock.close()
        status = received.status if received is not None else None
        complete = received is not None and received.complete
        self.ledger.record_outcome(attempt, status, b"", complete)
        if received is not None:
            self._count_break(attempt, received)
        return received

    def _count_break(self, attempt, received):
        """Count streams that broke off, and those that could have gone on."""
        if attempt.kind not in STREAMS or received.status != 200 or received.complete:
            return
        now = self.ledger.now()
        self.ledger.reach.counts["broken"] += 1
        if could_continue(self.ledger, attempt, self.backends, now):
            self.ledger.reach.counts["broken but served elsewhere"] += 1

    def _keep_away(self, node, pauses):
        """Pause a node, or cut it off from the store, for a while."""
        with self.disturbed(node.name):
            if pauses:
                node.pause(REMOVAL_AWAY_S)
            else:
                node.link.set_mode(LinkMode.SILENT)
                gevent.sleep(REMOVAL_AWAY_S)
                node.link.set_mode(LinkMode.OPEN)

    def connect(self, rng):
        """Connect to a node that the directory of a random node lists."""
        directory_node = rng.choice(self.nodes)
        url = f"http://{directory_node.directory}/-/lookup?name={HOST}&region=r&zone=z"
        try:
            answer = urllib3.request("GET", url, timeout=1, retries=False).json()
            address = rng.choice(answer["addresses"])
            node = next(n for n in self.nodes if n.front == address)
            host, port = address.rsplit(":", 1)
            return node, socket.create_connection((host, int(port)), timeout=1)
        except (urllib3.exceptions.HTTPError, OSError, LookupError, ValueError):
            return None, None

    def send_request(
        self,
        node,
        sock,
        kind,
        request_id,
        path=None,
        key=None,
        body=None,
        account="open",
        tokens=(400, 12),
    ):
        """Send one request; return whether its connection can be reused."""
        if key is None:
            account = self.rng.choice(sorted(self._keys))
            key = self.rng.choice(self._keys[account])
            body = request_id.encode() * self.rng.randint(1, 40)
            body = b"" if kind == "any" else body
        attempt = Attempt(
            request_id, kind, kind == "once", key, account, node.name, 0.0, body
        )
        attempt.sent_at = self.ledger.now()
        attempt.group = self.ledger.group(node.name)
        attempt.start_count = node.start_count
        attempt.tokens = tokens
        self.ledger.attempts[request_id] = attempt
        path = path or ROUTES[kind][0] + "x"
        try:
            sock.settimeout(CLIENT_TIMEOUT_S + 1)
            sock.sendall(encode_request(attempt, path))
            received = read_answer(sock)
        except (OSError, ValueError):
            received = None
        if received is None:
            self.ledger.record_outcome(attempt, None, b"", False)
            return False
        if "server-limit" in received.headers:
            self.ledger.limits.record_answer(
                received.headers.get("instance-id"), attempt.process, self.ledger.now()
            )
        self.ledger.record_outcome(
            attempt, received.status, received.body, received.complete
        )
        self._count_break(attempt, received)
        if received.status == 200 and received.complete:
            self._served[attempt.account] += 1
        return received.complete and received.headers.get("connection") != "close"

    def _probe_configuration(self):
        """Probe random nodes for the newest added route.

        A node must have it within CONFIG_APPLY_S and may not lose it again.
        """
        newest_seen = {}
        count = 0
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            node = self.rng.choice(self.nodes)
            number = max(self._route_added_at)
            start_count = node.start_count
            count += 1
            host, port = node.front.rsplit(":", 1)
            try:
                sock = socket.create_connection((host, int(port)), timeout=1)
            except OSError:
                continue
            sent_at = self.ledger.now()
            undisturbed = self.ledger.is_undisturbed(node.name, "store")
            request_id = f"p-{count}"
            self.send_request(node, sock, "any", request_id, f"/v{number}/x")
            sock.close()
            status = self.ledger.attempts[request_id].status
            if status == 200:
                newest_seen[node.name, start_count] = number
            if status != 404:
                continue
            if newest_seen.get((node.name, start_count), 0) >= number:
                self.ledger.add_violation(
                    "REVERTED", f"{node.name} forgot route v{number}"
                )
            late_s = sent_at - self._route_added_at[number]
            if (
                undisturbed
                and self.ledger.is_undisturbed(node.name)
                and late_s > CONFIG_APPLY_S
            ):
                self.ledger.add_violation(
                    "CONFIG", f"{node.name} lacks v{number}: {late_s}"
                )


def _quota_accounts():
    return [
        {
            "name": name,
            "api_keys": [name],
            "unit": "tokens",
            "plain_tokens": PLAIN_TOKENS,
            "rate_per_s": rate_s,
            "burst": burst,
        }
        for name, (rate_s, burst) in QUOTAS.items()
    ]


def _engines(slots):
    return {
        "name": "llm",
        "max_connections": 200,
        "engine": {
            "slots": slots,
            "kv_capacity_tokens": 100_000,
            "models": [{"name": MODEL}],
        },
    }


def soak(seed, duration_s, pause_s=1.0, timed=True, folder=None, update=None):
    """Run one seed; return the ledger and the folder with the nodes' logs."""
    folder = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    world = World(seed, folder, update=update)
    ledger = world.run(duration_s, pause_s, timed)
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            # No fault of the soak excuses an error that a node did not expect.
            if '"levelname": "ERROR"' in line or line.startswith("Traceback"):
                ledger.add_violation("ERROR", f"{path.name}: {line[:300]}")
    (folder / "ledger.json").write_text(
        json.dumps(
            {
                "seed": seed,
                "broken": ledger.violations,
                "notes": ledger.log_lines,
                "attempts": ledger.summarize_attempts(),
            }
        )
    )
    return ledger, folder
