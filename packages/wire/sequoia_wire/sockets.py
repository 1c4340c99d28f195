"""TCP connections and socket options."""

import socket
from contextlib import suppress

import curio


def disable_nagle(sock: curio.io.Socket) -> None:
    """Set TCP_NODELAY on a socket.

    With Nagle's algorithm, a body written separately from its head waits for
    the peer's delayed acknowledgement.
    """
    sock.setsockopt(
        curio.socket.IPPROTO_TCP,
        curio.socket.TCP_NODELAY,
        1,
    )


async def connect(host: str, port: int) -> curio.io.Socket:
    """Open a TCP connection with Nagle's algorithm disabled.

    Raises:
        OSError: If the connection cannot be established.
    """
    if is_ip_address(host):
        sock = await open_connection(host, port)
    else:
        sock = await curio.open_connection(host, port)
    disable_nagle(sock)
    return sock


def limit_buffers(sock: curio.io.Socket, size: int) -> None:
    """Set the kernel's buffers of a listening socket's connections."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, size)


def is_ip_address(host: str) -> bool:
    """Return whether a host is an IPv4 address, which needs no resolution."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


async def open_connection(host: str, port: int) -> curio.io.Socket:
    """Open a TCP connection to an IPv4 address.

    Curio resolves any host in a thread. On a busy processor the start of the
    thread alone may take longer than the timeout of a connect.

    Raises:
        OSError: If the connection cannot be established.
    """
    sock = make_socket()
    try:
        await sock.connect((host, port))
    except (OSError, curio.CancelledError):
        await sock.close()
        raise
    return sock


def make_socket() -> curio.io.Socket:
    """Return a new TCP socket."""
    return curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)


def shut_down_socket(
    sock: curio.io.Socket, *, only_reading: bool = False
) -> None:
    """End a connection; a task that waits for its data sees the end of it."""
    how = socket.SHUT_RD if only_reading else socket.SHUT_RDWR
    with suppress(OSError):  # it may have ended already
        sock._socket.shutdown(how)  # noqa: SLF001
