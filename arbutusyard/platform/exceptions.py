"""Define the errors of the platform client."""

from arbutusyard.exceptions import ArbutusyardError


class PlatformError(ArbutusyardError):
    """Represent any failure of a platform call."""


class PlatformUnavailable(PlatformError):
    """Report a call that had no effect because it never reached the platform."""


class PlatformUnsettled(PlatformError):
    """Report a call whose effect is unknown because its answer was lost."""


class ConnectFailed(ArbutusyardError):
    """Report that no connection could be opened, so that nothing was sent."""


class CallUnsettled(ArbutusyardError):
    """Report a call that was sent, at least in part, and got no whole answer."""


class HistoryGone(PlatformError):
    """Report that the store no longer has the changes since a version."""


class WireError(ArbutusyardError):
    """Report bytes from outside that do not say what they should."""
