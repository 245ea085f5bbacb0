"""Define the origins of streams, and their form in datagrams and rows."""

from typing import Annotated, Final

from msgspec import Meta, Struct

from arbutusyard.quarantine.models import Finite

Digest = Annotated[bytes, Meta(max_length=16)]
Text = Annotated[str, Meta(max_length=200)]

# Stands for any version, where an id belongs to streams of several or a list of
# versions can't be read; no version has a control character.
AMBIGUOUS: Final = "\0"


class Began(Struct, frozen=True):
    """Name the service and the software version that began a stream.

    `source` tells where that was learned, for the logs.
    """

    service: str
    version: str
    source: str


class UnknownOrigin(Struct, frozen=True):
    """State why the version that began a stream cannot be proven.

    `is_final` is False if it may be known later or elsewhere.
    """

    reason: str
    is_final: bool


Origin = Began | UnknownOrigin


class OriginBatch(Struct, frozen=True, array_like=True):
    """Hold streams that one version of a service began.

    `left_s` is the time in seconds for which they may be resumed.
    """

    service: Text
    version: Text
    left_s: Finite
    digests: tuple[Digest, ...]


class VersionSpan(Struct, frozen=True, array_like=True):
    """Hold when a software version began and ceased to serve, by the store's clock.

    Both in seconds; `ended_s` is None while it serves.
    """

    version: Text
    began_s: Finite
    ended_s: Finite | None = None


class SoftwareRow(Struct, frozen=True):
    """Hold a service's row in the store: its versions."""

    versions: tuple[VersionSpan, ...]


class OriginRow(Struct, frozen=True):
    """Hold a keeper's row in the store: the origins of a time, by the store's clock."""

    began_s: Finite
    batches: tuple[OriginBatch, ...]
