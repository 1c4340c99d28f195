"""Server side of an HTTP request and its response."""

from collections.abc import Callable
from datetime import timedelta

import curio
import h11
from attrs import define, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import SMALL_BYTES, Reservation, Use
from sequoia_policy.verdicts import Verdict

from sequoia_wire.bodies import BodyReader, Turns
from sequoia_wire.chunk_mergers import count_received
from sequoia_wire.clocks import monotonic_time
from sequoia_wire.http_events import read_event
from sequoia_wire.memory import Memory, make_reservation
from sequoia_wire.messages import (
    PIECE_BYTES,
    Header,
    RequestHead,
    encode_headers,
    split_body,
)

HEAD_READ_SIZE = 32768  # bytes
READ_ERRORS = (curio.TaskTimeout, h11.RemoteProtocolError)
VERDICT_HEADER = 'sequoia-verdict'
CODE_HEADER = 'sequoia-code'


@frozen
class ServerLimits:
    """Size, connection and time limits of one server.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        connections: Maximum number of open connections with requests.
        progress: Time to receive a whole request head, and timeout of each
            read of a request body and each write of a response. A body that
            takes longer must arrive at ``bodies.MIN_BODY_RATE``.
        idle: Maximum time a connection waits for its next request.
        open_connections: Maximum number of open connections; over it,
            connections that wait for a request are closed.
        buffer_bytes: Size of the kernel's buffers of a connection in each
            direction; None for the default of the system.
    """

    header_bytes: int = 16384
    body_bytes: int = 1048576
    connections: int = 2000
    progress: timedelta = timedelta(seconds=10)
    idle: timedelta = timedelta(seconds=60)
    open_connections: int = 65536
    buffer_bytes: int | None = None


def is_never_stopping() -> bool:
    """Return False."""
    return False


