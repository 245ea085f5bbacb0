"""Define the constants of the membership protocol."""

from typing import Final

# Time between probes, in seconds; the larger one applies above LARGE_MEMBER_COUNT.
PROBE_INTERVAL_S: Final = 0.5
PROBE_INTERVAL_LARGE_S: Final = 1.0
# Number of other members above which probes are slower and datagrams smaller.
LARGE_MEMBER_COUNT: Final = 32
# Time to wait for the answer to a ping, in seconds.
PROBE_TIMEOUT_S: Final = 0.25
# Number of members asked to ping a member that did not answer.
INDIRECT_PROBES: Final = 3
# Time after which a suspect member is declared dead, in seconds.
SUSPECT_TIMEOUT_S: Final = 2.0
# Number of probe rounds between pings to seeds and dead members; without a live member
# they are pinged in every round.
DEAD_PROBE_ROUNDS: Final = 8
# Time after which a dead member is removed, in seconds.
DEAD_RETENTION_S: Final = 120.0
# Number of times a draining node announces that it is leaving.
LEAVE_ANNOUNCEMENTS: Final = 3

# Maximum size of a datagram, in bytes; the smaller one applies above
# LARGE_MEMBER_COUNT.
MAX_DATAGRAM_BYTES: Final = 1200
MAX_DATAGRAM_LARGE_BYTES: Final = 600
# Maximum number of account demands in a member's record.
MAX_DEMANDS: Final = 16
