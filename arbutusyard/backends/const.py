"""Define the constants of backend servers."""

from typing import Final

ROLE_ENGINE: Final = "engine"
ROLE_SERVICE: Final = "service"

POLL_INTERVAL_S: Final = 0.25
POLLS_PER_S_MAX: Final = 40.0
POLL_TIMEOUT_S: Final = 1.0
POLL_FAILURES_TO_DOWN: Final = 2
LIST_INTERVAL_S: Final = 1.0
LIST_READS_PER_S_MAX: Final = 20.0

CONNECT_TIMEOUT_S: Final = 0.5
STALL_TIMEOUT_S: Final = 2.0
ORDER_TIMEOUT_S: Final = 1.0
STREAM_CONNECTIONS_MAX: Final = 512
READ_BYTES: Final = 65_536
