"""Show the status of daemons and drain them."""

import json
from typing import Annotated, Any

import typer
import urllib3

from arbutusyard.cli.admin import OPERATOR_HEADER
from arbutusyard.const import ENV_PREFIX

# Timeout of a request to one daemon, in seconds.
REQUEST_TIMEOUT_S = 3.0

AdminOption = Annotated[
    str,
    typer.Option(
        "--admin",
        envvar=ENV_PREFIX + "ADMIN",
        help="IP:port for operators of one or more daemons, with commas.",
    ),
]


def status(
    admin: AdminOption,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show entries, backend servers, the current configuration revision and leases."""
    reports = {
        address.strip(): _fetch_status(address.strip()) for address in admin.split(",")
    }
    if as_json:
        typer.echo(json.dumps(reports, indent=2))
        return
    for address, report in reports.items():
        typer.echo(f"{address}\t{report.get('name', '?')}")
        _print_report(report)


def drain(
    admin: AdminOption,
    keys: Annotated[
        str,
        typer.Option(envvar=ENV_PREFIX + "KEYS", help="Key that all processes share."),
    ],
) -> None:
    """Shut a daemon down gracefully, without interrupting requests."""
    header = {OPERATOR_HEADER: keys.split(",")[0]}
    resp = urllib3.request(
        "POST", f"http://{admin}/drain", headers=header, timeout=REQUEST_TIMEOUT_S
    )
    if resp.status != 200:
        typer.echo(f"error: {admin} answered with status {resp.status}", err=True)
        raise typer.Exit(1)
    typer.echo(f"{admin} is draining")


def _fetch_status(address: str) -> dict[str, Any]:
    try:
        resp = urllib3.request(
            "GET", f"http://{address}/status", timeout=REQUEST_TIMEOUT_S, retries=False
        )
        return json.loads(resp.data)
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        return {"error": str(exc)}


def _print_report(report: dict[str, Any]) -> None:
    for key, value in report.items():
        if not isinstance(value, list):
            typer.echo(f"  {key}\t{value}")
            continue
        typer.echo(f"  {key}")
        for item in value:
            columns = item.values() if isinstance(item, dict) else [item]
            typer.echo("    " + "\t".join(str(column) for column in columns))
