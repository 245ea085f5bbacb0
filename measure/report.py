"""Print measured tables and keep them with the commit that gave them."""

import json
import subprocess
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MEASURED = ROOT / "docs" / "measured"
MEASURED_CODE = ("arbutusyard", "measure", "standins")


@dataclass(slots=True)
class Table:
    """Hold one table."""

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)

    def markdown(self) -> str:
        """Return the table as text."""
        lines = [f"## {self.title}", "", "| " + " | ".join(self.columns) + " |"]
        lines.append("|" + " --- |" * len(self.columns))
        lines += ["| " + " | ".join(map(str, row)) + " |" for row in self.rows]
        return "\n".join(lines) + "\n"


def write(name: str, title: str, tables: list[Table], how: str) -> None:
    """Print tables and keep them as text and as data."""
    head = f"# {title}\n\nCommit {commit()}, `script/measure {name}`, {how}.\n\n"
    text = head + "\n".join(table.markdown() for table in tables)
    print(text)
    MEASURED.mkdir(parents=True, exist_ok=True)
    (MEASURED / f"{name}.md").write_text(text)
    data = {"commit": commit(), "how": how, "tables": [asdict(t) for t in tables]}
    (MEASURED / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")


def commit() -> str:
    """Return the commit that is measured, marked when its code has changed since."""
    git = ["git", "-C", str(ROOT)]
    name = subprocess.run(
        [*git, "rev-parse", "--short=10", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    changed = subprocess.run(
        [*git, "diff", "--quiet", "HEAD", "--", *MEASURED_CODE], check=False
    ).returncode
    return (name or "unknown") + (", with changes" if changed else "")
