"""Select the lines that explain a request from the logs of several nodes."""

import json

from arbutusyard.logs.explain import read_lines, request_timeline, select_lines


def line(created, node, message, **fields):
    return json.dumps({"created": created, "node": node, "message": message, **fields})


LINES = [
    "  9.2 n1 " + line(9.2, "n1", "Server s1 is reachable again", server="s1"),
    line(8.0, "n1", "Configuration 7 is in force: 3 routes", config=7),
    line(8.5, "n2", "Configuration 7 is in force: 3 routes", config=7),
    line(9.0, "n2", "Removed server s1", server="s1"),
    line(9.1, "n1", "Removed server s9", server="s9"),
    line(
        10.0,
        "n1",
        "Attempt at a server failed",
        request_id="r1",
        server="s1",
        result="broken",
    ),
    line(10.1, "n1", "Request ended", request_id="r1", outcome="502", whole_ms=900),
    line(10.2, "n1", "Request ended", request_id="r2", outcome="answered"),
    line(30.0, "n1", "Configuration 8 is in force: 3 routes", config=8),
    "no structured line",
    '{"half": ',
]


def test_timeline_has_the_lines_of_the_request_and_of_its_context():
    timeline = request_timeline("r1", read_lines(LINES))
    assert [text.split(": ", 1)[1].split(" ", 3)[:3] for text in timeline] == [
        ["Configuration", "7", "is"],
        ["Removed", "server", "s1"],
        ["Server", "s1", "is"],
        ["Attempt", "at", "a"],
        ["Request", "ended", "outcome=502"],
    ]
    assert [text[0] for text in timeline] == [" ", " ", " ", "*", "*"]
    assert "result=broken" in timeline[3]


def test_unknown_request_has_an_empty_timeline():
    assert request_timeline("r9", read_lines(LINES)) == []


def test_attempts_at_the_same_stream_are_shown_with_each_other():
    lines = [
        {"created": 1.0, "node": "a", "request_id": "r1", "message": "began"},
        {"created": 2.0, "node": "b", "request_id": "r2", "resumed_id": "r1"},
        {"created": 3.0, "node": "c", "request_id": "r3", "resumed_id": "r1"},
        {"created": 4.0, "node": "c", "request_id": "r4", "resumed_id": ""},
    ]
    lines = [{"message": "Request ended", **line} for line in lines]
    for request_id in ("r1", "r2", "r3"):
        selected = select_lines(request_id, lines)
        assert [line["request_id"] for line in selected] == ["r1", "r2", "r3"]
    assert [line["request_id"] for line in select_lines("r4", lines)] == ["r4"]
    timeline = request_timeline("r2", lines)
    assert [text[0] for text in timeline] == [" ", "*", " "]
