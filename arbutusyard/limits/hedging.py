"""Decide from measured service times whether a second request pays.

Kim, Righter and Wolff, "Job Replication on Multiserver Systems": replicate when
service times are new worse than used, not at all when they are new better than used.
"""

from collections.abc import Sequence
from typing import Final

MIN_SAMPLES: Final = 200
MIN_GAIN: Final = 1.5


def hedge_pays(times: Sequence[float], age_s: float) -> bool:
    """Tell whether the mean residual time at an age exceeds a fresh try by far."""
    older = [time - age_s for time in times if time > age_s]
    if len(times) < MIN_SAMPLES or not older:
        return False
    fresh_s = sum(times) / len(times)
    residual_s = sum(older) / len(older)
    return residual_s > MIN_GAIN * fresh_s
