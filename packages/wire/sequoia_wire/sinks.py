"""Writes lines to a file number without ever waiting for its reader."""

import os
import select
from collections import deque

import orjson
from attrs import define, field

MOST_BYTES = 262_144  # that wait for the reader
ATOMIC_BYTES = 4096  # that a writable pipe takes at once
MOST_WRITES = 64  # of one flush


@define
class LineSink:
    """Queues lines and writes those that the reader takes at once.

    Attributes:
        waiting: Bytes that are not written yet.
        size: Their sum.
        dropped: Lines that were dropped as the reader was too slow.
    """

    file_number: int
    waiting: deque[bytes] = field(factory=deque)
    size: int = 0
    dropped: int = 0

    def write(self, message: dict[str, object]) -> None:
        """Queue a message as one line, and write what the reader takes."""
        line = encode_line(message)
        if self.size + len(line) > MOST_BYTES:
            self.dropped += 1
        else:
            self._queue(line)
        self.flush()

    def flush(self) -> None:
        """Write lines until none is left or the reader takes no more."""
        poll = select.poll()
        poll.register(self.file_number, select.POLLOUT)
        if self.dropped and not self.waiting:
            self._report_dropped()
        for _ in range(MOST_WRITES):
            if not self.waiting or not poll.poll(0):
                return
            self._write()

    def _queue(self, line: bytes) -> None:
        self.waiting.append(line)
        self.size += len(line)

    def _write(self) -> None:
        batch = bytearray()
        while self.waiting and len(batch) < ATOMIC_BYTES:
            batch += self.waiting.popleft()
        ready, left = bytes(batch[:ATOMIC_BYTES]), bytes(batch[ATOMIC_BYTES:])
        try:
            written = os.write(self.file_number, ready)
        except OSError:
            # Nobody reads any more: there is no place to report it.
            written = len(ready)
        rest = ready[written:] + left
        if rest:
            self.waiting.appendleft(rest)
        self.size -= written

    def _report_dropped(self) -> None:
        count = self.dropped
        self.dropped = 0
        text = 'log: lines dropped, the reader is too slow'
        self._queue(encode_line({'message_type': text, 'count': count}))


def encode_line(message: dict[str, object]) -> bytes:
    """Return a message as one line of JSON."""
    return b'%b\n' % orjson.dumps(message, default=str)
