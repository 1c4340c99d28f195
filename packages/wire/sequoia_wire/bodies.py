"""Reads a request body within its limits, memory and share of the event loop."""

import io
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Protocol

import curio
import h11
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import SMALL_BYTES, Reservation, Use
from sequoia_policy.turns import WorkShare

from sequoia_wire.chunk_mergers import ChunkMerger, take_received
from sequoia_wire.clocks import monotonic_time
from sequoia_wire.http_events import READ_SIZE, next_parsed_event, read_bytes
from sequoia_wire.memory import Memory, make_memory_error

MIN_BODY_RATE = 1000  # bytes per second, from the first read of a body
# A body that takes more reads than an ordinary one is read in turns.
ORDINARY_READS = 16
# After a read that brought less, the next one waits for more to arrive.
MIN_READ = 4096  # bytes
READ_PAUSE = timedelta(milliseconds=5)


@define
class Turns:
    """Lets tasks work one at a time, within a share of the event loop."""

    share: WorkShare = field(factory=WorkShare)
    lock: curio.Lock = field(factory=curio.Lock)

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Wait for a turn; other tasks run after the work in the context."""
        async with self.lock:
            started_at = monotonic_time()
            yield
            pause = self.share.find_pause(monotonic_time() - started_at)
            await curio.sleep(pause.total_seconds())


class BodyLimits(Protocol):
    """Limits of a request body."""

    @property
    def body_bytes(self) -> int:
        """Maximum size."""

    @property
    def progress(self) -> timedelta:
        """Timeout of each read."""


@define
class BodyReader:
    """Reads one request body.

    Attributes:
        holder: Memory that is reserved for the body.
        content: What was received so far; returned without a copy.
        size: Its size.
        reads: Number of reads so far.
        merger: Merges small chunks; None for a body with a length.
    """

    sock: curio.io.Socket
    state: h11.Connection
    limits: BodyLimits
    memory: Memory
    holder: Reservation
    turns: Turns
    started_at: timedelta = field(factory=monotonic_time)
    content: io.BytesIO = field(factory=io.BytesIO)
    size: int = 0
    reads: int = 0
    merger: ChunkMerger | None = None

    async def read(self, length: int | None) -> bytes:
        """Return the body.

        Args:
            length: Its length; None if it is sent in chunks.

        Raises:
            ServiceError: If the body is too large, stalls or is incomplete, or
                if its memory is needed for others.
            TaskTimeout: If the peer stalls.
        """
        self.holder.begin(Use.BODY, self.started_at)
        if length is None:
            self.merger = ChunkMerger()
            self._feed(take_received(self.state))
        else:
            await self.memory.reserve(self.holder, length)
        event = await self._next_event()
        while isinstance(event, h11.Data):
            await self._append(event.data)
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ServiceError(Code.BAD_REQUEST, 'incomplete request body')
        self._check_memory()
        self.holder.begin(Use.WORK, monotonic_time())
        return self.content.getvalue()

    async def _append(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.size > self.limits.body_bytes:
            raise ServiceError(
                Code.BODY_TOO_LARGE,
                f'received {self.size} bytes of the request body',
            )
        if self.size > self.holder.size:
            wanted = max(SMALL_BYTES, 2 * self.holder.size, self.size)
            await self.memory.reserve(
                self.holder, min(wanted, self.limits.body_bytes)
            )
        self.content.write(piece)
        self.holder.record_transfer(len(piece), monotonic_time())

    async def _next_event(self) -> h11.Event:
        event = next_parsed_event(self.state)
        while event is None:
            await self._receive()
            event = next_parsed_event(self.state)
        return event

    async def _receive(self) -> None:
        """Receive bytes and give them to the parser, in turn if there are many.

        Raises:
            ServiceError: If the memory of the body is needed for others.
        """
        received = await read_bytes(self.sock, READ_SIZE, self._find_timeout())
        self._check_memory()
        self.reads += 1
        if self.size <= SMALL_BYTES and self.reads <= ORDINARY_READS:
            self._feed(received)
            return
        async with self.turns.take():
            self._feed(received)
        if 0 < len(received) < MIN_READ:
            await curio.sleep(READ_PAUSE.total_seconds())
        self._check_memory()

    def _feed(self, received: bytes) -> None:
        if self.merger is None or not received:
            self.state.receive_data(received)
            return
        merged = self.merger.merge(received)
        if merged:
            self.state.receive_data(merged)

    def _find_timeout(self) -> timedelta:
        """Return how long the next read may take."""
        limit = self.limits.progress + timedelta(
            seconds=self.size / MIN_BODY_RATE
        )
        remaining = self.started_at + limit - monotonic_time()
        return min(self.limits.progress, max(timedelta(), remaining))

    def _check_memory(self) -> None:
        if self.holder.is_closing:
            raise make_memory_error()
