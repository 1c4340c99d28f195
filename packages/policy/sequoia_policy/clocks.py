"""The clock interface, and a manually advanced clock for tests."""

from datetime import UTC, datetime, timedelta
from typing import Protocol

from attrs import define, field


class Clock(Protocol):
    """Provides wall-clock time and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def elapsed(self) -> timedelta:
        """Return the monotonic time since an arbitrary start."""


@define
class ManualClock:
    """A clock whose time changes only by calls of ``advance``.

    Attributes:
        start: Wall-clock time at offset zero.
        offset: Total time by which the clock was advanced.
    """

    start: datetime = datetime(2026, 1, 1, tzinfo=UTC)
    offset: timedelta = field(factory=timedelta)

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self.start + self.offset

    def elapsed(self) -> timedelta:
        """Return the total time by which the clock was advanced."""
        return self.offset

    def advance(self, step: timedelta) -> None:
        """Advance the clock by ``step``."""
        self.offset += step
