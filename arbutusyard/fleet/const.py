"""Define the constants of a node's fleet state and of the exchange between nodes."""

from typing import Final

# Names of the product's own tables in the store.
TABLE_NODES: Final = "nodes"
TABLE_LEASES: Final = "leases"

# Durations of a long poll, in seconds. One poll per second renews the confirmation of
# what is known.
CONFIG_LONG_POLL_S: Final = 1.0
SERVERS_LONG_POLL_S: Final = 1.0
# Pause between two reads of the servers' table, in seconds. Servers write several times
# per second, so their changes are read in batches.
SERVERS_READ_INTERVAL_S: Final = 0.5
# Time that each node of the fleet adds to the read interval and to the long poll of
# the configuration, in seconds. Every call to the store is paid for, so each node of a
# large fleet reads less often.
READ_INTERVAL_PER_NODE_S: Final = 0.014
# Maximum read interval, as a fraction of the time in which a drain must be noticed.
READ_INTERVAL_FRACTION: Final = 0.4
# Maximum duration of a long poll of the configuration, in seconds.
CONFIG_LONG_POLL_MAX_S: Final = 1.8
# First delay before a failed read is retried, in seconds. It doubles each time, up to
# the maximum READ_RETRY_MAX_S.
READ_RETRY_S: Final = 0.2
# Delay before a table is read whole because its history was dropped, in seconds. A
# snapshot may still be older than the dropped history.
SNAPSHOT_DELAY_S: Final = 0.05
READ_RETRY_MAX_S: Final = 1.0
# Maximum delay before a failed read is retried by a node of a large fleet that is no
# reader, in seconds. It retries sooner once a reader confirms that it reads again.
READ_RETRY_LARGE_S: Final = 2.0

# Gap between two reads up to which a node has read the store without interruption, in
# seconds. An entry expires after three heartbeats of 1.2 s that the store did not get,
# the first of them up to one interval after the store went away.
STORE_GAP_MAX_S: Final = 2.4
# Maximum time that an answer of the store takes to arrive, in seconds. A read that is
# sent within that time after the answer before leaves no gap.
ANSWER_DELAY_MAX_S: Final = 0.1
# Time after a store outage during which missing servers are retained, in seconds.
# Entries that expired during the outage are written again within about 2 s of the
# store's return, according to the platform's specification.
OUTAGE_GRACE_S: Final = 2.5
# Gap between two reads above which it counts as an outage of the store, in seconds. A
# failed read counts as an outage too.
OUTAGE_GAP_S: Final = 4.0

# Number of nodes that read the store and confirm their reads to the others. The others
# read only when they lack a change, or when confirmations stop arriving.
STORE_READERS: Final = 3
# Duration of a long poll of the configuration where readers confirm to others, in
# seconds.
READER_LONG_POLL_S: Final = 0.5
# Minimum time for which a confirmation replaces a node's own read, in seconds.
CONFIRMATION_FRESH_S: Final = 1.2
# Allowance for delays, in seconds, in the validity of a confirmation. The readers of a
# large fleet read less often, so a confirmation is valid for one of their read cycles
# plus this allowance.
CONFIRMATION_MARGIN_S: Final = 0.3
# Maximum validity of a confirmation, as a fraction of the time in which a drain must be
# noticed; it limits the read cycle plus the allowance.
CONFIRMATION_FRACTION: Final = 0.65
# Maximum age of a leader's own newest read of the store, in seconds.
OWN_READ_FRESH_S: Final = 2.5
# Interval at which a node checks whether its confirmation is still valid, in seconds.
CONFIRMATION_POLL_S: Final = 0.1
# Number of own datagrams whose sending times are stored, to date peers' confirmations.
SENT_TIMES_MAX: Final = 256

