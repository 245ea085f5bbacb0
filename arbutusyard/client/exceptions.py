"""Define the errors of the client library."""

from arbutusyard.entry.models import ErrorDetail
from arbutusyard.exceptions import ArbutusyardError


class ClientError(ArbutusyardError):
    """Represent any failed call."""


class Unreachable(ClientError):
    """Report that no entry could be reached, or that one did not answer.

    In the second case, the request may have run.
    """


class StreamBroken(ClientError):
    """Report that the answer could not be completed."""


class CallFailed(ClientError):
    """Report that the system answered the call with an error."""

    def __init__(self, status: int, detail: ErrorDetail) -> None:
        super().__init__(f"{detail.code}: {detail.message}")
        self.status = status
        self.detail = detail
