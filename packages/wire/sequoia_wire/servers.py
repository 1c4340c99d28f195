"""HTTP server with limits on sizes, connections and stalled transfers."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
import h11
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import Reservation, Use

from sequoia_wire.bodies import Turns
from sequoia_wire.clocks import monotonic_time
from sequoia_wire.exchanges import Exchange, ServerLimits, encode_error
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.memory import Memory
from sequoia_wire.messages import Address, RequestHead
from sequoia_wire.sockets import (
    disable_nagle,
    limit_buffers,
    shut_down_socket,
)
from sequoia_wire.tracebacks import release_frames

BACKLOG = 512  # connections
DRAIN_POLL_INTERVAL = timedelta(milliseconds=20)
# During a drain, time from the acceptance of a connection to its first request.
FIRST_REQUEST_GRACE = timedelta(milliseconds=250)

log = Log('http')
CONNECTION_CLOSED = log.event(
    'connection closed for others',
    'code',
    'connections',
    kind=LogKind.FAILURE,
)


Handler = Callable[[Exchange], Awaitable[None]]
RefusalObserver = Callable[[ServiceError], None]


def ignore_refusal(error: ServiceError) -> None:
    """Ignore a refused request."""


@define
class HttpServer:
    """Accepts connections and passes each request to a handler.

    Attributes:
        on_refusal: Called with the error of each refused request.
        closing: Whether each connection closes after its next response.
        draining: Whether the server has stopped accepting connections.
        memory: Memory of the process.
        turns: Shares the event loop among large bodies.
    """

    address: Address
    handler: Handler
    limits: ServerLimits = ServerLimits()
    on_refusal: RefusalObserver = ignore_refusal
    connections: set['ServerConnection'] = field(factory=set)
    draining: bool = False
    closing: bool = False
    listener: curio.io.Socket | None = None
    accepting: curio.Task | None = None
    memory: Memory = field(factory=Memory)
    turns: Turns = field(factory=Turns)

    def open(self) -> None:
        """Bind and listen.

        Raises:
            OSError: If the address cannot be bound.
        """
        self.listener = curio.network.tcp_server_socket(
            self.address.host,
            self.address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        if self.limits.buffer_bytes:
            limit_buffers(self.listener, self.limits.buffer_bytes)
        host, port = self.listener._socket.getsockname()[:2]  # noqa: SLF001
        self.address = Address(host, port)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        assert self.listener
        self.accepting = await curio.current_task()
        while not self.draining:
            sock, _peer = await self.listener.accept()
            await self._serve(sock)

    def is_stopping(self) -> bool:
        """Return whether each connection closes after its next response."""
        return self.draining or self.closing

    async def drain(self) -> None:
        """Stop accepting, close idle connections and wait for busy ones.

        Connections that the system has already accepted for this server are
        served, and so are requests of which any byte has arrived.

        The accepting task is cancelled before its socket is closed: the event
        loop fails if the file descriptor of a closed socket is reused while a
        task still waits on it.
        """
        self.draining = True
        if self.accepting:
            await self.accepting.cancel()
        listener = self.listener
        self.listener = None
        if listener:
            await self._accept_queued(listener)
            await listener.close()
        while self.connections:
            for connection in tuple(self.connections):
                await connection.close_if_idle()
            await curio.sleep(DRAIN_POLL_INTERVAL.total_seconds())

    async def _accept_queued(self, listener: curio.io.Socket) -> None:
        """Serve the connections that wait to be accepted."""
        while True:
            try:
                raw_sock, _peer = listener._socket.accept()  # noqa: SLF001
            except OSError:
                return
            await self._serve(curio.io.Socket(raw_sock))

    async def _serve(self, sock: curio.io.Socket) -> None:
        try:
            disable_nagle(sock)
        except OSError:
            await sock.close()  # the peer has reset the connection
            return
        if len(self.connections) >= self.limits.open_connections:
            if not await self._close_one():
                CONNECTION_CLOSED.write(
                    code='new', connections=len(self.connections)
                )
                await sock.close()
                return
        connection = ServerConnection(self, sock)
        self.connections.add(connection)
        await curio.spawn(connection.run, daemon=True)

    async def _close_one(self) -> bool:
        """Close a connection that serves no request; return whether one did.

        Those that never brought a request come before idle ones, and the
        oldest of each kind comes first.
        """
        waiting = [
            connection
            for connection in self.connections
            if connection.task and not connection.busy
        ]
        if not waiting:
            return False
        chosen = min(
            waiting,
            key=lambda connection: (
                bool(connection.requests),
                connection.accepted_at,
            ),
        )
        CONNECTION_CLOSED.write(
            code='idle' if chosen.requests else 'half_open',
            connections=len(self.connections),
        )
        assert chosen.task
        await chosen.task.cancel()
        return True


@define(eq=False)
class ServerConnection:
    """One accepted connection.

    Attributes:
        busy: Whether a request is being served.
        requests: Number of requests whose head was read.
        exchange: The current or next request and its response.
    """

    server: HttpServer
    sock: curio.io.Socket
    busy: bool = False
    task: curio.Task | None = None
    accepted_at: timedelta = field(factory=monotonic_time)
    requests: int = 0
    exchange: Exchange | None = None

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        self.task = await curio.current_task()
        try:
            await self._serve_all()
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            self.busy = False
        finally:
            self.server.connections.discard(self)
            await self.sock.close()

    async def close_if_idle(self) -> None:
        """Cancel the connection if it is waiting for a request.

        A connection without any request yet is idle only after a grace period:
        its first request may be on its way.
        """
        if self.task is None or self.busy or self._has_unread_bytes():
            return
        age = monotonic_time() - self.accepted_at
        if self.requests or age > FIRST_REQUEST_GRACE:
            await self.task.cancel(blocking=False)

    def _has_unread_bytes(self) -> bool:
        """Return whether part of a request has arrived."""
        if self.exchange and self.exchange.has_unread_bytes():
            return True
        try:
            received = self.sock._socket.recv(  # noqa: SLF001
                1, curio.socket.MSG_PEEK
            )
        except OSError:
            return False
        return bool(received)

    def _end_transfer(self) -> None:
        """End what is received or sent, as its memory is needed for others.

        A request whose body is not complete still gets its refusal.
        """
        assert self.exchange
        is_sending = self.exchange.holder.use is Use.RESPONSE
        shut_down_socket(self.sock, only_reading=not is_sending)

    async def _serve_all(self) -> None:
        state = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self.server.limits.header_bytes,
        )
        holder = Reservation(monotonic_time(), self._end_transfer)
        keep_alive = True
        while keep_alive:
            exchange = Exchange(
                self.sock,
                state,
                self.server.limits,
                is_stopping=self.server.is_stopping,
                memory=self.server.memory,
                turns=self.server.turns,
                holder=holder,
            )
            self.exchange = exchange
            try:
                keep_alive = await self._serve_one(exchange)
            finally:
                self.server.memory.release(holder)
                holder.use = Use.WORK

    async def _serve_one(self, exchange: Exchange) -> bool:
        try:
            if not await self._read_head(exchange):
                return False
            await self.server.handler(exchange)
        except ServiceError as error:
            release_frames(error)
            await self._refuse(exchange, error)
        except OSError:
            raise
        except Exception as error:  # noqa: BLE001
            log.write(
                'unexpected exception in a request handler', error=repr(error)
            )
            await self._refuse(exchange, ServiceError(Code.INTERNAL))
        finally:
            self.busy = False
        return self._start_next(exchange)

    async def _read_head(self, exchange: Exchange) -> bool:
        try:
            event = await exchange.read_request()
        except ServiceError as failure:
            if failure.code is Code.STALLED and not exchange.has_unread_bytes():
                return False
            raise
        if not isinstance(event, h11.Request):
            return False
        self.busy = True
        self.requests += 1
        exchange.head = RequestHead(
            event.method.decode(),
            event.target.decode('latin-1'),
            tuple(event.headers),
        )
        self._check_head(exchange.head)
        if len(self.server.connections) > self.server.limits.connections:
            raise ServiceError(
                Code.TOO_MANY_CONNECTIONS,
                retry_after=timedelta(seconds=1),
            )
        return True

    def _check_head(self, head: RequestHead) -> None:
        """Check that the head is not too large and the body length is clear."""
        if head.header('transfer-encoding') and head.header('content-length'):
            raise ServiceError(
                Code.BAD_REQUEST,
                'both content-length and transfer-encoding are set',
            )
        sizes = [len(name) + len(text) for name, text in head.headers]
        size = len(head.target) + sum(sizes)
        if size > self.server.limits.header_bytes:
            raise ServiceError(
                Code.HEADERS_TOO_LARGE, f'{size} bytes in the request head'
            )

    async def _refuse(self, exchange: Exchange, error: ServiceError) -> None:
        self.server.on_refusal(error)
        if exchange.started:
            raise OSError(
                'request failed after the response started'
            ) from error
        exchange.closing = True
        body = f'{error}\n'.encode()
        status = error.code.value.status
        await exchange.respond(status, body, encode_error(error))

    def _start_next(self, exchange: Exchange) -> bool:
        state = exchange.state
        if state.our_state is not h11.DONE:
            return False
        if state.their_state is not h11.DONE:
            return False
        state.start_next_cycle()
        return not self.server.draining
