"""Define the errors of messages between processes."""

from arbutusyard.exceptions import ArbutusyardError


class RpcError(ArbutusyardError):
    """Represent any failed message between processes."""


class MessageRejected(RpcError):
    """Report an outdated or replayed message, or an invalid keyed hash or format."""


class PeerUnreachable(RpcError):
    """Report that another process did not answer a call."""
