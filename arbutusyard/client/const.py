"""Define the constants of the caller library."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 0.5
READ_TIMEOUT_S: Final = 10.0
CALL_TIMEOUT_S: Final = 30.0
DEFAULT_RETRIES: Final = 5
DEFAULT_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 5.0
POOL_SIZE: Final = 32
