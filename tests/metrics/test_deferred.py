"""Metrics are queued until they are read, and their library is loaded only then.

Nodes that were restarted together must not all block on loading it while clients
reconnect.
"""

import subprocess
import sys

from arbutusyard.metrics import deferred
from arbutusyard.metrics.deferred import DeferredMetrics


class Recorder:
    def __init__(self):
        self.reasons = []

    def count_refusal(self, reason):
        self.reasons.append(reason)

    def text(self):
        return " ".join(self.reasons).encode()


def test_library_is_not_loaded_until_metrics_are_read(monkeypatch):
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


def test_full_queue_loads_the_library_and_loses_no_record(monkeypatch):
    monkeypatch.setattr(deferred, "WAITING_MAX", 3)
    monkeypatch.setattr("arbutusyard.metrics.registry.EntryMetrics", Recorder)
    metrics = DeferredMetrics()
    for n in range(5):
        metrics.count_refusal(str(n))
    assert metrics.text() == b"0 1 2 3 4"


def test_starting_node_imports_no_library_that_it_can_serve_without():
    code = (
        "import sys, arbutusyard.cli.node_daemon;"
        "print(*sorted({name.split('.')[0] for name in sys.modules}))"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(process.stdout.split())
    assert not loaded & {"urllib3", "typer", "opentelemetry", "prometheus_client"}
