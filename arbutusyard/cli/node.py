"""Define the command that runs a node."""

from typing import Annotated

import typer

from arbutusyard.cli.node_start import METRICS_PORT, start_node
from arbutusyard.const import ENV_PREFIX


def node(
    config: Annotated[
        str,
        typer.Option(
            envvar=ENV_PREFIX + "CONFIG",
            help="Path of the platform's settings file of this VM.",
        ),
    ] = "",
    metrics_port: Annotated[
        int,
        typer.Option(
            envvar=ENV_PREFIX + "METRICS_PORT",
            help="Port for metrics, the one that the deploy file names.",
        ),
    ] = METRICS_PORT,
    hedge_fraction: Annotated[
        float,
        typer.Option(
            envvar=ENV_PREFIX + "HEDGE_FRACTION",
            help="Fraction of a service's requests, 0 to 0.2, that may get an extra "
            "attempt at another server when the first is slow; 0 is off.",
        ),
    ] = 0.0,
) -> None:
    """Run a node on the platform with the settings in its file."""
    start_node(config, metrics_port, hedge_fraction)
