"""Print what log files contain about one request."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from arbutusyard.logs.explain import read_lines, request_timeline

EXIT_NOT_FOUND = 1


def explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of the nodes; without any, standard input."),
    ] = None,
) -> None:
    """Print a request's log lines and what may have decided it, in order of time.

    Lines of the request itself begin with a star.
    """
    texts: list[str] = []
    for path in files or ():
        texts += path.read_text(errors="replace").splitlines()
    if not files:
        texts = sys.stdin.read().splitlines()
    lines = request_timeline(request_id, read_lines(texts))
    if not lines:
        typer.echo(f"error: found no log lines of request {request_id}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in lines:
        typer.echo(line)
