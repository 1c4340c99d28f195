"""Restarts the loops of a host after unexpected errors."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from sequoia_policy.errors import ServiceError
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


class ServiceErrorFilter(logging.Filter):
    """Leaves out tracebacks of service errors.

    The event loop logs each task that ends with an error. A service error is
    logged and answered by the task that joins the one that raised it.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is to be logged."""
        if record.exc_info is None:
            return True
        return not isinstance(record.exc_info[1], ServiceError)


def filter_loop_log() -> None:
    """Install the filter in the log of the event loop."""
    logging.getLogger('curio.kernel').addFilter(ServiceErrorFilter())
