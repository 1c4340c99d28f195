"""State of a target as observed by one host: reports, failures, leaving."""

import math
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.roles import Role

FAILURES_BEFORE_BACKOFF = 3
MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=30)
UNKNOWN_INCARNATION = -1
SERVICE_SMOOTHING = 0.2  # weight of the newest sample in the moving average
SWAPPING = -1  # version reported by an engine while it swaps weights


@frozen
class Target:
    """A target as listed in the hosts list."""

    name: str
    pool: str
    domain: str
    address: str


@frozen
class Report:
    """Status that a target reported about itself.

    Attributes:
        incarnation: Increases with each start of the target.
        version: Weight version in use, ``SWAPPING`` during a swap.
        loaded: Newest version loaded in memory.
        running: Requests being processed.
        waiting: Queued requests.
        slots: Maximum number of concurrent requests.
        origin: Time of the report on the clock of the receiving host.
        role: Kinds of work that the target accepts.
    """

    target: str
    incarnation: int
    version: int
    loaded: int
    running: int
    waiting: int
    slots: int
    leaving: bool
    origin: timedelta
    role: Role = Role.BOTH

    def is_newer_than(self, other: 'Report | None') -> bool:
        """Return whether this report supersedes another one.

        Reports are ordered by incarnation, then by time of origin.
        """
        if other is None:
            return True
        age_key = (self.incarnation, self.origin)
        return age_key > (other.incarnation, other.origin)


@define
class TargetState:
    """State of one target as observed by this host.

    Attributes:
        in_flight: Requests of this host in flight.
        sent_since_report: Times of requests sent by this host after the
            origin of the report.
        service_seconds: Moving average of the seconds per unit of work,
            without queueing.
        left_incarnation: Highest incarnation observed leaving.
        listed_leaving: Whether the newest hosts list marks it as leaving.
        retired: Whether it is missing from the newest hosts list.
    """

    target: Target
    report: Report | None = None
    in_flight: int = 0
    sent_since_report: list[timedelta] = field(factory=list)
    failures: int = 0
    backoff_until: timedelta = timedelta()
    left_incarnation: int | None = None
    listed_leaving: bool = False
    service_seconds: float | None = None
    retired: bool = False

    @property
    def incarnation(self) -> int:
        """The newest incarnation observed."""
        if self.report is None:
            return UNKNOWN_INCARNATION
        return self.report.incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether the current incarnation was observed leaving."""
        return (
            self.left_incarnation is not None
            and self.left_incarnation >= self.incarnation
        )

    @property
    def is_swapping(self) -> bool:
        """Whether the target is swapping weights and serves no version."""
        return self.version == SWAPPING

    def is_usable(self, now: timedelta) -> bool:
        """Return whether new work may be sent to the target."""
        if self.is_leaving or self.retired or self.is_swapping:
            return False
        return now >= self.backoff_until

    def accepts(self, *, is_rollout: bool) -> bool:
        """Return whether the target's role allows a kind of work."""
        return self.report is None or self.report.role.accepts(
            is_rollout=is_rollout,
        )

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests, at least 1."""
        return max(1, self.report.slots) if self.report else 1

    @property
    def version(self) -> int | None:
        """The weight version of the newest report."""
        return self.report.version if self.report else None

    @property
    def busy(self) -> int:
        """Estimated number of requests running or queued at the target."""
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return max(self.in_flight, reported + len(self.sent_since_report))

    def load(self) -> float:
        """Estimate the number of requests per slot."""
        return self.busy / self.slots

    def wait_factor(self) -> float:
        """Estimate the latency of one more request, in service times.

        The factor is 1 while a slot is free and grows with the queue.
        """
        queued = max(0, self.busy + 1 - self.slots)
        return 1 + queued / self.slots

    def record_service_time(
        self, duration: timedelta, units: int, wait_factor: float
    ) -> None:
        """Update the moving average of the service time per unit of work.

        Args:
            duration: Latency of a request, including its time in the queue.
            units: Size of the request: tokens, or 1 for a plain call.
            wait_factor: Value of ``wait_factor()`` when it was sent.
        """
        seconds = duration.total_seconds() / max(1, units) / wait_factor
        if self.service_seconds is None:
            self.service_seconds = seconds
        self.service_seconds += SERVICE_SMOOTHING * (
            seconds - self.service_seconds
        )

    def begin_request(self, now: timedelta) -> None:
        """Count a request that is about to be sent as in flight."""
        self.in_flight += 1
        self.sent_since_report.append(now)

    def end_request(self) -> None:
        """Count a request as no longer in flight."""
        self.in_flight -= 1

    def apply_report(self, report: Report) -> bool:
        """Store a report; return False if the known one is as new."""
        if not report.is_newer_than(self.report):
            return False
        self.report = report
        self.sent_since_report = [
            sent_at
            for sent_at in self.sent_since_report
            if sent_at > report.origin
        ]
        if report.leaving:
            self.mark_leaving()
        return True

    def mark_leaving(self) -> None:
        """Mark the current incarnation as leaving."""
        self.left_incarnation = max(
            self.left_incarnation or UNKNOWN_INCARNATION, self.incarnation
        )

    def record_success(self) -> None:
        """Reset the count of consecutive failures."""
        self.failures = 0

    def record_failure(self, now: timedelta) -> None:
        """Back off exponentially after repeated failures."""
        self.failures += 1
        excess = self.failures - FAILURES_BEFORE_BACKOFF
        if excess >= 0:
            backoff = MIN_BACKOFF * math.pow(2, min(excess, 10))
            self.backoff_until = now + min(backoff, MAX_BACKOFF)
