"""Run nodes of an older build beside those of this one, as in a rolling update."""

from dataclasses import dataclass
from pathlib import Path

import gevent

from standins.cluster import ROOT


@dataclass(frozen=True, slots=True)
class Builds:
    """Choose the build of each start of a node.

    Each node's first `old_starts` starts are of the build in the folder `old`, later
    ones of this build; with `rolls_back` the second of these is of the old one again.
    """

    old: Path
    old_starts: int = 1
    rolls_back: bool = False

    def choose(self, start_count):
        """Return the folder with the build of a node's start, counted from 1."""
        is_rollback = self.rolls_back and start_count == self.old_starts + 2
        return self.old if start_count <= self.old_starts or is_rollback else ROOT

    def replace_nodes(self, world, duration_s):
        """Stop and start all nodes one by one, until each runs this build."""
        rounds = self.old_starts + (2 if self.rolls_back else 0)
        interval_s = duration_s / (rounds * len(world.nodes) + 1)
        for _ in range(rounds):
            for node in world.nodes:
                gevent.sleep(interval_s)
                world.ledger.log(f"{node.name} is replaced")
                world.ledger.mark_disturbed(node.name)
                node.terminate()
                world.start(node)
