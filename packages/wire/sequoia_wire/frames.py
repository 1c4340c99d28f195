"""Authenticated Thrift frames between entry hosts, over TCP and UDP."""

import hmac
import struct
from datetime import timedelta
from typing import Protocol, TypeVar

import curio
from attrs import define
from sequoia_policy.errors import Code, ServiceError
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from sequoia_wire.signatures import TAG_SIZE, sign
from sequoia_wire.sockets import shut_down_socket

NONCE_SIZE = 16  # bytes
MAX_FRAME_SIZE = 4194304  # bytes
HEADER = struct.Struct('>I')
SEQUENCE = struct.Struct('>cQ')
FROM_CLIENT = b'c'
FROM_SERVER = b's'


DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    MemoryError,
    OverflowError,
)


class ThriftMessage(Protocol):
    """A generated Thrift struct."""

    def read(self, iprot: object) -> None:
        """Read the fields from a protocol."""

    def write(self, oprot: object) -> None:
        """Write the fields to a protocol."""


Message = TypeVar('Message', bound=ThriftMessage)


def encode_thrift(message: ThriftMessage) -> bytes:
    """Encode a struct with the compact protocol."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def decode_thrift(encoded: bytes, kind: type[Message]) -> Message:
    """Decode a struct of the compact protocol.

    Raises:
        ServiceError: With code BAD_REQUEST if it cannot be decoded.
    """
    message = kind()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(encoded),
        fallback=False,
        string_length_limit=MAX_FRAME_SIZE,
        container_length_limit=MAX_FRAME_SIZE,
    )
    try:
        message.read(protocol)
    except DECODE_ERRORS as error:
        raise ServiceError(
            Code.BAD_REQUEST, 'malformed Thrift message'
        ) from error
    return message


@define(eq=False)
class PeerChannel:
    """One end of a connection between entry hosts.

    The tag of each frame covers the connection's nonce, the direction and a
    sequence number, so that frames cannot be replayed, reflected or reordered.

    Attributes:
        direction: Direction of sent frames, ``FROM_CLIENT`` or ``FROM_SERVER``.
        sent: Number of frames sent.
        received: Number of frames received.
    """

    sock: curio.io.Socket
    key: bytes
    direction: bytes
    nonce: bytes = b''
    sent: int = 0
    received: int = 0

    async def __aenter__(self) -> 'PeerChannel':
        """Enter the context without exchanging the nonce."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connection."""
        await self.sock.close()

    def shut_down(self) -> None:
        """End the connection; a task that waits for data sees its end."""
        shut_down_socket(self.sock)

    async def send_nonce(self, nonce: bytes) -> None:
        """Send the nonce, which is the first data that a server sends."""
        self.nonce = nonce
        await self.sock.sendall(nonce)

    async def read_nonce(self, timeout: timedelta) -> None:
        """Read the nonce, which is the first data that a client receives.

        Raises:
            OSError: If the connection ends.
            curio.TaskTimeout: If the nonce does not arrive in time.
        """
        async with curio.timeout_after(timeout.total_seconds()):
            self.nonce = await self._read_exactly(NONCE_SIZE)

    async def send(self, message: ThriftMessage) -> None:
        """Send a message in a signed frame."""
        payload = encode_thrift(message)
        tag = sign(self.key, self._context(self.direction, self.sent), payload)
        self.sent += 1
        size = HEADER.pack(len(payload))
        await self.sock.sendall(size + tag + payload)

    async def receive(
        self,
        kind: type[Message],
        timeout: timedelta,
    ) -> Message:
        """Receive a message.

        Raises:
            ServiceError: If the frame is too large, not authentic or malformed.
            OSError: If the connection ends.
            curio.TaskTimeout: If the frame does not arrive in time.
        """
        async with curio.timeout_after(timeout.total_seconds()):
            payload = await self._read_frame()
        return decode_thrift(payload, kind)

    async def _read_frame(self) -> bytes:
        header = await self._read_exactly(HEADER.size)
        size = int.from_bytes(header)
        if size > MAX_FRAME_SIZE:
            raise ServiceError(
                Code.BODY_TOO_LARGE, f'a frame of {size} bytes is too large'
            )
        tag = await self._read_exactly(TAG_SIZE)
        payload = await self._read_exactly(size)
        peer_direction = (
            FROM_SERVER if self.direction == FROM_CLIENT else FROM_CLIENT
        )
        context = self._context(peer_direction, self.received)
        self.received += 1
        if not hmac.compare_digest(tag, sign(self.key, context, payload)):
            raise ServiceError(
                Code.PEER_UNAUTHENTICATED,
                'frame with an invalid authentication tag',
            )
        return payload

    async def _read_exactly(self, size: int) -> bytes:
        chunks: list[bytes] = []
        remaining = size
        while remaining:
            received = await self.sock.recv(remaining)
            if not received:
                raise ConnectionResetError('the peer closed the connection')
            chunks.append(received)
            remaining -= len(received)
        return b''.join(chunks)

    def _context(self, direction: bytes, sequence: int) -> bytes:
        return self.nonce + SEQUENCE.pack(direction, sequence)
