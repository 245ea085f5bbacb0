"""Run nodes of an older build beside those of this one, as in a rolling update."""

from dataclasses import dataclass
from pathlib import Path

import gevent

from standins.cluster import ROOT


@dataclass(frozen=True, slots=True)
class RollingUpdate:
    """Replace nodes of the build in the folder `old` by nodes of this build.

    With `rolls_back` all nodes return to the old build, and are replaced once more.
    """

    old: Path
    rolls_back: bool = False

    def install_old(self, nodes):
        """Let nodes start with the old build."""
        for node in nodes:
            node.build = self.old

    def replace_nodes(self, world, duration_s):
        """Replace all nodes one by one; a restart by a fault keeps a node's build."""
        rounds = [ROOT, self.old, ROOT] if self.rolls_back else [ROOT]
        interval_s = duration_s / (len(rounds) * len(world.nodes) + 1)
        for build in rounds:
            for node in world.nodes:
                gevent.sleep(interval_s)
                world.ledger.log(f"{node.name} is replaced")
                world.ledger.mark_disturbed(node.name)
                node.build = build
                node.terminate()
                world.start(node)
