"""Errors of messages between processes."""

from arbutusyard.exceptions import ArbutusyardError


class RpcError(ArbutusyardError):
    """Base class of failed messages between processes."""


class MessageRejected(RpcError):
    """The message has an invalid keyed hash or format, or is outdated or a replay."""


class PeerUnreachable(RpcError):
    """Another process did not answer a call."""
