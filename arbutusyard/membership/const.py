"""Define the constants of membership."""

from typing import Final

PROBE_INTERVAL_S: Final = 0.5
PROBE_INTERVAL_LARGE_S: Final = 1.0
LARGE_MEMBER_COUNT: Final = 32
PROBE_TIMEOUT_S: Final = 0.25
INDIRECT_PROBES: Final = 3
SUSPECT_TIMEOUT_S: Final = 2.0
DEAD_PROBE_EVERY: Final = 8
FORGET_DEAD_S: Final = 120.0
LEAVE_ROUNDS: Final = 3

MAX_DATAGRAM_BYTES: Final = 1200
MAX_DATAGRAM_LARGE_BYTES: Final = 600
MAX_DEMANDS: Final = 16
