"""Define the errors of relaying."""

from arbutusyard.exceptions import ArbutusyardError


class GatewayError(ArbutusyardError):
    """Represent any failure to serve a request."""


class CallerGone(GatewayError):
    """Report that the client closed its connection."""


class BadRequest(GatewayError):
    """Report that received bytes are not an acceptable request."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Overloaded(BadRequest):
    """Report that a request is refused because of what its client makes it hold."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None) -> None:
        super().__init__(status, reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotSent(GatewayError):
    """Report that no byte of a request reached a backend server."""


class Unreachable(NotSent):
    """Report that no connection to a backend server could be opened."""


class AnswerBroken(GatewayError):
    """Report that a request was sent but no complete and valid answer came."""


class AnswerLate(GatewayError):
    """Report that a request's deadline passed before its answer was complete."""


class AttemptLost(GatewayError):
    """Report that another attempt at the same request has begun its answer."""
