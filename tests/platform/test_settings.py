"""Check settings files."""

import json

import pytest

from arbutusyard.exceptions import SetupFailed
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


def test_unknown_fields_are_ignored_and_times_are_in_seconds():
    cfg = decode_settings(json.dumps(FILE).encode(), 1)
    assert (cfg.name, cfg.revoke_s, cfg.lease_s) == ("n1", 5.0, 3.0)
    assert cfg.peer_address == "10.0.0.1:3"


def test_without_a_control_port_nodes_use_the_first_internal_one():
    listen = {key: FILE["listen"][key] for key in ("front", "ready", "directory")}
    cfg = decode_settings(json.dumps({**FILE, "listen": listen}).encode(), 1)
    assert cfg.peer_address == "10.0.0.1:7000"


def test_every_wrong_field_is_named():
    wrong = {**FILE, "node": 5, "bounds": {**FILE["bounds"], "lease_ms": "3"}}
    del wrong["platform"]
    del wrong["bounds"]["grace_s"]
    with pytest.raises(SetupFailed) as caught:
        decode_settings(json.dumps(wrong).encode(), 1)
    text = str(caught.value)
    for name in ("node", "platform is missing", "bounds.lease_ms", "bounds.grace_s"):
        assert name in text


@pytest.mark.parametrize("data", [b"", b"[]", b"{"])
def test_what_is_no_settings_file_is_said_so(data):
    with pytest.raises(SetupFailed):
        decode_settings(data, 1)


def test_a_missing_file_is_named():
    with pytest.raises(SetupFailed, match="nowhere"):
        read_settings("/nowhere/settings.json", 1)


def test_a_narrow_link_counts_as_fewer_cores():
    # Found on the grown further site: a node with 5 Mbit/s was given as many long
    # prompts as the others, and its link kept its datagrams back.
    def capacity(**limits):
        text = json.dumps({**FILE, "limits": limits})
        return decode_settings(text.encode(), 9464).capacity

    assert capacity(cpu_share=0.5, cores=2, link_mbps=1000) == 1.0
    assert capacity(cpu_share=1.0, cores=2, link_mbps=5) == 0.1
