"""Run a short soak, and rerun each seed that ever violated a guarantee."""

import pytest

from tests.soak.world import soak

# Seeds and the violation that each one found, in runs of 20 s with a pause of 0.6 s
# between faults; 4004 was found in 40 s with a pause of 2 s.
REGRESSIONS = {
    9: "EXIT: SIGHUP ended a node that was starting",
    16: "DRAIN: silent connections to the store hid that a server leaves",
    110: "CONFIG: the stand-in's feed named a version newer than its rows",
    4004: "DRAIN: a node retained a server that left while the node was away",
    5000: "ORDER: clients' streams held events of two software versions",
}


# Only seeds from 1000 on roll the store back to an older copy, in those from 2000 on
# servers name limits on their requests, and in those from 3000 on a request crashes
# servers and entries of servers vanish and return; in those from 4000 on servers leave
# without a report while nodes are away; in those from 5000 on engines get newer
# software, all nodes are killed now and then, and clients resume streams; in those from
# 6000 on servers repeat rejections late, send reports without end or have narrow links;
# in those from 7000 on accounts have quotas, servers reject requests when they are full
# and slow down, and clients leave bodies unfinished and answers unread; in those from
# 8000 on nodes are cut off from servers that other nodes reach, target weights follow
# one another quickly, and clients resume streams; in those from 9000 on two accounts
# are isolated and shared again, and one is removed and returns. Seed 8001 found LIMIT:
# an engine that answered no order got it again at once. On 5a21dd2 9000 broke WALL.
@pytest.mark.parametrize(
    "seed", [1, 1000, 2000, 3000, 3001, 6000, 7000, 8001, 8002, 9000, *REGRESSIONS]
)
def test_faults_violate_no_guarantee(seed, tmp_path):
    duration_s = 20.0 if seed in REGRESSIONS else 8.0
    # The recovery bound is checked only in manual runs. The bounds on draining, removed
    # keys and configurations are checked here too, for undisturbed nodes.
    ledger, _ = soak(seed, duration_s, 0.6, timed=False, folder=tmp_path)
    assert not ledger.violations, "\n".join(ledger.log_lines)
    assert len(ledger.runs) > 100
