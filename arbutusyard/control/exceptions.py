"""Errors of the control daemon."""

from arbutusyard.exceptions import ArbutusyardError


class ControlError(ArbutusyardError):
    """Base class of the control daemon's errors."""


class LeaseLost(ControlError):
    """The lease is not held for long enough to act."""
