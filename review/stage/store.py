"""Stand in for the platform's metadata store."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from review.stage.http import encode, encode_json, read_request

PAGE_ROWS_MAX = 500


class Store:
    """Keep rows and objects, and answer as the pages say; nothing gets lost."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.ver = 0
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""
        self.calls = 0

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def write(self, table, key, value):
        """Write a row as an operator or a worker does; return the time of its ack."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = base64.b64encode(data).decode()
        self._commit({"puts": [{"table": table, "key": key, "value": text}]})
        return time.monotonic()

    def remove(self, table, key):
        """Remove a row."""
        self._commit({"remove": [{"table": table, "key": key}]})

    def _commit(self, body):
        for row in body.get("if_revision", []):
            if self.rows.get(_row_id(row), ("", 0))[1] != row["ver"]:
                return False
        self.ver += 1
        for row in body.get("puts", []):
            self.rows[_row_id(row)] = (row["value"], self.ver)
            self.history.append((self.ver, _row_id(row), row["value"]))
        for row in body.get("remove", []):
            if self.rows.pop(_row_id(row), None):
                self.history.append((self.ver, _row_id(row), None))
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    async def _serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                self.calls += 1
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        now_ms = time.monotonic_ns() // 1_000_000
        match url.path:
            case "/-/rows-tx":
                body = request.json()
                if self._commit(body):
                    return encode_json(200, {"ver": self.ver, "now_ms": now_ms})
                rows = [self._row(_row_id(row)) for row in body["if_revision"]]
                return encode_json(412, {"rows": rows, "ver": self.ver})
            case "/-/rows-get":
                return encode_json(200, {**self._read(query), "now_ms": now_ms})
            case "/-/rows-feed":
                return encode_json(200, await self._feed(query))
            case path if path.startswith("/-/blob-put/"):
                self.objects[unquote(path[12:])] = request.body
                return encode_json(200, {})
            case path if path.startswith("/-/blob-get/"):
                data = self.objects.get(unquote(path[12:]))
                if data is None:
                    return encode("HTTP/1.1 404 Not Found", {}, b"")
                return encode("HTTP/1.1 200 OK", {}, data)
        return encode("HTTP/1.1 404 Not Found", {}, b"")

    def _row(self, row_id):
        table, part, key = row_id
        value, ver = self.rows.get(row_id, ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def _read(self, query):
        start, end = query.get("from", ""), query.get("to", "")
        found = sorted(
            row_id
            for row_id in self.rows
            if row_id[:2] == (query["table"], query.get("part", ""))
            and row_id[2] >= start
            and (not end or row_id[2] < end)
        )
        limit = min(PAGE_ROWS_MAX, int(query.get("limit", PAGE_ROWS_MAX)))
        return {
            "rows": [self._row(row_id) for row_id in found[:limit]],
            "more_pages": len(found) > limit,
            "ver": self.ver,
        }

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                {**dict(zip(("table", "part", "key"), row_id, strict=True), ver=ver)}
                | ({"removed": True} if value is None else {"value": value})
                for ver, row_id, value in self.history
                if ver > after and row_id[0] == query["table"]
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                now_ms = time.monotonic_ns() // 1_000_000
                return {"rows": rows, "ver": self.ver, "now_ms": now_ms}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


def _row_id(row):
    return row["table"], row.get("part", ""), row["key"]
