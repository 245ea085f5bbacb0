"""Define the constants of rolling weights out."""

from typing import Final

LEASE_GROUP: Final = "weights"
# Part of the lease that the holder does not use, and the longest that an order of
# its may be under way.
LEASE_MARGIN_S: Final = 0.4
ORDER_DELIVERY_S: Final = 0.4
# Without work the node that leads tries for the lease so often until it has it.
EARLY_LEASE_S: Final = 1.0
# Nodes whose times since their start differ by less count as equally old, so that
# those that were just restarted do not come first.
UP_STEP_S: Final = 8.0
STEP_S: Final = 0.1
# Part of a service's usable engines that may load at a time; the others must carry
# all requests meanwhile.
LOADS_AT_ONCE_FRACTION: Final = 0.4
# While prompts wait so long on average, fewer engines load at a time: at least so many,
# and as many as bring all to the new weights within a part of the time allowed.
BUSY_WAIT_S: Final = 0.08
BUSY_LOADS_FRACTION: Final = 0.2
ROLL_OUT_FRACTION: Final = 0.6
# Weight of the newest load in the learned time that an engine is out of use for one.
OUT_OF_USE_WEIGHT: Final = 0.3
# An engine's runs get so long to end before it is ordered to load, and prompts that
# wait there so long to begin, since an order would turn them away.
DRAIN_S: Final = 0.5
DRAIN_WAITING_MAX_S: Final = 2.5
# Part of the time in which old weights must be gone that prompts may hold a load up.
DRAIN_WAITING_FRACTION: Final = 0.2
DRAIN_STEP_S: Final = 0.02
# Time of a load, until loads teach better; and when it is given up.
LOAD_S: Final = 0.5
LOAD_MAX_S: Final = 8.0
LOAD_STEP_S: Final = 0.15
# Other nodes keep away from an engine so long beyond a load's expected time.
LOADING_SLACK_S: Final = 0.6
# Notes about engines are repeated so long, since datagrams may be lost.
STATUS_KEEP_S: Final = 2.0
RETRY_S: Final = 0.5
