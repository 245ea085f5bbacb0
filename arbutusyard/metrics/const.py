"""Define attribute names, limits and intervals of metrics."""

from typing import Final

ATTR_ACCOUNT: Final = "account"
ATTR_CLASS: Final = "work_class"
ATTR_REASON: Final = "reason"
ATTR_OUTCOME: Final = "outcome"
ATTR_RESULT: Final = "result"

# Label shared by the accounts beyond MAX_ACCOUNT_LABELS.
OTHER_ACCOUNTS_LABEL: Final = "other"
MAX_ACCOUNT_LABELS: Final = 64
MAX_CLASS_LABELS: Final = 8

# Bucket bounds of latency histograms, in seconds.
LATENCY_BOUNDS_S: Final = (
    0.005,
    0.01,
    0.02,
    0.042,
    0.08,
    0.15,
    0.3,
    0.6,
    1.1,
    2.0,
    5.0,
    10.0,
    30.0,
)
EXPORT_INTERVAL_MS: Final = 15_000
EXPORT_TIMEOUT_MS: Final = 5_000
