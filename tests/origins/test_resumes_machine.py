"""No answer and no client's sequence holds two versions, whatever dies and when."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from arbutusyard.origins import coordinator
from arbutusyard.origins.models import Began, UnknownOrigin
from arbutusyard.platform.rows import TABLE_SERVERS
from tests.fleet.simulation import STEP_S, SimulatedFleet, SimulatedNode
from tests.fleet.support import entry

NODES = 4
SERVERS = 6
# Time after its beginning in which a client may resume a stream, in seconds.
CLIENT_LIFE_S = 8.0
# Number of streams, the newest, that clients resume at once.
STREAMS_CHECKED = 12
# Times after which an undisturbed node knows a stream that began, and the store too.
SHARED_S = 1.0
CONTACT_S = 3.0

NODE = st.integers(0, NODES - 1)


class ModelStream:
    """Hold which version really began a stream, and since when others can know."""

    def __init__(self, node, account, version, now):
        self.node = node
        self.account = account
        self.version = version
        self.began_at = now
        # Nothing has hindered it from reaching its keepers and the store.
        self.is_shared = False


# Guards against ORDER: clients resume at any node while servers get other versions,
# nodes are killed, one or all, at any moment, and nodes or all lose the store.
class ResumedStreams(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.fleet = SimulatedFleet(NODES, self.patch)
        # Datagrams are answered at once here, or never.
        self.patch.setattr(coordinator, "ASK_TIMEOUT_S", 0.0)
        self.ids = {}
        self.versions = {}
        self.streams = {}
        self.incarnation = 1
        self.newest = 1
        self.disturbed_at = 0.0
        self.mixed_at = 0.0
        for n in range(SERVERS):
            self._start_server(n)
        self.fleet.run(6.0)

    def teardown(self):
        self.patch.undo()

    def _start_server(self, n):
        """Start the newest version in place of a server, under another id."""
        self.fleet.store.write(TABLE_SERVERS, self.ids.get(n, ""), None)
        self.ids[n] = server_id = f"s{n}-{self.newest}"
        self.versions[server_id] = version = f"v{self.newest}"
        value = entry(f"10.1.0.{n}:80", models=[], version=version, born=self.newest)
        self.fleet.store.write(TABLE_SERVERS, server_id, value)

    def _run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.fleet.step()
            now = self.fleet.now
            if self.fleet.store.down or any(n.cut for n in self.fleet.nodes):
                self.disturbed_at = now
            for stream in self.streams.values():
                began_at = max(stream.began_at, self.mixed_at)
                if self.disturbed_at < began_at - SHARED_S < now - 2 * SHARED_S:
                    stream.is_shared = True

    @rule(seconds=st.sampled_from([0.25, 0.5, 2.0, 8.0]))
    def time_passes(self, seconds):
        self._run(seconds)

    @rule(number=NODE, account=st.sampled_from(["x", "y"]), count=st.integers(1, 4))
    def streams_begin(self, number, account, count):
        node = self.fleet.nodes[number]
        for _ in range(count):
            server_id = node.place(self.fleet.now, resumable=True)
            if server_id is None:
                return
            server = node.state.servers.get(server_id)
            stream_id = f"r{len(self.streams)}"
            version = server.entry.software_version
            node.origins.record_beginning(
                account, stream_id, server, version, self.fleet.now
            )
            self.streams[stream_id] = ModelStream(
                number, account, self.versions[server_id], self.fleet.now
            )

    @rule(number=NODE)
    def clients_resume(self, number):
        for stream_id, stream in list(self.streams.items())[-STREAMS_CHECKED:]:
            if self.fleet.now - stream.began_at <= CLIENT_LIFE_S:
                self._resume(self.fleet.nodes[number], stream_id, stream)

    def _resume(self, node, stream_id, stream):
        now = self.fleet.now
        if not node.state.can_serve():
            return
        found = self._find(node, "stranger", stream_id)
        assert isinstance(found, UnknownOrigin) or found.source == "only_version"
        match self._find(node, stream.account, stream_id):
            case Began(version=version):
                assert version == stream.version, (stream_id, node.name)
                server_id = node.place(now, version=version)
                assert server_id is None or self.versions[server_id] == version
            case UnknownOrigin():
                in_touch = now - self.disturbed_at > CONTACT_S
                assert not (stream.is_shared and in_touch), (stream_id, node.name)

    # All that a day may bring within seconds, at random moments.
    @rule(
        number=NODE,
        count=st.integers(1, SERVERS),
        numbers=st.sets(NODE, min_size=1),
        kills_all=st.booleans(),
        wait_s=st.sampled_from([0.0, 0.25, 0.5, 2.0]),
        down_s=st.sampled_from([0.0, 1.0]),
    )
    def versions_change_and_nodes_are_killed(
        self, number, count, numbers, kills_all, wait_s, down_s
    ):
        self.streams_begin(number, "x", 2)
        self.servers_get_a_newer_version(count, 0.0)
        self._run(wait_s)
        for node in range(NODES):
            self.streams_begin(node, "y", 1)
        self._run(wait_s)
        self._kill(range(NODES) if kills_all else numbers, down_s)
        self.clients_resume(number)
        self._run(3.5)
        self.clients_resume((number + 1) % NODES)

    def _find(self, node, account, stream_id):
        self.fleet.delivers_at_once = True
        found = node.origins.find(account, stream_id, "svc", self.fleet.now)
        self.fleet.delivers_at_once = False
        self.fleet.datagrams.clear()
        return found

    @rule(count=st.integers(1, SERVERS), pause_s=st.sampled_from([0.0, 0.5]))
    def servers_get_a_newer_version(self, count, pause_s):
        if self.fleet.store.down:
            return
        self.newest += 1
        self.mixed_at = self.fleet.now
        for n in range(count):
            self._run(pause_s)
            self._start_server(n)

    @rule(numbers=st.sets(NODE, min_size=1), pause_s=st.sampled_from([0.0, 1.0]))
    def nodes_are_killed(self, numbers, pause_s):
        self._kill(numbers, pause_s)

    @rule(pause_s=st.sampled_from([0.0, 1.0, 2.5]))
    def all_nodes_are_killed(self, pause_s):
        self._kill(range(NODES), pause_s)

    def _kill(self, numbers, pause_s):
        for number in numbers:
            self.incarnation += 1
            node = SimulatedNode(self.fleet, number, self.incarnation)
            node.cut = node.frozen = True
            self.fleet.nodes[number] = node
        self.fleet.datagrams.clear()
        self._run(pause_s)
        for number in numbers:
            self.fleet.nodes[number].cut = self.fleet.nodes[number].frozen = False
        self.disturbed_at = self.fleet.now
        self._run(0.5)

    @rule(number=NODE, seconds=st.sampled_from([1.0, 4.0]))
    def node_is_cut_off(self, number, seconds):
        node = self.fleet.nodes[number]
        node.cut = True
        self._run(seconds)
        node.cut = False
        self.disturbed_at = self.fleet.now

    @rule(seconds=st.sampled_from([1.0, 4.0]))
    def store_is_away(self, seconds):
        self.fleet.store.down = True
        self._run(seconds)
        self.fleet.store.down = False
        self.disturbed_at = self.fleet.now


TestResumedStreams = ResumedStreams.TestCase
TestResumedStreams.settings = settings(
    max_examples=100,
    stateful_step_count=20,
    # Shrinking a fleet takes minutes.
    phases=[Phase.explicit, Phase.generate],
)
