"""Define the errors of an entry; each is the final response to a client."""

from arbutusyard.entry.models import OutcomeKind
from arbutusyard.exceptions import ArbutusyardError


class Refused(ArbutusyardError):
    """Report a refused request, with the status, code and outcome for its client."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        outcome: OutcomeKind = OutcomeKind.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class AnswerBroken(ArbutusyardError):
    """Report that no engine could continue a started answer."""
