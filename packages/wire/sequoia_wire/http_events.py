"""Reads the events of an HTTP message from a socket."""

from datetime import timedelta
from typing import Any

import curio
import h11

READ_SIZE = 65536  # bytes


async def read_event(
    sock: curio.io.Socket, state: h11.Connection, timeout: timedelta
) -> h11.Event:
    """Return the next event of the message that the peer sends.

    Args:
        sock: The connection.
        state: What is known of both messages on it.
        timeout: Maximum time between two reads.

    Raises:
        TaskTimeout: If the peer sends nothing within ``timeout``.
        OSError: If the connection fails.
        RemoteProtocolError: If the peer violates the protocol.
    """
    event: Any = state.next_event()
    while event is h11.NEED_DATA:
        async with curio.timeout_after(timeout.total_seconds()):
            received = await sock.recv(READ_SIZE)
        state.receive_data(received)
        event = state.next_event()
    return event
