"""Validate an operator's answers and report every wrong one."""

import re
import tomllib
from typing import Any, Final

import msgspec
from expression import Error, Ok, Result

from arbutusyard.questionnaire.const import QUESTIONNAIRE
from arbutusyard.questionnaire.models import (
    Choice,
    Group,
    Number,
    Question,
    Questionnaire,
    Text,
    WrongAnswer,
    YesNo,
)

# Longest value that is quoted in an error message, in characters.
MAX_QUOTED_CHARS: Final = 60
# Maximum length of the text of a questionnaire; characters are counted as bytes.
MAX_TEXT_BYTES: Final = 4 * 1024 * 1024


def check_text(text: str) -> Result[Questionnaire, tuple[WrongAnswer, ...]]:
    """Parse answers from TOML and check them."""
    if len(text) > MAX_TEXT_BYTES:
        size = f"{len(text)} bytes"
        return Error((WrongAnswer("questionnaire", size, f"{MAX_TEXT_BYTES} bytes"),))
    try:
        answers = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        return Error((WrongAnswer("questionnaire", str(exc), "a TOML document"),))
    return check(answers)


def check(answers: dict[str, Any]) -> Result[Questionnaire, tuple[WrongAnswer, ...]]:
    """Return the answers as a Questionnaire, or every wrong answer."""
    wrong_answers = _check_table("", answers, QUESTIONNAIRE)
    if not wrong_answers:
        wrong_answers = _check_consistency(answers)
    if wrong_answers:
        return Error(tuple(wrong_answers))
    return Ok(msgspec.convert(answers, Questionnaire, strict=False))


def _check_table(
    path: str, table: dict[str, Any], questions: tuple[Question, ...]
) -> list[WrongAnswer]:
    wrong_answers = []
    names = {question.name for question in questions}
    for name in table:
        if name not in names:
            allowed = "one of the questions " + ", ".join(sorted(names))
            wrong_answers.append(WrongAnswer(path + name, _quote(table[name]), allowed))
    for question in questions:
        wrong_answers += _check_answer(path, table, question)
    return wrong_answers


def _check_answer(
    path: str, table: dict[str, Any], question: Question
) -> list[WrongAnswer]:
    where = path + question.name
    if question.name not in table:
        if question.optional:
            return []
        return [WrongAnswer(where, "no answer", _describe_allowed(question))]
    value = table[question.name]
    if isinstance(question, Group):
        return _check_group(where, value, question)
    if _is_valid(question, value):
        return []
    return [WrongAnswer(where, _quote(value), _describe_allowed(question))]


def _check_group(where: str, value: Any, group: Group) -> list[WrongAnswer]:
    if not group.is_list:
        if not isinstance(value, dict):
            return [WrongAnswer(where, _quote(value), _describe_allowed(group))]
        return _check_table(f"{where}.", value, group.questions)
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        return [WrongAnswer(where, _quote(value), _describe_allowed(group))]
    if not value and not group.optional:
        return [WrongAnswer(where, "an empty list", _describe_allowed(group))]
    wrong_answers = []
    for number, item in enumerate(value, 1):
        wrong_answers += _check_table(f"{where}[{number}].", item, group.questions)
    return wrong_answers


def _is_valid(question: Question, value: Any) -> bool:
    match question:
        case Text(pattern=pattern):
            return isinstance(value, str) and bool(re.fullmatch(pattern, value))
        case Choice(allowed=allowed):
            return isinstance(value, str) and value in allowed
        case Number(minimum=minimum, maximum=maximum):
            if isinstance(value, bool) or not isinstance(value, int | float):
                return False
            return minimum <= value <= maximum
        case YesNo():
            return isinstance(value, bool)
        case Group():
            return False


def _describe_allowed(question: Question) -> str:
    match question:
        case Text(description=description, pattern=pattern):
            return f"text like {pattern} ({description})"
        case Choice(description=description, allowed=allowed):
            return f"one of {', '.join(allowed)} ({description})"
        case Number(description=description, minimum=minimum, maximum=maximum):
            return f"a number from {minimum:g} to {maximum:g} ({description})"
        case YesNo(description=description):
            return f"true or false ({description})"
        case Group(description=description, is_list=is_list):
            kind = "a list of tables" if is_list else "a table"
            return f"{kind} ({description})"


def _check_consistency(answers: dict[str, Any]) -> list[WrongAnswer]:
    wrong_answers = []
    for group in ("models", "kinds", "services", "senders"):
        wrong_answers += _check_unique(group, "name", answers.get(group, []))
    wrong_answers += _check_unique("senders", "key_hash", answers["senders"])
    usual = [kind["name"] for kind in answers["kinds"] if kind.get("usual")]
    if len(usual) != 1:
        shown = ", ".join(usual) or "none"
        wrong_answers.append(
            WrongAnswer("kinds.usual", shown, "true for exactly one kind")
        )
    for number, kind in enumerate(answers["kinds"], 1):
        if kind["useless_after_s"] < kind["late_after_s"]:
            where = f"kinds[{number}].useless_after_s"
            allowed = f"at least late_after_s, {kind['late_after_s']:g}"
            wrong_answers.append(
                WrongAnswer(where, _quote(kind["useless_after_s"]), allowed)
            )
    return wrong_answers


def _check_unique(
    group: str, question: str, items: list[dict[str, Any]]
) -> list[WrongAnswer]:
    wrong_answers = []
    seen: set[str] = set()
    for number, item in enumerate(items, 1):
        value = item[question]
        if value in seen:
            where = f"{group}[{number}].{question}"
            wrong_answers.append(
                WrongAnswer(where, _quote(value), "a value not given before")
            )
        seen.add(value)
    return wrong_answers


def _quote(value: Any) -> str:
    text = repr(value)
    if len(text) > MAX_QUOTED_CHARS:
        return text[: MAX_QUOTED_CHARS - 3] + "..."
    return text
