"""Define the errors of dispatching a claimed request."""

from arbutusyard.exceptions import ArbutusyardError


class ClaimError(ArbutusyardError):
    """Represent any error of a claimed request."""


class DispatchNeverLeft(ClaimError):
    """Report a dispatch that never reached a backend server."""


class DispatchUnsettled(ClaimError):
    """Report a dispatch whose answer was lost."""
