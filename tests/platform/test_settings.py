"""Check the decoding of settings files."""

import json

import pytest

from arbutusyard.exceptions import SetupFailed
from arbutusyard.gateway.memory import MemoryLimits
from arbutusyard.platform.settings import decode_settings, read_settings

FILE = {
    "node": "n1",
    "ip": "10.0.0.1",
    "zone": "z",
    "region": "r",
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control": "10.0.0.1:3",
        "directory": "10.0.0.1:4",
    },
    "internal_port_range": [7000, 7010],
    "bounds": {
        "revoke_ms": 5000,
        "drain_ms": 2000,
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "retry_slack": 56,
        "lease_ms": 3000,
    },
    "platform": {"address": "10.0.0.9:1"},
    "something_new": {"a": 1},
}


def test_unknown_fields_are_ignored_and_times_are_converted_to_seconds():
    cfg = decode_settings(json.dumps(FILE).encode(), 1)
    assert (cfg.name, cfg.revoke_s, cfg.lease_s) == ("n1", 5.0, 3.0)
    assert cfg.peer_address == "10.0.0.1:3"
    assert cfg.limit_grace_s == 3.0
    bounds = {**FILE["bounds"], "contact_ms": 1500}
    cfg = decode_settings(json.dumps({**FILE, "bounds": bounds}).encode(), 1)
    assert cfg.limit_grace_s == 1.5


def test_the_tolerance_of_quotas_is_read_and_checked():
    cfg = decode_settings(json.dumps(FILE).encode(), 1)
    assert (cfg.quota_window_s, cfg.quota_overshoot, cfg.quota_slack) == (8, 0, 0)
    stated = {"quota_window_s": 4, "quota_overshoot": 0.1, "quota_slack": 190_000}
    file = {**FILE, "bounds": {**FILE["bounds"], **stated}}
    cfg = decode_settings(json.dumps(file).encode(), 1)
    assert (cfg.quota_window_s, cfg.quota_overshoot, cfg.quota_slack) == (
        4,
        0.1,
        190_000,
    )
    file["bounds"] = {**FILE["bounds"], "quota_window_s": 0, "quota_slack": -1}
    with pytest.raises(SetupFailed, match="quota_window_s.*quota_slack"):
        decode_settings(json.dumps(file).encode(), 1)


def test_without_a_control_address_the_peer_address_has_the_first_internal_port():
    listen = {key: FILE["listen"][key] for key in ("front", "ready", "directory")}
    cfg = decode_settings(json.dumps({**FILE, "listen": listen}).encode(), 1)
    assert cfg.peer_address == "10.0.0.1:7000"


def test_the_error_names_every_invalid_or_missing_field():
    invalid = {**FILE, "node": 5, "bounds": {**FILE["bounds"], "lease_ms": "3"}}
    del invalid["platform"]
    del invalid["bounds"]["grace_s"]
    with pytest.raises(SetupFailed) as raised:
        decode_settings(json.dumps(invalid).encode(), 1)
    message = str(raised.value)
    for name in ("node", "platform is missing", "bounds.lease_ms", "bounds.grace_s"):
        assert name in message


@pytest.mark.parametrize("data", [b"", b"[]", b"{"])
def test_a_file_that_is_not_a_json_object_raises(data):
    with pytest.raises(SetupFailed):
        decode_settings(data, 1)


def test_the_error_of_a_missing_file_names_its_path():
    with pytest.raises(SetupFailed, match="nowhere"):
        read_settings("/nowhere/settings.json", 1)


def test_a_narrow_link_reduces_the_capacity():
    # A node with a link of 5 Mbit/s once got as many long prompts as the other nodes,
    # and the saturated link delayed its datagrams.
    def capacity(**limits):
        file_text = json.dumps({**FILE, "limits": limits})
        return decode_settings(file_text.encode(), 9464).capacity

    assert capacity(cpu_share=0.5, cores=2, link_mbps=1000) == 1.0
    assert capacity(cpu_share=1.0, cores=2, link_mbps=5) == 0.1


def test_only_the_contract_on_pressure_enables_admission_control():
    # All other deployments have to be served as before.
    for contracts, expected in ((None, False), ([], False), (["x", "pressure"], True)):
        file = FILE if contracts is None else {**FILE, "contracts": contracts}
        cfg = decode_settings(json.dumps(file).encode(), 1)
        assert cfg.admission_control is expected
    with pytest.raises(SetupFailed, match="contracts"):
        decode_settings(json.dumps({**FILE, "contracts": "pressure"}).encode(), 1)


def test_the_limits_of_clients_are_derived_from_the_vm_or_given():
    def limits(**fields):
        file_text = json.dumps({**FILE, "limits": fields})
        return decode_settings(file_text.encode(), 9464).client_limits

    assert limits(memory_mb=152, max_fds=1535) == MemoryLimits(44 << 20, 935)
    given = limits(client_memory_mb=20, client_connections=7, body_bytes_s=9)
    assert given == MemoryLimits(20 << 20, 7, 9)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("memory_mb", 0),
        ("max_fds", -1),
        ("client_memory_mb", 7),
        ("client_connections", 0),
        ("body_bytes_s", -1),
    ],
)
def test_a_limit_that_keeps_all_clients_out_is_rejected(name, value):
    file_text = json.dumps({**FILE, "limits": {name: value}})
    with pytest.raises(SetupFailed, match=name):
        decode_settings(file_text.encode(), 9464)
