"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import json

HEAD_BYTES_MAX = 65_536


class Message:
    """Hold a request or an answer as it was received."""

    def __init__(self, first, headers, body=b"", complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        # The body arrived whole.
        self.complete = complete

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first.split(" ", 2)[1])

    @property
    def method(self):
        """Return the method of a request."""
        return self.first.split(" ", 1)[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.first.split(" ", 2)[1]

    @property
    def request_id(self):
        """Return the id of a request or an answer."""
        return self.headers.get("request-id", "")

    def json(self):
        """Decode the body."""
        return json.loads(self.body)


async def read_head(reader):
    """Read a first line and headers; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader, message, on_data=None):
    """Read a message's body; without a length it ends with the connection."""
    parts = []
    try:
        async for data in _parts(reader, message):
            parts.append(data)
            if on_data:
                on_data(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    message.body = b"".join(parts)
    return message


async def _parts(reader, message):
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in message.headers:
        left = int(message.headers["content-length"])
        while left:
            data = await reader.read(min(left, 65_536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            yield data
    elif message.first.startswith("HTTP/"):
        while data := await reader.read(65_536):
            yield data


async def read_request(reader):
    """Read a request; return None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    await read_body(reader, message)
    return message if message.complete else None


def encode(first, headers, body=None):
    """Encode a message; a body that is not None gets its length stated."""
    if body is not None:
        headers = {**headers, "Content-Length": len(body)}
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def encode_json(status, value, headers=None):
    """Encode an answer with a JSON body."""
    reason = {200: "OK", 412: "Precondition Failed"}.get(status, "Answer")
    fields = {"Content-Type": "application/json", **(headers or {})}
    return encode(f"HTTP/1.1 {status} {reason}", fields, json.dumps(value).encode())
