"""Restarts the loops of a host after unexpected errors."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from sequoia_wire.logs import Log, LogKind

RESTART_BACKOFF = timedelta(milliseconds=200)

log = Log('host')
PART_FAILED = log.event('part failed', 'part', 'error', kind=LogKind.FAILURE)


async def supervise(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop and restart it whenever it ends or fails."""
    while True:
        try:
            await work()
        except Exception as error:  # noqa: BLE001
            name = getattr(work, '__qualname__', repr(work))
            PART_FAILED.write(part=name, error=repr(error))
        await curio.sleep(RESTART_BACKOFF.total_seconds())
