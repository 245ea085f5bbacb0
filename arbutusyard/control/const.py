"""Define the constants of the control daemon."""

from typing import Final

PATH_ATTACH: Final = "/arbutusyard.Control/Attach"
PATH_PULL: Final = "/arbutusyard.Peer/Pull"

FAN_OUT_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 0.5
ATTACH_RETRY_S: Final = 0.1
ENTRY_SILENT_S: Final = 2.0
PULL_INTERVAL_S: Final = 0.5
DEMAND_CHANGE_RATIO: Final = 0.2
DEMAND_INTERVAL_S: Final = 1.0

TABLE_LEASES: Final = "leases"
LEASE_S: Final = 6.0
LEASE_RENEW_S: Final = 1.5
LEASE_MARGIN_S: Final = 1.5
DELIVERY_MAX_S: Final = 2.0
LEASE_OBSERVERS: Final = 3
ORDER_INTERVAL_S: Final = 0.3
LOADS_AT_ONCE: Final = 2
ORDER_REPEAT_S: Final = 3.0
