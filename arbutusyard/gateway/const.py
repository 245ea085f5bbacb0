"""Define the constants of relaying."""

from typing import Final

READ_BYTES: Final = 65_536
# A caller's write that moves nothing for so long ends its connection, in seconds.
CALLER_WRITE_S: Final = 10.0
# Bytes that a caller may send ahead while its request is served.
PIPELINED_BYTES: Final = 65_536

# A healthy server accepts in milliseconds; a lost packet costs a second anyway.
CONNECT_S: Final = 0.5
# Unacknowledged bytes, or two unanswered probes, end a connection.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2

# Servers that name no idle time close connections after some seconds.
IDLE_KEEP_S: Final = 3.0
# Stop using a connection so long before the server closes it.
IDLE_MARGIN_S: Final = 1.0
# Part of a service's connections that the nodes use together.
CONNECTION_FRACTION: Final = 0.8
CONNECTIONS_MIN: Final = 4

# Connections that fail before a byte is sent may be tried so often.
CONNECT_ATTEMPTS: Final = 5
# Servers that may turn one request away before it is refused.
NOT_RUN_ATTEMPTS: Final = 2
# An engine that sheds a request is full or loads weights; leave it for a while.
SHED_PAUSE_S: Final = 0.1
# An engine whose weights are in doubt is left until it has reported, or for so long.
MISMATCH_PAUSE_S: Final = 0.5
# Without a usable server a request waits for so much of its objective.
WAIT_FRACTION: Final = 0.12
WAIT_STEP_S: Final = 0.01
# Before an answer's head a server may send so many bytes, and so many messages that
# belong to no request; a head that has begun is whole within so many seconds.
STRAY_BYTES_MAX: Final = 262_144
STRAYS_MAX: Final = 32
HEAD_S: Final = 2.0
# The body of a refusal is read out within these bounds, to keep its connection.
REFUSAL_BYTES_MAX: Final = 65_536
REFUSAL_READ_S: Final = 0.25
# The largest event of a stream, in bytes.
EVENT_BYTES_MAX: Final = 1_048_576
# Callers leave a stream after the longest of these gaps, by the users' page; one
# whose server sends no whole event for longer has no reader left.
GAP_MIN_S: Final = 2.0
GAP_OBJECTIVES: Final = 4.0
GAP_PAUSES: Final = 8.0
GAP_MARGIN_S: Final = 0.3
# Callers come back after so long when nothing better is known.
RETRY_AFTER_S: Final = 0.3
RETRY_AFTER_ELSEWHERE_S: Final = 0.05

# Callers keep the directory's answers for so long; some three times as long.
DIRECTORY_KEEP_S: Final = 2.0
DIRECTORY_KEEP_FACTOR: Final = 3.0
DIRECTORY_MAX: Final = 64
# Part of the time for revoked keys after which a node without the store is not ready.
READY_CONFIRM_FRACTION: Final = 0.55
# Unknown routes and keys are only refused for good by a node so well informed.
KNOWN_MAX_AGE_S: Final = 2.4
# A leaving node takes any request for so long; the bounds excuse what servers are still
# at work on at the end only for requests that came by then.
LEAVING_ACCEPT_S: Final = 2.8
# Time that a stopping node leaves itself to end before it is killed.
STOP_MARGIN_S: Final = 0.7
# Steps in which a reader checks whether its server has fallen silent.
QUIET_STEP_S: Final = 0.2
# A quiet server that could be reached is not checked again for so long.
REACHED_KEEP_S: Final = 1.5
# A suspected server is tried again so often while a try is under way.
PROBE_PAUSE_S: Final = 1.0
