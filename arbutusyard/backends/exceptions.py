"""Define the errors of calls to backend servers."""

from arbutusyard.exceptions import ArbutusyardError


class BackendError(ArbutusyardError):
    """Represent any failure of a call to a backend server."""


class BackendUnreachable(BackendError):
    """Report a request that never left; it was not run."""


class BackendRefused(BackendError):
    """Report a backend server's own word that it did not run a request."""

    def __init__(self, backend: str, code: str) -> None:
        super().__init__(f"backend server {backend!r} refused: {code}")
        self.code = code


class BackendLost(BackendError):
    """Report an answer that broke off; whether the request ran is unknown."""


class AnswerMismatched(BackendLost):
    """Report an answer that belongs to another request, incarnation or version."""


class OrderRefused(BackendError):
    """Report an order that an engine refused for its fencing number."""
