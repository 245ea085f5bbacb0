"""Define the constants of routing."""

from typing import Final

# Size of a hashed block of a prompt, in bytes and in estimated tokens.
BLOCK_BYTES: Final = 4000
BLOCK_TOKENS: Final = 1000
BYTES_PER_TOKEN: Final = 4
# Length of a block hash, in bytes.
BLOCK_HASH_BYTES: Final = 12
# Maximum number of blocks hashed of one prompt.
MAX_BLOCKS: Final = 512

# Maximum number of keys in a prefix index.
INDEX_ENTRIES_MAX: Final = 40_000
# Maximum number of holders recorded for each key.
INDEX_HOLDERS_MAX: Final = 8
# Time for which a holder is valid after its last use, in seconds.
DEFAULT_TTL_S: Final = 20.0

DEFAULT_RECOMPUTE_PRICE: Final = 4.0
# Assumed time to prefill a block, in seconds, until an engine reports it.
DEFAULT_BLOCK_PREFILL_S: Final = 0.1
# Assumed time of a decode step, in seconds, until an engine reports it.
DEFAULT_DECODE_STEP_S: Final = 0.02
# Age above which the queue of a load report is ignored, in seconds.
LOAD_STALE_S: Final = 3.0
# Cost of sending a request to another failure domain, in seconds.
CROSS_DOMAIN_COST_S: Final = 0.003
# Cost of sending a request to an engine whose batch is full, in seconds.
FULL_BATCH_COST_S: Final = 1.0
# Queue at which the price of recomputation doubles, in seconds of prompt work.
PRICE_DOUBLING_QUEUE_S: Final = 0.1
# Number of the least urgent priority; lower numbers go first.
LOWEST_PRIORITY: Final = 255
# Maximum ratio of the work that all nodes have sent to a server to this node's own.
PEER_WORK_RATIO_MAX: Final = 8.0
# Maximum length of a list of targets that are all candidates. Of a longer list, each
# account uses this number of targets.
CANDIDATES_MAX: Final = 24
# Maximum number of accounts whose targets are cached.
SHORTLISTS_MAX: Final = 4096
