"""Define the constants shared by several components."""

from typing import Final

# Names of HTTP headers.
HEADER_ACCOUNT_KEY: Final = "Authorization"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_LAST_EVENT_ID: Final = "Last-Event-ID"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_RESUME_TOKEN: Final = "X-Resume-Token"
HEADER_RETRY_AFTER: Final = "Retry-After"
HEADER_WORK_CLASS: Final = "X-Work-Class"
HEADER_DEADLINE_MS: Final = "X-Deadline-Ms"
HEADER_INCARNATION: Final = "X-Incarnation"
HEADER_WEIGHTS_VERSION: Final = "X-Weights-Version"
HEADER_OUTCOME: Final = "X-Outcome"
HEADER_ATTEMPT: Final = "X-Attempt"
HEADER_FENCING_NUMBER: Final = "X-Fencing-Number"

MS_PER_S: Final = 1000.0
# Prefix of the environment variables that set command-line options.
ENV_PREFIX: Final = "ARBUTUSYARD_"

# Lowest and highest status of a final HTTP answer (RFC 9110, section 15).
STATUS_FINAL_MIN: Final = 200
STATUS_MAX: Final = 599
