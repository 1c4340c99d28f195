"""Reads the events of an HTTP message from a socket."""

from datetime import timedelta
from typing import Any

import curio
import h11

READ_SIZE = 65536  # bytes


def next_parsed_event(state: h11.Connection) -> h11.Event | None:
    """Return the next event in what was received; None if bytes are missing.

    Raises:
        RemoteProtocolError: If the peer violates the protocol.
    """
    event: Any = state.next_event()
    return None if event is h11.NEED_DATA else event


async def read_bytes(
    sock: curio.io.Socket, size: int, timeout: timedelta
) -> bytes:
    """Return received bytes; empty at the end of the connection.

    Raises:
        TaskTimeout: If the peer sends nothing within ``timeout``.
        OSError: If the connection fails.
    """
    async with curio.timeout_after(timeout.total_seconds()):
        received: bytes = await sock.recv(size)
    return received


async def read_event(
    sock: curio.io.Socket,
    state: h11.Connection,
    timeout: timedelta,
    read_size: int = READ_SIZE,
) -> h11.Event:
    """Return the next event of the message that the peer sends.

    Args:
        sock: The connection.
        state: What is known of both messages on it.
        timeout: Maximum time between two reads.
        read_size: Maximum size of a read.

    Raises:
        TaskTimeout: If the peer sends nothing within ``timeout``.
        OSError: If the connection fails.
        RemoteProtocolError: If the peer violates the protocol.
    """
    event = next_parsed_event(state)
    while event is None:
        state.receive_data(await read_bytes(sock, read_size, timeout))
        event = next_parsed_event(state)
    return event
