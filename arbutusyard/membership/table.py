"""Hold the table of members, merged from the records that they exchange."""

import logging

import msgspec

from arbutusyard.membership.const import DEAD_RETENTION_S, SUSPECT_TIMEOUT_S
from arbutusyard.membership.models import Member, Status

_LOGGER = logging.getLogger(__name__)


class MemberTable:
    """Hold the newest record of each member."""

    __slots__ = ("_send_counts", "_status_changed_at", "me", "members")

    def __init__(self, me: Member) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self._status_changed_at: dict[str, float] = {}
        self._send_counts: dict[str, int] = {me.name: 0}

    def update_me(self, **changes: object) -> None:
        """Change this node's record and raise its version."""
        self.me = msgspec.structs.replace(
            self.me, version=self.me.version + 1, **changes
        )
        self._send_counts[self.me.name] = 0

    def merge(self, record: Member, now: float) -> None:
        """Replace the known record if this one is newer; refute one about this node."""
        if record.name == self.me.name:
            self._refute(record)
            return
        known = self.members.get(record.name)
        if known is not None and record.precedence() <= known.precedence():
            return
        if known is None and record.status is Status.DEAD:
            return
        if known is None or known.status is not record.status:
            _LOGGER.info("Member %s is now %s", record.name, record.status.name.lower())
        if known is None or known.status is not record.status:
            self._status_changed_at[record.name] = now
        self.members[record.name] = record
        self._send_counts[record.name] = 0

    def suspect(self, name: str, now: float) -> None:
        """Mark a member that did not answer as suspect."""
        member = self.members.get(name)
        if member is not None and member.status < Status.SUSPECT:
            self.merge(msgspec.structs.replace(member, status=Status.SUSPECT), now)

    def sweep(self, now: float) -> None:
        """Declare suspects dead and remove dead members after their timeouts."""
        for member in list(self.members.values()):
            age_s = now - self._status_changed_at.get(member.name, now)
            if member.status is Status.SUSPECT and age_s > SUSPECT_TIMEOUT_S:
                self.merge(msgspec.structs.replace(member, status=Status.DEAD), now)
            elif member.status is Status.DEAD and age_s > DEAD_RETENTION_S:
                del self.members[member.name]
                self._send_counts.pop(member.name, None)

    def live(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [m for m in self.members.values() if m.status is not Status.DEAD]

    def usable(self) -> list[Member]:
        """Return every member, this one included, that is neither dead nor suspect."""
        others = [m for m in self.members.values() if m.status <= Status.LEAVING]
        return [self.me, *others]

    def updates(self, limit: int) -> list[Member]:
        """Return up to limit records: this node's, then those sent least often."""
        others = sorted(
            self.members.values(),
            key=lambda m: (self._send_counts.get(m.name, 0), m.name),
        )
        return [self.me, *others[: limit - 1]]

    def count_sent(self, records: list[Member]) -> None:
        """Count records as sent."""
        for record in records:
            self._send_counts[record.name] = self._send_counts.get(record.name, 0) + 1

    def member_with_newest_revision(self) -> Member:
        """Return the usable member with the newest configuration revision."""
        return max(self.usable(), key=lambda member: member.revision)

    def _refute(self, record: Member) -> None:
        if record.precedence() <= self.me.precedence():
            return
        self.me = msgspec.structs.replace(
            self.me, incarnation=max(record.incarnation, self.me.incarnation) + 1
        )
        self._send_counts[self.me.name] = 0
