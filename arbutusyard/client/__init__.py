"""Provide a client library that behaves as the system requires of every client."""

from arbutusyard.client.client import Client
from arbutusyard.client.exceptions import (
    CallFailed,
    ClientError,
    StreamBroken,
    Unreachable,
)
from arbutusyard.client.models import Answer, ServiceReply

__all__ = [
    "Answer",
    "CallFailed",
    "Client",
    "ClientError",
    "ServiceReply",
    "StreamBroken",
    "Unreachable",
]
