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
from typing import Final, NoReturn

from arbutusyard.const import ENV_PREFIX
from arbutusyard.exceptions import SetupFailed

EXIT_USAGE: Final = 2
# Default port for metrics; deploy/system.toml contains the same port.
METRICS_PORT: Final = 9464
PORT_MAX: Final = 65_535


def start_node(config: str, metrics_port: int, hedge_fraction: float = 0.0) -> None:
    """Run a node on the platform with the settings in its file."""
    from msgspec.structs import replace

    from arbutusyard.cli.node_daemon import run_node
    from arbutusyard.gateway.hedging import HEDGE_FRACTION_MAX
    from arbutusyard.gateway.settings import NodeSettings
    from arbutusyard.platform.settings import read_settings

    # NaN is in no range.
    if not 0 <= hedge_fraction <= HEDGE_FRACTION_MAX:
        _exit_with_usage_error(
            f"--hedge-fraction (or {ENV_PREFIX}HEDGE_FRACTION) is {hedge_fraction}; 0 "
            f"to {HEDGE_FRACTION_MAX} is allowed"
        )

    def read() -> NodeSettings:
        cfg = read_settings(config, metrics_port)
        return replace(cfg, hedge_fraction=hedge_fraction)

    try:
        cfg = read()
    except SetupFailed as exc:
        _exit_with_usage_error(str(exc))
    run_node(cfg, read)


def start_from_environment(environment: dict[str, str]) -> None:
    """Run a node with the settings that the environment holds."""
    name = ENV_PREFIX + "METRICS_PORT"
    text = environment.get(name, str(METRICS_PORT))
    if not text.isdigit() or int(text) > PORT_MAX:
        _exit_with_usage_error(f"{name} is {text!r}; 0 to {PORT_MAX} is allowed")
    name = ENV_PREFIX + "HEDGE_FRACTION"
    fraction_text = environment.get(name) or "0"
    try:
        hedge_fraction = float(fraction_text)
    except ValueError:
        _exit_with_usage_error(f"{name} is {fraction_text!r}, which is no number")
    start_node(environment.get(ENV_PREFIX + "CONFIG", ""), int(text), hedge_fraction)


def _exit_with_usage_error(message: str) -> NoReturn:
    print(f"error: {message}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    start_from_environment(dict(os.environ))
