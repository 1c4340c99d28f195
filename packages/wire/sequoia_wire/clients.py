"""An HTTP client that knows whether a request can have reached its target."""

import re
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import curio
import h11
from attrs import define, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict

from sequoia_wire.messages import (
    Address,
    Response,
    ResponseHead,
    Header,
    RequestHead,
    encode_headers,
)
from sequoia_wire.sockets import connect

READ_SIZE = 65536  # bytes
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d{1,6})')
EXPIRY_MARGIN = timedelta(milliseconds=500)
IDLE_CONNECTIONS_PER_ADDRESS = 32
SHORTEST_LIMIT = timedelta(milliseconds=1)


@frozen
class Timeouts:
    """How long a client waits.

    Attributes:
        connect: For a connection.
        progress: For the next byte of an answer.
    """

    connect: timedelta = timedelta(seconds=1)
    progress: timedelta = timedelta(seconds=10)


DEFAULT_TIMEOUTS = Timeouts()


def now_seconds() -> timedelta:
    """Return the monotonic time by which idle connections expire."""
    return timedelta(seconds=time.monotonic())


@define
class ClientConnection:
    """One connection to one address; serves one call at a time."""

    address: Address
    sock: curio.io.Socket
    state: h11.Connection = field(
        factory=lambda: h11.Connection(our_role=h11.CLIENT),
    )
    expires: timedelta | None = None

    async def send_events(self, *events: h11.Event) -> None:
        """Send the bytes of ``events`` in one write."""
        parts = [self.state.send(event) or b'' for event in events]
        await self.sock.sendall(b''.join(parts))

    async def next_event(self, progress: timedelta) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            ServiceError: If the peer breaks off, stalls or breaks the protocol.
        """
        try:
            return await self._read_event(progress)
        except curio.TaskTimeout as stalled:
            raise ServiceError(
                Code.TARGET_STALLED, str(self.address)
            ) from stalled
        except (OSError, h11.RemoteProtocolError) as broken:
            raise ServiceError(Code.TARGET_BROKE, str(broken)) from broken

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def is_reusable(self) -> bool:
        """Tell whether both sides ended their message and sent no more."""
        if self.state.our_state is not h11.DONE:
            return False
        if self.state.their_state is not h11.DONE:
            return False
        return not self.state.trailing_data[0]

    def is_stale(self) -> bool:
        """Tell whether the peer closed, or sent bytes nobody asked for."""
        if self.expires is not None and now_seconds() >= self.expires:
            return True
        try:
            self.sock._socket.recv(1)  # noqa: SLF001
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    async def _read_event(self, progress: timedelta) -> h11.Event:
        event: Any = self.state.next_event()
        while event is h11.NEED_DATA:
            async with curio.timeout_after(progress.total_seconds()):
                received = await self.sock.recv(READ_SIZE)
            self.state.receive_data(received)
            event = self.state.next_event()
        return event


@define
class Call:
    """One request under way; close it in every case.

    Attributes:
        sent: True once the first byte of the request may have left.
    """

    client: 'HttpClient'
    address: Address
    timeouts: Timeouts
    connection: ClientConnection | None = None
    sent: bool = False

    async def __aenter__(self) -> 'Call':
        """Enter; the connection is opened by ``send``."""
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Give the connection back, or close it."""
        await self.client.release(self.connection)

    async def send(self, head: RequestHead, body: bytes = b'') -> ResponseHead:
        """Send the request and read the head of the answer.

        Raises:
            ServiceError: With verdict NOT_RUN only if no byte can have left.
        """
        self.connection = await self.client.connect(self.address, self.timeouts)
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=[*self._own_headers(head, body), *head.headers],
        )
        self.sent = True
        await self._send_request(request, body)
        return await self._read_head()

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ServiceError(Code.TARGET_BROKE, 'the answer was cut off')

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        parts: list[bytes] = []
        chunk = await self.read_chunk()
        while chunk:
            parts.append(chunk)
            chunk = await self.read_chunk()
        return b''.join(parts)

    def _own_headers(
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
                await self.connection.send_events(
                    request,
                    h11.Data(body),
                    h11.EndOfMessage(),
                )
        except curio.TaskTimeout as stalled:
            raise ServiceError(
                Code.TARGET_STALLED, str(self.address)
            ) from stalled
        except OSError as broken:
            raise ServiceError(Code.TARGET_BROKE, str(broken)) from broken

    async def _read_head(self) -> ResponseHead:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ServiceError(Code.TARGET_BROKE, 'no answer head')
        head = ResponseHead(event.status_code, tuple(event.headers))
        assert self.connection
        self.connection.expires = read_expiry(head)
        return head

    async def _next_event(self) -> h11.Event:
        assert self.connection
        return await self.connection.next_event(self.timeouts.progress)


@define
class HttpClient:
    """Keeps idle connections per address and opens calls on them."""

    idle: dict[Address, list[ClientConnection]] = field(
        factory=lambda: defaultdict(list),
    )
    idle_limit: int = IDLE_CONNECTIONS_PER_ADDRESS

    def call(self, address: Address, timeouts: Timeouts) -> Call:
        """Return a call to ``address``, to be used with ``async with``."""
        return Call(self, address, timeouts)

    async def fetch(
        self,
        address: Address,
        head: RequestHead,
        body: bytes = b'',
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
    ) -> Response:
        """Send one request and return the whole answer."""
        async with self.call(address, timeouts) as call:
            answer = await call.send(head, body)
            return Response(answer, await call.read_body())

    async def connect(
        self,
        address: Address,
        timeouts: Timeouts,
    ) -> ClientConnection:
        """Return an idle connection that is still open, or a new one.

        Raises:
            ServiceError: With code CONNECT_FAILED.
        """
        waiting = self.idle[address]
        while waiting:
            connection = waiting.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        try:
            async with curio.timeout_after(timeouts.connect.total_seconds()):
                sock = await connect(address.host, address.port)
        except (OSError, curio.TaskTimeout) as failure:
            raise ServiceError(
                Code.CONNECT_FAILED,
                f'{address}: {failure!r}',
            ) from failure
        return ClientConnection(address, sock)

    async def release(self, connection: ClientConnection | None) -> None:
        """Keep a cleanly ended connection for reuse, close any other."""
        if connection is None:
            return
        waiting = self.idle[connection.address]
        reusable = connection.is_reusable()
        if reusable and len(waiting) < self.idle_limit:
            connection.state.start_next_cycle()
            waiting.append(connection)
            return
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for waiting in self.idle.values():
            while waiting:
                await waiting.pop().close()


@asynccontextmanager
async def limit_call(call: Call, limit: timedelta) -> AsyncIterator[None]:
    """Bound the time of what is done with a call.

    Raises:
        ServiceError: If the time is up; with verdict NOT_RUN only if no byte of
            the request can have left.
    """
    seconds = max(SHORTEST_LIMIT, limit).total_seconds()
    try:
        async with curio.timeout_after(seconds):
            yield
    except curio.TaskTimeout as late:
        raise ServiceError(
            Code.TARGET_STALLED,
            f'{call.address} had {seconds:.2f} s',
            verdict=Verdict.MAY_HAVE_RUN if call.sent else Verdict.NOT_RUN,
        ) from late


def read_expiry(head: ResponseHead) -> timedelta | None:
    """Return when the peer may close the connection, None if unknown."""
    match = KEEP_ALIVE_TIMEOUT.search(head.header('keep-alive') or '')
    if match is None:
        return None
    return now_seconds() + timedelta(seconds=int(match[1])) - EXPIRY_MARGIN


def verdict_of(failure: ServiceError, *, sent: bool) -> Verdict:
    """Return NOT_RUN if nothing was sent, else the failure's verdict."""
    return failure.verdict if sent else Verdict.NOT_RUN
