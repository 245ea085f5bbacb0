"""Merge records in any order; the newest wins everywhere."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.membership.const import FORGET_DEAD_S, SUSPECT_TIMEOUT_S
from arbutusyard.membership.models import Member, Status
from arbutusyard.membership.table import MemberTable


def member(name, incarnation=1, version=0, status=Status.ALIVE):
    return Member(name, incarnation, version, status, "1:1", "1:2", "r", "d")


RECORDS = st.lists(
    st.builds(
        member,
        st.sampled_from(["b", "c"]),
        st.integers(1, 3),
        st.integers(0, 3),
        st.sampled_from(list(Status)[:3]),
    ),
    max_size=12,
)


@given(RECORDS, st.randoms(use_true_random=False))
def test_order_of_records_does_not_matter(records, rng):
    shuffled = list(records)
    rng.shuffle(shuffled)
    tables = [MemberTable(member("a")) for _ in range(2)]
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 0.0)
    assert tables[0].members == tables[1].members


def test_suspect_dies_and_is_forgotten_unless_it_refutes():
    table = MemberTable(member("a"))
    table.merge(member("b"), 0.0)
    table.suspect("b", 0.0)
    table.merge(member("b", version=9), 0.1)
    assert table.members["b"].status is Status.SUSPECT
    table.merge(member("b", incarnation=2), 0.2)
    assert table.members["b"].status is Status.ALIVE
    table.suspect("b", 1.0)
    table.sweep(1.0 + SUSPECT_TIMEOUT_S + 0.1)
    assert table.members["b"].status is Status.DEAD
    table.sweep(5.0 + SUSPECT_TIMEOUT_S + FORGET_DEAD_S)
    assert "b" not in table.members


def test_member_refutes_what_others_say_of_it():
    table = MemberTable(member("a", incarnation=5))
    table.merge(member("a", incarnation=7, status=Status.DEAD), 0.0)
    assert table.me.status is Status.ALIVE
    assert table.me.incarnation == 8


def test_newest_revision_is_found_among_the_usable():
    table = MemberTable(member("a"))
    table.merge(msgspec.structs.replace(member("b"), revision=4), 0.0)
    table.merge(
        msgspec.structs.replace(member("c", status=Status.SUSPECT), revision=9), 0.0
    )
    assert table.newest_revision().name == "b"
