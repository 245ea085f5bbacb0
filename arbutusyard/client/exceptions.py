"""Errors of the client library."""

from arbutusyard.entry.models import ErrorDetail
from arbutusyard.exceptions import ArbutusyardError


class ClientError(ArbutusyardError):
    """Base class of failed calls."""


class Unreachable(ClientError):
    """No entry could be reached, or one did not answer and the request may have run."""


class StreamBroken(ClientError):
    """The answer could not be completed."""


class CallFailed(ClientError):
    """The system answered the call with an error."""

    def __init__(self, status: int, detail: ErrorDetail) -> None:
        super().__init__(f"{detail.code}: {detail.message}")
        self.status = status
        self.detail = detail
