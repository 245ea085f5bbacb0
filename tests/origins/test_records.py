"""Test the memory of streams' origins."""

from arbutusyard.origins.const import RECORDS_MAX
from arbutusyard.origins.models import AMBIGUOUS
from arbutusyard.origins.records import OriginRecord, OriginRecords, stream_digest


def record(version="v1", expires_at=110.0, server=("s", 1)):
    return OriginRecord("svc", version, expires_at, "own", server)


def test_origin_is_known_until_the_stream_can_no_longer_be_resumed():
    records = OriginRecords()
    assert records.add(b"x", record())
    assert not records.add(b"x", record())
    assert records.get(b"x", 109.0).version == "v1"
    assert records.get(b"x", 110.0) is None
    records.sweep(110.0)
    assert records.own_digests("svc") == []


# Guards against ORDER: an id that a client uses twice names no version.
def test_id_of_streams_of_two_versions_proves_none():
    records = OriginRecords()
    records.add(b"x", record("v1"))
    assert records.add(b"x", record("v2"))
    assert records.get(b"x", 100.0).version == AMBIGUOUS
    assert not records.add(b"x", record("v2"))
    assert records.get(b"x", 100.0).version == AMBIGUOUS


def test_ids_of_two_accounts_are_two_streams():
    assert stream_digest("a", "r1") != stream_digest("b", "r1")
    assert stream_digest("a", "br1") != stream_digest("ab", "r1")
    assert stream_digest("", "\udcff" * 9000) != stream_digest("", "")


def test_memory_is_bounded():
    records = OriginRecords()
    for n in range(RECORDS_MAX + 3):
        records.add(b"%d" % n, record())
    assert records.get(b"2", 100.0) is None
    assert records.get(b"3", 100.0) is not None


def test_origins_of_an_incarnation_that_has_another_version_are_unproven():
    records = OriginRecords()
    records.add(b"x", record())
    records.add(b"y", record(server=("s", 2)))
    assert records.revoke(("s", 1)) == [b"x"]
    assert records.get(b"x", 100.0).version == AMBIGUOUS
    assert records.get(b"y", 100.0).version == "v1"


def test_origins_are_grouped_by_version():
    records = OriginRecords()
    records.add(b"x", record("v1", 105.0))
    records.add(b"y", record("v1", 108.0))
    records.add(b"z", record("v2", 109.0))
    first, second = records.batches([b"x", b"y", b"z", b"unknown"], 100.0)
    assert (first.version, first.left_s, first.digests) == ("v1", 8.0, (b"x", b"y"))
    assert (second.version, second.digests) == ("v2", (b"z",))
