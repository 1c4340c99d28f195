"""Merges small chunks of a request body before the parser sees them.

The parser takes 17 microseconds for a chunk, whatever its size. It still reads the
last chunk, trailers and everything that is malformed.
"""

import re

import h11
from attrs import define

CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?[ \t]*\r\n')
MAX_LINE_BYTES = 1024  # of a chunk's size and extension
LINE_END = b'\r\n'
MALFORMED = b'malformed\r\n'  # the parser refuses it as the size of a chunk


@define
class ChunkMerger:
    """Rewrites a chunked body so that each read brings one chunk.

    Attributes:
        held: Received bytes whose meaning depends on what follows.
        left: Bytes that the current chunk still lacks.
        lacks_end: Whether the end of the current chunk's line is missing.
        is_done: Whether the rest goes to the parser unchanged, as it is the
            end of the body or malformed.
    """

    held: bytes = b''
    left: int = 0
    lacks_end: bool = False
    is_done: bool = False

    def merge(self, received: bytes) -> bytes:
        """Return received bytes in the form for the parser."""
        if self.is_done:
            return received
        rest = self.held + received if self.held else received
        pieces: list[bytes] = []
        position = self._read(rest, pieces)
        content = b''.join(pieces)
        merged = make_chunk(content) if content else b''
        if self.is_done:
            self.held = b''
            return merged + self._find_rest(rest[position:])
        self.held = rest[position:]
        return merged

    def _find_rest(self, rest: bytes) -> bytes:
        """Return what the parser gets of the bytes that were not read."""
        return MALFORMED if self.lacks_end else rest

    def _read(self, rest: bytes, pieces: list[bytes]) -> int:
        """Read as much as possible; return the position of what is left."""
        position, start = 0, -1
        while position > start and not self.is_done:
            start = position
            if self.left:
                position = self._read_content(rest, position, pieces)
            elif self.lacks_end:
                position = self._read_end(rest, position)
            else:
                position = read_whole_chunks(rest, position, pieces)
                position = self._read_line(rest, position)
        return position

    def _read_content(
        self, rest: bytes, position: int, pieces: list[bytes]
    ) -> int:
        piece = rest[position : position + self.left]
        pieces.append(piece)
        self.left -= len(piece)
        self.lacks_end = not self.left
        return position + len(piece)

    def _read_end(self, rest: bytes, position: int) -> int:
        found = rest[position : position + len(LINE_END)]
        if found == LINE_END:
            self.lacks_end = False
            return position + len(LINE_END)
        self.is_done = not LINE_END.startswith(found)
        return position

    def _read_line(self, rest: bytes, position: int) -> int:
        line = CHUNK_LINE.match(rest, position)
        if line is None:
            is_whole = rest.find(b'\n', position) >= 0
            self.is_done = is_whole or len(rest) - position > MAX_LINE_BYTES
            return position
        self.left = int(line[1], 16)
        self.is_done = not self.left  # the last chunk
        return line.end() if self.left else position


def read_whole_chunks(rest: bytes, position: int, pieces: list[bytes]) -> int:
    """Read chunks of which no byte is missing; return the next position."""
    line = CHUNK_LINE.match(rest, position)
    while line:
        start = line.end()
        end = start + int(line[1], 16)
        if end == start or rest[end : end + len(LINE_END)] != LINE_END:
            return position
        pieces.append(rest[start:end])
        position = end + len(LINE_END)
        line = CHUNK_LINE.match(rest, position)
    return position


def make_chunk(content: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def count_received(state: h11.Connection) -> int:
    """Return how many bytes a parser has received and not read."""
    return len(state._receive_buffer)  # noqa: SLF001


def take_received(state: h11.Connection) -> bytes:
    """Remove and return what a parser has received and not read."""
    buffer = state._receive_buffer  # noqa: SLF001
    return bytes(buffer.maybe_extract_at_most(len(buffer)) or b'')
