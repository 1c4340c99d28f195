"""The clock of the machine."""

import time
from datetime import UTC, datetime, timedelta

from attrs import frozen


@frozen
class SystemClock:
    """Reads the machine's clocks."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the time since boot, with the time spent suspended.

        A host that was suspended must not think that its leases still hold.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
