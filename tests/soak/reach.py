"""Check what clients get at nodes that are cut off from servers."""

from collections import Counter
from dataclasses import dataclass, field

from tests.soak.const import (
    CLIENT_TIMEOUT_S,
    CONTACT_S,
    REACH_FRACTION,
    REACH_SLACK,
    REACH_TRIES_PER_FAILURE,
    SERVICES,
)

# Time that a client must have left when its stream breaks off, so that the rest could
# have been served, in seconds.
STREAM_LEFT_S = 1.0


@dataclass(slots=True)
class ReachCheck:
    """Record which nodes are cut off from which services, and how they serve.

    All times are in seconds since the soak began.
    """

    cut_since: dict[tuple[str, str], float] = field(default_factory=dict)
    healed_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # Cuts whose links accept and reset new connections.
    resets: set[tuple[str, str]] = field(default_factory=set)
    # Tries and complete answers at nodes that are cut off from all services, at the
    # other nodes meanwhile, and first tries in all.
    counts: Counter = field(default_factory=Counter)

    def begin_cut(self, node, service, resets, now):
        """Record that a node is cut off from a service."""
        self.cut_since[node, service] = now
        if resets:
            self.resets.add((node, service))

    def end_cut(self, node, service, now):
        """Record that a node reaches a service again."""
        self.cut_since.pop((node, service), None)
        self.resets.discard((node, service))
        self.healed_at[node, service] = now

    def was_cut(self, node, service, now):
        """Tell whether a node was cut off from a service within CONTACT_S."""
        healed_at = self.healed_at.get((node, service))
        return (node, service) in self.cut_since or (
            healed_at is not None and now - healed_at < CONTACT_S
        )

    def group(self, node, nodes, now):
        """Return "cut", "reset" or "other" for a node whose tries count, else None.

        They count while some of `nodes`, which are in touch, have been cut off from all
        services for CONTACT_S and others reach all of them. Where links reset
        connections that they have accepted, no node can tell whether its request runs,
        so such tries are only counted.
        """
        groups = {name: self._classify(name, now) for name in nodes}
        present = set(groups.values())
        if "other" not in present or not present & {"cut", "reset"}:
            return None
        return groups.get(node)

    def _classify(self, node, now):
        since = [self.cut_since.get((node, service), now) for service in SERVICES]
        if now - max(since) >= CONTACT_S:
            is_reset = any((node, service) in self.resets for service in SERVICES)
            return "reset" if is_reset else "cut"
        is_whole = all(not self.was_cut(node, service, now) for service in SERVICES)
        return "other" if is_whole else None

    def record_try(self, group, served):
        """Record the outcome of a first try at a node of a group."""
        self.counts["first tries"] += 1
        if group is not None:
            self.counts[f"{group} tries"] += 1
            self.counts[f"{group} served"] += served

    def find_shortfall(self):
        """Return how much less nodes that are cut off served than others, or ""."""
        tries, served = self.counts["cut tries"], self.counts["cut served"]
        other_tries = self.counts["other tries"]
        if not tries or not other_tries:
            return ""
        allowed = REACH_SLACK + self.counts["first tries"] / REACH_TRIES_PER_FAILURE
        bound = REACH_FRACTION * self.counts["other served"] / other_tries
        if served / tries >= bound or tries - served <= allowed:
            return ""
        return (
            f"{served} of {tries} first tries served at nodes that are cut off, "
            f"{self.counts['other served']} of {other_tries} at the others"
        )


def could_continue(ledger, attempt, backends, now):
    """Tell whether another node reached a server that could go on with a stream."""
    runs = ledger.runs.get(attempt.request_id, [])
    if not runs or now - attempt.sent_at > CLIENT_TIMEOUT_S - STREAM_LEFT_S:
        return False
    software = {b.server_id: b.software for b in backends}.get(runs[-1].server_id)
    can_serve = any(
        b.is_engine and b.state == "ready" and not b.fault and not b.loading
        for b in backends
        if b.software == software
    )
    return can_serve and any(
        node != attempt.node
        and ledger.is_undisturbed(node)
        and not ledger.reach.was_cut(node, "llm", now)
        for node in ledger.nodes_by_ip.values()
    )
