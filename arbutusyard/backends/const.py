"""Define the constants of the communication with backend servers."""

from typing import Final

ROLE_ENGINE: Final = "engine"
ROLE_SERVICE: Final = "service"

# Minimum time between polls of a backend server's load, in seconds.
POLL_INTERVAL_S: Final = 0.25
# Maximum rate of a node's polls of all backend servers, in polls per second.
POLLS_PER_S_MAX: Final = 40.0
# Maximum wait for a load report, in seconds.
POLL_TIMEOUT_S: Final = 1.0
# Consecutive failed polls after which a backend server counts as down.
POLL_FAILURES_BEFORE_DOWN: Final = 2
# Minimum time between reads of the list of VMs, in seconds.
LIST_INTERVAL_S: Final = 1.0
# Maximum rate at which all members together read the list, in reads per second.
LIST_READS_PER_S_MAX: Final = 20.0

# Maximum time to connect to a backend server, in seconds.
CONNECT_TIMEOUT_S: Final = 0.5
# Maximum time without a byte of an answer, in seconds.
STALL_TIMEOUT_S: Final = 2.0
# Maximum wait for the answer to an order, in seconds.
ORDER_TIMEOUT_S: Final = 1.0
# Maximum number of idle connections kept per engine for answers.
STREAM_CONNECTIONS_MAX: Final = 512
# Maximum size of one read from an answer, in bytes.
READ_BYTES: Final = 65_536
