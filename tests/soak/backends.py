"""Simulate backend servers that fail as the platform's specification allows."""

import json
import random
import socket

import gevent
from gevent.lock import DummySemaphore, Semaphore
from gevent.server import StreamServer
from gevent.socket import wait_read

from arbutusyard.gateway.const import NO_LINGER
from tests.framing import FRAMINGS, frame
from tests.gateway.support import answer, not_run, read_message
from tests.soak import resumes
from tests.soak.const import (
    DEADLY_BODY,
    DEADLY_RESTART_S,
    DEADLY_RUN_S,
    DRAIN_S,
    ENTRY_EXPIRY_S,
    HEARTBEAT_S,
    LINGER_S,
    MODEL,
    QUEUE,
    SLOTS,
    SLOW_S,
    UNREAD_BYTES,
    UNREAD_PREFIX,
    WEIGHTS_LOAD_S,
)
from tests.soak.ledger import plain_body, stream_event
from tests.soak.proxy import Link, LinkMode
from tests.soak.resumes import STREAM_PREFIX, software_event

IDENTITY_HEADERS = "Response-Stamp: {0}\r\nInstance-Id: {0}\r\n"
# Mean time that a server works on a request, in seconds.
MEAN_WORK_S = 0.03
# Pause between two events of a stream, in seconds.
EVENT_INTERVAL_S = 0.01
# Maximum number of events of a stream; also the time that a hanging server waits, in
# seconds.
MAX_EVENTS = 12
# Factor by which a server that applies all orders late takes longer than one that
# does so with some.
STUCK_FACTOR = 2
# Fraction of the requests that a partly failing server handles wrongly.
FAULTY_FRACTION = 0.4


