"""HTTP client that tracks whether a request may have reached its target."""

from collections import defaultdict

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import Reservation

from sequoia_wire.calls import Call, Timeouts, limit_call_time
from sequoia_wire.connections import ClientConnection
from sequoia_wire.memory import Memory
from sequoia_wire.messages import Address, RequestHead, Response
from sequoia_wire.sockets import connect

IDLE_CONNECTIONS_PER_ADDRESS = 32
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a response that is read as a whole
DEFAULT_TIMEOUTS = Timeouts()


@define
class HttpClient:
    """An HTTP client with a pool of idle connections per address.

    Attributes:
        idle_limit: Maximum number of idle connections per address.
        max_body_bytes: Maximum size of a response that is read as a whole.
        calls: The calls in flight.
        aborted: Whether all calls fail, as the process ends.
        memory: Memory of the process, for responses that are read as a whole.
    """

    idle: dict[Address, list[ClientConnection]] = field(
        factory=lambda: defaultdict(list),
    )
    idle_limit: int = IDLE_CONNECTIONS_PER_ADDRESS
    max_body_bytes: int = MAX_BODY_BYTES
    calls: set[Call] = field(factory=set)
    aborted: bool = False
    memory: Memory = field(factory=Memory)

    def call(self, address: Address, timeouts: Timeouts) -> Call:
        """Return a call to ``address``; use it with ``async with``."""
        return Call(self, address, timeouts)

    async def fetch(
        self,
        address: Address,
        head: RequestHead,
        body: bytes = b'',
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
        holder: Reservation | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        The head and the body must each arrive within ``timeouts.progress``.
        Memory for the body is reserved for ``holder`` if there is one.

        Raises:
            ServiceError: If the call fails.
        """
        async with self.call(address, timeouts) as call:
            call.holder = holder
            response_head = await call.send(head, body)
            async with limit_call_time(call, timeouts.progress):
                return Response(response_head, await call.read_body())

    async def connect(
        self,
        address: Address,
        timeouts: Timeouts,
        request_id: str = '',
    ) -> ClientConnection:
        """Return an open idle connection, or a new one.

        Args:
            address: Where it leads.
            timeouts: Of the call.
            request_id: Id of the request that it is to carry, if any.

        Raises:
            ServiceError: With code CONNECT_FAILED.
        """
        connection = await self._take_idle(address, request_id)
        return connection or await self._open(address, timeouts)

    async def release(self, connection: ClientConnection | None) -> None:
        """Return a reusable connection to the pool; close any other."""
        if connection is None:
            return
        idle_connections = self.idle[connection.address]
        reusable = connection.is_reusable()
        if reusable and len(idle_connections) < self.idle_limit:
            connection.state.start_next_cycle()
            idle_connections.append(connection)
            return
        await connection.close()

    def abort(self) -> int:
        """Let all calls in flight and all later ones fail with code DRAINING.

        Returns:
            The number of calls in flight.
        """
        self.aborted = True
        connections = [call.connection for call in self.calls]
        for connection in connections:
            if connection is not None:
                connection.shut_down()
        return len(connections)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in self.idle.values():
            while idle_connections:
                await idle_connections.pop().close()

    async def _take_idle(
        self, address: Address, request_id: str
    ) -> ClientConnection | None:
        """Return the latest idle connection for a request, if there is one."""
        idle_connections = self.idle[address]
        for connection in tuple(reversed(idle_connections)):
            if not connection.may_carry(request_id):
                continue
            idle_connections.remove(connection)
            if not connection.is_stale():
                return connection
            await connection.close()
        return None

    async def _open(
        self, address: Address, timeouts: Timeouts
    ) -> ClientConnection:
        """Return a new connection.

        Raises:
            ServiceError: With code CONNECT_FAILED.
        """
        try:
            async with curio.timeout_after(timeouts.connect.total_seconds()):
                sock = await connect(address.host, address.port)
        except (OSError, curio.TaskTimeout) as error:
            raise ServiceError(
                Code.CONNECT_FAILED,
                f'{address}: {error!r}',
            ) from error
        return ClientConnection(address, sock)
