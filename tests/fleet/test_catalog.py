"""Test the lookup of routes and client accounts."""

import random

from arbutusyard.fleet.catalog import Catalog, pick_service
from arbutusyard.gateway.models import (
    Account,
    Configuration,
    IngressLimits,
    RetryPolicy,
    Route,
    ServiceShare,
)


def route(prefix, *shares):
    return Route(
        prefix, "h", prefix, shares, RetryPolicy.ANY, False, 1.0, 0.1, 0.0, 0, 1, False
    )


def catalog(*routes, accounts=()):
    return Catalog(Configuration(1, routes, {}, (), accounts, IngressLimits()))


def test_longest_prefix_wins_and_prefixes_end_at_slashes():
    known = catalog(route("/a/"), route("/a/b/"))
    assert known.route("h", "/a/b/c").path_prefix == "/a/b/"
    assert known.route("h", "/a/bc").path_prefix == "/a/"
    assert known.route("h", "/a/b").path_prefix == "/a/"
    assert known.route("h", "/a") is None
    assert known.route("other", "/a/b/c") is None


def test_each_key_of_an_account_is_accepted():
    known = catalog(accounts=(Account("acc", ("k1", "k2"), None, False),))
    assert known.account("k1").name == known.account("k2").name == "acc"
    assert known.account("k3") is None
    assert known.account("") is None


def test_services_are_drawn_by_the_weights_of_their_shares():
    split = route("/a/", ServiceShare("x", 90), ServiceShare("y", 10))
    rng = random.Random(1)
    drawn = [pick_service(split, rng) for _ in range(2000)]
    assert 0.86 < drawn.count("x") / 2000 < 0.94


def test_route_without_shares_has_no_service():
    assert pick_service(route("/a/"), random.Random(1)) is None
