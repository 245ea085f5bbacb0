"""Define the errors of the platform client."""

from arbutusyard.exceptions import ArbutusyardError


class PlatformError(ArbutusyardError):
    """Represent any failure of a platform call."""


class PlatformUnavailable(PlatformError):
    """Report a call that had no effect because it never reached the platform."""


class PlatformUnsettled(PlatformError):
    """Report a call whose effect is unknown because its answer was lost."""
