"""Define the bounds that the soak checks and the size of the system that it runs."""

from typing import Final

# Bounds set by the platform's specification, in seconds.

# Time from a server's draining entry until no new request may reach the server.
DRAIN_S: Final = 2.0
# Time until every node serves by an added route.
CONFIG_APPLY_S: Final = 2.0
# Time until every node refuses a removed API key.
REVOKE_S: Final = 5.0
# Time that a node may take to exit after SIGTERM.
GRACE_S: Final = 8.0
# Time after a fault until the node or store that it affected is undisturbed again.
CONTACT_S: Final = 3.0
# Time after the last fault until everything is served and loaded again.
RECOVER_S: Final = 12.0
# Time until every engine has loaded new target weights.
VERSION_S: Final = 8.0
# A server's limit on requests per second: the factor and the additional requests that
# are tolerated, the window, and how long ago a node must have passed on the limit.
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5
LIMIT_WINDOW_S: Final = 4.0
LIMIT_TOLD_S: Final = 0.5
# Time after newer target weights until no run may begin on older ones, in runs whose
# nodes are cut off from servers; the shortest that the specification sets.
SHORT_VERSION_S: Final = 6.0
# Fraction of the others' share of first tries that nodes cut off from all servers must
# serve, and the failures there that are tolerated: a number, and one of so many tries.
REACH_FRACTION: Final = 2 / 3
REACH_SLACK: Final = 10
REACH_TRIES_PER_FAILURE: Final = 50
# Duration of a lease.
LEASE_S: Final = 3.0

BOUNDS: Final = {
    "revoke_ms": REVOKE_S * 1000,
    "drain_ms": DRAIN_S * 1000,
    "grace_s": GRACE_S,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "lease_ms": LEASE_S * 1000,
    "version_ms": VERSION_S * 1000,
}
# Settings of nodes in runs that cut them off from servers.
PARTITION_SETTINGS: Final = {"bounds": {**BOUNDS, "version_ms": SHORT_VERSION_S * 1000}}
# Settings of nodes in runs with overload, the tokens per second and at once of each
# client account with a quota, and the cost of a request that states none.
QUOTA_BOUNDS: Final = {
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 500,
}
QUOTAS: Final = {"far": (1_500, 500), "above": (6_000, 6_000), "below": (40_000,) * 2}
PLAIN_TOKENS: Final = 200
# The memory for clients' bytes, in MiB, is short with two unfinished bodies.
OVERLOAD_SETTINGS: Final = {
    "bounds": {**BOUNDS, **QUOTA_BOUNDS},
    "contracts": ["pressure"],
    "limits": {"client_memory_mb": 8},
}
# Slots of a server in these runs, the requests that wait there for one, and how long
# it works on nothing when it slows down, in seconds.
SLOTS: Final = 2
QUEUE: Final = 2
SLOW_S: Final = 0.5
# Ids of requests whose answers are not read begin with it; bytes added to an answer.
UNREAD_PREFIX: Final = "unread"
UNREAD_BYTES: Final = 200_000

# Interval at which a server writes its entry, in seconds.
HEARTBEAT_S: Final = 1.2
# Time after which the entry of a crashed server expires, in seconds: three heartbeats.
ENTRY_EXPIRY_S: Final = 3 * HEARTBEAT_S
# Time for which a draining server serves on after the drain bound, in seconds.
LINGER_S: Final = 1.5
# Time that an engine takes to load weights, in seconds.
WEIGHTS_LOAD_S: Final = 0.3

# Body of a request that crashes each server that runs it, the time that it runs and the
# time until the server is back, in seconds.
DEADLY_BODY: Final = b"deadly"
DEADLY_RUN_S: Final = 0.03
DEADLY_RESTART_S: Final = 1.0
# Number of servers after which such a request counts as known, and of retries that are
# tolerated from then on.
DEADLY_CRASHES: Final = 3
DEADLY_RETRIES: Final = 3

SERVICES: Final = ("llm", "app")
NODES: Final = 4
CLIENTS: Final = 12
# Maximum pause of a client between two requests, in seconds.
MAX_THINK_TIME_S: Final = 0.3
# Deadline that a client gives each request, in seconds.
CLIENT_TIMEOUT_S: Final = 4.0
# Host name that the clients look up.
HOST: Final = "soak.test"
MODEL: Final = "m"
