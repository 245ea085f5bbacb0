"""Define the constants of the claims component."""

from typing import Final

TABLE_CLAIMS: Final = "claims"
# Maximum number of attempts to read a claim back after a write with a lost answer.
READ_BACK_ATTEMPTS: Final = 4
# First delay between these attempts, in seconds; it doubles each time.
READ_BACK_DELAY_S: Final = 0.15
# Maximum number of attempts to record an outcome in the background.
RECORD_ATTEMPTS: Final = 40
# First and maximum delay between these attempts, in seconds; it doubles each time.
RECORD_DELAY_S: Final = 0.5
RECORD_DELAY_MAX_S: Final = 10.0
# Age after which a fenced claim still in progress may be taken over, in seconds.
TAKEOVER_AFTER_S: Final = 10.0
# Maximum size of a reply body that is stored for replay, in bytes; a larger one is
# replayed as an empty body.
OUTCOME_BODY_MAX_BYTES: Final = 65_536
# Maximum length of an idempotency key, in bytes.
MAX_KEY_BYTES: Final = 200
