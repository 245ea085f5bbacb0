"""Define the errors of the caller library."""

from arbutusyard.entry.models import ErrorDetail
from arbutusyard.exceptions import ArbutusyardError


class ClientError(ArbutusyardError):
    """Represent any failure of a call."""


class Unreachable(ClientError):
    """Report that no entry could be reached; the request was not run."""


class StreamBroken(ClientError):
    """Report an answer that could not be completed."""


class CallFailed(ClientError):
    """Report the system's final answer to a call that failed."""

    def __init__(self, status: int, detail: ErrorDetail) -> None:
        super().__init__(f"{detail.code}: {detail.message}")
        self.status = status
        self.detail = detail
