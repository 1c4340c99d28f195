"""Callers that send large bodies and stop before their end, or read slowly."""

import re
from contextlib import suppress
from pathlib import Path

import curio
from attrs import define, field
from sites import AUTHORITY

PIECE = 65536  # bytes
HOLD_TIMEOUT = 60.0  # seconds


def make_head(path, number, framing):
    lines = (
        f'POST {path} HTTP/1.1',
        f'host: {AUTHORITY}',
        f'attempt-id: crowd-{number}',
        'deadline-ms: 10000',
        framing,
        '\r\n',
    )
    return '\r\n'.join(lines).encode()


def make_sized(size, path='/live/x'):
    """Return what makes a request whose last byte is missing."""
    body = bytes(size - 1)

    def make(number):
        return make_head(path, number, f'content-length: {size}'), body

    return make


def make_chunked(size, chunk):
    """Return what makes a chunked request whose last chunk is missing."""
    body = (b'%x\r\n%b\r\n' % (chunk, bytes(chunk))) * (size // chunk)

    def make(number):
        return make_head('/live/x', number, 'transfer-encoding: chunked'), body

    return make


def make_whole(path, body=b''):
    """Return what makes a complete request."""

    def make(number):
        return make_head(path, number, f'content-length: {len(body)}'), body

    return make


@define
class Crowd:
    """Callers at one address that keep their connections open.

    Attributes:
        pause: Seconds between two pieces of a request.
        receive_buffer: Size of the receive buffers; None for the default.
        done: Number of callers that have sent all, or were cut off.
        responses: First bytes of the responses that callers got.
    """

    ip: str
    port: int
    pause: float = 0
    receive_buffer: int | None = None
    done: int = 0
    responses: list = field(factory=list)

    async def call(self, number, make):
        """Send one request, then keep the connection open without reading."""
        sock = curio.socket.socket()
        if self.receive_buffer is not None:
            sock.setsockopt(
                curio.socket.SOL_SOCKET,
                curio.socket.SO_RCVBUF,
                self.receive_buffer,
            )
        async with sock:
            with suppress(OSError):
                await sock.connect((self.ip, self.port))
                await self.send(sock, *make(number))
            self.done += 1
            await curio.sleep(HOLD_TIMEOUT)

    async def send(self, sock, head, body):
        await sock.sendall(head)
        view = memoryview(body)
        for start in range(0, len(body), PIECE):
            await sock.sendall(view[start : start + PIECE])
            if self.pause:
                await curio.sleep(self.pause)


@define
class Usage:
    """What a process uses.

    Attributes:
        queued: Most bytes seen in the queues of its sockets for callers.
        descriptors: Most open descriptors seen.
    """

    pid: int
    ip: str
    port: int
    queued: int = 0
    descriptors: int = 0

    def measure(self):
        folder = Path(f'/proc/{self.pid}')
        with suppress(OSError):
            found = len(list((folder / 'fd').iterdir()))
            self.descriptors = max(self.descriptors, found)
            queued = count_queued(folder, self.ip, self.port)
            self.queued = max(self.queued, queued)

    def read_peak(self):
        """Return the most memory that the process ever had, in bytes."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * 1024

    async def follow(self):
        while True:
            self.measure()
            await curio.sleep(0.05)


def count_queued(folder, ip, port):
    """Return the bytes that wait in the kernel's queues of an address."""
    address = ''.join(f'{int(part):02X}' for part in reversed(ip.split('.')))
    local = f'{address}:{port:04X}'
    total = 0
    for line in (folder / 'net' / 'tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] == '01':
            total += sum(int(part, 16) for part in fields[4].split(':'))
    return total
