"""Run a node as its environment says, without the imports of the command line.

All nodes of a fleet may start at once, and callers wait for them.
"""

if __name__ == "__main__":
    import signal

    # The signal that settings changed would end a process that is still starting;
    # it reads the settings file anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gevent import events, monkey

    # No plugin of gevent is used; the search for them reads the metadata of every
    # installed package some twenty times, a quarter of a start's processor time.
    events.notify_and_call_entry_points = events.notify
    # A node speaks no TLS and starts no process.
    monkey.patch_all(ssl=False, subprocess=False)

import os
import sys
from typing import Final

from arbutusyard.const import ENV_PREFIX
from arbutusyard.exceptions import SetupFailed

EXIT_USAGE: Final = 2
# The same port stands in deploy/system.toml.
METRICS_PORT: Final = 9464
PORT_MAX: Final = 65_535


def start_node(config: str, metrics_port: int) -> None:
    """Run a node on the users' platform, as its settings file says."""
    from arbutusyard.cli.node_daemon import run_node
    from arbutusyard.platform.settings import read_settings

    try:
        cfg = read_settings(config, metrics_port)
    except SetupFailed as exc:
        _end_for_settings(str(exc))
    run_node(cfg, lambda: read_settings(config, metrics_port))


def start_from_environment(environment: dict[str, str]) -> None:
    """Run a node whose settings file and port the environment names."""
    name = ENV_PREFIX + "METRICS_PORT"
    text = environment.get(name, str(METRICS_PORT))
    if not text.isdigit() or int(text) > PORT_MAX:
        _end_for_settings(f"{name} is {text!r}; 0 to {PORT_MAX} is allowed")
    start_node(environment.get(ENV_PREFIX + "CONFIG", ""), int(text))


def _end_for_settings(text: str) -> None:
    print(f"error: {text}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    start_from_environment(dict(os.environ))
