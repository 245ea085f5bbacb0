"""Define the constants of metrics."""

from typing import Final

ATTR_ACCOUNT: Final = "account"
ATTR_CLASS: Final = "work_class"
ATTR_REASON: Final = "reason"
ATTR_OUTCOME: Final = "outcome"

ACCOUNT_OTHER: Final = "other"
ACCOUNTS_MAX: Final = 64
CLASSES_MAX: Final = 8

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
