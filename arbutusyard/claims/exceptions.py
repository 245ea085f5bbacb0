"""Errors of dispatching a claimed request."""

from arbutusyard.exceptions import ArbutusyardError


class ClaimError(ArbutusyardError):
    """Base class of errors of a claimed request."""


class DispatchNotSent(ClaimError):
    """The request was not sent to a backend server, so it did not run."""


class DispatchOutcomeUnknown(ClaimError):
    """The request was sent but its answer was lost, so it may have run."""