# Interval between a node's heartbeats, in seconds.
HEARTBEAT_INTERVAL_S: Final = 0.25
# Minimum interval between heartbeats, in seconds, also when a change is sent at once.
HEARTBEAT_MIN_INTERVAL_S: Final = 0.03
# Number of other nodes above which a fleet is large. Clients of a large fleet are sent
# to the serving nodes only, which send each other everything; the standby nodes send
# and receive less.
LARGE_FLEET_NODES: Final = 24
# Interval between the heartbeats of a large fleet's serving and standby nodes, in
# seconds.
HEARTBEAT_INTERVAL_LARGE_S: Final = 0.5
HEARTBEAT_INTERVAL_STANDBY_S: Final = 1.0
# Number of nodes that receive each heartbeat in rotation, besides those that receive
# every heartbeat.
HEARTBEAT_ROTATION: Final = 8
# Maximum number of nodes that receive an update, those of the own failure domain first;
# the others learn of it from the next heartbeat.
UPDATE_FANOUT: Final = 96
# Minimum number of serving nodes of a region, so that the loss of a failure domain, or
# of a third of all nodes, leaves enough.
SERVING_NODES_MIN: Final = 24
# Request rate planned for a processor core, per second. A core serves about ten times
# as many; the reserve is for streams, and for bursts until clients are sent to more
# nodes.
REQUESTS_PER_CORE_S: Final = 12.0
# Time constant of the average request rate, in seconds.
RATE_TIME_CONSTANT_S: Final = 3.0
# Request rate above which a node outside the ranking counts as a serving node, per
# second. Operators' checks of the configuration in force reach each node about once per
# second.
BUSY_REQUESTS_PER_S: Final = 3.0
# Maximum age of the ranking of nodes, in seconds; a change of a node's state renews it
# at once.
RANKING_MAX_AGE_S: Final = 0.5
# Maximum age of the serving nodes' addresses that a standby node gives clients, in
# seconds.
ENTRIES_FRESH_S: Final = 3.0
# Maximum age of a node's newest heartbeat with which the directory names the node, in
# seconds. By the platform's specification a VM that is off must not be named for more
# than 7 s, and standby nodes repeat the answer of another node for up to 3 s.
ENTRY_NODE_AGE_MAX_S: Final = 3.5
# Time for which a former serving node still receives whole heartbeats, in seconds.
# After a network partition each side takes the other for unresponsive, and one has to
# send first.
SERVING_RETENTION_S: Final = 10.0
# Time for which a node that has confirmed a read of the store receives every heartbeat,
# in seconds.
READER_RETENTION_S: Final = 4.0
# Maximum delay of an update on servers, in seconds. The delay is random, so that of
# many nodes with the same finding only the first few send it.
SERVER_UPDATE_DELAY_MAX_S: Final = 0.02
# Minimum time without a heartbeat after which a peer is unresponsive, in seconds.
PEER_TIMEOUT_S: Final = 1.25
# Number of missed heartbeats after which a peer is unresponsive.
PEER_TIMEOUT_HEARTBEATS: Final = 3
# Minimum time without a heartbeat after which a peer is removed, in seconds.
PEER_FORGET_S: Final = 60.0
# Delay before a failed registration of this node in the store is retried, in seconds.
PEER_REGISTER_RETRY_S: Final = 1.0
# Time after a start until a node reads the other nodes' rows once more, in seconds.
# Nodes that start at the same time have registered by then.
PEER_REREAD_S: Final = 8.0
MAX_DATAGRAM_BYTES: Final = 60_000

# Time for which a peer report of a draining server is valid, in seconds. The peer
# repeats the report while its own read of the store shows the server as draining.
LEAVING_REPORT_S: Final = 2.5
# Time for which removed incarnations are remembered, in seconds; longer than the
# maximum age of a copy from which the store is restored.
REMOVED_INCARNATION_RETENTION_S: Final = 60.0
# Maximum number of incarnations without an entry of which a node remembers what stays
# true; those that it learned first are forgotten.
FACTS_MAX: Final = 4096
# Maximum number of removed incarnations that a node remembers; the two-year target has
# 5,800 servers, all of which a release may replace.
REMOVED_INCARNATIONS_MAX: Final = 8192
# Time for which a server whose entry was removed is reported to all peers, in seconds.
# A peer that did not read the store for longer is sent all remembered removals.
REMOVED_REPORT_S: Final = 4.0
# Maximum number of removed servers in one heartbeat; the newest are reported.
REMOVED_REPORTS_MAX: Final = 512
# Maximum number of removed servers in one datagram, whose ids have up to 200 bytes.
REMOVED_PER_DATAGRAM_MAX: Final = 200
# Minimum interval at which a peer is sent all remembered removals, in seconds.
REMOVED_RESEND_S: Final = 1.0
# Maximum number of a model's newest target versions that are reported with their ages.
# Operators may set targets a second apart, and those of the last `version_ms`, 6 s on
# the installation with the shortest one, still count.
TARGET_AGES_MAX: Final = 8
# Maximum pause granted to a saturated server, in seconds; the platform's specification
# sets none.
SATURATED_PAUSE_MAX_S: Final = 60.0
# First and maximum pause before an unreachable server is checked again, in seconds. The
# pause doubles each time.
SUSPECT_BACKOFF_FIRST_S: Final = 0.6
SUSPECT_BACKOFF_MAX_S: Final = 4.0
# Weight of the newest outcome in a server's failure rate, from 0 to 1.
FAILURE_WEIGHT: Final = 0.08
# Time in which a failure rate halves without an outcome, in seconds.
FAILURE_HALF_LIFE_S: Final = 4.0

# Number of nodes that watch a cache store themselves; the others rely on their reports.
CACHE_WATCHERS: Final = 8
# Number of the watching nodes that report a cache store's events to the others.
CACHE_REPORTERS: Final = 2
# Pause between two reads of a cache store's events, in seconds.
CACHE_READ_INTERVAL_S: Final = 0.3
# Delay before a cache store is contacted again, and interval between checks of which
# stores to watch, in seconds.
CACHE_RETRY_S: Final = 0.5
# Maximum delay before a cache store that does not answer is contacted again, in
# seconds.
CACHE_RETRY_MAX_S: Final = 2.0
# Number of heartbeats that carry an update on segments or cache stores, since datagrams
# may be lost.
UPDATE_HEARTBEATS: Final = 3
# Maximum number of pending updates on cache stores; the oldest are dropped.
CACHE_STORE_UPDATES_MAX: Final = 32
# Maximum size of the datagrams that wait for a kernel that takes none, in bytes, and
# maximum time for which they wait, in seconds: by then a newer heartbeat is due.
OUTBOX_BYTES_MAX: Final = 262_144
OUTBOX_RETENTION_S: Final = 0.5
# Interval between attempts to send queued datagrams, in seconds.
OUTBOX_RETRY_S: Final = 0.005
# Minimum interval between log lines on dropped datagrams, in seconds.
OUTBOX_LOG_INTERVAL_S: Final = 1.0
