"""Streams and bodies that break off at any byte, on any link, in any way.

The client asks the first of three nodes. It has servers of its own, or it is cut off
from them and forwards requests to the second or the third node.
"""

import contextlib
import re
import socket
from collections import Counter
from types import SimpleNamespace

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from arbutusyard import clock
from arbutusyard.gateway.const import NO_LINGER
from arbutusyard.gateway.models import RetryPolicy
from arbutusyard.origins.coordinator import SOURCE_PEER, OriginCoordinator
from tests.framing import FRAMINGS
from tests.gateway.support import (
    STAMP,
    FakeNode,
    Gateway,
    ScriptedServer,
    answer,
    chunk,
    event,
    heartbeat_of,
    link,
    request_bytes,
    stream_head,
)
from tests.gateway.test_hedged_dispatch import turn_on

# Number of events of a stream.
EVENTS = 4
SMALL, LARGE = 100, 1_200_000
# Interval between heartbeats of the nodes, in seconds.
HEARTBEAT_S = 0.3
# Statuses that promise that no server ran a request.
PROMISES = {408, 421, 429, 503}

# End of what passes a link before it breaks, as a pattern of an answer's bytes.
POSITIONS = {
    "before_head": rb"",
    "in_head": rb"HTTP/1\.1 \d\d",
    "in_first_event": rb"id: 1\nda|<mid>",
    "in_event": rb"id: 2\nda|<mid>",
    "between_events": rb"id: 2\ndata: \w+\n\n|<mid>",
    "after_last": rb"id: 4\ndata: \w+\n\n|<end>",
}
LINKS = ("own_server", "node", "second_server", "client")
# "drain" stops a node with time to end its answers and "stop" without. At the links to
# servers both break nothing.
WAYS = ("fin", "rst", "exit", "drain", "stop", "silence")


class Fault:
    """One break of a link of some kind."""

    def __init__(self, kind, position, how, on_break):
        self.kind = kind
        self.how = how
        self.pattern = re.compile(POSITIONS[position])
        self.on_break = on_break
        self.fired = False


class BreakingLink:
    """Pass the bytes of connections to an address until a fault breaks them."""

    def __init__(self, target, faults):
        self._target = target
        self._faults = faults
        self._socks = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        host, port = self._target.rsplit(":", 1)
        try:
            upstream = socket.create_connection((host, int(port)))
        except OSError:
            return
        socks = {sock, upstream}
        self._socks |= socks
        sender = gevent.spawn(self._send, sock, upstream)
        try:
            self._pass_answer(sock, upstream, sender)
        except OSError:
            reset(sock)
        finally:
            self._socks -= socks
            sender.kill()
            upstream.close()

    @staticmethod
    def _send(sock, upstream):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                upstream.sendall(data)
        # The node has closed the connection.
        with contextlib.suppress(OSError):
            upstream.shutdown(socket.SHUT_RDWR)

    def _pass_answer(self, sock, upstream, sender):
        seen, passed = b"", 0
        while data := upstream.recv(65_536):
            seen += data
            fault = next((f for f in self._faults if not f.fired), None)
            match = fault and fault.pattern.search(seen, max(0, passed - 64))
            if match and match.end() >= passed:
                sock.sendall(seen[passed : match.end()])
                passed = match.end()
                fault.fired = True
                fault.on_break(fault)
                if self._break(fault.how, sock, upstream, sender):
                    return
            sock.sendall(seen[passed:])
            passed = len(seen)

    def _break(self, how, sock, upstream, sender):
        """Break a connection; return whether it has ended."""
        match how:
            case "rst":
                reset(sock)
                reset(upstream)
            case "silence":
                sender.join(10)
            case "exit":
                self._server.stop_accepting()
                self._server.close()
                for other in self._socks - {sock, upstream}:
                    with contextlib.suppress(OSError):
                        other.shutdown(socket.SHUT_RDWR)
            case "drain" | "stop":
                return False
        return True


