"""Print measured tables and store them with the commit that was measured."""

import json
import subprocess
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MEASURED = ROOT / "docs" / "measured"
# Folders whose uncommitted changes are marked in a report.
MEASURED_CODE = ("arbutusyard", "measure", "standins")


@dataclass(slots=True)
class Table:
    """Hold one table of a report."""

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)

    def markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [f"## {self.title}", "", "| " + " | ".join(self.columns) + " |"]
        lines.append("|" + " --- |" * len(self.columns))
        lines += ["| " + " | ".join(map(str, row)) + " |" for row in self.rows]
        return "\n".join(lines) + "\n"


def write(name: str, title: str, tables: list[Table], how: str) -> None:
    """Print tables, and store them as Markdown and as JSON."""
    head = f"# {title}\n\nCommit {commit()}, `script/measure {name}`, {how}.\n\n"
    text = head + "\n".join(table.markdown() for table in tables)
    print(text)
    MEASURED.mkdir(parents=True, exist_ok=True)
    (MEASURED / f"{name}.md").write_text(text)
    data = {"commit": commit(), "how": how, "tables": [asdict(t) for t in tables]}
    (MEASURED / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")


def commit() -> str:
    """Return the measured commit, marked if its code has uncommitted changes."""
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
