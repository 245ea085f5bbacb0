"""Define the constants of the client library."""

from typing import Final

# Maximum time to connect to an entry, in seconds.
CONNECT_TIMEOUT_S: Final = 0.5
# Maximum time without a byte of an answer, in seconds.
READ_TIMEOUT_S: Final = 10.0
# Maximum time without a byte of a plain service's answer, in seconds.
CALL_TIMEOUT_S: Final = 30.0
# Default number of retries of a request.
DEFAULT_RETRIES: Final = 5
# Wait before a retry when the answer states none, in seconds.
DEFAULT_RETRY_AFTER_S: Final = 0.2
# Maximum wait before a retry, in seconds.
MAX_RETRY_AFTER_S: Final = 5.0
# Maximum number of idle connections kept per entry.
POOL_SIZE: Final = 32
