"""Base classes of the package's errors."""


class ArbutusyardError(Exception):
    """Base class of all errors that the package raises."""


class SetupFailed(ArbutusyardError):
    """A component could not start."""


class EventLoopUnsupported(SetupFailed):
    """The event loop is not one that the platform allows."""
