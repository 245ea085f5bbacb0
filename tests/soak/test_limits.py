"""Check with real nodes that limits of servers hold for all nodes together."""

import gevent

from tests.soak.world import World

# Limits that an engine and another server name, in requests per second.
ENGINE_LIMIT_S = 1.0
APP_LIMIT_S = 3.0
# Time for which the limits are named, in seconds: three windows of the rule.
LIMITED_S = 12.0
# Maximum pause of a client between two requests, in seconds. Without limits each server
# gets a few requests per second, several times what the limits allow.
MAX_THINK_TIME_S = 0.8


# Guards against servers that get far more requests than the limit that they named.
def test_servers_get_no_more_requests_than_the_limit_that_they_named(tmp_path):
    world = World(1, tmp_path, MAX_THINK_TIME_S)
    limits = ((world.backends[0], ENGINE_LIMIT_S), (world.backends[-1], APP_LIMIT_S))

    def name_limits():
        gevent.sleep(2.0)
        for backend, limit_s in limits:
            backend.name_limit(limit_s)
        gevent.sleep(LIMITED_S)

    ledger = world.run(faults=name_limits, timed=False)
    assert not ledger.violations, "\n".join(ledger.log_lines)
    assert ledger.runs
