"""Define what nodes know and report about segments and requests that crash servers."""

from typing import Annotated

from msgspec import Meta, Struct, field

# A number that arithmetic and comparisons can handle; a received NaN or infinity is
# rejected.
Finite = Annotated[float, Meta(ge=-1e18, le=1e18)]

# The keys of segments, in the order of their prompt, and of the whole request.
Keys = tuple[bytes, ...]
# The server id and the start in ms that identify an incarnation of a server.
Incarnation = tuple[str, int]


class CrashedRequest(Struct, frozen=True, array_like=True):
    """Hold the segments of a request, as far as not sound, at a server's crash.

    `first` is the prompt's first segment. `begun` tells that the server had begun the
    answer and not yet sent an event, or may have begun one that has none.
    """

    keys: Keys
    begun: bool
    first: bytes


class CrashReport(Struct, frozen=True, array_like=True):
    """Report the requests of one node that may have crashed a server."""

    server_id: str
    started_at_ms: int
    requests: tuple[CrashedRequest, ...]
    age_s: Finite = 0.0


class SoundReport(Struct, frozen=True, array_like=True):
    """Report how many seconds ago the newest answer on a segment came."""

    key: bytes
    age_s: Finite


class QuarantineReport(Struct, frozen=True, array_like=True):
    """Report quarantined segments; the times are counted back and on from now."""

    keys: Keys
    crashes: int
    age_s: Finite
    left_s: Finite
    duration_s: Finite


class QuarantineNews(Struct, frozen=True, array_like=True):
    """Hold what one node reports to the others."""

    crashes: tuple[CrashReport, ...] = ()
    sound: tuple[SoundReport, ...] = ()
    quarantined: tuple[QuarantineReport, ...] = ()


class Crash(Struct):
    """Hold the requests that may have crashed an incarnation, and who reported them."""

    at: float
    requests: dict[Keys, bool] = field(default_factory=dict)
    first_keys: set[bytes] = field(default_factory=set)
    reporters: set[str] = field(default_factory=set)


class Quarantine(Struct):
    """Hold why and for how long segments are quarantined; times in seconds."""

    since: float
    until: float
    duration_s: float
    crashes: int
    # Incarnations that crashed, as far as this node knows them.
    servers: tuple[str, ...] = ()
    reporters: tuple[str, ...] = ()


class Sound(Struct, frozen=True):
    """Nothing speaks against a prompt."""


class Suspect(Struct, frozen=True):
    """A segment of a prompt, or the whole request, may have crashed a server.

    After waiting, requests with it all go to the same server until one is answered, if
    it was begun when a server crashed. Else there are many like it.
    """

    key: bytes
    wait_s: float = 0.0
    begun: bool = True


class Quarantined(Struct, frozen=True):
    """Segments of a prompt are quarantined."""

    keys: Keys
    left_s: float
    quarantine: Quarantine


Judgement = Sound | Suspect | Quarantined
