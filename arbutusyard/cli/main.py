"""Define the commands and their settings."""

import sys
from typing import Annotated, Any

import typer

from arbutusyard.cli.explain import explain
from arbutusyard.cli.node import node
from arbutusyard.cli.settings import (
    CONTROL_PARSERS,
    ENTRY_PARSERS,
    ControlSettings,
    EntrySettings,
    parse_settings,
)
from arbutusyard.cli.status import drain, status
from arbutusyard.cli.workload import workload_app
from arbutusyard.const import ENV_PREFIX

EXIT_USAGE = 2

app = typer.Typer(
    help="Route language-model traffic with long shared prompts.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.add_typer(workload_app, name="workload")
app.command()(node)
app.command()(explain)
app.command()(status)
app.command()(drain)


def setting(name: str, help_text: str) -> Any:
    """Return the option of a setting, with its flag and environment variable."""
    return typer.Option(
        "--" + name.replace("_", "-"), envvar=ENV_PREFIX + name.upper(), help=help_text
    )


Name = Annotated[str, setting("name", "Unique name of this process.")]
Region = Annotated[str, setting("region", "Region of this VM.")]
Domain = Annotated[str, setting("failure_domain", "Failure domain of this VM.")]
Platform = Annotated[str, setting("platform", "IP:port of the platform's services.")]
Keys = Annotated[
    str,
    setting(
        "keys",
        "Key that all processes share, at least 16 characters; during a change two "
        "with a comma, the new one first.",
    ),
]
AdminListen = Annotated[
    str, setting("admin_listen", "IP:port for operators: /status, /metrics, /drain.")
]


@app.command()
def control(
    name: Name = "",
    region: Region = "",
    failure_domain: Domain = "",
    platform: Platform = "",
    keys: Keys = "",
    listen: Annotated[
        str, setting("listen", "IP:port (UDP) for other control daemons.")
    ] = "127.0.0.1:0",
    advertise: Annotated[
        str, setting("advertise", "IP:port (UDP) that others are told, if another.")
    ] = "",
    rpc_listen: Annotated[
        str, setting("rpc_listen", "IP:port for entries and other control daemons.")
    ] = "127.0.0.1:0",
    rpc_advertise: Annotated[
        str, setting("rpc_advertise", "IP:port (RPC) that others are told, if another.")
    ] = "",
    admin_listen: AdminListen = "127.0.0.1:0",
    peers: Annotated[
        str, setting("peers", "IP:port of other control daemons, with commas.")
    ] = "",
) -> None:
    """Run the control daemon of a VM: configuration, membership, load and orders."""
    values = {key: value for key, value in locals().items() if key in CONTROL_PARSERS}
    cfg = _parse_settings_or_exit(ControlSettings, CONTROL_PARSERS, values)
    from arbutusyard.cli.control_daemon import run_control

    run_control(cfg)


@app.command()
def entry(
    name: Name = "",
    region: Region = "",
    failure_domain: Domain = "",
    platform: Platform = "",
    keys: Keys = "",
    listen: Annotated[str, setting("listen", "IP:port for callers.")] = "127.0.0.1:0",
    advertise: Annotated[
        str, setting("advertise", "IP:port that callers are told, if another.")
    ] = "",
    admin_listen: AdminListen = "127.0.0.1:0",
    control: Annotated[
        str, setting("control", "IP:port (RPC) of the control daemon on this VM.")
    ] = "",
    keep_s: Annotated[
        str, setting("keep_s", "How long callers keep the list of entries, in seconds.")
    ] = "5",
    drain_timeout_s: Annotated[
        str, setting("drain_timeout_s", "Longest wait for answers at a shutdown, in s.")
    ] = "120",
    otlp_endpoint: Annotated[
        str, setting("otlp_endpoint", "URL of an OTLP collector for metrics.")
    ] = "",
) -> None:
    """Run an entry daemon, which serves client requests."""
    values = {key: value for key, value in locals().items() if key in ENTRY_PARSERS}
    cfg = _parse_settings_or_exit(EntrySettings, ENTRY_PARSERS, values)
    from arbutusyard.cli.entry_daemon import run_entry

    run_entry(cfg)


def _parse_settings_or_exit(kind: type, parsers: dict, values: dict[str, str]) -> Any:
    result = parse_settings(kind, parsers, values)
    if result.is_ok():
        return result.ok
    for error in result.error:
        typer.echo(f"error: {error}", err=True)
    sys.exit(EXIT_USAGE)


def run() -> int:
    """Parse the command line and run its command."""
    return app(standalone_mode=True) or 0
