"""Define the limits on the work that the bytes of one peer may cause."""

from typing import Final

# Size below which a chunk, an event or a read counts as a small piece, in bytes. The
# work for it depends little on its size.
SMALL_PIECE_BYTES: Final = 512
# Number of small pieces that a reader handles before other tasks run. A piece takes
# about 15 us to decode, and up to 50 us if it is relayed.
PIECES_PER_TURN: Final = 64
# Number of bytes that a reader takes from its socket before other tasks run.
BYTES_PER_TURN: Final = 65_536
# Pause in which other tasks run, in seconds. With 0, gevent runs up to 1,000 tasks that
# are ready before it looks at sockets and timers again.
YIELD_S: Final = 1e-6
# Small pieces per second that one connection, and all connections to one peer, may
# carry before they are read more slowly, and how many may come at once. A stream with
# an event every 3 ms carries 1,000: each comes as a read, a chunk and an event.
CONNECTION_PIECES_S: Final = 2000.0
CONNECTION_PIECES_BURST: Final = 1024.0
PEER_PIECES_S: Final = 16_000.0
PEER_PIECES_BURST: Final = 16_000.0
# Pause after a turn of a peer beyond its rate, as a multiple of the time that the turn
# took, for each reader that pauses: together they get a quarter to a third of a core.
PAUSE_FACTOR: Final = 3.0
# Shortest and longest time by which one reader lengthens the pause, in seconds.
PAUSE_MIN_S: Final = 0.002
PAUSE_MAX_S: Final = 0.02
# Maximum time that an event may be unfinished while its connection is read more slowly,
# in seconds.
SLOWED_EVENT_S: Final = 1.0
