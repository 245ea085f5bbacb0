"""Find a request's story among the lines of several nodes."""

import json

from arbutusyard.logs.explain import read_lines, story


def line(created, node, message, **fields):
    return json.dumps({"created": created, "node": node, "message": message, **fields})


LINES = [
    "  9.2 n1 " + line(9.2, "n1", "Server s1 is silent", server="s1"),
    line(8.0, "n1", "Configuration 7 is in force", config=7),
    line(8.5, "n2", "Configuration 7 is in force", config=7),
    line(9.0, "n2", "Server s1 is gone", server="s1"),
    line(9.1, "n1", "Server s9 is gone", server="s9"),
    line(10.0, "n1", "A try failed", request_id="r1", server="s1", result="broken"),
    line(10.1, "n1", "Request ended", request_id="r1", outcome="502", whole_ms=900),
    line(10.2, "n1", "Request ended", request_id="r2", outcome="answered"),
    line(30.0, "n1", "Configuration 8 is in force", config=8),
    "no structured line",
    '{"half": ',
]


def test_the_story_has_the_requests_lines_and_what_decided_them():
    told = story("r1", read_lines(LINES))
    assert [text.split(": ", 1)[1].split(" ", 2)[:2] for text in told] == [
        ["Configuration", "7"],
        ["Server", "s1"],
        ["Server", "s1"],
        ["A", "try"],
        ["Request", "ended"],
    ]
    assert [text[0] for text in told] == [" ", " ", " ", "*", "*"]
    assert "result=broken" in told[3]


def test_an_unknown_request_has_no_story():
    assert story("r9", read_lines(LINES)) == []