def reset(sock):
    """Let the end of a connection reset it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def drain(gateway, seconds):
    """Stop a gateway as SIGTERM does."""
    now = clock.now()
    gateway.relay.start_draining(now, now + seconds)
    for ingress in (gateway.ingress, gateway.node_ingress):
        ingress.set_drain_deadline(now + seconds)
    gevent.joinall(
        [
            gevent.spawn(ingress.drain)
            for ingress in (gateway.ingress, gateway.node_ingress)
        ]
    )
    gateway.stop()


class SharedOrigins(OriginCoordinator):
    """Origins of streams that are asked of other nodes without datagrams."""

    def __init__(self, me, fleet_state):
        super().__init__(me, fleet_state)
        self.asked = lambda: []

    def _ask(self, digest, now):
        for other in self.asked():
            self._add_batches(other.records.batches((digest,), now), SOURCE_PEER, now)


class Fleet:
    """Three nodes and six servers, of one or two software versions."""

    def __init__(self, stack, case):
        self.case = case
        self.runs = []
        self.stopped = set()
        # Heartbeats of nodes go on through the silence of their link.
        self.keeps_beating = False
        self._stack = stack
        self.faults = [
            Fault(kind, position, how, self._on_break)
            for kind, position, how in case.faults
        ]
        versions = ["v1"] * 3 + (["v2"] if case.two_versions else ["v1"]) * 3
        servers = [
            self._start(ScriptedServer(self._script(version))) for version in versions
        ]
        self.nodes = [
            self._start_node(
                [self._link(kind, server.address) for server in servers], versions
            )
            for kind in ("own_server", "second_server", "third_server")
        ]
        self._front = self._link("client", self.nodes[0].ingress.address)
        # What the first node takes for the others.
        self._others = [
            SimpleNamespace(
                ingress=node.ingress,
                node_ingress=self._link("node", node.node_ingress.address),
            )
            for node in self.nodes[1:]
        ]
        kind = case.faults[0][0]
        is_forwarded = case.forwarded if kind == "client" else kind != "own_server"
        self._set_cut_off(is_forwarded)
        self._seq = 0
        self._beat()
        beating = gevent.spawn(self._beat_forever)
        stack.callback(beating.kill)

    def _start(self, item):
        self._stack.callback(item.stop)
        return item

    def _link(self, kind, address):
        faults = [fault for fault in self.faults if fault.kind == kind]
        if not faults:
            return SimpleNamespace(address=address)
        return self._start(BreakingLink(address, faults))

    def _start_node(self, servers, versions):
        case = self.case
        node = self._start(
            Gateway(
                *servers,
                retry_policy=case.policy,
                streaming=case.streaming,
                max_attempts=case.max_attempts,
                timeout_s=5.0,
                origins=SharedOrigins,
            )
        )
        node.relay.origins.asked = lambda: [
            other.relay.origins
            for number, other in enumerate(self.nodes)
            if number not in self.stopped
        ]
        table = node.fleet_state.servers
        for number, version in enumerate(versions):
            entry = table.get(f"s{number}").entry
            table.update(replace(entry, software_version=version))
        if case.hedged:
            turn_on(node)
        return node

    def _set_cut_off(self, cut_off):
        """Set whether the first node reaches servers."""
        for server in self.nodes[0].fleet_state.servers.servers.values():
            server.suspected = cut_off

    def _on_break(self, fault):
        if fault is self.faults[0]:
            self._set_cut_off(self.case.cut_off_after)
        number = {"client": 0, "node": 1}.get(fault.kind)
        if number is None:
            return
        match fault.how:
            case "drain" | "stop":
                self.stopped.add(number)
                seconds = 1.0 if fault.how == "drain" else 0.0
                gevent.spawn(drain, self.nodes[number], seconds)
            case "exit":
                self.stopped.add(number)
            case "silence" if number and not self.keeps_beating:
                self.stopped.add(number)

    def _beat_forever(self):
        while True:
            gevent.sleep(HEARTBEAT_S)
            self._beat()

    def _beat(self):
        self._seq += 1
        for number, other in enumerate(self._others, 1):
            if number not in self.stopped:
                heartbeat = heartbeat_of(other, f"n{number + 1}", self._seq)
                self.nodes[0].peers.apply_heartbeat(heartbeat, clock.now())

    def _script(self, version):
        """Return the script of a server; each run of a body has its own letter."""
        case = self.case

        def script(request):
            number = len(self.runs)
            self.runs.append(request.headers["request-id"])
            if case.hedged:
                gevent.sleep(0.04)
            fails = case.fails_first and not number
            if case.streaming and not fails:
                after = int(request.headers.get("last-event-id", 0))
                parts = [event(n, version) for n in range(after + 1, EVENTS + 1)]
            else:
                parts = [whole_body(number, case.size)]
            if case.framing == "chunked":
                framing = "Transfer-Encoding: chunked\r\n"
                parts = [*map(chunk, parts), b"0\r\n\r\n"]
            elif case.framing == "length":
                framing = f"Content-Length: {sum(map(len, parts))}\r\n"
            else:
                framing = ""
                request.last = True
            status = "500 Error" if fails else "200 OK"
            name = request.headers["request-id"]
            yield (
                f"HTTP/1.1 {status}\r\nRequest-Id: {name}\r\n{STAMP}{framing}\r\n"
            ).encode()
            for part in parts:
                yield part
                gevent.sleep(0.002)

        return script

    def address(self, number):
        return self.nodes[number].ingress.address if number else self._front.address

    def ask(self, number, request_id, **headers):
        """Send a request to a node; return what the client got of the answer."""
        raw = request_bytes(Request_Id=request_id, Deadline_Ms="4000", **headers)
        raw = raw.replace(b"HTTP/1.1", f"HTTP/{self.case.http_version}".encode())
        silent = any(f.kind == "client" and f.how == "silence" for f in self.faults)
        is_undisturbed = all(fault.fired for fault in self.faults)
        got = ask(self.address(number), raw, 0.5 if silent else 5.0)
        got.request_id, got.is_undisturbed = request_id, is_undisturbed
        return got


def whole_body(number, size):
    letter = b"abcdefghijklmnopqrst"[number : number + 1]
    half = letter * (size // 2)
    return half + b"<mid>" + half + b"<end>"


def ask(address, raw, timeout_s):
    """Send a request; return the answer, also a part of one."""
    host, port = address.rsplit(":", 1)
    data = b""
    got = parse(data, ended=False)
    # A reset or silence ends an answer early, in any framing.
    with (
        contextlib.suppress(OSError),
        socket.create_connection((host, int(port)), timeout=timeout_s) as sock,
    ):
        sock.sendall(raw)
        while not got.complete:
            more = sock.recv(262_144)
            data += more
            got = parse(data, ended=not more)
            if not more:
                break
    return got


def parse(data, ended):
    """Return the status and body in the bytes of an answer, and whether it is whole.

    `ended` says that the connection has ended in order.
    """
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return SimpleNamespace(status=0, body=b"", complete=False)
    head = head.lower()
    complete = ended
    if length := re.search(rb"\ncontent-length: *(\d+)", head):
        complete = len(body) == int(length[1])
    elif b"transfer-encoding: chunked" in head:
        body, complete = join_chunks(body)
    return SimpleNamespace(status=int(head.split()[1]), body=body, complete=complete)


def join_chunks(data):
    """Return what has come of a body in chunks, and whether that is all of it."""
    parts, position = [], 0
    while size := re.compile(rb"([0-9a-fA-F]+)\r\n").match(data, position):
        if not int(size[1], 16):
            return b"".join(parts), True
        end = size.end() + int(size[1], 16)
        parts.append(data[size.end() : end])
        position = end + 2
    return b"".join(parts), False


def events_of(body):
    """Return the id and the software version of each whole event."""
    end = body.rfind(b"\n\n")
    whole = body[: end + 2] if end >= 0 else b""
    found = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", whole)
    assert b"".join(b"id: %s\ndata: %s\n\n" % item for item in found) == whole
    return [(int(number), version) for number, version in found]


def may_look_complete(case):
    """Tell whether the platform's protocol lets a part of an answer look complete.

    A FIN ends an answer without length and chunks, as older clients get it.
    """
    kinds = {"own_server", "second_server"} if case.framing == "close" else set()
    if case.http_version == "1.0":
        kinds.add("client")
    return any(
        kind in kinds
        and how in ("fin", "exit")
        and position not in ("before_head", "in_head")
        for kind, position, how in case.faults
    )


def must_go_on(case):
    """Tell whether the stream of a client can go on after the faults."""
    kinds = Counter(kind for kind, _, _ in case.faults)
    positions = {position for _, position, _ in case.faults}
    return (
        case.policy is RetryPolicy.RESUME
        and not case.fails_first
        and not kinds["client"]
        # A request that two servers crashed on is quarantined.
        and sum("server" in k and how == "exit" for k, _, how in case.faults) < 2
        # Without events, the end of a connection may be that of a crashed server.
        and not (case.framing == "close" and "after_last" in positions)
        # Each fault and an extra attempt may be an execution.
        and 1 + len(case.faults) + case.hedged <= case.max_attempts
        # A node asks no server again at which an attempt failed or was cancelled.
        and len(case.faults) + case.hedged <= 2
        # A node may be asked once, and two others are there.
        and (kinds["node"] < 2 or not case.cut_off_after)
    )


def play(case):
    """Let a client ask, resume its stream if that breaks off, and return its tries."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, case)
        tries = [fleet.ask(0, "r0")]
        if case.policy is RetryPolicy.RESUME:
            numbers = (case.resumes_at, (case.resumes_at + 1) % 3)
            for retry, number in enumerate(numbers, 1):
                events = [item for got in tries for item in events_of(got.body)]
                if not events or tries[0].status != 200 or tries[-1].complete:
                    break
                if number in fleet.stopped:
                    continue
                headers = {"Last_Event_Id": str(events[-1][0]), "Resumes": "r0"}
                got = fleet.ask(number, f"r{retry}", **headers)
                if got.status == 200:
                    tries.append(got)
                check_promise(got, fleet)
        check(case, fleet, tries)
        return tries


