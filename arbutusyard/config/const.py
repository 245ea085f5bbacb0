"""Define the constants of the configuration store."""

from typing import Final

TABLE_CONFIG: Final = "config"
TABLE_HISTORY: Final = "config_history"
TABLE_ANSWERS: Final = "answers"
KEY_HEAD: Final = "head"
KEY_CURRENT: Final = "current"
OBJECT_PREFIX: Final = "config/"

READ_BACK_TRIES: Final = 6
MAX_DELTAS_READ: Final = 16
MAX_DELTAS_KEPT: Final = 64
POLL_INTERVAL_S: Final = 1.0
READS_PER_S_MAX: Final = 20.0
