"""Datagrams and rows in the store can be read by the builds before and after this one.

The values below are those of build d6ca590, as a generic decoder reads its messages.
"""

import msgspec
import pytest

from arbutusyard.control.leases import LeaseRecord
from arbutusyard.fleet.messages import Datagram, Heartbeat, NodeRow
from arbutusyard.origins.models import OriginRow, SoftwareRow
from arbutusyard.weights.target_times import TargetTimesRow

LIMIT = ["i-1", 1000, 2.5, 0.5]
REMOVED = ["i-3", 1000, 2, 77]
ORIGINS = ["svc", "v1", 40.0, [b"12345678"]]
QUARANTINE = [
    [["i-1", 1000, [[[b"k1", b"k2"], True, b"k1"]], 0.5]],
    [[b"k3", 1.5]],
    [[[b"k4"], 2, 3.0, 27.0, 30.0]],
]
HEARTBEAT = [
    *("beat", "n2", 1, 7, "127.0.0.1:7340", "127.0.0.1:7001", "z", "r"),
    *(True, False, 3, 5),
    [["i-1", 2, 300, 40, 1]],
    [["i-1", "m", 4, 0.5]],
    [["127.0.0.1:9", 6]],
    ["i-2"],
    [["i-1", [b"s1"], True]],
    [["127.0.0.1:9", [b"c1"], [b"c2"]]],
    *(False, 12.5),
    ["i-4"],
    [["m", 4, 9.5, False]],
    [["i-4", 1000]],
    *(2.0, 150.0, 0.5),
    [["r", b"\x7f\x00\x00\x01"]],
    [LIMIT],
    QUARANTINE,
    [REMOVED],
    *(60.0, 0.25),
    ["svc"],
]
DATAGRAMS = [
    HEARTBEAT,
    ["confirm", "n2", "config", b"d", 1, 9],
    ["news", "n2", 1, 8, ["i-1", 2, 300, 40, 1], ["i-1", [b"s1"], False]],
    ["engine", "n2", 1, 9, ["i-1", "m", 4, None]],
    ["servers", "n2", ["i-2"], ["i-5"], [["i-4", 1000]], [LIMIT]],
    ["removed", "n2", [REMOVED]],
    ["quarantine", "n2", QUARANTINE],
    ["origins", "n2", [ORIGINS]],
    ["origin_query", "n2", b"12345678"],
    ["origin_answer", "n2", b"12345678", ORIGINS],
    [
        *("quota", "n2", 1, 10, 1.5, 2, 3),
        *([4, "acc", 5.0], [["acc", 6.0]], [["acc", 7.0, 8.0]]),
    ],
    [
        *("quota_answer", "n2", 1, 3, 1, 10, 100.5, True, 4, 99.5, 0.75),
        [["acc", 6.0]],
    ],
]
ROWS = [
    (NodeRow, {"peer_address": "127.0.0.1:7340", "incarnation": 1}),
    (SoftwareRow, {"versions": [["v1", 10.5, 20.5], ["v2", 15.5, None]]}),
    (OriginRow, {"began_s": 10.5, "batches": [ORIGINS]}),
    (TargetTimesRow, {"times": [[4, 10.5, False], [5, 20.5, True]]}),
    (LeaseRecord, {"owner": "n2", "fence": 3, "beat": 9, "era": 1}),
]


def extends(new, old):
    """Tell whether a decoder of the old form reads the old values from the new form."""
    match old:
        case list():
            return len(new) >= len(old) and all(map(extends, new, old))
        case dict():
            return all(name in new and extends(new[name], old[name]) for name in old)
        case _:
            return type(new) is type(old) and new == old


# Guards against nodes of two builds that cannot read each other's datagrams while they
# are replaced one by one.
@pytest.mark.parametrize("old", DATAGRAMS, ids=lambda datagram: datagram[0])
def test_datagrams_are_read_by_both_builds(old):
    datagram = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=Datagram)
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(datagram))
    assert extends(new, old)


# Guards against new fields without a default, and against kinds of datagrams that are
# no longer checked here.
def test_every_kind_of_datagram_has_a_form_of_the_older_build():
    kinds = {kind.__struct_config__.tag for kind in Datagram.__args__}
    assert kinds >= {datagram[0] for datagram in DATAGRAMS}
    assert len(DATAGRAMS) == len({datagram[0] for datagram in DATAGRAMS})


# Guards against a heartbeat of this build that an older one rejects, since a later
# build added fields to it at its end.
def test_a_heartbeat_with_additional_fields_is_read():
    data = msgspec.msgpack.encode([*HEARTBEAT, "later", [1, 2]])
    heartbeat = msgspec.msgpack.decode(data, type=Datagram)
    assert isinstance(heartbeat, Heartbeat)
    assert heartbeat.cut_off == ("svc",)


# Guards against rows that a node of another build rejects, or loses when it writes
# them again.
@pytest.mark.parametrize(
    ("kind", "old"), ROWS, ids=lambda item: getattr(item, "__name__", "")
)
def test_rows_are_read_by_both_builds(kind, old):
    row = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=kind)
    assert extends(msgspec.msgpack.decode(msgspec.msgpack.encode(row)), old)
