"""Decide from measured service times whether a hedged (second) request pays off.

Kim, Righter and Wolff, "Job Replication on Multiserver Systems": replicate when
service times are new worse than used, not at all when they are new better than used.
"""

from collections.abc import Sequence
from typing import Final

# Minimum number of measured service times for a decision.
MIN_SAMPLES: Final = 200
# Minimum ratio of the mean residual time to the mean time of a new request.
MIN_GAIN: Final = 1.5


def hedge_pays(times: Sequence[float], age_s: float) -> bool:
    """Return whether a request of this age has far more time left than a new one needs.

    Compares the mean residual service time at that age with the mean service time.
    """
    older = [time - age_s for time in times if time > age_s]
    if len(times) < MIN_SAMPLES or not older:
        return False
    fresh_s = sum(times) / len(times)
    residual_s = sum(older) / len(older)
    return residual_s > MIN_GAIN * fresh_s
