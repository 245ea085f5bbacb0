"""Define the base classes of the package's errors."""


class ArbutusyardError(Exception):
    """Represent any error that the package raises."""


class SetupFailed(ArbutusyardError):
    """Report that a component could not start."""


class EventLoopUnsupported(SetupFailed):
    """Report that the event loop is not one that the platform allows."""
