"""Define the errors of the control daemon."""

from arbutusyard.exceptions import ArbutusyardError


class ControlError(ArbutusyardError):
    """Represent any error of the control daemon."""


class LeaseLost(ControlError):
    """Report that the lease is not held for long enough to act."""
