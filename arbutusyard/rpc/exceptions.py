"""Define the errors of messages between processes."""

from arbutusyard.exceptions import ArbutusyardError


class RpcError(ArbutusyardError):
    """Represent any failure of a message between processes."""


class MessageRejected(RpcError):
    """Report a message whose keyed hash, age or shape is wrong."""


class PeerUnreachable(RpcError):
    """Report a call that another process did not answer."""
