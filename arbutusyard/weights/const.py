"""Define the constants of rolling weights out."""

from typing import Final

LEASE_GROUP: Final = "weights"
# Safety margin at the end of the lease that its holder does not use, in seconds.
LEASE_MARGIN_S: Final = 0.4
# Maximum time that an order may take to reach its server, in seconds.
ORDER_DELIVERY_MAX_S: Final = 0.4
# Interval between attempts to acquire the lease before any engine has to load, in
# seconds.
EARLY_LEASE_INTERVAL_S: Final = 1.0
# Difference in uptime up to which nodes rank as equal, in seconds, so that nodes that
# have just restarted do not come first.
UPTIME_STEP_S: Final = 8.0
# Maximum interval between two planning rounds, in seconds.
PLAN_INTERVAL_S: Final = 0.1
# Fraction of a service's usable engines that may load at a time; the others must serve
# all requests meanwhile.
CONCURRENT_LOADS_FRACTION: Final = 0.4
# Mean wait of prompts per engine above which fewer engines load at a time, in seconds.
BUSY_WAIT_S: Final = 0.08
# Minimum fraction of the usable engines that may load at a time while prompts wait.
BUSY_LOADS_MIN_FRACTION: Final = 0.2
# Fraction of the roll-out's time limit within which all engines have the new weights
# while prompts wait.
ROLL_OUT_FRACTION: Final = 0.6
# Weight of the latest load in the average time that a load takes an engine out of use.
DOWNTIME_WEIGHT: Final = 0.3
# Time that an engine's runs get to end before it is ordered to load, in seconds.
DRAIN_RUNS_MAX_S: Final = 0.5
# Maximum time that prompts waiting at an engine get to begin before it is ordered to
# load, in seconds, since the order would turn them away.
DRAIN_PROMPTS_MAX_S: Final = 2.5
# Fraction of the roll-out's time limit for which waiting prompts may delay a load.
DRAIN_PROMPTS_FRACTION: Final = 0.2
# Interval at which a draining engine's load is checked, in seconds.
DRAIN_POLL_S: Final = 0.02
# Expected time of a load until loads have been timed, in seconds.
INITIAL_LOAD_TIME_S: Final = 0.5
# Time after which a load is given up, in seconds.
LOAD_TIMEOUT_S: Final = 8.0
# Interval between reads of a loading engine's report, in seconds.
REPORT_POLL_S: Final = 0.15
# Time beyond a load's expected end for which other nodes avoid the engine, in seconds.
LOADING_SLACK_S: Final = 0.6
# Time for which an engine's status is repeated in heartbeats, in seconds, since
# datagrams may be lost.
STATUS_REPEAT_S: Final = 2.0
# Delay before an engine is ordered again after a failed load or order, in seconds.
RETRY_DELAY_S: Final = 0.5
# Number of calls to an engine that an unanswered order takes: the order and two reads
# of the report.
UNANSWERED_CALLS: Final = 3
# Maximum pause after reports of an engine that could not be read, in seconds; it starts
# at RETRY_DELAY_S and doubles. The engine gets its weights in time once it can be read.
REPORT_PAUSE_MAX_S: Final = 2.0
# Number of consecutive failures after which they are no longer counted.
REPORT_FAILURES_MAX: Final = 8
