"""Tell the story of one request from the nodes' log lines."""

import json
from collections.abc import Iterable
from typing import Any, Final

# What a node believed this long before a request may have decided it, in seconds.
BELIEF_WINDOW_S: Final = 15.0
BELIEFS_MAX: Final = 40

Line = dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the structured lines among texts, which may stand behind a prefix."""
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


def explain(request_id: str, lines: list[Line]) -> list[Line]:
    """Return a request's lines and the beliefs that may have decided it, in order.

    Beliefs are changes that its node noted shortly before, and what any node noted of
    the servers that it was tried at.
    """
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return []
    nodes = {line.get("node") for line in own}
    servers = {line["server"] for line in own if line.get("server")}
    last = own[-1]["created"]
    whole_s = max((line.get("whole_ms") or 0.0) for line in own) / 1000
    first = min(own[0]["created"], last - whole_s)
    beliefs = [
        line
        for line in lines
        if "request_id" not in line
        and first - BELIEF_WINDOW_S <= line["created"] <= last
        and (line.get("node") in nodes or line.get("server") in servers)
        and (line.get("server") is None or line["server"] in servers)
    ]
    return sorted([*own, *beliefs[-BELIEFS_MAX:]], key=lambda line: line["created"])


def story(request_id: str, lines: list[Line]) -> list[str]:
    """Return the explanation as text, one line each."""
    found = explain(request_id, lines)
    if not found:
        return []
    origin = found[0]["created"]
    return [_text(line, origin, request_id) for line in found]


def _text(line: Line, origin: float, request_id: str) -> str:
    mark = "*" if line.get("request_id") == request_id else " "
    hidden = {"created", "levelname", "name", "message", "node", "request_id"}
    details = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in hidden
    )
    when = f"{line['created'] - origin:8.3f}"
    return f"{mark}{when} {line.get('node', '?')}: {line['message']} {details}".rstrip()
