"""In-process fakes of external services for tests and benchmarks."""

from collections import deque
from contextlib import suppress

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_wire.messages import Address
from sequoia_wire.platform_messages import (
    Row,
    RowWrite,
    TableQuery,
    Transaction,
    TransactionResult,
)
from sequoia_wire.stores import resolve_outcome

from sequoia_standins.stores import Table

READ_SIZE = 4096  # bytes


@define
class MemoryStore:
    """In-memory store whose calls fail according to a script.

    Attributes:
        faults: One entry for each of the next calls: ``ok``, ``before``
            (fails without effect) or ``after`` (takes effect, but the
            response is lost).
        calls: Number of calls so far.
    """

    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    faults: deque[str] = field(factory=deque)
    calls: int = 0

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the existing rows by key."""
        await self._apply_next_fault()
        return {row.key: row for row in self.table.read(query).rows}

    async def commit(self, *writes: RowWrite) -> TransactionResult:
        """Write rows atomically if each has its expected revision."""
        transaction = Transaction(f'writer-{self.calls}', writes)
        lost = await self._apply_next_fault()
        outcome = resolve_outcome(transaction, self.table.commit(transaction))
        raise_if_lost(lost=lost)
        return outcome

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object."""
        lost = await self._apply_next_fault()
        self.objects[key] = body
        raise_if_lost(lost=lost)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        await self._apply_next_fault()
        return self.objects.get(key)

    async def _apply_next_fault(self) -> bool:
        """Apply the next scripted fault.

        Returns:
            Whether the response is lost after the call takes effect.

        Raises:
            ServiceError: If the call is scripted to fail without effect.
        """
        self.calls += 1
        await curio.sleep(0)
        fault = self.faults.popleft() if self.faults else 'ok'
        if fault == 'before':
            raise ServiceError(
                Code.STORE_UNAVAILABLE, 'scripted fault: the call has no effect'
            )
        return fault == 'after'


def raise_if_lost(*, lost: bool) -> None:
    """Simulate the lost response of a call that took effect.

    Raises:
        ServiceError: If ``lost``.
    """
    if lost:
        raise ServiceError(
            Code.STORE_UNAVAILABLE,
            'scripted fault: response lost after the call took effect',
            verdict=Verdict.MAY_HAVE_RUN,
        )


@define
class TruncatingServer:
    """TCP server that closes connections at a configured byte offset.

    Attributes:
        response: Bytes sent after a complete request.
        read_limit: Number of request bytes after which it closes; None to
            read the whole request.
        send_limit: Number of response bytes after which it closes; None to
            send the whole response.
        request_end: Terminator of a request.
        received: Number of bytes read on each connection.
        whole_requests: Number of complete requests.
    """

    response: bytes
    read_limit: int | None = None
    send_limit: int | None = None
    request_end: bytes = b'\r\n\r\n'
    received: list[int] = field(factory=list)
    whole_requests: int = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Handle one connection."""
        index = len(self.received)
        self.received.append(0)
        request = b''
        while not self._is_complete(request):
            if self.read_limit is not None and len(request) >= self.read_limit:
                return
            chunk = await sock.recv(1)
            if not chunk:
                return
            request += chunk
            self.received[index] = len(request)
        self.whole_requests += 1
        await sock.sendall(self.response[: self.send_limit])

    def _is_complete(self, request: bytes) -> bool:
        return request.endswith(self.request_end)


async def exchange_bytes(
    address: Address,
    *pieces: bytes,
    delay: float = 0,
    half_close: bool = False,
) -> bytes:
    """Send bytes to a server and return all that it sends before it closes.

    Args:
        address: Where the server listens.
        pieces: Byte strings to send in order.
        delay: Delay after each piece, in seconds.
        half_close: Whether to shut down the sending side after the last piece.
    """
    sock = await curio.open_connection(address.host, address.port)
    received = b''
    async with sock:
        with suppress(OSError):
            for piece in pieces:
                await sock.sendall(piece)
                await curio.sleep(delay)
            if half_close:
                await sock.shutdown(curio.socket.SHUT_WR)
        with suppress(OSError):
            chunk = await sock.recv(READ_SIZE)
            while chunk:
                received += chunk
                chunk = await sock.recv(READ_SIZE)
    return received
