"""System clocks."""

import time
from datetime import UTC, datetime, timedelta

from attrs import frozen


def monotonic_time() -> timedelta:
    """Return the time of a monotonic clock."""
    return timedelta(seconds=time.monotonic())


@frozen
class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the time since boot, including time spent suspended.

        A monotonic clock that stops during suspension would let a resumed host
        treat its expired leases as valid.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