def check_promise(got, fleet):
    if got.status in PROMISES:
        assert got.request_id not in fleet.runs, f"{got.status} after a run"


def check(case, fleet, tries):
    runs = Counter(fleet.runs)
    check_promise(tries[0], fleet)
    if case.policy is RetryPolicy.ONCE:
        assert all(count == 1 for count in runs.values()), runs
    if case.streaming and tries[0].status == 200:
        check_stream(case, tries)
    else:
        check_body(case, tries[0])
    if must_go_on(case) and not may_look_complete(case):
        first = tries[0]
        assert (first.status, first.complete) == (200, True), (first.status, runs)


def check_stream(case, tries):
    """Check the events of all tries, and that what looks complete is complete."""
    events = []
    for got in tries:
        events += events_of(got.body)
        is_whole = got.complete and len(events) == EVENTS
        assert is_whole or not got.complete or may_look_complete(case), events
        # Nothing broke any more, and servers could go on.
        assert got.complete or not got.is_undisturbed, events
    assert [number for number, _ in events] == list(range(1, len(events) + 1))
    assert len({version for _, version in events}) <= 1


def check_body(case, got):
    """Check that a body is that of one run, and whole if it looks so."""
    if not got.body or not case.streaming and got.status not in (200, 500):
        return
    number = got.body[0] - ord("a")
    whole = whole_body(number, case.size)
    assert whole.startswith(got.body)
    assert not got.complete or got.body == whole or may_look_complete(case)


