"""One request of the HTTP client and its response."""

import io
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from types import TracebackType
from typing import Protocol

import curio
import h11
from attrs import define, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import SMALL_BYTES, Reservation
from sequoia_policy.verdicts import Verdict

from sequoia_wire.connections import ClientConnection, parse_expiry
from sequoia_wire.memory import Memory, make_reservation
from sequoia_wire.messages import (
    PIECE_BYTES,
    Address,
    Header,
    RequestHead,
    ResponseHead,
    check_status,
    encode_headers,
    split_body,
)
from sequoia_wire.numbers import parse_count
from sequoia_wire.tracebacks import release_frames

MIN_TIME_LIMIT = timedelta(milliseconds=1)
MAX_INTERIM_RESPONSES = 8  # before the final response
# Time that a target waits until there is memory for its response.
MEMORY_PATIENCE = timedelta(seconds=2)


@frozen
class Timeouts:
    """Timeouts of one call.

    Attributes:
        connect: Time to establish a connection.
        progress: Time to send the request, to receive the whole head of the
            response, and to wait for each read of its body.
    """

    connect: timedelta = timedelta(seconds=1)
    progress: timedelta = timedelta(seconds=10)


class ConnectionPool(Protocol):
    """Opens the connections of calls, and takes them back.

    Attributes:
        max_body_bytes: Maximum size of a response that is read as a whole.
        calls: The calls in flight.
        aborted: Whether all calls fail, as the process ends.
        memory: Memory of the process, for responses that are read as a whole.
    """

    max_body_bytes: int
    calls: set['Call']
    aborted: bool
    memory: Memory

    async def connect(
        self, address: Address, timeouts: Timeouts, request_id: str = ''
    ) -> ClientConnection:
        """Return an open connection that may carry a request.

        Raises:
            ServiceError: With code CONNECT_FAILED.
        """

    async def release(self, connection: ClientConnection | None) -> None:
        """Take a connection back."""


