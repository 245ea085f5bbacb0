"""Check an operator's answers and name every wrong one."""

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

MAX_VALUE_SHOWN: Final = 60
MAX_TEXT_BYTES: Final = 4 * 1024 * 1024


def check_text(text: str) -> Result[Questionnaire, tuple[WrongAnswer, ...]]:
    """Read answers as TOML and check them."""
    if len(text) > MAX_TEXT_BYTES:
        size = f"{len(text)} bytes"
        return Error((WrongAnswer("questionnaire", size, f"{MAX_TEXT_BYTES} bytes"),))
    try:
        answers = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        return Error((WrongAnswer("questionnaire", str(exc), "a TOML document"),))
    return check(answers)


def check(answers: dict[str, Any]) -> Result[Questionnaire, tuple[WrongAnswer, ...]]:
    """Check answers and return them typed, or every wrong one."""
    wrong = _check_table("", answers, QUESTIONNAIRE)
    if not wrong:
        wrong = _check_across(answers)
    if wrong:
        return Error(tuple(wrong))
    return Ok(msgspec.convert(answers, Questionnaire, strict=False))


def _check_table(
    path: str, table: dict[str, Any], questions: tuple[Question, ...]
) -> list[WrongAnswer]:
    wrong = []
    names = {question.name for question in questions}
    for name in table:
        if name not in names:
            allowed = "one of the questions " + ", ".join(sorted(names))
            wrong.append(WrongAnswer(path + name, _shown(table[name]), allowed))
    for question in questions:
        wrong += _check_answer(path, table, question)
    return wrong


def _check_answer(
    path: str, table: dict[str, Any], question: Question
) -> list[WrongAnswer]:
    where = path + question.name
    if question.name not in table:
        if question.optional:
            return []
        return [WrongAnswer(where, "no answer", _allowed(question))]
    value = table[question.name]
    if isinstance(question, Group):
        return _check_group(where, value, question)
    if _fits(question, value):
        return []
    return [WrongAnswer(where, _shown(value), _allowed(question))]


def _check_group(where: str, value: Any, group: Group) -> list[WrongAnswer]:
    if not group.many:
        if not isinstance(value, dict):
            return [WrongAnswer(where, _shown(value), _allowed(group))]
        return _check_table(f"{where}.", value, group.questions)
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        return [WrongAnswer(where, _shown(value), _allowed(group))]
    if not value and not group.optional:
        return [WrongAnswer(where, "an empty list", _allowed(group))]
    wrong = []
    for number, item in enumerate(value, 1):
        wrong += _check_table(f"{where}[{number}].", item, group.questions)
    return wrong


def _fits(question: Question, value: Any) -> bool:
    match question:
        case Text(pattern=pattern):
            return isinstance(value, str) and bool(re.fullmatch(pattern, value))
        case Choice(allowed=allowed):
            return isinstance(value, str) and value in allowed
        case Number(least=least, most=most):
            if isinstance(value, bool) or not isinstance(value, int | float):
                return False
            return least <= value <= most
        case YesNo():
            return isinstance(value, bool)
        case Group():
            return False


def _allowed(question: Question) -> str:
    match question:
        case Text(asks=asks, pattern=pattern):
            return f"text like {pattern} ({asks})"
        case Choice(asks=asks, allowed=allowed):
            return f"one of {', '.join(allowed)} ({asks})"
        case Number(asks=asks, least=least, most=most):
            return f"a number from {least:g} to {most:g} ({asks})"
        case YesNo(asks=asks):
            return f"true or false ({asks})"
        case Group(asks=asks, many=many):
            kind = "a list of tables" if many else "a table"
            return f"{kind} ({asks})"


def _check_across(answers: dict[str, Any]) -> list[WrongAnswer]:
    wrong = []
    for group in ("models", "kinds", "services", "senders"):
        wrong += _check_unique(group, "name", answers.get(group, []))
    wrong += _check_unique("senders", "key_hash", answers["senders"])
    usual = [kind["name"] for kind in answers["kinds"] if kind.get("usual")]
    if len(usual) != 1:
        shown = ", ".join(usual) or "none"
        wrong.append(WrongAnswer("kinds.usual", shown, "true for exactly one kind"))
    for number, kind in enumerate(answers["kinds"], 1):
        if kind["useless_after_s"] < kind["late_after_s"]:
            where = f"kinds[{number}].useless_after_s"
            allowed = f"at least late_after_s, {kind['late_after_s']:g}"
            wrong.append(WrongAnswer(where, _shown(kind["useless_after_s"]), allowed))
    return wrong


def _check_unique(
    group: str, question: str, items: list[dict[str, Any]]
) -> list[WrongAnswer]:
    wrong = []
    seen: set[str] = set()
    for number, item in enumerate(items, 1):
        value = item[question]
        if value in seen:
            where = f"{group}[{number}].{question}"
            wrong.append(WrongAnswer(where, _shown(value), "a value not given before"))
        seen.add(value)
    return wrong


def _shown(value: Any) -> str:
    text = repr(value)
    if len(text) > MAX_VALUE_SHOWN:
        return text[: MAX_VALUE_SHOWN - 3] + "..."
    return text
