"""Authenticated thrift frames between entry hosts, over TCP and UDP."""

import hashlib
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

TAG_SIZE = 16  # bytes
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
    """A generated thrift structure."""

    def read(self, iprot: object) -> None:
        """Fill the structure from a protocol."""

    def write(self, oprot: object) -> None:
        """Write the structure to a protocol."""


Message = TypeVar('Message', bound=ThriftMessage)


def encode_thrift(message: ThriftMessage) -> bytes:
    """Encode a structure in the compact protocol."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def decode_thrift(encoded: bytes, kind: type[Message]) -> Message:
    """Decode a structure from the compact protocol.

    Raises:
        ServiceError: With code BAD_REQUEST if it does not fit.
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
    except DECODE_ERRORS as bad:
        raise ServiceError(Code.BAD_REQUEST, 'not a valid frame') from bad
    return message


def sign(key: bytes, context: bytes, payload: bytes) -> bytes:
    """Return the tag of a payload in a context."""
    hasher = hashlib.blake2b(key=key, digest_size=TAG_SIZE)
    hasher.update(context)
    hasher.update(payload)
    return hasher.digest()


def derive_key(secret: str) -> bytes:
    """Return the signing key of a shared secret."""
    return hashlib.blake2b(secret.encode()).digest()


def seal_datagram(key: bytes, payload: bytes) -> bytes:
    """Return a datagram with its tag."""
    return sign(key, b'datagram', payload) + payload


def open_datagram(key: bytes, datagram: bytes) -> bytes:
    """Return the payload of a datagram.

    Raises:
        ServiceError: With code PEER_UNAUTHENTICATED.
    """
    tag, payload = datagram[:TAG_SIZE], datagram[TAG_SIZE:]
    if not hmac.compare_digest(tag, sign(key, b'datagram', payload)):
        raise ServiceError(Code.PEER_UNAUTHENTICATED, 'bad tag')
    return payload


@define
class PeerChannel:
    """One side of a connection between entry hosts.

    Each frame is signed with the connection's nonce, its direction and its
    number, so that frames cannot be replayed or reordered.

    Attributes:
        direction: ``FROM_CLIENT`` or ``FROM_SERVER``: who sends here.
    """

    sock: curio.io.Socket
    key: bytes
    direction: bytes
    nonce: bytes = b''
    sent: int = 0
    received: int = 0

    async def __aenter__(self) -> 'PeerChannel':
        """Enter; the nonce is exchanged apart."""
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Close the connection."""
        await self.sock.close()

    async def offer_nonce(self, nonce: bytes) -> None:
        """Send the nonce, as the server does first."""
        self.nonce = nonce
        await self.sock.sendall(nonce)

    async def read_nonce(self, patience: timedelta) -> None:
        """Read the nonce, as the client does first."""
        async with curio.timeout_after(patience.total_seconds()):
            self.nonce = await self._read_exactly(NONCE_SIZE)

    async def send(self, message: ThriftMessage) -> None:
        """Send a structure."""
        payload = encode_thrift(message)
        tag = sign(self.key, self._context(self.direction, self.sent), payload)
        self.sent += 1
        size = HEADER.pack(len(payload))
        await self.sock.sendall(size + tag + payload)

    async def receive(
        self,
        kind: type[Message],
        patience: timedelta,
    ) -> Message:
        """Receive a structure.

        Raises:
            ServiceError: If the frame is too large, forged or malformed.
            OSError: If the connection ends.
            curio.TaskTimeout: If nothing arrives in time.
        """
        async with curio.timeout_after(patience.total_seconds()):
            payload = await self._read_frame()
        return decode_thrift(payload, kind)

    async def _read_frame(self) -> bytes:
        header = await self._read_exactly(HEADER.size)
        size = int.from_bytes(header)
        if size > MAX_FRAME_SIZE:
            raise ServiceError(Code.BODY_TOO_LARGE, f'frame of {size} bytes')
        tag = await self._read_exactly(TAG_SIZE)
        payload = await self._read_exactly(size)
        other = FROM_SERVER if self.direction == FROM_CLIENT else FROM_CLIENT
        context = self._context(other, self.received)
        self.received += 1
        if not hmac.compare_digest(tag, sign(self.key, context, payload)):
            raise ServiceError(Code.PEER_UNAUTHENTICATED, 'bad tag')
        return payload

    async def _read_exactly(self, size: int) -> bytes:
        parts: list[bytes] = []
        missing = size
        while missing:
            received = await self.sock.recv(missing)
            if not received:
                raise ConnectionResetError('the peer closed the connection')
            parts.append(received)
            missing -= len(received)
        return b''.join(parts)

    def _context(self, direction: bytes, number: int) -> bytes:
        return self.nonce + SEQUENCE.pack(direction, number)
