"""Tell answers that a server ended from those that a reset broke off."""

from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ProtocolError
from urllib3.response import HTTPResponse


class CheckedConnection(HTTPConnection):
    """Reject an answer without length whose request could not be sent whole.

    urllib3 reads an answer also after the connection failed while it sent the request.
    The socket has reported the error by then, so that the reset looks like the end.
    """

    _sent_whole = False

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request."""
        self._sent_whole = False
        super().request(*args, **kwargs)
        self._sent_whole = True

    def getresponse(self) -> HTTPResponse:
        """Read the head of the answer."""
        resp = super().getresponse()
        if not self._sent_whole and resp.length_remaining is None:
            resp.close()
            raise ProtocolError("connection failed before the request was sent whole")
        return resp


class CheckedConnectionPool(HTTPConnectionPool):
    """Hold checked connections to one server."""

    ConnectionCls = CheckedConnection


def checked_pool(**settings: Any) -> urllib3.PoolManager:
    """Return a pool of checked connections that retries nothing."""
    pool = urllib3.PoolManager(retries=False, **settings)
    pool.pool_classes_by_scheme = {"http": CheckedConnectionPool}
    return pool