@define
class Exchange:
    """One request and its response on a server connection.

    Attributes:
        started: Whether sending the response has begun.
        closing: Whether the connection closes after this response.
        is_stopping: Returns whether the server closes all connections after
            their next response.
        memory: Memory of the process.
        holder: What the request and its response hold of it.
        turns: Shares the event loop among large bodies.
        received: Size of the request body.
    """

    sock: curio.io.Socket
    state: h11.Connection
    limits: ServerLimits
    head: RequestHead = RequestHead('GET', '/')
    started: bool = False
    closing: bool = False
    is_stopping: Callable[[], bool] = is_never_stopping
    memory: Memory = field(factory=Memory)
    holder: Reservation = field(factory=make_reservation)
    turns: Turns = field(factory=Turns)
    received: int = 0

    async def read_request(self) -> h11.Event:
        """Return the first event of the next request.

        Raises:
            ServiceError: With code STALLED if no request begins in time, or if
                its head is not received in time; with another code if the peer
                violates the protocol.
        """
        if not self.has_unread_bytes():
            await self._wait_for_bytes()
        try:
            async with curio.timeout_after(
                self.limits.progress.total_seconds()
            ):
                return await self.next_event(self.limits.progress)
        except curio.TaskTimeout as error:
            raise ServiceError(
                Code.STALLED, 'the head was not received in time'
            ) from error

    def has_unread_bytes(self) -> bool:
        """Return whether part of the next request was received already."""
        return bool(self.state.trailing_data[0])

    async def read_body(self) -> bytes:
        """Return the request body.

        Raises:
            ServiceError: If the body is too large, stalls or is incomplete, or
                if its memory is needed for others.
        """
        length = self._find_length()
        if length is not None and self._has_received(length):
            return self._take_body(length)
        reader = BodyReader(
            self.sock,
            self.state,
            self.limits,
            self.memory,
            self.holder,
            self.turns,
        )
        try:
            body = await reader.read(length)
        except READ_ERRORS as error:
            raise translate_error(error) from error
        self.received = len(body)
        return body

    async def reserve(self, size: int) -> None:
        """Reserve memory for the work on a request, beside its body.

        Raises:
            ServiceError: If the memory is needed for others.
        """
        await self.memory.reserve(self.holder, self.holder.size + size)

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Send a complete response."""
        self.started = True
        self.close_unless_read()
        length = encode_headers({'content-length': str(len(body))})
        response = self._response(status, (*length, *headers))
        if len(body) <= PIECE_BYTES:
            await self._send(response, h11.Data(body), h11.EndOfMessage())
            return
        needed = self.received + len(body)
        self.memory.overdraw(self.holder, max(self.holder.size, needed))
        self.holder.begin(Use.RESPONSE, monotonic_time())
        await self._send(response)
        for piece in split_body(body):
            await self._send(h11.Data(piece))
            self.holder.record_transfer(len(piece), monotonic_time())
        await self._send(h11.EndOfMessage())

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Send the head of a streamed response."""
        self.started = True
        self.close_unless_read()
        await self._send(self._response(status, headers))

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of a streamed response."""
        await self._send(h11.Data(chunk))

    async def finish(self) -> None:
        """End a streamed response."""
        await self._send(h11.EndOfMessage())

    async def next_event(self, timeout: timedelta) -> h11.Event:
        """Return the next event of the request.

        Raises:
            ServiceError: If the peer stalls or violates the protocol.
        """
        try:
            return await read_event(
                self.sock, self.state, timeout, HEAD_READ_SIZE
            )
        except READ_ERRORS as error:
            raise translate_error(error) from error

    def close_unless_read(self) -> None:
        """Close after this response if the request was not read completely."""
        if self.state.their_state is not h11.DONE:
            self.closing = True

    async def _wait_for_bytes(self) -> None:
        """Wait until a request begins, or until the connection ends."""
        try:
            async with curio.timeout_after(self.limits.idle.total_seconds()):
                received = await self.sock.recv(HEAD_READ_SIZE)
        except curio.TaskTimeout as error:
            raise ServiceError(
                Code.STALLED, 'the peer sent no request in time'
            ) from error
        self.state.receive_data(received)

    def _find_length(self) -> int | None:
        """Return the length of the body; None if it is sent in chunks.

        Raises:
            ServiceError: If it is too long.
        """
        if self.head.header('transfer-encoding'):
            return None
        length = int(self.head.header('content-length') or 0)
        if length > self.limits.body_bytes:
            raise ServiceError(
                Code.BODY_TOO_LARGE,
                f'{length} bytes declared by content-length',
            )
        return length

    def _has_received(self, length: int) -> bool:
        """Return whether a small body has arrived with the head."""
        if length > min(SMALL_BYTES, count_received(self.state)):
            return False
        return self.memory.budget.fits(self.holder, length)

    def _take_body(self, length: int) -> bytes:
        """Return a body that has arrived with the head."""
        if length:
            self.memory.overdraw(self.holder, length)
        self.received = length
        event = self.state.next_event()
        if not isinstance(event, h11.Data):
            return b''
        self.state.next_event()
        return bytes(event.data)

    def _response(
        self,
        status: int,
        headers: tuple[Header, ...],
    ) -> h11.Response:
        stops = self.closing or self.is_stopping()
        closing = ((b'connection', b'close'),) if stops else ()
        return h11.Response(status_code=status, headers=[*headers, *closing])

    async def _send(self, *events: h11.Event) -> None:
        chunks = [self.state.send(event) or b'' for event in events]
        seconds = self.limits.progress.total_seconds()
        unsent = memoryview(b''.join(chunks))
        try:
            while unsent:
                async with curio.timeout_after(seconds):
                    sent = await self.sock.send(unsent)
                unsent = unsent[sent:]
        except curio.TaskTimeout as error:
            raise ConnectionAbortedError(
                'write timed out: the peer does not read'
            ) from error


def translate_error(error: Exception) -> ServiceError:
    """Return the error for what ended the reading of a request."""
    if isinstance(error, curio.TaskTimeout):
        return ServiceError(
            Code.STALLED, 'the peer sent no data within the timeout'
        )
    hint = getattr(error, 'error_status_hint', None)
    too_large = hint == Code.HEADERS_TOO_LARGE.value.status
    code = Code.HEADERS_TOO_LARGE if too_large else Code.BAD_REQUEST
    return ServiceError(code, str(error))


def encode_error(error: ServiceError) -> tuple[Header, ...]:
    """Return the headers for an error's code, verdict and retry delay."""
    headers = encode_headers(
        {
            'content-type': 'text/plain',
            CODE_HEADER: error.code.value.label,
            VERDICT_HEADER: error.verdict.value,
        }
    )
    if error.retry_after is None:
        return headers
    seconds = max(1, round(error.retry_after.total_seconds()))
    return (*headers, *encode_headers({'retry-after': str(seconds)}))


def parse_verdict(text: str | None) -> Verdict | None:
    """Return the verdict for a header value, or None if it is unknown."""
    for verdict in Verdict:
        if verdict.value == text:
            return verdict
    return None
