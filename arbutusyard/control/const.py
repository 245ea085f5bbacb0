"""Define the constants of the control daemon."""

from typing import Final

# RPC methods that entries (Attach) and peers (Pull) call.
PATH_ATTACH: Final = "/arbutusyard.Control/Attach"
PATH_PULL: Final = "/arbutusyard.Peer/Pull"

# Interval between checks for changes to send to an attached entry, in seconds.
FAN_OUT_INTERVAL_S: Final = 0.25
# Interval between the reports of an entry, in seconds.
REPORT_INTERVAL_S: Final = 0.5
# Delay before an entry attaches again after its stream has failed, in seconds.
ATTACH_RETRY_S: Final = 0.1
# Time without a report after which an entry is no longer published, in seconds.
ENTRY_TIMEOUT_S: Final = 2.0
# Interval between checks whether to pull from a peer, in seconds.
PULL_INTERVAL_S: Final = 0.5
# Relative change of an account's demand above which it is published.
DEMAND_CHANGE_RATIO: Final = 0.2
# Maximum interval between checks for demand to publish, in seconds.
DEMAND_INTERVAL_S: Final = 1.0

TABLE_LEASES: Final = "leases"
# Duration of a lease, in seconds.
LEASE_S: Final = 6.0
# Interval between renewals of a lease, in seconds.
LEASE_RENEW_S: Final = 1.5
# Margin by which a holder stops using its lease before the lease ends, in seconds.
LEASE_MARGIN_S: Final = 1.5
# Maximum delivery time of an order to an engine, in seconds.
DELIVERY_MAX_S: Final = 2.0
# Number of nodes that try to acquire the lease of a model group.
LEASE_CANDIDATES: Final = 3
# Interval between checks for engines that need an order, in seconds.
ORDER_INTERVAL_S: Final = 0.3
# Maximum number of engines of a model group that load weights at the same time.
MAX_CONCURRENT_LOADS: Final = 2
# Minimum interval between orders to the same engine, in seconds.
ORDER_RETRY_INTERVAL_S: Final = 3.0
