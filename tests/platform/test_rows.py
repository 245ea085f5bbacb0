"""Check the decoding of valid and malformed rows of operators and backend servers."""

import json

import pytest

from arbutusyard.gateway.models import AccountQuota, RetryPolicy, ServerState
from arbutusyard.platform.exceptions import MalformedRow
from arbutusyard.platform.rows import read_configuration, read_server, read_weights

SERVER = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 9,
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "born": 17,
}


def server(**changes):
    entry = {**SERVER, **changes}
    return {key: value for key, value in entry.items() if value is not None}


def test_a_valid_entry_describes_one_incarnation():
    entry = read_server("i-1", json.dumps(SERVER).encode())
    assert (entry.server_id, entry.started_at_ms, entry.state) == (
        "i-1",
        17,
        ServerState.READY,
    )
    assert entry.weights == {"m": 2}


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        json.dumps(server(state="resting")).encode(),
        json.dumps(server(address="nowhere")).encode(),
        json.dumps(server(address=None)).encode(),
        json.dumps(server(slots="4")).encode(),
        json.dumps(server(sequence=None)).encode(),
        json.dumps(server(born=1.5)).encode(),
        json.dumps(server(models={"m": 2})).encode(),
    ],
)
def test_a_malformed_entry_raises(data):
    with pytest.raises(MalformedRow):
        read_server("i-1", data)


def route(**changes):
    return {
        "name": "r",
        "host": "H.test",
        "path_prefix": "/a/",
        "kind": "streaming",
        "timeout_ms": 500,
        "service": "svc",
        **changes,
    }


def test_kind_and_resumable_determine_the_retry_policy_of_a_route():
    cfg = read_configuration(
        json.dumps(
            {
                "version": 3,
                "routes": [
                    route(kind="idempotent"),
                    route(kind="non_idempotent"),
                    route(resumable=True),
                    route(),
                    route(kind="non_idempotent", resumable=True),
                    route(kind="something new"),
                ],
                "services": [
                    {"name": "svc", "max_connections": 7},
                    {"name": "kv", "kv_store_addr": "10.0.0.9:1", "zone": "z"},
                ],
            }
        ).encode()
    )
    assert [item.retry_policy for item in cfg.routes] == [
        RetryPolicy.ANY,
        RetryPolicy.ONCE,
        RetryPolicy.RESUME,
        RetryPolicy.ONCE,
        RetryPolicy.ONCE,
        RetryPolicy.ONCE,
    ]
    assert cfg.routes[0].host == "h.test"
    assert cfg.routes[0].timeout_s == 0.5
    assert list(cfg.services) == ["svc"]
    assert cfg.cache_stores[0].address == "10.0.0.9:1"


def test_a_configuration_without_routes_raises():
    with pytest.raises(MalformedRow):
        read_configuration(b'{"version": 3, "services": []}')


def test_target_weights_need_an_integer_version():
    assert read_weights(b'{"model": "m", "version": 2}').version == 2
    with pytest.raises(MalformedRow):
        read_weights(b'{"model": "m", "version": "2"}')


# Guards against a mistake in one account's quota that stops all accounts' changes.
@pytest.mark.parametrize(
    ("quota", "expected"),
    [
        ("{}", None),
        ('{"rate_per_s": 0, "burst": "x"}', None),
        ('{"rate_per_s": null}', None),
        ('{"rate_per_s": 5}', AccountQuota(5.0, 5.0)),
        (
            '{"rate_per_s": 7, "burst": 9.5, "unit": "tokens", "plain_tokens": 200}',
            AccountQuota(7.0, 9.5, True, 200.0),
        ),
        ('{"rate_per_s": 7, "burst": 0, "unit": 3}', AccountQuota(7.0, 0.0)),
        *(
            (text, AccountQuota(0.0, 0.0, valid=False))
            for text in (
                '{"rate_per_s": -1}',
                '{"rate_per_s": "5"}',
                '{"rate_per_s": true}',
                '{"rate_per_s": [1]}',
                '{"rate_per_s": NaN}',
                '{"rate_per_s": 1e999}',
                '{"rate_per_s": 5, "burst": -Infinity}',
                '{"rate_per_s": 5, "burst": 1e300}',
            )
        ),
        (
            '{"rate_per_s": 5, "unit": "tokens", "plain_tokens": {}}',
            AccountQuota(0.0, 0.0, True, valid=False),
        ),
    ],
)
def test_a_malformed_quota_concerns_its_account_only(quota, expected, caplog):
    accounts = '[{"name": "a", "api_keys": []' + (", " + quota[1:-1] + "}]")
    accounts = accounts.replace(", }", "}")
    data = f'{{"version": 1, "routes": [], "services": [], "tenants": {accounts}}}'
    (account,) = read_configuration(data.encode()).accounts
    assert account.quota == expected
    is_malformed = expected is not None and not expected.valid
    assert ("its quota is malformed" in caplog.text) is is_malformed


def test_numbers_that_json_has_not_are_malformed_elsewhere():
    with pytest.raises(MalformedRow):
        read_configuration(b'{"version": NaN, "routes": [], "services": []}')
