"""Define the constants of the limits."""

from typing import Final

# Capacity of a token bucket, in seconds of its rate.
BURST_S: Final = 4.0
# Time constant of the exponential decay of measured demand, in seconds.
DEMAND_WINDOW_S: Final = 2.0
# Minimum Retry-After of a refused request, in seconds.
MIN_RETRY_AFTER_S: Final = 0.1
# Retry-After of a request beyond the concurrency limit, in seconds.
CONCURRENCY_RETRY_AFTER_S: Final = 0.5
# Credit that the first attempt of a request earns, in retries.
RETRY_CREDIT_PER_REQUEST: Final = 0.05
# Maximum and initial credit, in retries.
RETRY_CREDIT_MAX: Final = 10.0

# Window in which the requests to a server with a limit are counted, in seconds, by the
# platform's specification.
LIMIT_WINDOW_S: Final = 4.0
# Time after the first statement of a limit from which it is enforced, in seconds, where
# the settings name none.
LIMIT_GRACE_S: Final = 3.0
# Time within which the nodes learn of a limit, in seconds: an answer's first byte and a
# datagram.
LIMIT_REACTION_S: Final = 0.3
# Requests that the platform's specification tolerates in a window: a multiple of what
# the limit allows, and a number of requests, here less a margin of 3.
LIMIT_TOLERANCE: Final = 1.5
LIMIT_TOLERANCE_REQUESTS: Final = 2
# Minimum number of nodes that share a server's limit; one more for each request per
# second of the limit. Each of them may send one request at any time, and all of these
# together stay within the burst that the platform's specification tolerates.
SHARING_NODES_MIN: Final = 3
# Capacity of each node's share of a limit, in seconds of its rate.
LIMIT_BURST_S: Final = 0.5
# Rate at which servers with a lower limit are used, in requests per second; only an
# answer shows that a limit has ended.
LIMIT_MIN_S: Final = 0.2
# Maximum interval between reads of the report of a loading server with a limit, in
# seconds; a roll-out of weights has to end in time even where limits are low.
LIMIT_POLL_INTERVAL_MAX_S: Final = 1.0
# Time after the newest answer with a lower limit until a higher limit, or none, is
# applied, in seconds; answers of different connections overtake each other.
LIMIT_RAISE_DELAY_S: Final = 1.0
# Fraction of a limit below which a lower one counts as a change: the other nodes are
# told at once, and requests that were sent before are counted against it.
LIMIT_CHANGE_FRACTION: Final = 0.8
# Time for which the share of a node that is not seen any more stays unused, in seconds;
# the node may be cut off from the others and still send requests.
SHARE_RETENTION_S: Final = 10.0
# Time after a start in which a node uses no share, in seconds; by then it has received
# the other nodes' heartbeats.
SHARE_START_DELAY_S: Final = 2.0
# Maximum time between two updates of the nodes that counts as observed, in seconds; a
# process that was suspended for longer has observed nothing.
OBSERVED_STEP_MAX_S: Final = 1.0
# Time for which a node that fell silent keeps its part of the budgets of retries and of
# connections, in seconds; longer than a network partition is expected to last.
BUDGET_RETENTION_S: Final = 600.0
# Number of nodes that repeat a server's limit in their heartbeats.
LIMIT_REPORTERS: Final = 3
# Maximum number of limits in one heartbeat; further ones follow in the next.
LIMIT_REPORTS_MAX: Final = 24
# Time after which a limit without reports is forgotten by nodes that have no share of
# it, and the end of a limit by all nodes, in seconds.
LIMIT_RETENTION_S: Final = 30.0
# Maximum time over which the returns of requests refused for limits are spread, in
# seconds; clients wait for a third of their remaining time at most.
RETRY_SPREAD_MAX_S: Final = 5.0
