"""Cancels the work for callers that disconnect."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
from sequoia_wire.exchanges import Exchange
from sequoia_wire.tracebacks import release_frames

Outcome = TypeVar('Outcome')
PEEK_BYTES = 1


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response was complete."""


async def run_for_caller(
    exchange: Exchange,
    work: Callable[..., Awaitable[Outcome]],
    *arguments: object,
) -> Outcome:
    """Return what ``work`` returns; cancel it if the caller disconnects.

    Raises:
        CallerDisconnectedError: If the caller disconnected first.
    """
    async with curio.TaskGroup(wait=any) as group:
        worker = await group.spawn(work, *arguments)
        watcher = await group.spawn(wait_for_disconnect, exchange)
    release_frames(watcher.exception)
    if group.completed is watcher:
        release_frames(worker.exception)
        raise CallerDisconnectedError
    return group.result


async def wait_for_disconnect(exchange: Exchange) -> None:
    """Return when the caller closes its connection.

    If the caller pipelines its next request, its disconnection can no longer
    be detected by peeking, and this function never returns.
    """
    try:
        received = await exchange.sock.recv(
            PEEK_BYTES,
            curio.socket.MSG_PEEK,
        )
    except OSError:
        return
    if received:
        await curio.Event().wait()