class Backend:
    """Serve one service behind a link; each start is a new incarnation."""

    def __init__(self, name, service, ledger, store, rng, has_slots):
        self.name = name
        self.service = service
        self.is_engine = service == "llm"
        # Whether it rejects requests when its slots and its queue are full.
        self._has_slots = has_slots
        self.version = 1
        # Version of the software with which the next incarnation starts.
        self.next_software = "v1"
        self.fault = ""
        # "copies" if it repeats rejections late, "report" if its report does not end.
        self.abuse = ""
        self._ledger = ledger
        self._store = store
        self._rng = rng
        # Separate generator, so that framings leave a seed's other faults unchanged.
        self._framing_rng = random.Random(f"framing {name} {service}")
        self._abuse_rng = random.Random(f"abuse {name} {service}")
        self._start_count = 0
        # Modes of the link for connections from single nodes, by IP address.
        self._cuts = {}
        self._link = None
        self._tasks = []
        self.start()

    def start(self):
        """Begin an incarnation under a new id and address."""
        self._start_count += 1
        self.server_id = f"{self.name}-{self._start_count}"
        self.software = self.next_software
        self.started_at_ms = 1_000 * self._start_count
        self.state = "ready"
        self.fault = ""
        self.revision = 0
        self.fencing_token = 0
        self.loading = False
        self.limit_header = ""
        self._slots = Semaphore(SLOTS) if self._has_slots else DummySemaphore()
        # Requests that are worked on or wait for a slot.
        self._accepted = []
        self._slow_until = 0.0
        self._silent_until = 0.0
        self._connection_tasks = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._link = Link(f"127.0.0.1:{self._server.server_port}", cuts=self._cuts)
        self._tasks = [gevent.spawn(self._write_periodically)]

    @property
    def link(self):
        """Return the link through which the nodes reach this server."""
        return self._link

    def cut_off(self, source, mode):
        """Let the links of this and later starts treat one node's IP address so."""
        self._cuts[source] = mode
        self._link.update_filter()
        if mode is LinkMode.RESET:
            self._link.reset_from(source)

    def reconnect(self, source):
        """End a node's cut."""
        self._cuts.pop(source, None)
        self._link.update_filter()

    def name_limit(self, limit_s):
        """Name the requests per second that this server accepts from all nodes."""
        self._ledger.limits.name_limit(self.server_id, limit_s, self._ledger.now())
        self.limit_header = f"Server-Limit: {limit_s}\r\n"

    def end_limit(self):
        """Stop naming a limit."""
        self.limit_header = ""
        self._ledger.limits.end_limit(self.server_id)

    def slow_down(self):
        """Begin no work for a while."""
        self._slow_until = self._ledger.now() + SLOW_S

    def fall_silent(self, silent_s):
        """Handle nothing for a while, though connections are accepted."""
        self._silent_until = self._ledger.now() + silent_s

    def crash(self):
        """Stop at once, without a report; the server's entry expires later."""
        gevent.killall([*self._tasks, *self._connection_tasks], block=False)
        self._server.stop(timeout=0)
        self._link.stop()
        gevent.spawn_later(
            ENTRY_EXPIRY_S, self._store.remove, "servers", self.server_id
        )

    def _crash_and_restart(self):
        self.state = "crashed"
        self.crash()
        gevent.sleep(DEADLY_RESTART_S)
        self.start()

    def forget_entry(self):
        """Remove this server's entry, which it writes again soon."""
        if self.has_entry:
            self._store.remove("servers", self.server_id)

    @property
    def has_entry(self):
        """Return whether this server writes its entry."""
        return self.state not in ("crashed", "left")

    def drain(self):
        """Report that it drains, serve on for the drain time, then stop and restart."""
        self.state = "draining"
        self.write()
        self._leave(DRAIN_S + LINGER_S)

    def leave(self, linger_s):
        """Remove the entry without a report, serve on for a time, then restart."""
        self.state = "left"
        self._store.remove("servers", self.server_id)
        self._leave(linger_s)

    def _leave(self, linger_s):
        self._ledger.draining_at[self.server_id] = self._ledger.now()
        gevent.sleep(linger_s)
        gevent.killall([*self._tasks, *self._connection_tasks], block=False)
        self._server.stop(timeout=0)
        self._link.stop()
        self._store.remove("servers", self.server_id)
        self.start()

    def stop(self):
        """Stop serving without changing the server's entry."""
        gevent.killall([*self._tasks, *self._connection_tasks], block=False)
        self._server.stop(timeout=0)
        self._link.stop()

    def _write_periodically(self):
        while True:
            if self.has_entry:
                self.write()
            gevent.sleep(HEARTBEAT_S)

    def write(self):
        """Write this server's entry to the store."""
        models = [{"name": MODEL, "version": self.version}] if self.is_engine else []
        entry = {
            "service": self.service,
            "address": self._link.address,
            "zone": "z",
            "version": self.software,
            "slots": SLOTS if self._has_slots else 32,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "models": models,
            "born": self.started_at_ms,
        }
        self._store.write("servers", self.server_id, entry)

    def _serve(self, sock, address):
        task = gevent.getcurrent()
        self._connection_tasks.add(task)
        try:
            reader = sock.makefile("rb")
            # Rejections on this connection that are repeated late.
            copies = []
            while request := read_message(reader):
                request.copies = copies
                request.source = self._link.source_of(address[1])
                if self._silent_until > self._ledger.now():
                    gevent.sleep(self._silent_until - self._ledger.now())
                    if _has_ended(sock):
                        return
                self._ledger.record_arrival(self.server_id, request)
                self._handle(sock, request)
                if request.last:
                    return
        except (OSError, ValueError):
            return
        finally:
            self._connection_tasks.discard(task)
            sock.close()

    def _handle(self, sock, request):
        if request.headers.get("expect-instance", self.server_id) != self.server_id:
            sock.sendall(
                not_run(
                    request, "421 Misdirected", f"Instance-Id: {self.server_id}\r\n"
                )
            )
        elif request.first.startswith("GET /-/report"):
            while self.abuse == "report":
                sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b" " * 65_536)
            sock.sendall(self._report(request))
        elif request.first.startswith("POST /-/order"):
            self._handle_order(sock, request)
        elif self.is_engine and self.loading:
            sock.sendall(not_run(request, headers=self.limit_header))
        elif self.is_engine and self._expects_other_version(request):
            sock.sendall(not_run(request, "421 Misdirected", self.limit_header))
        else:
            self._execute(sock, request)

    def _expects_other_version(self, request):
        expected = request.headers.get("expect-version")
        return expected is not None and expected != str(self.version)

    def _report(self, request):
        report = {
            "busy": self.loading,
            "sequence": self.revision,
            "models": [{"name": MODEL, "version": self.version}],
            "born": self.started_at_ms,
        }
        return answer(
            request, body=json.dumps(report).encode(), headers=self.limit_header
        )

    def _handle_order(self, sock, request):
        order = json.loads(request.body)
        delayed = self.fault == "late" and self._rng.random() < FAULTY_FRACTION
        if delayed or self.fault == "stuck":
            delay_s = self._rng.uniform(0.5, 4.0) * (1 if delayed else STUCK_FACTOR)
            gevent.spawn_later(delay_s, self._apply_order, order)
            request.last = True
            return
        status = self._apply_order(order)
        sock.sendall(answer(request, f"{status} X", b"", self.limit_header))

    def _apply_order(self, order):
        """Apply an order to load weights; return the HTTP status."""
        self._ledger.record_order(order["holder"], order["fencing_token"])
        if order["fencing_token"] < self.fencing_token:
            return 412
        self.fencing_token = order["fencing_token"]
        if order["version"] == self.version:
            return 200
        if self.loading or order["if_revision"] != self.revision:
            return 409
        self.revision += 1
        self.loading = True
        gevent.spawn_later(WEIGHTS_LOAD_S, self._finish_loading, order["version"])
        return 202

    def _finish_loading(self, version):
        self.version = version
        self.loading = False

    def _execute(self, sock, request):
        fault = self.fault if self._rng.random() < FAULTY_FRACTION else ""
        while request.copies:
            sock.sendall(request.copies.pop())
        if self.abuse == "copies" and self._abuse_rng.random() < FAULTY_FRACTION:
            request.copies.append(not_run(request, headers=self.limit_header))
            sock.sendall(request.copies[-1])
            return
        if fault == "shed":
            headers = f"Retry-After: 0.7\r\n{self.limit_header}"
            sock.sendall(not_run(request, headers=headers))
            return
        accepted = self._accepted
        if self._has_slots and len(accepted) >= SLOTS + QUEUE:
            self._ledger.full += 1
            sock.sendall(not_run(request, headers=self.limit_header))
            return
        weights = self.version if self.is_engine else None
        run = self._ledger.record_run(self.server_id, request, weights)
        accepted.append(request)
        try:
            with self._slots:
                if self._slow_until > self._ledger.now():
                    gevent.sleep(self._slow_until - self._ledger.now())
                self._work(sock, request, run, fault)
        finally:
            accepted.pop()

    def _work(self, sock, request, run, fault):
        if request.body == DEADLY_BODY:
            gevent.sleep(DEADLY_RUN_S)
            if self.state == "ready":
                self._ledger.record_deadly_crash(self.server_id)
                gevent.spawn(self._crash_and_restart)
            request.last = True
            return
        gevent.sleep(self._rng.uniform(0, 2 * MEAN_WORK_S))
        if fault == "mute" and self._has_slots:
            # The slot is free again once the request's connection has ended.
            wait_read(sock.fileno(), MAX_EVENTS)
            request.last = True
            return
        if fault == "mute":
            gevent.sleep(MAX_EVENTS)
        if fault == "reset":
            request.last = True
            return
        headers = IDENTITY_HEADERS.format(self.server_id) + self.limit_header
        if self.state == "draining":
            headers += "Server-Leaving: 1\r\n"
        if self.is_engine:
            self._stream(sock, request, headers, fault)
        elif fault == "errors":
            sock.sendall(answer(request, "500 Error", b"no", headers))
        else:
            self._send_plain(sock, request, headers, fault)
        if request.last and fault == "torn":
            return
        run.answered = True
        if fault == "extra" and request.headers["request-id"][-1] in "02468ace":
            self._send_garbage(sock)

    def _send_garbage(self, sock):
        """Send bytes that are not an HTTP answer until the other side closes."""
        while True:
            sock.sendall(b"\x00" * 4096)
            gevent.sleep(EVENT_INTERVAL_S)

    def _send_plain(self, sock, request, headers, fault):
        body = plain_body(self.server_id, request.headers["request-id"])
        if request.headers["request-id"].startswith(UNREAD_PREFIX):
            body += b"x" * UNREAD_BYTES
        head, data, framing = self._framed(request, headers, [body])
        if fault == "torn":
            # A FIN would complete an answer that ends with its connection.
            end_fraction = self._framing_rng.random()
            reset = framing == "close" or self._framing_rng.random() < 0.5
            self._break_off(sock, request, head + data, end_fraction, reset)
            return
        sock.sendall(head + data)
        if framing == "close":
            request.last = True
        elif fault == "extra":
            sock.sendall(head + data)

    def _stream(self, sock, request, headers, fault):
        """Send a stream event by event, or a part of it that ends anywhere."""
        request_id = request.headers.get("resumes", request.headers["request-id"])
        first = int(request.headers.get("last-event-id", 0)) + 1
        interval_s = EVENT_INTERVAL_S
        if request_id.startswith(STREAM_PREFIX):
            stream_id = request_id.partition(".")[0]
            interval_s = resumes.EVENT_INTERVAL_S
            total = random.Random(stream_id).randint(resumes.MIN_EVENTS, MAX_EVENTS)
            events = [
                software_event(stream_id, n, total, self.software)
                for n in range(first, total + 1)
            ]
        else:
            total = random.Random(request_id).randint(1, MAX_EVENTS)
            events = [
                stream_event(request_id, n, total) for n in range(first, total + 1)
            ]
        headers += f"Weight-Versions: {self.version}\r\n"
        headers += "Content-Type: text/event-stream\r\n"
        head, data, framing = self._framed(request, headers, events)
        if fault in ("torn", "errors"):
            reset = self._framing_rng.random() < 0.5
            end_fraction = self._framing_rng.random()
            if framing == "close" and not reset:
                # Between two events a FIN would complete the stream.
                data = b"".join(events[: len(events) // 2 + 1])[:-1]
                end_fraction = 1.0
            self._break_off(sock, request, head + data, end_fraction, reset)
            return
        sock.sendall(head)
        size = max(1, len(data) // max(1, len(events)))
        for start in range(0, len(data), size):
            sock.sendall(data[start : start + size])
            gevent.sleep(interval_s)
        if framing == "close":
            request.last = True

    def _framed(self, request, headers, parts):
        """Return the head and the body of an answer in a random framing, and that."""
        framing = self._framing_rng.choice(FRAMINGS)
        framing_headers, data = frame(framing, parts)
        name = request.headers["request-id"]
        lines = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n{headers}{framing_headers}"
        return f"{lines}\r\n".encode(), data, framing

    @staticmethod
    def _break_off(sock, request, data, end_fraction, reset):
        """Send a part of an answer, and end its connection with a FIN or a reset."""
        request.last = True
        sock.sendall(data[: int(len(data) * end_fraction)])
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _has_ended(sock):
    """Return whether the other side has closed a connection."""
    sock.setblocking(False)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    finally:
        sock.setblocking(True)
