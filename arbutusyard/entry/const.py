"""Define limits, timeouts and defaults of an entry."""

from typing import Final

# Maximum size of a request body, in bytes.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# Maximum time to receive a request body, in seconds.
BODY_READ_TIMEOUT_S: Final = 20.0
# Maximum time to receive the headers of a request, in seconds.
HEADER_READ_TIMEOUT_S: Final = 10.0
# Maximum wait for the next request on a connection, in seconds.
IDLE_TIMEOUT_S: Final = 75.0
# Maximum wait of a socket operation while a request is served, in seconds.
WRITE_TIMEOUT_S: Final = 30.0
# Maximum total length of the header lines of a request, in bytes.
MAX_HEADERS_BYTES: Final = 32_768

# Time for which a client may use a list of entries, in seconds.
DEFAULT_ENTRIES_TTL_S: Final = 5.0
# Maximum wait of a draining entry for its requests in flight, in seconds.
DEFAULT_DRAIN_TIMEOUT_S: Final = 120.0
# Interval of checks whether requests are still in flight, in seconds.
DRAIN_POLL_S: Final = 0.05

# Maximum length of an answer whose request sets no limit, in tokens.
DEFAULT_MAX_TOKENS: Final = 256
# Maximum value of max_tokens in a request.
MAX_TOKENS_LIMIT: Final = 32_768
# Maximum number of engines contacted for one request before its first token.
ATTEMPTS_BEFORE_FIRST_TOKEN: Final = 3
# Maximum number of interruptions that a started answer recovers from.
ATTEMPTS_AFTER_FIRST_TOKEN: Final = 3
# Delay between attempts to continue an interrupted answer, in seconds.
REROUTE_DELAY_S: Final = 0.05
# Maximum time to wait for an engine that can continue it, in seconds.
REROUTE_TIMEOUT_S: Final = 3.0

# Retry-After values of refusals, in seconds.
NO_BACKEND_RETRY_AFTER_S: Final = 1.0
NO_CONFIG_RETRY_AFTER_S: Final = 1.0
BUDGET_RETRY_AFTER_S: Final = 1.0

# Length of the keyed hash of a resume token, in bytes.
RESUME_TOKEN_MAC_BYTES: Final = 16
# Maximum length of a resume token as text, in bytes.
MAX_RESUME_TOKEN_BYTES: Final = 2048
# Maximum number of backend servers contacted for one idempotent call.
IDEMPOTENT_ATTEMPTS: Final = 3
