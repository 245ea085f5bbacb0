"""The age of target weights counts from when they may have been set."""

import pytest

from arbutusyard.platform.rows import TABLE_OPERATOR
from tests.fleet.simulation import SimulatedFleet


# Guards against VERSION: a node that was away dated target weights by its own return
# and used the weights that they superseded for longer than allowed.
def test_target_set_while_no_node_read_the_store_is_as_old_as_their_absence(
    monkeypatch,
):
    fleet = SimulatedFleet(3, monkeypatch)
    fleet.run(5.0)
    for node in fleet.nodes:
        node.cut = True
    fleet.run(1.0)
    fleet.store.write(TABLE_OPERATOR, "version/m", {"model": "m", "version": 2})
    fleet.run(10.0)
    for node in fleet.nodes:
        node.cut = False
    fleet.run(1.0)
    for node in fleet.nodes:
        age_s = node.state.superseded_s("m", 1, fleet.now)
        assert age_s == pytest.approx(11.0, abs=2.0)
