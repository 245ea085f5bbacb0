"""A server that said that it leaves is never used again in that incarnation."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from arbutusyard.fleet.servers import ServerTable
from arbutusyard.gateway.models import ServerEntry, ServerState

IDS = st.sampled_from(["a", "b"])
STARTS = st.integers(1, 3)
STATES = st.sampled_from(list(ServerState))
SECONDS = st.sampled_from([0.1, 1.0, 3.0, 90.0])


def entry(server_id, start, state=ServerState.READY):
    return ServerEntry(server_id, start, "svc", "10.0.0.1:80", "z", state, 4, {"m": 1})


# Guards against DRAIN: the fact that a server leaves is kept in an object that is
# replaced, while its entry vanishes, returns, comes late or out of order.
class LeavingServers(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.servers = ServerTable()
        self.now = 100.0
        # Incarnations that said that they leave, as far as this node was told.
        self.left = set()

    def _told(self, item):
        if item.state is ServerState.DRAINING:
            self.left.add((item.server_id, item.started_at_ms))

    @rule(server_id=IDS, start=STARTS, state=STATES)
    def entry_comes(self, server_id, start, state):
        item = entry(server_id, start, state)
        self.servers.update(item)
        self._told(item)

    @rule(server_id=IDS)
    def entry_is_removed(self, server_id):
        self.servers.remove(server_id, self.now)

    @rule(entries=st.lists(st.builds(entry, IDS, STARTS, STATES)))
    def whole_table_comes(self, entries):
        table = {item.server_id: item for item in entries}
        self.servers.replace(table, self.now)
        for item in table.values():
            self._told(item)

    @rule(server_id=IDS, start=STARTS)
    def answer_or_peer_tells(self, server_id, start):
        self.servers.mark_leaving(server_id, start)
        self.left.add((server_id, start))

    @rule(server_id=IDS)
    def peer_reports_draining(self, server_id):
        self.servers.apply_leaving((server_id,), "n2", self.now)

    @rule()
    def store_is_rolled_back(self):
        self.servers.handle_store_rollback()

    @rule()
    def outage_ends(self):
        self.servers.outage_ended(self.now)

    @rule(seconds=SECONDS)
    def time_passes(self, seconds):
        self.now += seconds
        self.servers.sweep(self.now)

    @invariant()
    def no_leaving_server_is_usable(self):
        for server in self.servers.servers.values():
            if server.incarnation in self.left:
                assert not server.usable(self.now + 1e6), server.incarnation

    @invariant()
    def leaving_servers_are_told_to_the_others(self):
        present = {s.incarnation for s in self.servers.servers.values()}
        announced = set(self.servers.announced_leaving())
        draining = set(self.servers.leaving(self.now))
        for server_id, start in self.left & present:
            assert (server_id, start) in announced or server_id in draining


TestLeavingServers = LeavingServers.TestCase
TestLeavingServers.settings = settings(max_examples=200, stateful_step_count=30)


def test_an_announcement_outlasts_the_entry_that_is_removed_and_written_again():
    servers = ServerTable()
    servers.update(entry("a", 1))
    servers.mark_leaving("a", 1)
    servers.remove("a", 100.0)
    servers.update(entry("a", 1))
    assert not servers.get("a").usable(1e6)


def test_a_whole_table_without_the_entry_does_not_end_an_announcement():
    servers = ServerTable()
    servers.replace({"a": entry("a", 1)}, 100.0)
    servers.mark_leaving("a", 1)
    servers.replace({}, 101.0)
    servers.replace({"a": entry("a", 1)}, 102.0)
    assert not servers.get("a").usable(1e6)


def test_a_late_entry_of_an_older_incarnation_does_not_end_an_announcement():
    servers = ServerTable()
    servers.update(entry("a", 2))
    servers.mark_leaving("a", 2)
    servers.update(entry("a", 1))
    servers.update(entry("a", 2))
    assert not servers.get("a").usable(1e6)


def test_an_announcement_counts_for_a_server_that_is_not_yet_known():
    servers = ServerTable()
    servers.mark_leaving("a", 1)
    servers.update(entry("a", 1))
    assert not servers.get("a").usable(1e6)
    servers.update(replace(entry("a", 1), started_at_ms=2))
    assert servers.get("a").usable(1e6)


def test_a_pause_outlasts_the_entry_that_is_removed_and_written_again():
    servers = ServerTable()
    servers.update(entry("a", 1))
    servers.get("a").pause(30.0, 100.0)
    servers.remove("a", 101.0)
    servers.update(entry("a", 1))
    assert not servers.get("a").usable(129.0)
    assert servers.get("a").usable(130.0)


# Guards against DRAIN: a server whose entry vanished once and came back was ignored in
# an older copy of the store, also where that showed it as draining.
def test_a_server_that_came_back_drains_also_by_an_older_copy_of_the_store():
    servers = ServerTable()
    servers.replace({"a": entry("a", 1)}, 100.0)
    servers.remove("a", 101.0)
    servers.replace({"a": entry("a", 1)}, 102.0)
    servers.handle_store_rollback()
    servers.replace({"a": entry("a", 1, ServerState.DRAINING)}, 103.0)
    assert not servers.get("a").usable(1e6)


def test_a_removed_server_that_an_older_copy_shows_as_draining_does_not_come_back():
    servers = ServerTable()
    servers.replace({"a": entry("a", 1)}, 100.0)
    servers.replace({}, 101.0)
    servers.handle_store_rollback()
    servers.replace({"a": entry("a", 1, ServerState.DRAINING)}, 103.0)
    servers.update(entry("a", 1))
    assert not servers.get("a").usable(1e6)
