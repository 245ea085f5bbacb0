"""Test that no request finds cache across the wall around an isolated account."""

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusyard.gateway import begin_deadline
from arbutusyard.gateway.cache_groups import CacheGroups, has_changed
from arbutusyard.gateway.models import Account, RetryPolicy
from arbutusyard.gateway.pool import ServerPool
from arbutusyard.gateway.prompts import cache_salt
from tests.gateway.support import (
    chunk,
    event,
    read_answer,
    request_bytes,
    stream_head,
    wait_for,
)

NAMES = ["a", "b", "c", "", "\x00shared:", "\x00account:"]
PROMPT = {"Model": "m", "Token_Count": "10,5", "Prefix_Hash": "aa:10"}


def accounts(*isolated, names=NAMES):
    return tuple(Account(n, (f"key-{n}",), None, n in isolated) for n in names)


# Isolated accounts, and those that the configuration has, of each version in a row.
VERSIONS = st.lists(
    st.tuples(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES))),
    min_size=1,
    max_size=6,
)


@given(VERSIONS, st.sets(st.integers(0, 5)))
def test_no_history_lets_cache_through_the_wall(versions, lagging):
    """Guards against cache from before an account was isolated (review/8).

    Servers remember who made what under a salt; some nodes use earlier versions.
    """
    makers = {}
    for number, (isolated, present) in enumerate(versions):
        in_force = CacheGroups(accounts(*isolated, names=present))
        used = number - 1 if number in lagging and number else number
        old_isolated, old_present = versions[used]
        groups = CacheGroups(accounts(*old_isolated, names=old_present))
        for account in (None, *accounts(*old_isolated, names=old_present)):
            name = account.name if account else None
            salt = cache_salt(groups.group(account), "m", 1)
            for maker in makers.get(salt, ()):
                if maker != name:
                    assert maker not in groups.isolated
                    assert name not in groups.isolated
                if maker != name and used == number:
                    assert maker not in in_force.isolated
            makers.setdefault(salt, set()).add(name)


@given(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES)))
def test_accounts_that_share_find_one_anothers_cache(isolated, others):
    """Guards against a wall that costs more than it has to."""
    groups = CacheGroups(accounts(*isolated))
    sharing = {
        groups.group(a) for a in (None, *accounts(*isolated)) if not_in(a, groups)
    }
    assert len(sharing) == 1
    same = CacheGroups(tuple(reversed(accounts(*isolated, names=[*NAMES, "new"]))))
    assert same.group(None) == groups.group(None)
    if isolated != others:
        other = CacheGroups(accounts(*others))
        assert other.group(None) != groups.group(None)


def not_in(account, groups):
    return account is None or account.name not in groups.isolated


def test_without_isolated_accounts_earlier_builds_find_the_same_cache():
    groups = CacheGroups(accounts())
    assert cache_salt(groups.group(None), "m", 1) == cache_salt("", "m", 1)
    groups = CacheGroups(accounts("a"))
    assert groups.group(accounts("a")[0]) == "a"


def test_an_account_that_was_removed_shares_nothing():
    account = accounts()[0]
    groups = CacheGroups(accounts(names=["b"]))
    assert groups.group(account) == "a"
    assert groups.owner(account) == "a"


def whole_stream(request):
    yield stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"


def configure(gateway, *isolated, names=("a", "b")):
    routes = gateway.fleet_state.catalog.cfg.routes
    gateway.configure(*routes, accounts=accounts(*isolated, names=names))


def salts(server):
    return [request.headers["cache-salt"] for request in server.requests]


def test_isolation_changes_the_salts_of_all_accounts(run):
    gateway, (server,) = run(whole_stream, streaming=True)
    for isolated in ((), ("a",), (), ("a", "b"), ("b",)):
        configure(gateway, *isolated)
        for name in ("a", "b"):
            gateway.call(
                Api_Key=f"key-{name}", Request_Id=f"{isolated}{name}", **PROMPT
            )
    found = salts(server)
    assert len(found) == 10
    (a0, b0, a1, b1, a2, b2, a3, b3, a4, b4) = found
    assert a0 == b0 == a2 == b2
    # b shares with nobody who is isolated, and a has its own cache back.
    assert b1 not in (a0, a1) and a1 == a3
    assert b3 == b4 and a4 not in found[:8]


def send_waiting(gateway, name):
    sock = gateway.connect()
    sock.sendall(request_bytes(Api_Key=f"key-{name}", Request_Id=name, **PROMPT))
    return sock


def test_a_retry_after_the_change_uses_the_salt_in_force(run):
    """Guards against salts by the configuration at which a request arrived."""
    started = []

    def script(request):
        if not started:
            started.append(request)
            gevent.sleep(0.2)
            request.last = request.reset = True
            yield b""
            return
        yield from whole_stream(request)

    gateway, servers = run(
        script, script, streaming=True, retry_policy=RetryPolicy.RESUME
    )
    configure(gateway)
    sock = send_waiting(gateway, "a")
    wait_for(lambda: started)
    configure(gateway, "a")
    assert read_answer(sock).body == event(1)
    first, second = sorted(
        (request for server in servers for request in server.requests),
        key=lambda request: request is not started[0],
    )
    assert first.headers["cache-salt"] == cache_salt("", "m", 1)
    assert second.headers["cache-salt"] == cache_salt("a", "m", 1)


@pytest.mark.parametrize("policy", [RetryPolicy.RESUME, RetryPolicy.ONCE])
def test_a_request_that_waits_at_a_server_is_sent_again_after_the_change(
    run, monkeypatch, policy
):
    """Guards against requests that begin long after the change under the old salt.

    One that must not be repeated stays where it is.
    """
    monkeypatch.setattr(begin_deadline, "GROUP_CHANGE_GRACE_S", 0.1)
    held = []

    def script(request):
        if not held:
            held.append(request)
            gevent.sleep(0.6)
        yield from whole_stream(request)

    gateway, servers = run(script, script, streaming=True, retry_policy=policy)
    configure(gateway)
    sock = send_waiting(gateway, "b")
    wait_for(lambda: held)
    configure(gateway, "a")
    assert read_answer(sock).body == event(1)
    found = [salt for server in servers for salt in salts(server)]
    assert len(set(found)) == len(found) == (2 if policy is RetryPolicy.RESUME else 1)


def test_a_request_whose_salt_changes_while_it_connects_is_placed_again(
    run, monkeypatch
):
    gateway, (server,) = run(whole_stream, streaming=True)
    configure(gateway)
    connect = ServerPool._connect

    def connect_during_change(pool, target):
        configure(gateway, "a")
        return connect(pool, target)

    monkeypatch.setattr(ServerPool, "_connect", connect_during_change)
    assert gateway.call(Api_Key="key-b", **PROMPT).body == event(1)
    groups = gateway.fleet_state.catalog.cache_groups
    assert salts(server) == [cache_salt(groups.group(accounts()[1]), "m", 1)]
    assert not has_changed(groups.group(None), gateway.fleet_state.catalog, None)
