"""Define the constants of relaying."""

import struct
from typing import Final

# Maximum number of bytes read from a socket at once.
READ_BYTES: Final = 65_536
# SO_LINGER value, enabled with 0 s: closing resets the connection.
NO_LINGER: Final = struct.pack("ii", 1, 0)
# Timeout of a write to a client, in seconds; after it the connection is closed.
CALLER_WRITE_TIMEOUT_S: Final = 10.0
# Number of bytes that a client may pipeline while its request is served. Above it, no
# more is read, and so no disconnect is noticed, until that request is answered.
PIPELINED_BYTES: Final = 65_536
# The same while the memory for clients' bytes is under pressure.
PIPELINED_PRESSED_BYTES: Final = 4096

# Size of the kernel's buffers of a client's connection, in bytes; the kernel doubles
# it for its own overhead. 64 KiB are 5 ms on a link of 100 Mbit/s and 100 ms on one of
# 5 Mbit/s, more than the round trip between failure domains in both cases.
CLIENT_BUFFER_BYTES: Final = 65_536
# Size of the receive buffer of a connection to a server, in bytes. Without a limit it
# grows to megabytes as long as a client does not take its answer.
SERVER_RECEIVE_BUFFER_BYTES: Final = 131_072
# Memory charged for an open client connection and for the kernel's buffer of one whose
# client does not take its answer, in bytes.
CONNECTION_BYTES: Final = 32_768
WRITE_BUFFER_BYTES: Final = 2 * CLIENT_BUFFER_BYTES
# Part of the budget for clients' bytes above which it is under pressure.
PRESSURE_FRACTION: Final = 0.5
# Size up to which a body counts as ordinary, in bytes. Ordinary clients send 100 KB at
# most. Larger bodies may use only a fraction of the budget.
SMALL_BODY_BYTES: Final = 262_144
SMALL_BODY_FRACTION: Final = 0.75
# Age from which an unfinished body is judged by its rate, and time after which a client
# that takes nothing of its answer counts as slow, in seconds.
SLOW_AFTER_S: Final = 3.0
# Interval between searches for slow bodies under pressure, in seconds.
SWEEP_INTERVAL_S: Final = 0.25
# Size of the pieces in which a body is kept until it is complete, in bytes. One object
# for each chunk would cost 8 bytes and more for a chunk of one byte.
BODY_PIECE_BYTES: Final = 65_536

# Timeout of connecting to a backend server and of the first write to it, in seconds. A
# healthy server accepts in milliseconds, and a lost packet costs a second anyway.
CONNECT_TIMEOUT_S: Final = 0.5
# Maximum time that sent bytes may stay unacknowledged before the kernel closes the
# connection, in milliseconds.
TCP_USER_TIMEOUT_MS: Final = 1500
# Idle time before the first keep-alive probe and interval between probes, in seconds,
# and number of probes; the kernel closes a connection on which two are unanswered.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2

# Time after the last byte of a request until its connection is probed, in seconds.
# Before, only the kernel's timeout for unacknowledged bytes may end it, which discards
# them: a connection that ends by probes may still deliver them later.
PROBES_OFF_S: Final = TCP_USER_TIMEOUT_MS / 1000 + 0.25

# Assumed limit on the idle time of a connection whose server sends no Keep-Alive
# timeout, in seconds. Such servers close idle connections after some seconds.
IDLE_KEEP_S: Final = 3.0
# Margin by which a node stops using an idle connection before its server closes it, in
# seconds.
IDLE_MARGIN_S: Final = 1.0
# Fraction of the connections that a server accepts which all nodes together may open.
CONNECTION_FRACTION: Final = 0.8
# Number of connections to one server that each node may open in a fleet of any size.
CONNECTIONS_MIN: Final = 4

# Size of the headers that a node adds to a request which it forwards, in bytes.
NODE_HEADER_BYTES: Final = 1024

# Number of requests after which a connection is closed. It bounds the IDs that each
# connection remembers.
CARRIED_REQUESTS_MAX: Final = 512

