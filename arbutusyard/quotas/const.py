"""Define the constants of quotas."""

from typing import Final

# Minimum interval between a node's votes, and that of standby nodes, in seconds.
SYNC_INTERVAL_S: Final = 0.25
SYNC_INTERVAL_STANDBY_S: Final = 1.0
# Time that each node of the fleet adds to the interval, in seconds: the leader answers
# at most 250 periodic datagrams per second, whatever the size of the fleet.
SYNC_INTERVAL_PER_NODE_S: Final = 0.004
# Validity of a vote in intervals. The leader counts it from the answer that the vote
# echoes, about one interval earlier, which leaves two for lost datagrams.
VOTE_INTERVALS: Final = 3.2
# Maximum validity of a vote, in seconds; that of 800 nodes at their interval.
VOTE_MAX_S: Final = 10.3
# Time added to the end of a vote before the next leader gets one, in seconds; it covers
# clocks that differ by 1% over the longest vote.
CHANGE_MARGIN_S: Final = 0.1
# Time without an answer after which a node leaves its leader, in seconds, or that many
# intervals if that is longer.
LEADER_SILENCE_S: Final = 0.75
LEADER_SILENCE_INTERVALS: Final = 3.0
# Time for which another node has to be first in the ranking before a node changes to
# it, and for which one that did not answer is not chosen again, in seconds.
PREFERENCE_S: Final = 3.0
AVOIDANCE_S: Final = 3.0

# Fraction of the nodes that a started node has to have heard from, and difference of
# their times since the start, in seconds, to tell that all nodes started together. No
# leader is left then that could still use votes from before.
STARTED_FRACTION: Final = 0.75
STARTED_TOGETHER_S: Final = 2.0

# Fractions of what a window may exceed the quota by: overdrafts of the leaders, and
# credit that nodes hold in advance. The rest covers the time between grant and use.
ALLOWANCE_FRACTION: Final = 0.4
CREDIT_FRACTION: Final = 0.2
LATENESS_FRACTION: Final = 0.2
# Maximum credit of all nodes, as a fraction of what a window may contain.
CREDIT_WINDOW_FRACTION: Final = 0.25
# Part of its credit that a node has to have spent before it asks for more.
CREDIT_REFILL_FRACTION: Final = 0.25
# Bounds of the time in which an answer may be used, in seconds, counted from the first
# datagram that asked for it. Ten round trips between failure domains are 0.07 s.
FRESH_MIN_S: Final = 0.07
FRESH_MAX_S: Final = 0.15
# Age from which the charge of a request that has not been sent yet is renewed, in
# seconds. Requests that wait for a server would otherwise run together in a later
# window than the one in which they were charged.
RENEW_AFTER_S: Final = 0.25
# Interval at which an unanswered question is repeated, in seconds.
ASK_REPEAT_S: Final = 0.04
# Fraction of a request's time limit for which it waits for the leader's answer.
ASK_WAIT_FRACTION: Final = 0.15
# Time for which a leader remembers how it answered a question, in seconds; longer than
# any request waits for an answer.
DECISION_RETENTION_S: Final = 5.0
# Time for which a leader remembers the numbers of a silent node's datagrams, in
# seconds; a datagram is not delayed for longer.
RECORD_RETENTION_S: Final = 60.0
# Number of own periodic answers whose sending times a leader remembers for each node;
# more than a vote is valid for.
ANSWER_TIMES_MAX: Final = 16
# Maximum number of questions that a node remembers after it stopped waiting.
ENDED_ASKS_MAX: Final = 256
# Maximum number of accounts with refills or returns in one datagram.
ACCOUNTS_PER_SYNC_MAX: Final = 64

# Maximum age of a charge that is refunded, in seconds; the longest time limit.
REFUND_MAX_AGE_S: Final = 10.0
# Maximum number of values that a bucket keeps to judge refunds.
HEADROOMS_MAX: Final = 256

# Time without a rejection after which the next one of an account is logged, in seconds.
REJECTION_LOG_S: Final = 10.0

# Retry-After when no leader answers, in seconds; a new leader has votes after about 2 s
# and a client may try another node before.
RETRY_AFTER_UNKNOWN_S: Final = 0.3
# Bounds of Retry-After of a request above its quota, in seconds. Clients wait for a
# third of their remaining time at most, 3.3 s of the longest time limit.
RETRY_AFTER_MIN_S: Final = 0.05
RETRY_AFTER_MAX_S: Final = 5.0
# Retry-After of an account whose quota is malformed, in seconds.
RETRY_AFTER_INVALID_S: Final = 5.0
# Fraction of the golden ratio by which consecutive returns are spread evenly.
SPREAD_STEP: Final = 0.618034
# Maximum interval between two looks at the configuration and the ranking, in seconds.
TICK_MAX_S: Final = 0.25
# Smallest rate used in computations, per second; avoids division by zero.
RATE_MIN_S: Final = 1e-6
# Cost of a request that would otherwise be free, in tokens.
COST_MIN: Final = 1.0
