"""Patch the standard library for gevent and configure hypothesis before any test."""

from gevent import monkey

monkey.patch_all()

import os
from functools import partial

import pytest
from hypothesis import HealthCheck, settings

from standins.cluster import ROOT, Cluster

SEED = os.environ.get("ARBUTUSYARD_TEST_SEED")

settings.register_profile(
    "tests",
    derandomize=SEED is None,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("tests")


def pytest_configure(config):
    if SEED is not None:
        config.option.hypothesis_seed = SEED


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path) as running:
        yield running


@pytest.fixture
def quetzal(cluster):
    """Start a small system and apply the quetzal workload."""
    start_quetzal(cluster)
    return cluster


def start_quetzal(cluster, entries=2, engines=2):
    cluster.platform()
    cluster.run_concurrently(
        lambda: cluster.service("x0", "quetzal/exchange", "gt-0"),
        *(partial(start_engine, cluster, number) for number in range(engines)),
        *(partial(start_node, cluster, number) for number in range(entries)),
    )
    assert cluster.apply(ROOT / "examples/quetzal.toml").returncode == 0
    for number in range(entries):
        is_ready = partial(has_config_and_backends, cluster, number, engines + 1)
        cluster.wait("configuration in force", is_ready, 10)


def start_engine(cluster, number):
    cluster.engine(f"q{number}", "quetzal/quetzal-assistant", f"gt-{number}")


def start_node(cluster, number):
    domain = f"gt-{number}"
    cluster.control(f"c{number}", "gt-central", domain)
    cluster.entry(f"e{number}", f"c{number}", "gt-central", domain)


def has_config_and_backends(cluster, number, backends):
    status = cluster.status(f"e{number}")
    live = list(status["backends"].values()).count("live")
    return status["revision"] >= 1 and live == backends
