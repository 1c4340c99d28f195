"""Non-blocking writer of JSON lines to a file descriptor."""

import os
import select
from collections import deque

import orjson
from attrs import define, field

MAX_PENDING_BYTES = 262_144
PIPE_WRITE_BYTES = 4096  # a writable pipe accepts this much without blocking
MAX_WRITES_PER_FLUSH = 64


@define
class LineSink:
    """Queues lines and writes as many as possible without blocking.

    Attributes:
        fd: File descriptor of the output.
        pending: Queued lines; the first may be the rest of a partly written
            line.
        pending_bytes: Total size of the queued lines.
        dropped: Number of lines dropped since the last report because the queue
            was full.
    """

    fd: int
    pending: deque[bytes] = field(factory=deque)
    pending_bytes: int = 0
    dropped: int = 0

    def write(self, message: dict[str, object]) -> None:
        """Queue a message as one line and write without blocking.

        The line is dropped if the queue would exceed ``MAX_PENDING_BYTES``.
        """
        line = encode_line(message)
        if self.pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self._queue(line)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until a write would block.

        A call makes at most ``MAX_WRITES_PER_FLUSH`` writes.
        """
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        if self.dropped and not self.pending:
            self._report_dropped()
        for _ in range(MAX_WRITES_PER_FLUSH):
            if not self.pending or not poll.poll(0):
                return
            self._write()

    def _queue(self, line: bytes) -> None:
        self.pending.append(line)
        self.pending_bytes += len(line)

    def _write(self) -> None:
        batch = bytearray()
        while self.pending and len(batch) < PIPE_WRITE_BYTES:
            batch += self.pending.popleft()
        head, tail = (
            bytes(batch[:PIPE_WRITE_BYTES]),
            bytes(batch[PIPE_WRITE_BYTES:]),
        )
        try:
            written = os.write(self.fd, head)
        except OSError:
            # The reader closed the pipe, so the error cannot be logged either.
            written = len(head)
        rest = head[written:] + tail
        if rest:
            self.pending.appendleft(rest)
        self.pending_bytes -= written

    def _report_dropped(self) -> None:
        count = self.dropped
        self.dropped = 0
        text = 'log: lines dropped, the reader is too slow'
        self._queue(encode_line({'message_type': text, 'count': count}))


def encode_line(message: dict[str, object]) -> bytes:
    """Encode a message as one line of JSON."""
    return b'%b\n' % orjson.dumps(message, default=str)
