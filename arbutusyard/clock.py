"""Read the clocks; functions that decide take the time as an argument."""

import time


def now() -> float:
    """Return the time since boot in seconds, which counts a suspended VM's time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall time in milliseconds; it names incarnations."""
    return time.time_ns() // 1_000_000
