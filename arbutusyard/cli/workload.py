"""Check, apply and show workloads defined by operators' questionnaires."""

import difflib
import getpass
import time
import uuid
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import msgspec
import typer
import urllib3

from arbutusyard.cli.admin import OPERATOR_HEADER
from arbutusyard.cli.settings import parse_address
from arbutusyard.config.exceptions import ConfigError
from arbutusyard.config.models import Configuration, Workload
from arbutusyard.config.store import Change, ConfigStore
from arbutusyard.const import ENV_PREFIX
from arbutusyard.platform.client import PlatformClient
from arbutusyard.platform.exceptions import PlatformError
from arbutusyard.questionnaire.check import check_text
from arbutusyard.questionnaire.generate import generate
from arbutusyard.questionnaire.keys import hash_key, new_key

EXIT_USAGE = 2
EXIT_FAILED = 1
# Timeout for notifying one control daemon of a change, in seconds.
NOTIFY_TIMEOUT_S = 1.0

T = TypeVar("T")

workload_app = typer.Typer(
    help="Check, apply and show workloads from questionnaires.", no_args_is_help=True
)

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar=ENV_PREFIX + "PLATFORM",
        help="IP:port of the platform's services.",
    ),
]
File = Annotated[Path, typer.Argument(help="Questionnaire with answers, in TOML.")]


@workload_app.command()
def check(file: File) -> None:
    """Check the answers and report every wrong one; nothing is written."""
    _, workload = _read_questionnaire(file)
    typer.echo(
        f"{workload.name}: {len(workload.accounts)} client accounts, "
        f"{len(workload.models)} models, {len(workload.services)} services"
    )


@workload_app.command()
def diff(file: File, platform: PlatformOption = "") -> None:
    """Show how the answers differ from those of the current revision."""
    text, workload = _read_questionnaire(file)
    store = _open_store(platform)
    current = _run_or_fail(lambda: store.answers(workload.name))
    lines = difflib.unified_diff(
        current.text.splitlines(),
        text.splitlines(),
        f"revision {current.revision}",
        str(file.name),
        lineterm="",
    )
    for line in lines:
        typer.echo(line)


@workload_app.command()
def apply(
    file: File,
    platform: PlatformOption = "",
    from_revision: Annotated[
        int,
        typer.Option(help="Refuse if the workload has changed since this revision."),
    ] = -1,
    admin: Annotated[
        str,
        typer.Option(
            envvar=ENV_PREFIX + "ADMIN",
            help="IP:port for operators of control daemons, with commas; they hear of "
            "the change at once, even if the platform goes down.",
        ),
    ] = "",
    keys: Annotated[
        str,
        typer.Option(envvar=ENV_PREFIX + "KEYS", help="Key that all processes share."),
    ] = "",
) -> None:
    """Generate the configuration and apply it completely or not at all."""
    text, workload = _read_questionnaire(file)
    change = Change(
        change_id=uuid.uuid4().hex,
        operator=getpass.getuser(),
        workload=workload,
        answers=text,
        asked_at=time.time(),
        from_revision=from_revision if from_revision >= 0 else None,
    )
    store = _open_store(platform)
    accepted = _run_or_fail(lambda: store.apply(change))
    typer.echo(f"{workload.name}: accepted as revision {accepted.revision}")
    for control in filter(None, admin.split(",")):
        _notify_control(control.strip(), keys.split(",")[0], accepted)


@workload_app.command()
def show(
    name: Annotated[str, typer.Argument(help="Name of the workload.")],
    platform: PlatformOption = "",
) -> None:
    """Show the current answers and the configuration generated from them."""
    store = _open_store(platform)
    answers = _run_or_fail(lambda: store.answers(name))
    if answers.revision == 0:
        _fail(f"workload {name!r} does not exist")
    cfg = _run_or_fail(store.read)
    typer.echo(f"# revision {answers.revision}")
    typer.echo(answers.text)
    for workload in cfg.workloads:
        if workload.name == name:
            data = msgspec.json.format(msgspec.json.encode(workload), indent=2)
            typer.echo(data.decode())


@workload_app.command()
def history(platform: PlatformOption = "") -> None:
    """List every accepted change."""
    store = _open_store(platform)
    for entry in _run_or_fail(store.history):
        accepted_at = datetime.fromtimestamp(entry.accepted_at, UTC).isoformat(
            "T", "seconds"
        )
        typer.echo(
            f"{entry.revision}\t{accepted_at}\t{entry.operator}\t{entry.workload}\t"
            f"{entry.change_id}"
        )


@workload_app.command()
def key() -> None:
    """Generate a key for a client account and its hash for the questionnaire."""
    account_key = new_key()
    typer.echo(f"key (give it to the sender): {account_key}")
    typer.echo(f"key_hash: {hash_key(account_key)}")


def _read_questionnaire(file: Path) -> tuple[str, Workload]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        typer.echo(f"error: {file} cannot be read: {exc}", err=True)
        raise typer.Exit(EXIT_USAGE) from exc
    result = check_text(text)
    if result.is_ok():
        return text, generate(result.ok)
    for wrong_answer in result.error:
        typer.echo(f"error: {wrong_answer}", err=True)
    raise typer.Exit(EXIT_USAGE)


def _open_store(platform: str) -> ConfigStore:
    try:
        return ConfigStore(PlatformClient(parse_address(platform)), time.sleep)
    except ValueError as exc:
        typer.echo(f"error: --platform (or {ENV_PREFIX}PLATFORM): {exc}", err=True)
        raise typer.Exit(EXIT_USAGE) from exc


def _notify_control(control: str, key: str, accepted: Configuration) -> None:
    try:
        resp = urllib3.request(
            "POST",
            f"http://{control}/config",
            body=msgspec.msgpack.encode(accepted),
            headers={OPERATOR_HEADER: key},
            timeout=NOTIFY_TIMEOUT_S,
            retries=False,
        )
        problem = "" if resp.status == 200 else f"status {resp.status}"
    except urllib3.exceptions.HTTPError as exc:
        problem = str(exc)
    if problem:
        typer.echo(
            f"warning: could not notify {control} of the change: {problem}", err=True
        )


def _run_or_fail(call: Callable[[], T]) -> T:
    try:
        return call()
    except (ConfigError, PlatformError) as exc:
        _fail(str(exc))


def _fail(message: str) -> NoReturn:
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(EXIT_FAILED)
