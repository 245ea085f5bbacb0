"""Nodes that were restarted together, whose callers return at once."""

import subprocess
import sys

from arbutusyard.metrics import deferred
from arbutusyard.metrics.deferred import DeferredMetrics


class Recorder:
    def __init__(self):
        self.seen = []

    def count_refusal(self, reason):
        self.seen.append(reason)

    def text(self):
        return " ".join(self.seen).encode()


def test_nothing_is_loaded_until_the_metrics_are_read(monkeypatch):
    metrics = DeferredMetrics()
    loaded = []
    monkeypatch.setattr(
        "arbutusyard.metrics.registry.EntryMetrics",
        lambda: loaded.append(Recorder()) or loaded[0],
    )
    metrics.count_refusal("a")
    assert not loaded
    assert metrics.text() == b"a"
    metrics.count_refusal("b")
    assert metrics.text() == b"a b"
    assert len(loaded) == 1


def test_no_record_is_lost_when_nobody_reads_for_long(monkeypatch):
    monkeypatch.setattr(deferred, "WAITING_MAX", 3)
    monkeypatch.setattr("arbutusyard.metrics.registry.EntryMetrics", Recorder)
    metrics = DeferredMetrics()
    for n in range(5):
        metrics.count_refusal(str(n))
    assert metrics.text() == b"0 1 2 3 4"


def test_a_starting_node_loads_nothing_that_it_can_serve_without():
    code = (
        "import sys, arbutusyard.cli.node_daemon;"
        "print(*sorted({name.split('.')[0] for name in sys.modules}))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(done.stdout.split())
    assert not loaded & {"urllib3", "typer", "opentelemetry", "prometheus_client"}