def faults(links):
    """Return faults of links; silence takes long, so it is rare."""
    ways = [way for way in WAYS[:-1] for _ in range(5)] + ["silence"]
    return st.tuples(
        st.sampled_from(links), st.sampled_from(list(POSITIONS)), st.sampled_from(ways)
    )


@st.composite
def cases(draw):
    kind = draw(st.sampled_from(["resume"] * 3 + ["once", "stream_once", "any"]))
    policy, streaming = {
        "resume": (RetryPolicy.RESUME, True),
        "once": (RetryPolicy.ONCE, False),
        "stream_once": (RetryPolicy.ONCE, True),
        "any": (RetryPolicy.ANY, False),
    }[kind]
    first = draw(faults(LINKS))
    others = draw(st.lists(faults(LINKS), max_size=1))
    return SimpleNamespace(
        policy=policy,
        streaming=streaming,
        faults=[first, *others],
        framing=draw(st.sampled_from(FRAMINGS)),
        http_version=draw(st.sampled_from(["1.1", "1.1", "1.0"])),
        size=draw(st.sampled_from([SMALL, SMALL, LARGE])),
        fails_first=draw(st.sampled_from([False] * 4 + [True])),
        max_attempts=draw(st.sampled_from([2, 4])),
        two_versions=draw(st.booleans()),
        hedged=draw(st.sampled_from([False, False, True])),
        forwarded=draw(st.booleans()),
        cut_off_after=draw(st.booleans()),
        resumes_at=draw(st.integers(0, 2)),
    )


