"""Build the timeline of one request from the log lines of all nodes."""

import json
from collections.abc import Iterable
from typing import Any, Final

# State that a node logged up to this long before a request may have decided it, in
# seconds.
CONTEXT_WINDOW_S: Final = 15.0
# Maximum number of context lines; the newest ones are shown.
MAX_CONTEXT_LINES: Final = 40

Line = dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the JSON log lines in order of time; text before the JSON is skipped."""
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and isinstance(line.get("created"), int | float):
            lines.append(line)
    return sorted(lines, key=lambda line: line["created"])


def select_lines(request_id: str, lines: list[Line]) -> list[Line]:
    """Return a request's lines and those of its context, in order of time.

    The lines of attempts at the same stream, which it resumes or which resume it, are
    among them. The context is what may have decided the request: state changes that its
    nodes logged shortly before it, and what any node logged about the servers it was
    sent to.
    """
    ids = _stream_ids(request_id, lines)
    request_lines = [line for line in lines if line.get("request_id") in ids]
    if not any(line["request_id"] == request_id for line in request_lines):
        return []
    nodes = {line.get("node") for line in request_lines}
    servers = {line["server"] for line in request_lines if line.get("server")}
    last = request_lines[-1]["created"]
    whole_s = max((line.get("whole_ms") or 0.0) for line in request_lines) / 1000
    first = min(request_lines[0]["created"], last - whole_s)
    context = [
        line
        for line in lines
        if "request_id" not in line
        and first - CONTEXT_WINDOW_S <= line["created"] <= last
        and (line.get("node") in nodes or line.get("server") in servers)
        and (line.get("server") is None or line["server"] in servers)
    ]
    return sorted(
        [*request_lines, *context[-MAX_CONTEXT_LINES:]],
        key=lambda line: line["created"],
    )


def _stream_ids(request_id: str, lines: list[Line]) -> set[str]:
    """Return the ids of all attempts at the stream of a request."""
    began_ids = {request_id}
    for line in lines:
        if line.get("request_id") == request_id and line.get("resumed_id"):
            began_ids.add(line["resumed_id"])
    return began_ids | {
        line["request_id"]
        for line in lines
        if line.get("resumed_id") in began_ids and "request_id" in line
    }


def request_timeline(request_id: str, lines: list[Line]) -> list[str]:
    """Return a request's lines, marked with a star, and their context as text."""
    selected = select_lines(request_id, lines)
    if not selected:
        return []
    origin = selected[0]["created"]
    return [_format_line(line, origin, request_id) for line in selected]


def _format_line(line: Line, origin: float, request_id: str) -> str:
    mark = "*" if line.get("request_id") == request_id else " "
    hidden = {"created", "levelname", "name", "message", "node", "request_id"}
    details = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in hidden
    )
    when = f"{line['created'] - origin:8.3f}"
    return f"{mark}{when} {line.get('node', '?')}: {line['message']} {details}".rstrip()
