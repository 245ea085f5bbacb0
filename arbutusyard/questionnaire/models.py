"""Define the kinds of question, the checked answers and wrong answers."""

from dataclasses import dataclass

from msgspec import Struct


@dataclass(frozen=True, slots=True)
class Text:
    """Ask for text that matches a pattern."""

    name: str
    asks: str
    pattern: str
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """Ask for one of several words."""

    name: str
    asks: str
    allowed: tuple[str, ...]
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Number:
    """Ask for a number within bounds."""

    name: str
    asks: str
    least: float
    most: float
    optional: bool = False


@dataclass(frozen=True, slots=True)
class YesNo:
    """Ask for true or false."""

    name: str
    asks: str
    optional: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """Ask for one table of answers, or for a list of them."""

    name: str
    asks: str
    questions: tuple["Question", ...]
    many: bool = True
    optional: bool = False


Question = Text | Choice | Number | YesNo | Group


class WrongAnswer(Struct, frozen=True):
    """Name a question, the value that was given and what is allowed."""

    question: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.question}: {self.value} is given, allowed is {self.allowed}"


class Work(Struct, frozen=True):
    """Hold the answers about the work as a whole."""

    name: str
    region: str
    weighs_most: str


class ModelAnswer(Struct, frozen=True):
    """Hold the answers about one model."""

    name: str
    weights: str


class Kind(Struct, frozen=True):
    """Hold the answers about one kind of work."""

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
    """Hold checked answers."""

    work: Work
    models: tuple[ModelAnswer, ...]
    kinds: tuple[Kind, ...]
    senders: tuple[Sender, ...]
    services: tuple[ServiceAnswer, ...] = ()
