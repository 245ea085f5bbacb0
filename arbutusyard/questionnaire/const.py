"""Define the questions of the questionnaire and their allowed answers."""

from typing import Final

from arbutusyard.questionnaire.models import (
    Choice,
    Group,
    Number,
    Question,
    Text,
    YesNo,
)

NAME_PATTERN: Final = r"[a-z][a-z0-9-]{0,39}"
VERSION_PATTERN: Final = r"[A-Za-z0-9][A-Za-z0-9._-]{0,39}"
KEY_HASH_PATTERN: Final = r"[0-9a-f]{64}"
PATH_PATTERN: Final = r"/[A-Za-z0-9._/-]{0,199}"

# Priority of a work class by urgency; 0 is the most urgent.
URGENCY_PRIORITIES: Final = {"at_once": 0, "soon": 1, "can_wait": 2}
# Recompute price of a workload by the answer to `weighs_most`.
RECOMPUTE_PRICES: Final = {"first_answer": 4.0, "reuse": 6.0}
HTTP_METHODS: Final = ("GET", "POST", "PUT", "PATCH", "DELETE")

WORK_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("name", "what is the work called", NAME_PATTERN),
    Text("region", "in which region is it served", NAME_PATTERN),
    Choice("weighs_most", "what weighs most", tuple(RECOMPUTE_PRICES)),
)
MODEL_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("name", "which model answers", NAME_PATTERN),
    Text("weights", "which version of its weights", VERSION_PATTERN),
)
KIND_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("name", "what is this kind of work called", NAME_PATTERN),
    Choice("urgency", "how urgent is it", tuple(URGENCY_PRIORITIES)),
    Number("late_after_s", "when is the start of an answer late", 0.05, 3600),
    Number("useless_after_s", "when is a whole answer useless", 0.1, 86_400),
    YesNo("usual", "is this the kind when the sender names none", optional=True),
)
CALL_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("what", "what does this call do", r".{1,80}"),
    Choice("method", "which method has it", HTTP_METHODS),
    Text("path", "how does its path start", PATH_PATTERN),
    YesNo("may_be_repeated", "may this call be repeated"),
)
SERVICE_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("name", "what is the service called", NAME_PATTERN),
    Number("answers_within_s", "how long may an answer take", 0.1, 600),
    Group("calls", "which calls does it take", CALL_QUESTIONS),
)
SENDER_QUESTIONS: Final[tuple[Question, ...]] = (
    Text("name", "who sends work", NAME_PATTERN),
    Text("key_hash", "what is the hash of the sender's key", KEY_HASH_PATTERN),
    Number("tokens_per_minute", "how many tokens a minute", 1, 10_000_000_000),
    Number("at_once", "how many requests at once", 1, 100_000),
    YesNo("large", "does it need more than one entry", optional=True),
)
QUESTIONNAIRE: Final[tuple[Question, ...]] = (
    Group("work", "what is the work", WORK_QUESTIONS, is_list=False),
    Group("models", "which models answer", MODEL_QUESTIONS),
    Group("kinds", "which kinds of work are there", KIND_QUESTIONS),
    Group(
        "services", "which plain services are used", SERVICE_QUESTIONS, optional=True
    ),
    Group("senders", "who sends work and how much", SENDER_QUESTIONS),
)
