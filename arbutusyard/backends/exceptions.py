"""Define the errors of calls to backend servers."""

from arbutusyard.exceptions import ArbutusyardError


class BackendError(ArbutusyardError):
    """Represent any failed call to a backend server."""


class BackendUnreachable(BackendError):
    """Report that the request was not sent, so it did not run."""


class BackendRefused(BackendError):
    """Report a backend server's own statement that it did not run the request."""

    def __init__(self, backend: str, code: str) -> None:
        super().__init__(f"backend server {backend!r} refused: {code}")
        self.code = code


class BackendAnswerLost(BackendError):
    """Report a missing or interrupted answer; the request may have run."""


class AnswerMismatched(BackendAnswerLost):
    """Report that the answer belongs to a different request, incarnation or version."""


class OrderRefused(BackendError):
    """Report that an engine refused an order because its fencing token is outdated."""
