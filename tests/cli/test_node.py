"""Run a node as a separate process, from its start to its exit."""

import json
import os
import signal
import socket
import subprocess
import sys

import gevent
import pytest
import urllib3
from typer.testing import CliRunner

from arbutusyard.cli.main import app
from arbutusyard.cli.node_start import start_from_environment
from standins.cluster import ROOT
from tests.fleet.support import CONFIG, Store, entry
from tests.gateway.support import (
    ScriptedServer,
    answer,
    event,
    read_answer,
    request_bytes,
    wait_for,
)
from tests.platform.test_settings import FILE


def free_addresses(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
    for sock in socks:
        sock.close()
    return addresses


class NodeProcess:
    """Run a node process against a simulated store and a scripted server."""

    def __init__(self, folder, store):
        front, ready, control, directory = free_addresses(4)
        self.front, self.ready, self.directory = front, ready, directory
        self.file = folder / "boot.json"
        self.settings = {
            **FILE,
            "ip": "127.0.0.1",
            "listen": {
                "front": front,
                "ready": ready,
                "control": control,
                "directory": directory,
            },
            "platform": {"address": store.address},
        }
        self.write(self.settings)
        self.output = (folder / "out.txt").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "arbutusyard.cli.node_start"],
            cwd=ROOT,
            env={
                **os.environ,
                "ARBUTUSYARD_CONFIG": str(self.file),
                "ARBUTUSYARD_METRICS_PORT": "0",
            },
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )

    def write(self, settings):
        self.file.write_text(json.dumps(settings))

    def is_ready(self):
        try:
            return urllib3.request("GET", f"http://{self.ready}/-/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def lookup(self):
        url = f"http://{self.directory}/-/lookup?name=h.test&region=r&zone=z"
        return urllib3.request("GET", url).json()["addresses"]

    def call(self):
        host, port = self.front.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), timeout=5)
        sock.sendall(request_bytes(Api_Key=None))
        response = read_answer(sock)
        sock.close()
        return response

    def text(self):
        return self.file.with_name("out.txt").read_text()


@pytest.fixture
def running_node(tmp_path):
    store = Store()
    server = ScriptedServer(lambda request: iter([answer(request, body=event(1))]))
    store.write("op", "config", CONFIG)
    store.write("servers", "s1", entry(server.address, models=[]))
    node = NodeProcess(tmp_path, store)
    yield node, store, server
    if node.process.poll() is None:
        node.process.kill()
        node.process.wait()
    node.output.close()
    server.stop()
    store.stop()


def test_node_serves_reloads_settings_and_drains_before_it_exits(running_node):
    node, store, _ = running_node
    wait_for(node.is_ready, 10)
    assert node.lookup() == [node.front]
    assert node.call().status == 200

    node.write({**node.settings, "node": 5})
    node.process.send_signal(signal.SIGHUP)
    wait_for(lambda: "Changed settings are rejected" in node.text(), 3)
    bounds = {**FILE["bounds"], "retry_slack": 10}
    node.write({**node.settings, "bounds": bounds})
    node.process.send_signal(signal.SIGHUP)
    wait_for(lambda: "Changed settings are in force" in node.text(), 3)
    assert node.call().status == 200

    node.process.send_signal(signal.SIGTERM)
    wait_for(lambda: not node.is_ready(), 1)
    response = node.call()
    assert (response.status, response.headers["connection"]) == (200, "close")
    with gevent.Timeout(FILE["bounds"]["grace_s"]):
        while node.process.poll() is None:
            gevent.sleep(0.05)
    assert node.process.returncode == 0


def ignored_signal_mask(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("SigIgn:"))
    return int(line.split()[1], 16)


def test_sighup_during_start_does_not_end_the_node(running_node):
    # A soak test showed that SIGHUP ended a node that had not yet set its handler.
    node, _, _ = running_node
    mask = 1 << (signal.SIGHUP - 1)
    with gevent.Timeout(10):
        while not ignored_signal_mask(node.process.pid) & mask:
            assert not node.is_ready()
    node.process.send_signal(signal.SIGHUP)
    wait_for(node.is_ready, 10)


def run_module(arguments, environment):
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_invalid_settings_file_exits_with_code_2(tmp_path):
    file = tmp_path / "boot.json"
    file.write_text(json.dumps({"node": "n"}))
    for result in (
        run_module(("arbutusyard", "node", "--config", str(file)), {}),
        run_module(("arbutusyard.cli.node_start",), {"ARBUTUSYARD_CONFIG": str(file)}),
    ):
        assert result.returncode == 2
        assert "platform is missing" in result.stderr


def test_invalid_metrics_port_exits_with_code_2():
    for port in ("many", "70000", "-1"):
        result = run_module(
            ("arbutusyard.cli.node_start",), {"ARBUTUSYARD_METRICS_PORT": port}
        )
        assert result.returncode == 2
        assert "ARBUTUSYARD_METRICS_PORT" in result.stderr


@pytest.mark.parametrize("fraction", ["0.21", "-0.1", "nan", "many"])
def test_invalid_hedge_fraction_exits_with_code_2(fraction):
    environment = {"ARBUTUSYARD_HEDGE_FRACTION": fraction}
    for arguments in (("arbutusyard.cli.node_start",), ("arbutusyard", "node")):
        result = run_module(arguments, environment)
        assert result.returncode == 2
        assert "HEDGE_FRACTION" in result.stderr


def test_the_hedge_fraction_reaches_the_node_and_stays_after_a_reload(
    tmp_path, monkeypatch
):
    file = tmp_path / "boot.json"
    file.write_text(json.dumps(FILE))
    started = []
    monkeypatch.setattr(
        "arbutusyard.cli.node_daemon.run_node",
        lambda cfg, reread: started.extend([cfg, reread()]),
    )
    environment = {"ARBUTUSYARD_CONFIG": str(file)}
    start_from_environment({**environment, "ARBUTUSYARD_HEDGE_FRACTION": "0.05"})
    start_from_environment(environment)
    CliRunner().invoke(app, ["node", "--config", str(file), "--hedge-fraction", "0.1"])
    assert [cfg.hedge_fraction for cfg in started] == [0.05, 0.05, 0, 0, 0.1, 0.1]


def test_node_start_imports_neither_typer_nor_opentelemetry():
    # All nodes of a large fleet may start at once while clients wait for them.
    code = (
        "import sys, arbutusyard.cli.node_start, arbutusyard.cli.node_daemon;"
        "print([name for name in ('typer', 'opentelemetry') if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert result.stdout.strip() == "[]", result.stderr
