"""Read the clocks; functions that decide take the time as an argument."""

import time


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


def wall_ms() -> int:
    """Return the wall time in milliseconds; it names incarnations."""
    return time.time_ns() // 1_000_000
