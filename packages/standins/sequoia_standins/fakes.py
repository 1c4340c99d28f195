"""Small fakes of the outside for tests and benches in one process."""

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
    """A store in memory whose calls fail as a script says.

    Attributes:
        faults: For each next call ``ok``, ``before`` (fails without effect)
            or ``after`` (takes effect, but the answer is lost for good).
        calls: Number of calls so far.
    """

    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    faults: deque[str] = field(factory=deque)
    calls: int = 0

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the rows that exist, by key."""
        await self._fail_before()
        return {row.key: row for row in self.table.read(query).rows}

    async def commit(self, *writes: RowWrite) -> TransactionResult:
        """Write rows together if each has its expected revision."""
        transaction = Transaction(f'writer-{self.calls}', writes)
        lost = await self._fail_before()
        answer = resolve_outcome(transaction, self.table.commit(transaction))
        fail_after(lost=lost)
        return answer

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object."""
        lost = await self._fail_before()
        self.objects[key] = body
        fail_after(lost=lost)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None."""
        await self._fail_before()
        return self.objects.get(key)

    async def _fail_before(self) -> bool:
        """Fail if the script says so; tell whether the answer gets lost."""
        self.calls += 1
        await curio.sleep(0)
        fault = self.faults.popleft() if self.faults else 'ok'
        if fault == 'before':
            raise ServiceError(Code.STORE_UNAVAILABLE, 'scripted')
        return fault == 'after'


def fail_after(*, lost: bool) -> None:
    """Lose the answer of a call that took effect.

    Raises:
        ServiceError: If ``lost``.
    """
    if lost:
        raise ServiceError(
            Code.STORE_UNAVAILABLE,
            'answer lost',
            verdict=Verdict.MAY_HAVE_RUN,
        )


@define
class CutServer:
    """A TCP server that breaks off at a chosen byte.

    Attributes:
        response: What it sends after a whole request.
        read_limit: Bytes of the request after which it closes; None to read
            the whole request.
        send_limit: Bytes of the answer after which it closes.
        request_end: Bytes that end a request.
        received: Bytes read on each connection.
    """

    response: bytes
    read_limit: int | None = None
    send_limit: int | None = None
    request_end: bytes = b'\r\n\r\n'
    received: list[int] = field(factory=list)
    whole_requests: int = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Serve one connection."""
        place = len(self.received)
        self.received.append(0)
        request = b''
        while not self._is_whole(request):
            if self.read_limit is not None and len(request) >= self.read_limit:
                return
            chunk = await sock.recv(1)
            if not chunk:
                return
            request += chunk
            self.received[place] = len(request)
        self.whole_requests += 1
        await sock.sendall(self.response[: self.send_limit])

    def _is_whole(self, request: bytes) -> bool:
        return request.endswith(self.request_end)


async def exchange_bytes(
    address: Address,
    *pieces: bytes,
    pause: float = 0,
    finish: bool = False,
) -> bytes:
    """Send bytes to a server and return all that comes back until the end.

    Args:
        address: Where the server listens.
        pieces: Bytes to send one after the other.
        pause: Seconds after each piece.
        finish: Whether to close the sending side after the last piece.
    """
    sock = await curio.open_connection(address.host, address.port)
    received = b''
    async with sock:
        with suppress(OSError):
            for piece in pieces:
                await sock.sendall(piece)
                await curio.sleep(pause)
            if finish:
                await sock.shutdown(curio.socket.SHUT_WR)
        with suppress(OSError):
            chunk = await sock.recv(READ_SIZE)
            while chunk:
                received += chunk
                chunk = await sock.recv(READ_SIZE)
    return received