@define(eq=False)
class Call:
    """A request in flight, used as an asynchronous context manager.

    Attributes:
        sent: Whether any byte of the request may have been sent.
        holder: Gets the memory that is reserved for the response, and keeps it
            after the call. Without it the memory is released with the call.
        own: Holds the memory if there is no ``holder``.
        reserved: Bytes that were reserved for the response.
        head: Head of the response; None before it was received.
    """

    client: ConnectionPool
    address: Address
    timeouts: Timeouts
    connection: ClientConnection | None = None
    sent: bool = False
    holder: Reservation | None = None
    own: Reservation = field(factory=make_reservation)
    reserved: int = 0
    head: ResponseHead | None = None

    async def __aenter__(self) -> 'Call':
        """Enter the context; ``send`` opens the connection."""
        self.client.calls.add(self)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        error_traceback: TracebackType | None,
    ) -> None:
        """Release the connection for reuse, or close it.

        What is reserved for a complete response stays with ``holder``. What was
        received of an incomplete one is freed with its reservation.
        """
        self.client.calls.discard(self)
        self.client.memory.release(self.own)
        if error is not None:
            release_frames(error)
            self.client.memory.shrink(self.holder, self.reserved)
        await self.client.release(self.connection)

    async def send(
        self, head: RequestHead, body: bytes = b'', request_id: str = ''
    ) -> ResponseHead:
        """Send the request and return the head of the response.

        Args:
            head: The head of the request.
            body: Its body.
            request_id: What identifies its response; a connection carries each
                id once. Empty if nothing does.

        Raises:
            ServiceError: With verdict NOT_RUN only if no byte of the request can
                have been sent.
        """
        self.connection = await self.client.connect(
            self.address, self.timeouts, request_id
        )
        self._check_aborted()
        if request_id:
            self.connection.request_ids.append(request_id)
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=[*self._default_headers(head, body), *head.headers],
        )
        self.sent = True
        await self._send_request(request, body)
        return await self._read_head()

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body; empty at its end.

        Raises:
            ServiceError: If the response is incomplete or stalls.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ServiceError(Code.TARGET_BROKE, 'incomplete response body')

    async def read_body(self) -> bytes:
        """Return the remainder of the body.

        Raises:
            ServiceError: If the response is incomplete, stalls or is larger
                than the client accepts.
        """
        content = io.BytesIO()  # returns its content without a copy
        limit = self.client.max_body_bytes
        size = 0
        await self.reserve(min(self._find_length(), limit))
        chunk = await self.read_chunk()
        while chunk:
            size += len(chunk)
            if size > limit:
                raise ServiceError(
                    Code.WRONG_ANSWER, f'response body exceeds {limit} bytes'
                )
            if size > max(SMALL_BYTES, self.reserved):
                await self.reserve(min(limit, max(size, 2 * self.reserved)))
            content.write(chunk)
            chunk = await self.read_chunk()
        return content.getvalue()

    async def reserve(self, size: int) -> None:
        """Reserve memory for a response; its target waits meanwhile.

        Args:
            size: Bytes that are held of it. A small response needs none.

        Raises:
            ServiceError: If there is none. The request has run.
        """
        if size <= max(SMALL_BYTES, self.reserved):
            return
        holder = self.holder or self.own
        added = size - self.reserved
        try:
            await self.client.memory.extend(holder, added, MEMORY_PATIENCE)
        except ServiceError as error:
            raise ServiceError(
                error.code, error.detail, verdict=Verdict.RAN
            ) from error
        self.reserved = size

    def _find_length(self) -> int:
        """Return the length that the response declares, zero if none."""
        assert self.head
        return parse_count(self.head.header('content-length') or '') or 0

    def _default_headers(
        self,
        head: RequestHead,
        body: bytes,
    ) -> tuple[Header, ...]:
        length = encode_headers({'content-length': str(len(body))})
        if head.header('host'):
            return length
        return (*encode_headers({'host': str(self.address)}), *length)

    async def _send_request(self, request: h11.Request, body: bytes) -> None:
        assert self.connection
        try:
            async with curio.timeout_after(
                self.timeouts.progress.total_seconds(),
            ):
                await self._send_pieces(request, body)
        except curio.TaskTimeout as error:
            raise ServiceError(
                Code.TARGET_STALLED, str(self.address)
            ) from error
        except OSError as error:
            raise ServiceError(Code.TARGET_BROKE, str(error)) from error

    async def _send_pieces(self, request: h11.Request, body: bytes) -> None:
        """Send a small request at once, and a large one without joining it."""
        assert self.connection
        send = self.connection.send_events
        if len(body) <= PIECE_BYTES:
            await send(request, h11.Data(body), h11.EndOfMessage())
            return
        await send(request)
        for piece in split_body(body):
            await send(h11.Data(piece))
        await send(h11.EndOfMessage())

    async def _read_head(self) -> ResponseHead:
        async with limit_call_time(self, self.timeouts.progress):
            event = await self._read_final_head()
        if not isinstance(event, h11.Response):
            raise ServiceError(Code.TARGET_BROKE, 'no response head')
        check_status(event.status_code)
        head = ResponseHead(event.status_code, tuple(event.headers))
        assert self.connection
        self.connection.expires_at = parse_expiry(head)
        self.head = head
        return head

    async def _read_final_head(self) -> h11.Event:
        """Return the first event that is no interim response."""
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise ServiceError(Code.TARGET_BROKE, 'too many interim responses')

    async def _next_event(self) -> h11.Event:
        """Return the next event of the response.

        The end of a connection that this process has closed is not the end of
        a response.
        """
        assert self.connection
        try:
            return await self.connection.next_event(self.timeouts.progress)
        finally:
            self._check_aborted()

    def _check_aborted(self) -> None:
        if self.client.aborted:
            raise ServiceError(
                Code.DRAINING,
                'the process ends',
                verdict=Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN,
            )


@asynccontextmanager
async def limit_call_time(call: Call, limit: timedelta) -> AsyncIterator[None]:
    """Limit the total time spent in the body of the context.

    Raises:
        ServiceError: With code TARGET_STALLED after ``limit``; with verdict
            NOT_RUN only if no byte of the request can have been sent.
    """
    seconds = max(MIN_TIME_LIMIT, limit).total_seconds()
    try:
        async with curio.timeout_after(seconds):
            yield
    except curio.TaskTimeout as error:
        raise ServiceError(
            Code.TARGET_STALLED,
            f'{call.address} timed out after {seconds:.2f} s',
            verdict=Verdict.MAY_HAVE_RUN if call.sent else Verdict.NOT_RUN,
        ) from error


def verdict_of(error: ServiceError, *, sent: bool) -> Verdict:
    """Return NOT_RUN if no byte was sent, else the verdict of the error."""
    return error.verdict if sent else Verdict.NOT_RUN
