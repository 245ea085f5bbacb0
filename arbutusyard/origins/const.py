"""Define the constants of streams' origins."""

from typing import Final

# Tables of the product's own in the store: the software versions that serve each
# service, and the streams that began while there were several.
TABLE_SOFTWARE: Final = "software"
TABLE_ORIGINS: Final = "origins"

# Bytes of a stream's digest. Of the 300,000 streams that the two-year target begins
# within the time for which they are remembered, two have the same with a probability
# of 3e-9.
DIGEST_BYTES: Final = 8
# Time after its beginning in which a client may resume a stream: a multiple of the
# longest timeout of a route whose streams may be resumed, plus a margin in seconds.
# A client has its own deadline for all its attempts, which the platform's specification
# does not bound.
LIFE_TIMEOUT_FACTOR: Final = 2.0
LIFE_MARGIN_S: Final = 5.0
# Maximum number of streams whose origin a node remembers, its own and those that it
# keeps for others; the oldest are forgotten.
RECORDS_MAX: Final = 32_768

# Interval at which the versions of the servers are compared with the store's, in
# seconds. Streams begin at a new version only once the store lists it.
VERSIONS_INTERVAL_S: Final = 0.1
# Time without a server of a version after which the store lists it as ended, and after
# which a node no longer relies on having seen it listed, in seconds.
END_DELAY_S: Final = 5.0
UNLIST_DELAY_S: Final = 2.0
# Delay before a failed read or write of the list is retried, in seconds.
RETRY_DELAY_S: Final = 0.5
# Maximum number of attempts at a conditional write, since nodes may write at once.
WRITE_ATTEMPTS: Final = 5

# Interval at which a node sends the origins of its new streams to their keepers, in
# seconds; what it has not sent is lost when it is killed.
PUSH_INTERVAL_S: Final = 0.05
# Interval at which a keeper writes origins to the store, in seconds; what it has not
# written is lost when all keepers are killed. Each write is paid for.
PERSIST_INTERVAL_S: Final = 0.25
# Number of keepers: the first nodes by rank, at least a minimum and one for a number of
# nodes. Each origin is sent to some of them.
KEEPERS_MIN: Final = 3
NODES_PER_KEEPER: Final = 8
KEEPERS_PER_STREAM: Final = 2
# Maximum number of digests in a datagram and in a row of the store, by their sizes.
DATAGRAM_DIGESTS_MAX: Final = 2000
ROW_DIGESTS_MAX: Final = 4000
# Time whose origins share a row of the store, in seconds.
SLOT_S: Final = 5.0
# Timeouts of asking the other nodes, and of reading the store, for an origin, in
# seconds. A client waits for both; the store answers in milliseconds.
ASK_TIMEOUT_S: Final = 0.12
STORE_TIMEOUT_S: Final = 0.3
