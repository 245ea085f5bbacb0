"""Read the clocks of the process.

Functions that make decisions don't read a clock; they take the time as an argument.
"""

import time


def now() -> float:
    """Return the time since boot in seconds, including time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall time in milliseconds, which identifies incarnations."""
    return time.time_ns() // 1_000_000
