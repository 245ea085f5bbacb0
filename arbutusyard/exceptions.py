"""Define the base of all errors of the package."""


class ArbutusyardError(Exception):
    """Represent any error that the package raises on purpose."""


class SetupFailed(ArbutusyardError):
    """Report that a component could not start."""


class EventLoopUnsupported(SetupFailed):
    """Report an event loop that the platform does not allow."""