# Maximum number of attempts at a request that fail before a byte of it is sent.
CONNECT_ATTEMPTS: Final = 5
# Maximum number of retries of a request that servers refuse without executing it.
NOT_RUN_RETRIES: Final = 2
# Pause granted to an engine that refused a request because it is full or loads weights,
# in seconds.
REFUSAL_PAUSE_S: Final = 0.1
# Maximum pause granted to an engine after a mismatch of its weights, in seconds. It
# ends earlier when the engine's weights are reported.
MISMATCH_PAUSE_S: Final = 0.5
# Fraction of its route's latency objective for which a request waits for a usable
# server.
SERVER_WAIT_FRACTION: Final = 0.12
# Interval at which a waiting request looks for a usable server, in seconds.
SERVER_WAIT_INTERVAL_S: Final = 0.01
# Maximum numbers of bytes and of messages that a server may send before the head of an
# answer is complete; the messages are answers to other requests and informational
# responses.
PRE_ANSWER_BYTES_MAX: Final = 262_144
PRE_ANSWER_MESSAGES_MAX: Final = 32
# Maximum time from the first byte of an answer's head to its end, in seconds.
ANSWER_HEAD_TIMEOUT_S: Final = 2.0
# State of a connection that its peer has ended in order, in the kernel's numbering.
TCP_CLOSE_WAIT: Final = 8
# Maximum time between the end of an answer without a length and the time at which its
# server has received the whole request, and interval of checks for it, in seconds.
END_TIMEOUT_S: Final = 1.0
END_CHECK_INTERVAL_S: Final = 0.01
# Maximum number of bytes and time, in seconds, to read of a refusal's body so that its
# connection can be reused.
REFUSAL_BYTES_MAX: Final = 65_536
REFUSAL_READ_TIMEOUT_S: Final = 0.25
# Size of the largest event of a stream, in bytes.
EVENT_BYTES_MAX: Final = 1_048_576
# Gap between events after which clients disconnect from a stream. The platform's
# specification sets it to the longest of a minimum in seconds, a multiple of the
# route's latency objective and a multiple of its target gap. A stream without a
# complete event for that time plus a margin, in seconds, has no reader any more.
GAP_MIN_S: Final = 2.0
GAP_OBJECTIVE_FACTOR: Final = 4.0
GAP_TARGET_FACTOR: Final = 8.0
GAP_MARGIN_S: Final = 0.3
# Minimum interval between log lines about slow reads of one server, in seconds.
SLOWED_LOG_INTERVAL_S: Final = 10.0
# Retry-After of a refusal when no better value is known, in seconds.
RETRY_AFTER_S: Final = 0.3
# Retry-After of a refusal whose reason may not apply to other nodes, in seconds.
RETRY_AFTER_ELSEWHERE_S: Final = 0.05

# Body of the refusal of a stream that no server can continue.
RESUME_REFUSED: Final = (
    b"This stream cannot be resumed: no server is known to have the software version "
    b"that began it. Send the request again from its beginning.\n"
)
# Fraction of its slots up to which the last server of a software version is used for
# new streams while others serve; the rest is left to streams that only it can continue.
LAST_SERVER_FRACTION: Final = 0.5

# Time for which clients cache an answer of the directory, in seconds; some cache it
# three times as long.
DIRECTORY_KEEP_S: Final = 2.0
DIRECTORY_KEEP_FACTOR: Final = 3.0
# Maximum number of addresses in one answer of the directory.
DIRECTORY_ADDRESSES_MAX: Final = 64
# Fraction of the time for which a revoked key may stay in use. A node that has not
# confirmed its configuration for that long, as in a store outage, is not ready.
READY_CONFIRM_FRACTION: Final = 0.55
# Maximum age of a configuration with which unknown routes and keys are refused for
# good, in seconds; with an older one, clients are asked to retry.
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
# Time after a server was found reachable in which it is not checked again although it
# is unresponsive, in seconds.
REACHABILITY_RECHECK_S: Final = 1.5
# Time for which a suspected server that is being probed is not probed again, in
# seconds.
PROBE_PAUSE_S: Final = 1.0
