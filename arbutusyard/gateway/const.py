"""Define the constants of relaying."""

from typing import Final

# Bytes read from a socket at once.
READ_BYTES: Final = 65_536
# Timeout of a write to a client, after which its connection ends, in seconds.
CALLER_WRITE_TIMEOUT_S: Final = 10.0
# Bytes that a client may pipeline while its request is served.
PIPELINED_BYTES: Final = 65_536

# Timeout of connecting to a backend server and of the first write to it, in seconds. A
# healthy server accepts in milliseconds, and a lost packet costs a second anyway.
CONNECT_TIMEOUT_S: Final = 0.5
# Time for which sent bytes may stay unacknowledged, in milliseconds, and keep-alive
# probes; the kernel ends a connection after it or after two unanswered probes.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2

# Idle time of a connection whose server names no limit, in seconds. Such servers close
# connections after some seconds.
IDLE_KEEP_S: Final = 3.0
# Time before the server closes an idle connection at which it is no longer used, in
# seconds.
IDLE_MARGIN_S: Final = 1.0
# Fraction of a server's connections that all nodes together use.
CONNECTION_FRACTION: Final = 0.8
# Connections to one server that each node may open however many nodes there are.
CONNECTIONS_MIN: Final = 4

# Attempts of a request that fail before a byte of it is sent.
CONNECT_ATTEMPTS: Final = 5
# Retries of a request after servers refused it without executing it.
NOT_RUN_RETRIES: Final = 2
# Pause granted to an engine that refused a request because it is full or loads weights,
# in seconds.
REFUSAL_PAUSE_S: Final = 0.1
# Maximum pause granted to an engine after a mismatch of its weights, in seconds. It
# ends earlier when the engine's weights are reported.
MISMATCH_PAUSE_S: Final = 0.5
# Fraction of its latency objective that a request waits for a usable server.
SERVER_WAIT_FRACTION: Final = 0.12
# Interval at which a waiting request looks for a usable server, in seconds.
SERVER_WAIT_INTERVAL_S: Final = 0.01
# Bytes and messages that a server may send before the head of an answer is complete;
# the messages are answers to other requests and informational responses.
PRE_ANSWER_BYTES_MAX: Final = 262_144
PRE_ANSWER_MESSAGES_MAX: Final = 32
# Time from the first byte of an answer's head to its end, in seconds.
ANSWER_HEAD_TIMEOUT_S: Final = 2.0
# Bytes and seconds spent on reading the body of a refusal, so that its connection can
# be used again.
REFUSAL_BYTES_MAX: Final = 65_536
REFUSAL_READ_TIMEOUT_S: Final = 0.25
# Size of the largest event of a stream, in bytes.
EVENT_BYTES_MAX: Final = 1_048_576
# Clients disconnect from a stream after the longest of these gaps between events, set
# by the platform's specification: seconds, multiples of the route's latency objective
# and multiples of its target gap. A stream without a whole event for longer than that
# and a margin, in seconds, has no reader any more.
GAP_MIN_S: Final = 2.0
GAP_OBJECTIVE_FACTOR: Final = 4.0
GAP_TARGET_FACTOR: Final = 8.0
GAP_MARGIN_S: Final = 0.3
# Retry-After of a refusal when no better value is known, in seconds.
RETRY_AFTER_S: Final = 0.3
# Retry-After of a refusal that another node may well not give, in seconds.
RETRY_AFTER_ELSEWHERE_S: Final = 0.05

# Time for which clients cache an answer of the directory, in seconds; some cache it
# three times as long.
DIRECTORY_KEEP_S: Final = 2.0
DIRECTORY_KEEP_FACTOR: Final = 3.0
# Addresses in one answer of the directory.
DIRECTORY_ADDRESSES_MAX: Final = 64
# Fraction of the time for revoked keys after which a node that cannot read the store is
# not ready.
READY_CONFIRM_FRACTION: Final = 0.55
# Maximum age of the configuration with which unknown routes and keys are refused for
# good, in seconds.
CONFIG_FRESH_S: Final = 2.4
# Time for which a draining node accepts every request, in seconds. Requests that arrive
# later must end before the node does: the platform's specification excuses a request
# that is still at a server at the end only if it arrived within this time.
DRAIN_ACCEPT_S: Final = 2.8
# Time between the end of draining and the moment at which a stopping node is killed, in
# seconds.
STOP_MARGIN_S: Final = 0.7
# Interval at which a reader checks whether its server is unresponsive, in seconds.
UNRESPONSIVE_CHECK_INTERVAL_S: Final = 0.2
# Time for which a server that could be reached is not checked again when it is
# unresponsive, in seconds.
REACHABILITY_RECHECK_S: Final = 1.5
# Time for which a suspected server that is being probed is not probed again, in
# seconds.
PROBE_PAUSE_S: Final = 1.0
