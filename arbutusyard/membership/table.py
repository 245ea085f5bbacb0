"""Merge what members say of each other."""

import logging

import msgspec

from arbutusyard.membership.const import FORGET_DEAD_S, SUSPECT_TIMEOUT_S
from arbutusyard.membership.models import Member, Status

_LOGGER = logging.getLogger(__name__)


class MemberTable:
    """Keep the newest record of each member."""

    __slots__ = ("_changed_at", "_sent", "me", "members")

    def __init__(self, me: Member) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self._changed_at: dict[str, float] = {}
        self._sent: dict[str, int] = {me.name: 0}

    def update_me(self, **changes: object) -> None:
        """Change the own record and raise its version."""
        self.me = msgspec.structs.replace(
            self.me, version=self.me.version + 1, **changes
        )
        self._sent[self.me.name] = 0

    def merge(self, record: Member, now: float) -> None:
        """Take a record over if it is newer."""
        if record.name == self.me.name:
            self._refute(record)
            return
        known = self.members.get(record.name)
        if known is not None and record.order() <= known.order():
            return
        if known is None and record.status is Status.DEAD:
            return
        if known is None or known.status is not record.status:
            _LOGGER.info("Member %s is %s", record.name, record.status.name.lower())
        if known is None or known.status is not record.status:
            self._changed_at[record.name] = now
        self.members[record.name] = record
        self._sent[record.name] = 0

    def suspect(self, name: str, now: float) -> None:
        """Mark a member that did not answer."""
        member = self.members.get(name)
        if member is not None and member.status < Status.SUSPECT:
            self.merge(msgspec.structs.replace(member, status=Status.SUSPECT), now)

    def sweep(self, now: float) -> None:
        """Declare old suspects dead and forget the long dead."""
        for member in list(self.members.values()):
            age_s = now - self._changed_at.get(member.name, now)
            if member.status is Status.SUSPECT and age_s > SUSPECT_TIMEOUT_S:
                self.merge(msgspec.structs.replace(member, status=Status.DEAD), now)
            elif member.status is Status.DEAD and age_s > FORGET_DEAD_S:
                del self.members[member.name]
                self._sent.pop(member.name, None)

    def live(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [m for m in self.members.values() if m.status is not Status.DEAD]

    def usable(self) -> list[Member]:
        """Return every member, this one included, that is neither dead nor suspect."""
        others = [m for m in self.members.values() if m.status <= Status.LEAVING]
        return [self.me, *others]

    def updates(self, limit: int) -> list[Member]:
        """Return the records that were passed on least, the own one first."""
        others = sorted(
            self.members.values(), key=lambda m: (self._sent.get(m.name, 0), m.name)
        )
        return [self.me, *others[: limit - 1]]

    def count_sent(self, records: list[Member]) -> None:
        """Take note that records were passed on."""
        for record in records:
            self._sent[record.name] = self._sent.get(record.name, 0) + 1

    def newest_revision(self) -> Member:
        """Return the usable member with the newest configuration."""
        return max(self.usable(), key=lambda member: member.revision)

    def _refute(self, record: Member) -> None:
        if record.order() <= self.me.order():
            return
        self.me = msgspec.structs.replace(
            self.me, incarnation=max(record.incarnation, self.me.incarnation) + 1
        )
        self._sent[self.me.name] = 0
