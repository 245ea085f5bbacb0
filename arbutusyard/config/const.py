"""Define the constants of the configuration store."""

from typing import Final

TABLE_CONFIG: Final = "config"
TABLE_HISTORY: Final = "config_history"
TABLE_ANSWERS: Final = "answers"
KEY_HEAD: Final = "head"
KEY_CURRENT: Final = "current"
OBJECT_PREFIX: Final = "config/"

# Maximum number of attempts to commit a change while its outcome is unknown.
COMMIT_ATTEMPTS: Final = 6
# Maximum number of deltas read to catch up; beyond it the whole configuration is read.
MAX_DELTAS_READ: Final = 16
# Maximum number of deltas that a node caches for its entries and peers.
MAX_DELTAS_CACHED: Final = 64
# Minimum interval between polls of the platform by one node, in seconds.
POLL_INTERVAL_S: Final = 1.0
# Maximum rate of polls by all nodes together, in reads per second.
READS_PER_S_MAX: Final = 20.0
