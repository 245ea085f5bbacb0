"""Check that no request uses cache across the wall around an isolated account."""

from collections import defaultdict
from dataclasses import dataclass, field

from tests.soak.const import CONFIG_APPLY_S


@dataclass(slots=True)
class WallCheck:
    """Remember who made each part of a prompt, by the salt under which it is found.

    All servers count as one, as they fetch cached parts from one another.
    """

    # Since when each isolated account is isolated, in seconds.
    isolated_since: dict[str, float] = field(default_factory=dict)
    makers: dict[tuple, set[str]] = field(default_factory=lambda: defaultdict(set))
    # Uses of parts that another account made.
    shared_uses: int = 0

    def set_isolated(self, accounts, now):
        """Record which accounts the configuration isolates from now on."""
        since = self.isolated_since
        self.isolated_since = {name: since.get(name, now) for name in accounts}

    def record_run(self, request, attempt, excused):
        """Record which parts a run finds or makes; return a breach of the wall if any.

        The wall holds for requests that were sent once the configuration is in force.
        """
        salt = request.headers.get("cache-salt")
        parts = request.headers.get("prefix-hash")
        if salt is None or parts is None:
            return ""
        breach = ""
        for part in parts.split(","):
            makers = self.makers[salt, request.headers.get("expect-version"), part]
            others = makers - {attempt.account}
            self.shared_uses += bool(others)
            makers.add(attempt.account)
            for maker in others:
                since = min(
                    self.isolated_since.get(name, float("inf"))
                    for name in (maker, attempt.account)
                )
                if attempt.sent_at > since + CONFIG_APPLY_S and not excused:
                    breach = f"{attempt.request_id} uses {part} of {maker}"
        return breach
