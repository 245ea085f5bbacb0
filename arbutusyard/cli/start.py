"""Do what both daemons need at their start."""

import json
import logging
import sys

import gevent
from pythonjsonlogger.json import JsonFormatter

from arbutusyard.app import Application, AppState

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
START_POLL_S = 0.005


def configure_logging() -> None:
    """Write structured log lines to the standard error stream."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def announce(app: Application, addresses: dict[str, str]) -> None:
    """Print the bound addresses as one line once the application runs."""
    gevent.spawn(_announce, app, addresses)


def _announce(app: Application, addresses: dict[str, str]) -> None:
    while app.state is not AppState.RUNNING:
        gevent.sleep(START_POLL_S)
    print(json.dumps({"ready": app.name, **addresses}), flush=True)
