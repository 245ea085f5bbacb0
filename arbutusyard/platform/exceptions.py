"""Define the errors of calls to the platform and backend servers' own interfaces."""

from arbutusyard.exceptions import ArbutusyardError


class PlatformError(ArbutusyardError):
    """Represent any failed call to the platform."""


class PlatformUnavailable(PlatformError):
    """Report that a call had no effect: the platform was unreachable or refused it."""


class PlatformOutcomeUnknown(PlatformError):
    """Report that a call may have had an effect: no valid answer to it arrived."""


class PlatformAnswerInvalid(PlatformOutcomeUnknown):
    """Report that the other end is reachable but what it sent is no valid answer."""


class ConnectFailed(ArbutusyardError):
    """Report that no connection could be opened, so nothing was sent."""


class CallOutcomeUnknown(ArbutusyardError):
    """Report that a request was sent, at least in part, and got no complete answer."""


class AnswerInvalid(CallOutcomeUnknown):
    """Report that what was sent as the answer is malformed or too large."""


class HistoryUnavailable(PlatformError):
    """Report that the store no longer has all changes since a version."""


class MalformedRow(ArbutusyardError):
    """Report that the value of a stored row is malformed."""
