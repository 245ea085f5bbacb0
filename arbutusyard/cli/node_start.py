"""Run a node from environment variables, without the imports of the command line.

All nodes of a fleet may start at once while clients wait for them, so a start must be
fast.
"""

if __name__ == "__main__":
    import signal

    # SIGHUP, which reports changed settings, would by default end a process that is
    # still starting. Nothing is lost by ignoring it: the start reads the settings file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gevent import events, monkey

    # No gevent plugin is used. The search for plugins reads the metadata of every
    # installed package about twenty times, a quarter of a start's processor time.
    events.notify_and_call_entry_points = events.notify
    # A node uses no TLS and starts no subprocess.
    monkey.patch_all(ssl=False, subprocess=False)

import os
import sys
from typing import Final

from arbutusyard.const import ENV_PREFIX
from arbutusyard.exceptions import SetupFailed

EXIT_USAGE: Final = 2
# Default port for metrics; deploy/system.toml contains the same port.
METRICS_PORT: Final = 9464
PORT_MAX: Final = 65_535


def start_node(config: str, metrics_port: int) -> None:
    """Run a node on the platform with the settings in its file."""
    from arbutusyard.cli.node_daemon import run_node
    from arbutusyard.platform.settings import read_settings

    try:
        cfg = read_settings(config, metrics_port)
    except SetupFailed as exc:
        _exit_with_usage_error(str(exc))
    run_node(cfg, lambda: read_settings(config, metrics_port))


def start_from_environment(environment: dict[str, str]) -> None:
    """Run a node with the settings file and metrics port set in the environment."""
    name = ENV_PREFIX + "METRICS_PORT"
    text = environment.get(name, str(METRICS_PORT))
    if not text.isdigit() or int(text) > PORT_MAX:
        _exit_with_usage_error(f"{name} is {text!r}; 0 to {PORT_MAX} is allowed")
    start_node(environment.get(ENV_PREFIX + "CONFIG", ""), int(text))


def _exit_with_usage_error(message: str) -> None:
    print(f"error: {message}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    start_from_environment(dict(os.environ))
