"""Send requests above quotas and misbehave as clients."""

import random

import gevent

from tests.soak.const import HOST, UNREAD_PREFIX
from tests.soak.ledger import Attempt
from tests.soak.requests import encode_request

# Clients of each account with a quota.
QUOTA_CLIENTS = {"far": 4, "above": 2, "below": 1}
# Maximum pause of such a client between two requests, in seconds.
QUOTA_PAUSE_S = 0.1
# Prompt tokens of its requests; the largest costs more than a second's tokens.
PROMPT_TOKENS = (400, 400, 400, 3_000)
MISBEHAVING_CLIENTS = 3
# Maximum time for which such a client holds a connection, in seconds.
HOLD_S = 5.0
# Bytes of an unfinished body, just below the maximum of a complete one, and of a part
# that is sent in chunks of one byte.
UNFINISHED_BYTES = 4_000_000
TINY_CHUNKS = 2_000
# Number of requests whose answers a client does not read.
UNREAD_REQUESTS = 30


class QuotaClient:
    """Send requests of an account with a quota, one after another."""

    def __init__(self, world, account, number):
        self._world = world
        self._account = account
        self._name = f"q-{account}{number}"
        self._rng = random.Random(self._name)

    def run(self):
        """Send requests until killed."""
        rng = self._rng
        count = 0
        while True:
            gevent.sleep(rng.uniform(0, QUOTA_PAUSE_S))
            node, sock = self._world.connect(rng)
            if sock is None:
                continue
            count += 1
            name = f"{self._name}-{count}"
            kind = rng.choice(("once", "stream"))
            tokens = (rng.choice(PROMPT_TOKENS), 12)
            account = self._account
            self._world.send_request(
                node, sock, kind, name, None, account, name.encode(), account, tokens
            )
            sock.close()


class MisbehavingClient:
    """Leave bodies unfinished or answers unread, on one connection after another."""

    def __init__(self, world, number):
        self._world = world
        self._name = f"{UNREAD_PREFIX}{number}"
        self._rng = random.Random(self._name)
        self._count = 0

    def run(self):
        """Misbehave until killed."""
        while True:
            gevent.sleep(self._rng.uniform(0.1, 1.0))
            node, sock = self._world.connect(self._rng)
            if sock is None:
                continue
            try:
                sock.settimeout(HOLD_S)
                if self._rng.random() < 0.5:
                    sock.sendall(self._unread_requests(node))
                else:
                    sock.sendall(self._unfinished_request())
                gevent.sleep(self._rng.uniform(1.0, HOLD_S))
            except OSError:
                # Nodes may close the connection of such a client at any time.
                continue
            finally:
                sock.close()

    def _unfinished_request(self):
        key = self._world.open_key
        head = f"POST /o/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {key}\r\n".encode()
        body = b"x" * (UNFINISHED_BYTES - 1)
        match self._rng.choice(("length", "chunked", "tiny")):
            case "length":
                return b"%sContent-Length: %d\r\n\r\n%s" % (
                    head,
                    UNFINISHED_BYTES,
                    body,
                )
            case "chunked":
                chunk = b"%x\r\n%s" % (UNFINISHED_BYTES, body)
            case _:
                chunk = b"1\r\nx\r\n" * TINY_CHUNKS
        return b"%sTransfer-Encoding: chunked\r\n\r\n%s" % (head, chunk)

    def _unread_requests(self, node):
        """Return requests that are recorded as sent, but have no outcome."""
        data = b""
        for _ in range(UNREAD_REQUESTS):
            self._count += 1
            request_id = f"{self._name}-{self._count}"
            key = self._world.open_key
            attempt = Attempt(request_id, "any", False, key, "open", node.name, 0.0)
            attempt.sent_at = self._world.ledger.now()
            attempt.start_count = node.start_count
            self._world.ledger.attempts[request_id] = attempt
            data += encode_request(attempt, "/i/x")
        return data
