"""Check, apply and show the operators' questionnaires."""

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
from arbutusyard.cli.settings import address
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
TELL_TIMEOUT_S = 1.0

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
    """Check the answers and name every wrong one; nothing is written."""
    _, workload = _read(file)
    typer.echo(
        f"{workload.name}: {len(workload.accounts)} client accounts, "
        f"{len(workload.models)} models, {len(workload.services)} services"
    )


@workload_app.command()
def diff(file: File, platform: PlatformOption = "") -> None:
    """Show how the answers differ from those in force."""
    text, workload = _read(file)
    store = _store(platform)
    before = _ask(lambda: store.answers(workload.name))
    lines = difflib.unified_diff(
        before.text.splitlines(),
        text.splitlines(),
        f"revision {before.revision}",
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
    """Generate the configuration and put it in force, all or nothing."""
    text, workload = _read(file)
    change = Change(
        change_id=uuid.uuid4().hex,
        operator=getpass.getuser(),
        workload=workload,
        answers=text,
        asked_at=time.time(),
        from_revision=from_revision if from_revision >= 0 else None,
    )
    store = _store(platform)
    accepted = _ask(lambda: store.apply(change))
    typer.echo(f"{workload.name}: accepted as revision {accepted.revision}")
    for control in filter(None, admin.split(",")):
        _tell(control.strip(), keys.split(",")[0], accepted)


@workload_app.command()
def show(
    name: Annotated[str, typer.Argument(help="Name of the workload.")],
    platform: PlatformOption = "",
) -> None:
    """Show the answers in force and the configuration made from them."""
    store = _store(platform)
    answers = _ask(lambda: store.answers(name))
    if answers.revision == 0:
        _fail(f"workload {name!r} does not exist")
    cfg = _ask(store.read)
    typer.echo(f"# revision {answers.revision}")
    typer.echo(answers.text)
    for workload in cfg.workloads:
        if workload.name == name:
            data = msgspec.json.format(msgspec.json.encode(workload), indent=2)
            typer.echo(data.decode())


@workload_app.command()
def history(platform: PlatformOption = "") -> None:
    """List every accepted change."""
    store = _store(platform)
    for entry in _ask(store.history):
        at = datetime.fromtimestamp(entry.accepted_at, UTC).isoformat("T", "seconds")
        typer.echo(
            f"{entry.revision}\t{at}\t{entry.operator}\t{entry.workload}\t"
            f"{entry.change_id}"
        )


@workload_app.command()
def key() -> None:
    """Make a key for a client account and the hash for the questionnaire."""
    fresh = new_key()
    typer.echo(f"key (give it to the sender): {fresh}")
    typer.echo(f"key_hash: {hash_key(fresh)}")


def _read(file: Path) -> tuple[str, Workload]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        typer.echo(f"error: {file} cannot be read: {exc}", err=True)
        raise typer.Exit(EXIT_USAGE) from exc
    result = check_text(text)
    if result.is_ok():
        return text, generate(result.ok)
    for wrong in result.error:
        typer.echo(f"error: {wrong}", err=True)
    raise typer.Exit(EXIT_USAGE)


def _store(platform: str) -> ConfigStore:
    try:
        return ConfigStore(PlatformClient(address(platform)), time.sleep)
    except ValueError as exc:
        typer.echo(f"error: --platform (or {ENV_PREFIX}PLATFORM): {exc}", err=True)
        raise typer.Exit(EXIT_USAGE) from exc


def _tell(control: str, key: str, accepted: Configuration) -> None:
    try:
        resp = urllib3.request(
            "POST",
            f"http://{control}/config",
            body=msgspec.msgpack.encode(accepted),
            headers={OPERATOR_HEADER: key},
            timeout=TELL_TIMEOUT_S,
            retries=False,
        )
        problem = "" if resp.status == 200 else f"status {resp.status}"
    except urllib3.exceptions.HTTPError as exc:
        problem = str(exc)
    if problem:
        typer.echo(f"warning: {control} was not told: {problem}", err=True)


def _ask(call: Callable[[], T]) -> T:
    try:
        return call()
    except (ConfigError, PlatformError) as exc:
        _fail(str(exc))


def _fail(message: str) -> NoReturn:
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(EXIT_FAILED)
