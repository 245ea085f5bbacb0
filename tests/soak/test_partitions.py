"""Cut nodes off from all engines that other nodes reach, with real processes."""

import gevent

from tests.soak.proxy import LinkMode
from tests.soak.world import FIRST_PARTITION_SEED, World

ROUNDS = 6


# Guards against streams that begin again within one answer: a node forwards a stream,
# the other node is cut off in its turn, and the first one goes on by itself.
def test_streams_hold_each_event_once_while_nodes_are_cut_off_in_turn(tmp_path):
    world = World(FIRST_PARTITION_SEED, tmp_path)
    world._has_partitions = False
    first, second = world.nodes[:2], world.nodes[2:]

    def cut_in_turn():
        clients = world.start_resuming_clients()
        for _ in range(ROUNDS):
            world.partition(first, LinkMode.RESET, 1.2)
            world.partition(second, LinkMode.RESET, 0.6)
            gevent.sleep(0.3)
        gevent.killall(clients)

    ledger = world.run(timed=False, faults=cut_in_turn)
    assert not ledger.violations, "\n".join(ledger.log_lines)
    assert ledger.resumes["tried"] > 0
