"""Define the constants of the limits."""

from typing import Final

# Capacity of a token bucket, in seconds of its rate.
BURST_S: Final = 4.0
# Time constant of the exponential decay of measured demand, in seconds.
DEMAND_WINDOW_S: Final = 2.0
# Minimum Retry-After of a refused request, in seconds.
MIN_RETRY_AFTER_S: Final = 0.1
# Retry-After of a request beyond the concurrency limit, in seconds.
CONCURRENCY_RETRY_AFTER_S: Final = 0.5
# Credit that the first attempt of a request earns, in retries.
RETRY_CREDIT_PER_REQUEST: Final = 0.05
# Maximum and initial credit, in retries.
RETRY_CREDIT_MAX: Final = 10.0
