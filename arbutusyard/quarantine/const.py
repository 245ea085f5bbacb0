"""Define the constants of the quarantine."""

from typing import Final

# Sizes of the keys of a segment and of a whole request, in bytes.
KEY_BYTES: Final = 8
REQUEST_KEY_BYTES: Final = 12

# Number of crashes just as an answer on a segment began, and number of crashes while
# answers on it were awaited, after which the segment is quarantined. A single crash may
# be a coincidence.
BEGUN_CRASHES: Final = 2
AWAITED_CRASHES: Final = 3
# Additional crashes before the first of several segments is quarantined: many callers
# share it.
SHARED_CRASHES: Final = 2

# Time after the first event of an answer from which the server counts as having begun
# it unharmed, in seconds.
BEGIN_S: Final = 0.1
# Time after a crash in which the nodes exchange what they know of it, in seconds. Until
# then no segment is quarantined for it, and requests with suspect segments wait.
SETTLE_S: Final = 0.05
# Time after a server was reached in which a broken attempt does not make a node check
# whether it crashed, in seconds.
CRASH_CHECK_INTERVAL_S: Final = 0.25
# Time within which crashes count once against a whole request, in seconds. Alike
# requests run on several servers, which may crash together for another reason.
TOGETHER_S: Final = 0.05
# Time for which an answer on a segment proves that the segment is sound, in seconds.
SOUND_S: Final = 10.0
# Time for which a crash counts as evidence, in seconds.
EVIDENCE_S: Final = 600.0
# First and maximum time until a quarantined segment is tried again, in seconds. The
# time doubles with each trial that crashes a server.
QUARANTINE_FIRST_S: Final = 30.0
QUARANTINE_MAX_S: Final = 3600.0
# Maximum Retry-After of a quarantined request, in seconds.
RETRY_AFTER_MAX_S: Final = 60.0

# Maximum number and size in bytes of answered requests that a node remembers, to find
# out after a crash which requests are sound.
RECENT_MAX: Final = 256
RECENT_BYTES_MAX: Final = 1_048_576
# Maximum numbers of sound segments, of crashes, of requests in one crash and of
# quarantined segments that a node remembers; the oldest are forgotten.
SOUND_MAX: Final = 4096
CRASHES_MAX: Final = 64
CRASH_REQUESTS_MAX: Final = 64
# Maximum number of requests in one crash with those that were begun, mostly few.
CRASH_BEGUN_MAX: Final = 256
QUARANTINED_MAX: Final = 256
# Maximum number of segments of one request that are considered, the last ones.
SEGMENTS_MAX: Final = 8

# Number of heartbeats that repeat a crash or that a segment is sound, since datagrams
# may be lost.
NEWS_HEARTBEATS: Final = 3
# Maximum numbers of crashes, of sound segments and of quarantined segments in one
# heartbeat or update; of the quarantined ones, further ones follow in the next.
NEWS_CRASHES_MAX: Final = 4
NEWS_SOUND_MAX: Final = 64
NEWS_QUARANTINED_MAX: Final = 16
# Maximum number of sound segments that a node reports at a time; further ones wait
# until another node asks again.
SOUND_NEWS_MAX: Final = 256
# Minimum time until a node repeats that a segment is sound, in seconds.
SOUND_NEWS_INTERVAL_S: Final = 1.0
