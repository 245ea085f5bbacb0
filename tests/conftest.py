"""Patch the standard library for gevent and configure hypothesis before any test."""

from gevent import monkey

monkey.patch_all()

import os
import re
from functools import partial

import pytest
from hypothesis import HealthCheck, settings

from standins.cluster import ROOT, Cluster
from tests.turns import TurnWatch

SEED = os.environ.get("ARBUTUSYARD_TEST_SEED")

# Text of each entry of KNOWN-RED.txt that names a test, by the test's node id.
KNOWN_RED = {
    entry[1]: entry[0].rstrip()
    for entry in re.finditer(
        r"^test: (.+)\n(?:  .*\n)*", (ROOT / "KNOWN-RED.txt").read_text(), re.MULTILINE
    )
}

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


@pytest.hookimpl(tryfirst=True)  # before -k and --deselect remove items
def pytest_collection_modifyitems(config, items):
    """Run the tests of KNOWN-RED.txt without failing for them; reject stale entries."""
    by_id = {item.nodeid: item for item in items}
    files = {item.path for item in items}
    args = [(config.invocation_params.dir / arg).resolve() for arg in config.args]
    for node_id in KNOWN_RED:
        path = ROOT / node_id.partition("::")[0]
        if node_id in by_id:
            # Any other exception than a failed check still fails the run.
            mark = pytest.mark.xfail(
                raises=AssertionError, strict=False, reason="listed in KNOWN-RED.txt"
            )
            by_id[node_id].add_marker(mark)
        # An argument with a node id selects a part of a file and contains no path.
        # A file without items is ignored, or pytest reports why it can't be collected.
        elif any(path.is_relative_to(arg) for arg in args) and (
            path in files or not path.exists()
        ):
            raise pytest.UsageError(f"KNOWN-RED.txt lists a missing test: {node_id}")


def pytest_terminal_summary(terminalreporter):
    """Print each test of KNOWN-RED.txt with its outcome in this run."""
    outcomes = {
        report.nodeid: outcome
        for outcome in ("skipped", "xpassed", "xfailed", "failed", "error")
        for report in terminalreporter.getreports(outcome)
    }
    terminalreporter.section("KNOWN-RED.txt")
    for node_id, entry in KNOWN_RED.items():
        terminalreporter.line(f"{outcomes.get(node_id, 'not run')}: {entry}")


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


@pytest.fixture
def watch():
    """Measure for how long one task holds the process during a test."""
    watch = TurnWatch()
    yield watch
    watch.stop()
