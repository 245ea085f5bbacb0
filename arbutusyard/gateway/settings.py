"""Define the settings of a node."""

from typing import Final

from msgspec import Struct

from arbutusyard.gateway.memory import MAX_FDS, MEMORY_MB, MemoryLimits, make_limits
from arbutusyard.limits.const import LIMIT_GRACE_S

# Address of a listener that accepts connections on all interfaces.
ANY_ADDRESS: Final = "0.0.0.0"


class NodeSettings(Struct, frozen=True):
    """Hold settings read at start or reload; addresses as IP:port, times in seconds."""

    name: str
    failure_domain: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    revoke_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_s: float
    weights_s: float
    directory_keep_max_s: float
    metrics_address: str = ""
    # Number of processor cores, or less if the network link is the bottleneck.
    capacity: float = 1.0
    # Time from the first statement of a server's limit until it is enforced.
    limit_grace_s: float = LIMIT_GRACE_S
    # Window in which quotas are checked, in seconds, and what it may exceed them by: a
    # ratio, and an amount in the account's unit.
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    # Whether requests are admitted by the free capacity of servers under load.
    admission_control: bool = False
    # Limits of all client connections together.
    client_limits: MemoryLimits = make_limits(MEMORY_MB, MAX_FDS)
    # Fraction of a service's requests that may get an extra attempt; 0 is off.
    hedge_fraction: float = 0.0

    @property
    def source_ip(self) -> str:
        """Return the address from which this node connects to others; empty for any.

        Nodes accept forwarded requests only from addresses of nodes, and the kernel may
        choose another address on a VM that has several.
        """
        host = self.peer_address.rsplit(":", 1)[0]
        return "" if host == ANY_ADDRESS else host
