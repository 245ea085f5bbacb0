"""Errors of calls to the platform and to backend servers' own interfaces."""

from arbutusyard.exceptions import ArbutusyardError


class PlatformError(ArbutusyardError):
    """Base class of failed calls to the platform."""


class PlatformUnavailable(PlatformError):
    """The call had no effect: the platform was unreachable or refused it."""


class PlatformOutcomeUnknown(PlatformError):
    """The call may have had an effect: no valid answer to it arrived."""


class ConnectFailed(ArbutusyardError):
    """No connection could be opened, so nothing was sent."""


class CallOutcomeUnknown(ArbutusyardError):
    """The request was sent, at least in part, and got no complete answer."""


class HistoryUnavailable(PlatformError):
    """The store no longer has all changes since a version."""


class MalformedRow(ArbutusyardError):
    """The value of a stored row is malformed."""
