"""Define the constants of claims."""

from typing import Final

TABLE_CLAIMS: Final = "claims"
SETTLE_TRIES: Final = 4
SETTLE_DELAY_S: Final = 0.15
RECORD_TRIES: Final = 40
RECORD_DELAY_S: Final = 0.5
RECORD_DELAY_MAX_S: Final = 10.0
TAKEOVER_AFTER_S: Final = 10.0
OUTCOME_BODY_MAX_BYTES: Final = 65_536
MAX_KEY_BYTES: Final = 200