# Guards against answers that hold pieces twice, in another order or of two runs, that
# look complete and are not, or that break off without need, and against second runs.
@settings(max_examples=200, report_multiple_bugs=False)
@given(cases())
def test_an_answer_holds_each_piece_once_whatever_breaks(case):
    play(case)


def make_case(*faults, **fields):
    """Return a case of a stream that may be resumed, with changes."""
    return SimpleNamespace(
        **{
            "policy": RetryPolicy.RESUME,
            "streaming": True,
            "faults": list(faults),
            "framing": "chunked",
            "http_version": "1.1",
            "size": SMALL,
            "fails_first": False,
            "max_attempts": 4,
            "two_versions": False,
            "hedged": False,
            "forwarded": True,
            "cut_off_after": True,
            "resumes_at": 0,
            **fields,
        }
    )


# Guards against a resumed stream that begins again or goes on at another version, after
# another node began it.
@pytest.mark.parametrize("resumes_at", [0, 1, 2])
@pytest.mark.parametrize("position", ["in_event", "between_events", "after_last"])
def test_a_client_resumes_a_forwarded_stream_at_any_node(position, resumes_at):
    fault = ("client", position, "rst")
    tries = play(make_case(fault, two_versions=True, resumes_at=resumes_at))
    assert [got.status for got in tries] == [200, 200]
    assert tries[1].complete


# Guards against events that follow a part of an error body in one answer.
@pytest.mark.parametrize("kind", ["node", "second_server"])
@pytest.mark.parametrize("how", ["fin", "exit"])
@pytest.mark.parametrize("cut_off_after", [False, True])
def test_no_event_follows_a_part_of_a_large_error_body(kind, how, cut_off_after):
    fault = (kind, "after_last", how)
    (got,) = play(
        make_case(fault, fails_first=True, size=LARGE, cut_off_after=cut_off_after)
    )
    assert (got.status, got.complete) == (500, False)


# Guards against streams that a node breaks off, or runs elsewhere, when it is told to
# stop and still has the time to end them.
def test_a_draining_node_ends_the_streams_that_it_relays():
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, make_case(("node", "between_events", "drain")))
        got = fleet.ask(0, "r0")
        assert (got.status, got.complete) == (200, True)
        assert fleet.runs == ["r0"]


# Guards against streams that end with a node that stops before it has ended them.
@pytest.mark.parametrize("cut_off_after", [False, True])
def test_a_stream_goes_on_after_the_node_that_relayed_it_stopped(cut_off_after):
    case = make_case(("node", "between_events", "stop"), cut_off_after=cut_off_after)
    (got,) = play(case)
    assert (got.status, got.complete) == (200, True)


