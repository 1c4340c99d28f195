"""What targets announce in their responses: that they leave, and limits.

It belongs to a process and outlives its registration: one that expires and comes
back, or that still says ``ready``, does not undo it. Another start of a target is
another process.
"""

from datetime import timedelta

from attrs import define, field, frozen

MAX_PROCESSES = 10_000  # the oldest is forgotten first
MIN_PER_SECOND = 0.2  # lets hosts find out that a limit of zero has ended
FORGET_LIMIT_AFTER = timedelta(minutes=10)


@frozen
class TargetProcess:
    """One process of a target.

    Attributes:
        started_at: Start time in Unix milliseconds, 0 if unknown.
    """

    name: str
    started_at: int


@frozen
class TargetLimit:
    """A limit for the requests of all hosts together.

    Attributes:
        per_second: Requests per second that the target takes.
        named_at: When a response last named the limit.
    """

    per_second: float
    named_at: timedelta


@define(eq=False)
class Announcements:
    """What one process has announced.

    Attributes:
        leaving: Whether it takes no new work.
        limit: Its limit; None if it named none, or no longer does.
    """

    leaving: bool = False
    limit: TargetLimit | None = None

    def record_leaving(self) -> bool:
        """Record that it leaves; return whether that is new."""
        is_new = not self.leaving
        self.leaving = True
        return is_new

    def record_limit(self, per_second: float, now: timedelta) -> bool:
        """Record that a response named a limit; return whether it is new."""
        known = self.find_limit(now)
        self.limit = TargetLimit(max(MIN_PER_SECOND, per_second), now)
        return known is None or known.per_second != self.limit.per_second

    def lift_limit(self, sent_at: timedelta) -> bool:
        """End the limit, as a response did not name it.

        Args:
            sent_at: When the request was sent. If that was before the limit was
                last named, the response may be older than the limit.

        Returns:
            Whether the limit ended.
        """
        if self.limit is None or sent_at <= self.limit.named_at:
            return False
        self.limit = None
        return True

    def find_limit(self, now: timedelta) -> TargetLimit | None:
        """Return the limit unless it was named long ago."""
        if self.limit and now - self.limit.named_at >= FORGET_LIMIT_AFTER:
            self.limit = None
        return self.limit


@define
class AnnouncementTable:
    """What this host has received, by process."""

    processes: dict[TargetProcess, Announcements] = field(factory=dict)

    def find(self, process: TargetProcess) -> Announcements:
        """Return the record of a process, a new one if there is none."""
        known = self.processes.get(process)
        if known is None:
            if len(self.processes) >= MAX_PROCESSES:
                self.processes.pop(next(iter(self.processes)))
            known = self.processes.setdefault(process, Announcements())
        return known

    def list_limits(self, now: timedelta) -> dict[str, TargetLimit]:
        """Return the limits in force by name of the target."""
        limits = {
            process.name: known.find_limit(now)
            for process, known in self.processes.items()
            if known.limit
        }
        return {name: limit for name, limit in limits.items() if limit}
