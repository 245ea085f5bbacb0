"""Errors of calls to backend servers."""

from arbutusyard.exceptions import ArbutusyardError


class BackendError(ArbutusyardError):
    """Base class of failed calls to a backend server."""


class BackendUnreachable(BackendError):
    """The request was not sent, so it did not run."""


class BackendRefused(BackendError):
    """The backend server itself reported that it did not run the request."""

    def __init__(self, backend: str, code: str) -> None:
        super().__init__(f"backend server {backend!r} refused: {code}")
        self.code = code


class BackendAnswerLost(BackendError):
    """The answer is missing or was interrupted; the request may have run."""


class AnswerMismatched(BackendAnswerLost):
    """The answer belongs to a different request, incarnation or version."""


class OrderRefused(BackendError):
    """An engine refused an order because its fencing token is outdated."""