@pytest.fixture
def make():
    with contextlib.ExitStack() as stack:

        def start(kind, *args, **kwargs):
            item = kind(*args, **kwargs)
            stack.callback(item.stop)
            return item

        yield start


STREAM = {"streaming": True, "retry_policy": RetryPolicy.RESUME, "max_attempts": 4}


def cut_off(make, **route):
    """Return a node that reaches none of its servers."""
    server = make(ScriptedServer, lambda request: [answer(request)])
    gateway = make(Gateway, server, **route)
    gateway.fleet_state.servers.get("s0").suspected = True
    return gateway


def break_off(request):
    """End the connection before the head of the answer, after the request has run."""
    request.last = True
    return []


def begin(request):
    """Send two events and end the connection."""
    request.last = True
    yield stream_head(request) + chunk(event(1) + event(2))


def refuse(status):
    headers = "Retry-After: 1\r\n"
    return lambda request: [answer(request, f"{status} Refused", b"", headers)]


# Guards against a second head, or a body, within an answer that has begun.
@pytest.mark.parametrize("status", sorted(PROMISES))
def test_a_refusal_does_not_follow_the_events_of_another_node(make, status):
    cut = cut_off(make, **STREAM)
    refusing = make(FakeNode, refuse(status))
    link(cut, make(FakeNode, begin), refusing)
    got = cut.call()
    assert len(refusing.requests) == 1
    assert (got.status, got.complete, got.body) == (200, False, event(1) + event(2))


# Guards against statuses that promise that a request has not run, after another node
# may have run it.
@pytest.mark.parametrize("status", [429, 503])
def test_no_refusal_is_relayed_after_another_node_may_have_run_it(make, status):
    for policy in (RetryPolicy.ANY, RetryPolicy.RESUME):
        streaming = policy is RetryPolicy.RESUME
        cut = cut_off(make, retry_policy=policy, streaming=streaming, max_attempts=4)
        refusing = make(FakeNode, refuse(status))
        link(cut, make(FakeNode, break_off), refusing)
        got = cut.call()
        assert len(refusing.requests) == 1
        assert got.status in (502, 504)


# Guards against the same promise where the origin of a resumed stream is not known.
def test_a_resume_is_not_refused_after_another_node_may_have_run_it(make):
    cut = cut_off(make, **STREAM)
    server = cut.fleet_state.servers.get("s0").entry
    other = replace(server, server_id="s1", software_version="v2")
    cut.fleet_state.servers.update(other)
    cut.fleet_state.servers.get("s1").suspected = True
    node = make(FakeNode, break_off)
    link(cut, node)
    got = cut.call(Request_Id="r2", Last_Event_Id="2", Resumes="r1")
    assert len(node.requests) == 1
    assert got.status in (502, 504)


# Guards against more runs of one attempt of a client than its route permits, as each
# node counts only those that it has made.
def test_nodes_together_run_a_stream_at_most_as_often_as_its_route_permits(make):
    runs = []

    def one_event(request):
        runs.append(request)
        request.last = True
        after = int(request.headers.get("last-event-id", 0))
        yield stream_head(request) + chunk(event(after + 1))

    servers = [make(ScriptedServer, one_event) for _ in range(6)]
    route = {**STREAM, "max_attempts": 2}
    cut = cut_off(make, **route)
    link(cut, *(make(Gateway, *servers, **route) for _ in range(3)))
    cut.call()
    assert len(runs) <= 2


# Guards against a stream that waits for a silent server at a node that is cut off,
# though another node could serve it.
def test_a_node_that_is_cut_off_does_not_wait_for_a_silent_server():
    (got,) = play(make_case(("own_server", "before_head", "silence")))
    assert (got.status, got.complete) == (200, True)


# Guards against a stream that ends with the silence of a node that is alive.
def test_a_stream_goes_on_after_a_node_has_fallen_silent():
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, make_case(("node", "in_event", "silence")))
        fleet.keeps_beating = True
        got = fleet.ask(0, "r0")
        assert (got.status, got.complete) == (200, True)
