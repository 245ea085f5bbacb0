"""Stand in for workers: plain ones, and model workers that stream events."""

import asyncio
import contextlib
import itertools
import time

from review.stage.http import encode, encode_json, read_request

HEARTBEAT_S = 1.2
NOT_EXECUTED = {"Not-Executed": "1"}
_numbers = itertools.count(1)


class Worker:
    """Serve one service at a loopback address and keep an entry in the store."""

    def __init__(self, stage, service, slots=6, model="", software="s1"):
        self.stage = stage
        self.service = service
        self.slots = slots
        self.model = model
        self.software = software
        self.version = 1
        self.number = next(_numbers)
        self.server_id = f"i-{self.number:04d}"
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.orders = 0
        self.address = ""
        self.runs = []
        self._tasks = {}
        self._server = None
        self._beat = None

    async def start(self):
        """Listen and report to the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._beat = asyncio.create_task(self._report())

    async def stop(self):
        """Stop serving and reporting."""
        self._beat.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def restart(self, down_s, software=None):
        """End, and start again after a while under the same id and address.

        The new lifetime reports to the store at once, as each one does at its start.
        """
        self.crash()
        await asyncio.sleep(down_s)
        host, port = self.address.split(":")
        self.software = software or self.software
        self.born = time.time_ns() // 1_000_000
        self.orders = 0
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beat = asyncio.create_task(self._report())
        self.stage.log("restarted", self.server_id, self.software)

    def crash(self):
        """Refuse connections, and reset those that are open."""
        self._beat.cancel()
        self._server.close()
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()
        self.stage.log("ended", self.server_id)

    async def _report(self):
        for sequence in itertools.count(1):
            models = [{"name": self.model, "version": self.version}]
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": self.software,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": self.born,
            }
            if self.model:
                entry |= {"stage": "both", "models": models}
            self.stage.store.write("servers", self.server_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks[task] = writer
        try:
            while request := await read_request(reader):
                await self.handle(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, request, reader, writer):
        """Answer one request, or reject it."""
        if request.headers.get("expect-instance", self.server_id) != self.server_id:
            writer.write(self.reject(request, 421))
        elif request.target.startswith("/-/report"):
            writer.write(encode_json(200, self.report()))
        elif request.target.startswith("/healthz"):
            writer.write(
                encode("HTTP/1.1 200 OK", {"Instance-Id": self.server_id}, b"")
            )
        elif request.target.startswith("/-/order"):
            writer.write(encode_json(self.order(request.json()), {}))
        elif request.headers.get("expect-version", str(self.version)) != str(
            self.version
        ):
            writer.write(self.reject(request, 421))
        else:
            await self.run(request, reader, writer)

    def report(self):
        """Return the state that a model worker reports."""
        return {
            "stage": "both",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "queue_depth": 0,
            "in_flight": 0,
            "kv_used": 0,
            "kv_total": 150_000,
            "handles": 0,
            "born": self.born,
        }

    def order(self, order):
        """Carry out an order at once."""
        if order["version"] == self.version:
            return 200
        self.orders += 1
        self.version = order["version"]
        return 202

    def reject(self, request, status=503, **headers):
        """Return an answer that says that the request was not run."""
        fields = {"Request-Id": request.request_id, "Instance-Id": self.server_id}
        return encode(
            f"HTTP/1.1 {status} Rejected", {**fields, **NOT_EXECUTED, **headers}, b""
        )

    def head(self, request, **headers):
        """Return the headers of an answer to a request that runs."""
        stamp = f"{self.server_id}.{len(self.runs)}"
        fields = {"Request-Id": request.request_id, "Response-Stamp": stamp}
        fields |= {"Instance-Id": self.server_id, **headers}
        if self.model:
            fields["Weight-Versions"] = self.version
        return fields

    def record(self, request):
        """Record that a request begins to run."""
        self.runs.append((time.monotonic(), request))
        self.stage.log("run", self.server_id, request.request_id, request.target)

    async def run(self, request, reader, writer):
        """Run a request and answer it; plain workers take 30 ms."""
        self.record(request)
        await asyncio.sleep(0.03)
        body = f"{self.server_id} ran {request.request_id}\n".encode()
        writer.write(encode("HTTP/1.1 200 OK", self.head(request), body))


class ModelWorker(Worker):
    """Stream numbered events, as a sound model worker does."""

    events = 8
    interval_s = 0.02

    async def run(self, request, reader, writer):
        """Stream events, each in a chunk of its own."""
        self.record(request)
        await self.stream(request, writer, self.events)

    async def stream(self, request, writer, events):
        """Send the head and the events of a stream, and its end."""
        await self.begin_stream(request, writer)
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(self.interval_s)
            data = f"id: {number}\ndata: {request.request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def begin_stream(self, request, writer):
        """Send the head of a stream."""
        fields = self.head(request)
        fields |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", fields))
        await writer.drain()
