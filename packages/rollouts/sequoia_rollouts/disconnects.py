"""Ends work for callers that close their connection."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
from sequoia_wire.exchanges import Exchange

Outcome = TypeVar('Outcome')
PEEKED = 1  # byte


class CallerDisconnectedError(Exception):
    """The caller closed its connection before it had an answer."""


async def run_for_caller(
    exchange: Exchange,
    work: Callable[..., Awaitable[Outcome]],
    *arguments: object,
) -> Outcome:
    """Return what ``work`` returns; cancel it when the caller leaves.

    Raises:
        CallerDisconnectedError: If the caller left first.
    """
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(work, *arguments)
        watching = await group.spawn(watch_caller, exchange)
    if group.completed is watching:
        raise CallerDisconnectedError
    return group.result


async def watch_caller(exchange: Exchange) -> None:
    """Return when the caller has closed its connection.

    A caller that sends its next request early has not left; it is then not
    watched any more.
    """
    try:
        received = await exchange.sock.recv(
            PEEKED,
            curio.socket.MSG_PEEK,
        )
    except OSError:
        return
    if received:
        await curio.Event().wait()
