"""Keeps the loops of a host running whatever happens in them."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from sequoia_wire.logs import Log, LogKind

RESTART_PAUSE = timedelta(milliseconds=200)

log = Log('host')
PART_FAILED = log.event('part failed', 'part', 'error', kind=LogKind.FAILURE)


async def supervise(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop; start it again after an error that it did not expect."""
    while True:
        try:
            await work()
        except Exception as bug:  # noqa: BLE001
            name = getattr(work, '__qualname__', repr(work))
            PART_FAILED.write(part=name, error=repr(bug))
        await curio.sleep(RESTART_PAUSE.total_seconds())
