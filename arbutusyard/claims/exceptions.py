"""Define the errors of dispatching a claimed request."""

from arbutusyard.exceptions import ArbutusyardError


class ClaimError(ArbutusyardError):
    """Represent any error of a claimed request."""


class DispatchNotSent(ClaimError):
    """Report that the request was not sent to a backend server, so it did not run."""


class DispatchOutcomeUnknown(ClaimError):
    """Report that the request was sent but its answer was lost, so it may have run."""
