"""Define limits, timeouts and defaults of an entry."""

from typing import Final

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
BODY_READ_TIMEOUT_S: Final = 20.0
HEADER_READ_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 75.0
WRITE_TIMEOUT_S: Final = 30.0
MAX_HEADERS_BYTES: Final = 32_768

# Time for which a client may use a list of entries, in seconds.
DEFAULT_ENTRIES_TTL_S: Final = 5.0
DEFAULT_DRAIN_TIMEOUT_S: Final = 120.0
DRAIN_POLL_S: Final = 0.05

DEFAULT_MAX_TOKENS: Final = 256
# Largest max_tokens that a request may ask for.
MAX_TOKENS_LIMIT: Final = 32_768
# Maximum engines contacted for one request before its first token.
ATTEMPTS_BEFORE_FIRST_TOKEN: Final = 3
# Maximum interruptions that a started answer recovers from.
ATTEMPTS_AFTER_FIRST_TOKEN: Final = 3
# Pause between attempts to continue an answer and their maximum time, in seconds.
REROUTE_DELAY_S: Final = 0.05
REROUTE_TIMEOUT_S: Final = 3.0

# Retry-After values of refusals, in seconds.
NO_BACKEND_RETRY_AFTER_S: Final = 1.0
NO_CONFIG_RETRY_AFTER_S: Final = 1.0
BUDGET_RETRY_AFTER_S: Final = 1.0

RESUME_TOKEN_MAC_BYTES: Final = 16
MAX_RESUME_TOKEN_BYTES: Final = 2048
# Maximum backend servers contacted for one idempotent call.
IDEMPOTENT_ATTEMPTS: Final = 3
