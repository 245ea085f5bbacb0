"""Configure logging and announce the addresses of a started daemon."""

import json
import logging
import sys

import gevent
from pythonjsonlogger.json import JsonFormatter

from arbutusyard.app import Application, AppState

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Interval between checks whether the application runs, in seconds.
START_POLL_S = 0.005


def configure_logging() -> None:
    """Write log lines as JSON to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def announce(app: Application, addresses: dict[str, str]) -> None:
    """Print the bound addresses as one JSON line once the application runs."""
    gevent.spawn(_print_when_running, app, addresses)


def _print_when_running(app: Application, addresses: dict[str, str]) -> None:
    while app.state is not AppState.RUNNING:
        gevent.sleep(START_POLL_S)
    print(json.dumps({"ready": app.name, **addresses}), flush=True)
