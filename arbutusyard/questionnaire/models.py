"""Define the types of question, the valid answers and wrong answers."""

from dataclasses import dataclass

from msgspec import Struct


@dataclass(frozen=True, slots=True)
class Text:
    """Describe a question answered with text that matches a pattern."""

    name: str
    description: str
    pattern: str
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """Describe a question answered with one of several words."""

    name: str
    description: str
    allowed: tuple[str, ...]
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Number:
    """Describe a question answered with a number within bounds."""

    name: str
    description: str
    minimum: float
    maximum: float
    optional: bool = False


@dataclass(frozen=True, slots=True)
class YesNo:
    """Describe a question answered with true or false."""

    name: str
    description: str
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """Describe a question answered with a table, or a list of tables."""

    name: str
    description: str
    questions: tuple["Question", ...]
    is_list: bool = True
    optional: bool = False


Question = Text | Choice | Number | YesNo | Group


class WrongAnswer(Struct, frozen=True):
    """Hold a question's name, the value that was given and what is allowed."""

    question: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.question}: {self.value} is given, allowed is {self.allowed}"


class Work(Struct, frozen=True):
    """Hold the answers about the workload as a whole."""

    name: str
    region: str
    weighs_most: str


class ModelAnswer(Struct, frozen=True):
    """Hold the answers about one model."""

    name: str
    weights: str


class Kind(Struct, frozen=True):
    """Hold the answers about one work class."""

    name: str
    urgency: str
    late_after_s: float
    useless_after_s: float
    usual: bool = False


class Call(Struct, frozen=True):
    """Hold the answers about one call of a plain service."""

    what: str
    method: str
    path: str
    may_be_repeated: bool


class ServiceAnswer(Struct, frozen=True):
    """Hold the answers about one plain service."""

    name: str
    answers_within_s: float
    calls: tuple[Call, ...]


class Sender(Struct, frozen=True):
    """Hold the answers about one client account."""

    name: str
    key_hash: str
    tokens_per_minute: int
    at_once: int
    large: bool = False


class Questionnaire(Struct, frozen=True):
    """Hold valid answers to all questions."""

    work: Work
    models: tuple[ModelAnswer, ...]
    kinds: tuple[Kind, ...]
    senders: tuple[Sender, ...]
    services: tuple[ServiceAnswer, ...] = ()
