"""Tests of the member table; the newest record wins in any order of arrival."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.membership.const import DEAD_RETENTION_S, SUSPECT_TIMEOUT_S
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
def test_records_merge_to_the_same_table_in_any_order(records, rng):
    shuffled = list(records)
    rng.shuffle(shuffled)
    tables = [MemberTable(member("a")) for _ in range(2)]
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 0.0)
    assert tables[0].members == tables[1].members


def test_suspect_is_declared_dead_and_removed_unless_it_refutes():
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
    table.sweep(5.0 + SUSPECT_TIMEOUT_S + DEAD_RETENTION_S)
    assert "b" not in table.members


def test_member_refutes_a_report_of_its_death_with_a_higher_incarnation():
    table = MemberTable(member("a", incarnation=5))
    table.merge(member("a", incarnation=7, status=Status.DEAD), 0.0)
    assert table.me.status is Status.ALIVE
    assert table.me.incarnation == 8


def test_newest_revision_ignores_a_suspect_member():
    table = MemberTable(member("a"))
    table.merge(msgspec.structs.replace(member("b"), revision=4), 0.0)
    table.merge(
        msgspec.structs.replace(member("c", status=Status.SUSPECT), revision=9), 0.0
    )
    assert table.member_with_newest_revision().name == "b"
