"""Disturb the TCP connections between real processes with a proxy."""

import contextlib
import ctypes
import enum
import socket
import struct

import gevent
from gevent.server import StreamServer

READ_BYTES = 65_536
# Size of a segment on a narrow link, in bytes, and interval between two, in seconds.
NARROW_BYTES = 1400
NARROW_INTERVAL_S = 0.01
# SO_LINGER on with 0 s, so that closing sends a TCP reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Socket option of Linux that filters what reaches a socket, and the instructions of
# such a filter: load the source address, compare it, and return the bytes to keep.
SO_ATTACH_FILTER = 26
BPF_LOAD_WORD, BPF_JUMP_IF_EQUAL, BPF_RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS_OFFSET = 0xFFF00000 + 12
# Interval between checks whether a blocked connection may forward again, in seconds.
POLL_INTERVAL_S = 0.05


class LinkMode(enum.Enum):
    """What a link does with its connections."""

    OPEN = "open"  # forwards at once
    SLOW = "slow"  # delays every chunk
    NARROW = "narrow"  # forwards little at a time, so that writers have to wait
    RESET = "reset"  # resets open and new connections
    SILENT = "silent"  # accepts connections and forwards nothing
    ONE_WAY = "one_way"  # forwards requests and holds back answers
    REFUSE = "refuse"  # accepts no new connections; open ones live on


class Link:
    """Forward connections to an address, as the current mode allows.

    `cuts` names modes for connections from single IP addresses. New connections from
    these hang before they are established, except with RESET.
    """

    def __init__(self, target, slow_s=0.3, cuts=None):
        self.target = target
        self.mode = LinkMode.OPEN
        self._cuts = {} if cuts is None else cuts
        self._slow_s = slow_s
        self._connections = set()
        # IP addresses of the clients, by the port from which the target is reached.
        self._sources = {}
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        self.update_filter()

    def set_mode(self, mode):
        """Change the mode, also for connections that are open."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self._reset_all()

    def update_filter(self):
        """Let the kernel drop the connection requests that the cuts hold back."""
        if not self._server.started:
            return
        dropped = [ip for ip, mode in self._cuts.items() if mode is not LinkMode.RESET]
        code = [(BPF_LOAD_WORD, 0, 0, SOURCE_ADDRESS_OFFSET)]
        for number, source in enumerate(dropped):
            address = int.from_bytes(socket.inet_aton(source))
            code.append((BPF_JUMP_IF_EQUAL, len(dropped) - number, 0, address))
        code += [(BPF_RETURN, 0, 0, 0xFFFFFFFF), (BPF_RETURN, 0, 0, 0)]
        data = b"".join(struct.pack("HBBI", *instruction) for instruction in code)
        buffer = ctypes.create_string_buffer(data)
        program = struct.pack("HP", len(code), ctypes.addressof(buffer))
        self._server.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def reset_from(self, source):
        """Reset the open connections from one IP address."""
        for connection in list(self._connections):
            if connection.source == source:
                connection.reset()

    def source_of(self, port):
        """Return the IP address of the client whose bytes come from a port, if any."""
        return self._sources.get(port)

    def stall_open_connections(self):
        """Stop forwarding on the connections that are open now, permanently."""
        for connection in self._connections:
            connection.stalled = True

    def stop(self):
        """Reset every connection and stop accepting new ones."""
        self._reset_all()
        self._server.stop(timeout=0)

    def _reset_all(self):
        for connection in list(self._connections):
            connection.reset()

    def _mode_for(self, source):
        """Return the mode for connections from an IP address."""
        return self._cuts.get(source, self.mode)

    def _serve(self, client_sock, address):
        source = address[0]
        if self._mode_for(source) in (LinkMode.RESET, LinkMode.REFUSE):
            _reset_connection(client_sock)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target_sock = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            _reset_connection(client_sock)
            return
        target_sock.settimeout(None)
        port = target_sock.getsockname()[1]
        self._sources[port] = source
        connection = Connection(client_sock, target_sock, source)
        self._connections.add(connection)
        tasks = [
            gevent.spawn(self._forward, client_sock, target_sock, connection, True),
            gevent.spawn(self._forward, target_sock, client_sock, connection, False),
        ]
        gevent.joinall(tasks)
        self._connections.discard(connection)
        self._sources.pop(port, None)

    def _forward(self, source, sink, connection, to_target):
        try:
            while data := source.recv(READ_BYTES):
                while connection.stalled or self._is_blocked(connection, to_target):
                    gevent.sleep(POLL_INTERVAL_S)
                mode = self._mode_for(connection.source)
                if mode is LinkMode.SLOW:
                    gevent.sleep(self._slow_s)
                while mode is LinkMode.NARROW and len(data) > NARROW_BYTES:
                    sink.sendall(data[:NARROW_BYTES])
                    data = data[NARROW_BYTES:]
                    gevent.sleep(NARROW_INTERVAL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset_connection(sink)
            _reset_connection(source)

    def _is_blocked(self, connection, to_target):
        """Return whether the mode holds back bytes in one direction."""
        match self._mode_for(connection.source):
            case LinkMode.SILENT:
                return True
            case LinkMode.ONE_WAY:
                return not to_target
            case _:
                return False


class Connection:
    """The two sockets of a forwarded connection."""

    __slots__ = ("socks", "source", "stalled")

    def __init__(self, client_sock, target_sock, source):
        self.stalled = False
        self.source = source
        self.socks = (client_sock, target_sock)

    def reset(self):
        """Reset both sides."""
        for sock in self.socks:
            _reset_connection(sock)


def _reset_connection(sock):
    # No shutdown first: its FIN would complete an answer that ends with its connection.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
