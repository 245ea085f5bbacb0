"""Run a node as a process of its own, from its settings file to its end."""

import json
import os
import signal
import socket
import subprocess
import sys

import gevent
import pytest
import urllib3

from standins.cluster import ROOT
from tests.fleet.support import CONFIG, Store, entry
from tests.gateway.support import (
    ScriptedServer,
    answer,
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
    """Start a node before a stand-in store and a scripted server."""

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
        got = read_answer(sock)
        sock.close()
        return got

    def text(self):
        return self.file.with_name("out.txt").read_text()


@pytest.fixture
def world(tmp_path):
    store = Store()
    server = ScriptedServer(lambda request: iter([answer(request)]))
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


def test_a_node_serves_reloads_and_leaves_in_steps(world):
    node, store, _ = world
    wait_for(node.is_ready, 10)
    assert node.lookup() == [node.front]
    assert node.call().status == 200

    node.write({**node.settings, "node": 5})
    node.process.send_signal(signal.SIGHUP)
    wait_for(lambda: "are not taken over" in node.text(), 3)
    bounds = {**FILE["bounds"], "retry_slack": 10}
    node.write({**node.settings, "bounds": bounds})
    node.process.send_signal(signal.SIGHUP)
    wait_for(lambda: "Changed settings are in force" in node.text(), 3)
    assert node.call().status == 200

    node.process.send_signal(signal.SIGTERM)
    wait_for(lambda: not node.is_ready(), 1)
    got = node.call()
    assert (got.status, got.headers["connection"]) == (200, "close")
    with gevent.Timeout(FILE["bounds"]["grace_s"]):
        while node.process.poll() is None:
            gevent.sleep(0.05)
    assert node.process.returncode == 0


def ignored_signals(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("SigIgn:"))
    return int(line.split()[1], 16)


def test_a_node_that_is_told_of_new_settings_while_it_starts_lives_on(world):
    # Found by the soak: until its handler was set, the signal ended the process.
    node, _, _ = world
    mask = 1 << (signal.SIGHUP - 1)
    with gevent.Timeout(10):
        while not ignored_signals(node.process.pid) & mask:
            assert not node.is_ready()
    node.process.send_signal(signal.SIGHUP)
    wait_for(node.is_ready, 10)


def ended(words, environment):
    return subprocess.run(
        [sys.executable, "-m", *words],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_a_wrong_settings_file_ends_the_process_with_code_2(tmp_path):
    file = tmp_path / "boot.json"
    file.write_text(json.dumps({"node": "n"}))
    for done in (
        ended(("arbutusyard", "node", "--config", str(file)), {}),
        ended(("arbutusyard.cli.node_start",), {"ARBUTUSYARD_CONFIG": str(file)}),
    ):
        assert done.returncode == 2
        assert "platform is missing" in done.stderr


def test_a_wrong_metrics_port_ends_the_process_with_code_2():
    for port in ("many", "70000", "-1"):
        done = ended(
            ("arbutusyard.cli.node_start",), {"ARBUTUSYARD_METRICS_PORT": port}
        )
        assert done.returncode == 2
        assert "ARBUTUSYARD_METRICS_PORT" in done.stderr


def test_a_node_starts_without_the_imports_of_the_command_line():
    # All nodes of a large fleet may start at once, and callers wait for them.
    code = (
        "import sys, arbutusyard.cli.node_start, arbutusyard.cli.node_daemon;"
        "print([name for name in ('typer', 'opentelemetry') if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert done.stdout.strip() == "[]", done.stderr
