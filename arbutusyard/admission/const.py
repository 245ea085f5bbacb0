"""Define the constants of admission under load."""

from typing import Final

# Number of requests that may wait at a server for a slot, as a fraction of its slots.
# Only small prompts and requests without a prompt do: an engine admits these before
# large ones. Reports are up to a second old, and without a queue slots stay free.
SERVER_QUEUE_FRACTION: Final = 0.5
# Fraction of the slots that small prompts may use on engines that are not reserved for
# them while large ones starve, and the time without a start after which they do, in
# seconds.
SMALL_SLOTS_FRACTION: Final = 0.75
STARVED_S: Final = 0.5
# Fraction of the slots of a reserved engine below which it also takes a large prompt,
# so that its capacity is not lost while few small prompts arrive.
RESERVED_IDLE_FRACTION: Final = 0.25
# Maximum time for which a server may be prefilling before the first event of a new
# request, as a fraction of the request's objective, of a small and of a large prompt.
# The bound of large prompts is about the objective of small ones, which are prefilled
# after them; with a higher one no engine has capacity for small prompts.
PREFILL_FRACTION: Final = 0.75
LARGE_PREFILL_FRACTION: Final = 0.25
# The same for a request that has waited until little of its objective is left.
PREFILL_MIN_FRACTION: Final = 0.2
# Fraction of its objective until which a waiting request counts as on time, and until
# which its first event has to be expected.
ON_TIME_FRACTION: Final = 0.6
EXPECTED_FRACTION: Final = 0.9
# Fraction of the time until its client gives up for which a late request waits. A
# request that ends unsent after a long wait is worth less than an early rejection.
LATE_WAIT_FRACTION: Final = 0.5
# Every so many starts of waiting requests, the one that has waited longest goes first,
# whatever its class. No class gets less than this part of the starts.
FAIR_TURN: Final = 4
# Maximum number of requests that wait for the same kind of capacity. It bounds the
# memory for their bodies.
WAITING_MAX: Final = 256

# Range of costs within which servers count as equally good, as a fraction of the
# request's objective. Nodes that see the same state would all choose the best one.
SPREAD_FRACTION: Final = 0.1
# Number of servers drawn at random, of which the best is chosen.
RANDOM_CHOICES: Final = 2
# Minimum weight of a server without a free slot in that draw, in slots.
DRAW_WEIGHT_MIN: Final = 0.25

# Time for which a server that refused a request is taken to be full, in seconds. Until
# the next report is added for the other nodes.
REFUSED_S: Final = 0.2
# Factor on a server's requests in flight at a refusal, which become its estimated
# capacity, and the part of its slots by which that grows again each second.
REFUSED_FACTOR: Final = 0.8
RECOVERY_SLOTS_S: Final = 0.5

# Interval at which the first waiting request looks for a server, in seconds: other
# nodes' reports arrive unannounced. A choice among 70 engines takes 0.7 ms.
RECHECK_S: Final = 0.03
# Minimum time after a futile search until the next one, in seconds.
SEARCH_PAUSE_S: Final = 0.01
# Time constant of the rates of arrivals and starts, in seconds.
RATE_TIME_CONSTANT_S: Final = 1.0
# Rate of starts assumed at least, per second, as the rate of a quiet service is 0.
RATE_MIN_S: Final = 0.5
# Assumed time of a request at its server before one has ended, as a fraction of its
# objective, and the weight of the newest in the mean, from 0 to 1.
SERVICE_FRACTION: Final = 0.25
SERVICE_WEIGHT: Final = 0.1

# Fraction of the slots of usable servers below which nothing is rejected.
REJECT_USE_FRACTION: Final = 0.5
# Time for which the computed use of a service's slots is kept, in seconds.
USE_CACHE_S: Final = 0.05
# Minimum and maximum Retry-After of a rejection, in seconds, and the maximum as a
# fraction of the time left: clients honour it up to a third of that.
RETRY_AFTER_MIN_S: Final = 0.3
RETRY_AFTER_MAX_S: Final = 5.0
RETRY_AFTER_FRACTION: Final = 0.33
# Random part of a Retry-After, so that rejected clients return one after the other.
RETRY_JITTER: Final = 0.3
# Part of a route's time limit that has passed if a request arrives with less, which
# shows that its client tries again.
CLIENT_RETRY_FRACTION: Final = 0.03
# Time without a waiting or rejected request after which overload has ended, in seconds.
OVERLOAD_END_S: Final = 2.0
