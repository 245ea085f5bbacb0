"""Define the constants of limits."""

from typing import Final

BURST_S: Final = 4.0
DEMAND_WINDOW_S: Final = 2.0
MIN_RETRY_AFTER_S: Final = 0.1
CONCURRENCY_RETRY_AFTER_S: Final = 0.5
RETRY_CREDIT_PER_REQUEST: Final = 0.05
RETRY_CREDIT_MAX: Final = 10.0
