"""Decides which window is summed, and which report is sent when."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.usage_windows import UsageTiming

MAX_BACKOFF = timedelta(seconds=2)
MAX_DOUBLINGS = 5


@frozen
class StoredReport:
    """The report of a window as stored before it is sent.

    Attributes:
        counts: Requests by account.
        accepted: Up to which window the API had accepted all reports.
    """

    counts: Mapping[str, int]
    accepted: int = 0


@define
class ReportPlan:
    """The reports of one holder of the duty.

    Attributes:
        interval: Minimum time between two calls.
        next_window: The window to be summed next.
        waiting: Stored reports that the API has not accepted, by window.
        accepted: Up to which window it has accepted all.
        call_at: When to call next at the earliest.
        failures: Failed calls since the last one that was accepted.
    """

    timing: UsageTiming
    interval: timedelta
    next_window: int
    waiting: dict[int, Mapping[str, int]] = field(factory=dict)
    accepted: int = 0
    call_at: timedelta = timedelta()
    failures: int = 0

    def skip_expired(self, now: timedelta) -> range:
        """Give up windows that are too late to be summed; return them."""
        first = self.next_window
        self.next_window = max(first, self.timing.find_oldest(now))
        return range(first, self.next_window)

    def find_due_sum(self, now: timedelta) -> int | None:
        """Return the window to be summed now, None if there is none."""
        if now < self.timing.collects_at(self.next_window):
            return None
        return self.next_window

    def record_stored(self, window: int, counts: Mapping[str, int]) -> None:
        """Record that the report of the next window is stored."""
        self.waiting[window] = counts
        self.next_window = window + 1

    def drop_expired(self, now: timedelta) -> list[int]:
        """Give up stored reports that are too late; return their windows."""
        expired = [
            window
            for window in sorted(self.waiting)
            if self.timing.has_expired(window, now)
        ]
        for window in expired:
            self.waiting.pop(window)
        return expired

    def choose(self, now: timedelta) -> int | None:
        """Return the window whose report is to be sent now, None for none.

        The oldest one that can still be in time goes first.
        """
        if not self.waiting or now < self.call_at:
            return None
        in_time = [
            window
            for window in self.waiting
            if now <= self.timing.due_at(window)
        ]
        return min(in_time or self.waiting)

    def record_call(self, now: timedelta) -> None:
        """Record that a report is about to be sent."""
        self.call_at = now + self.interval

    def record_accepted(self, window: int) -> None:
        """Record that the API has accepted a report."""
        self.failures = 0
        self.waiting.pop(window, None)
        oldest = min(self.waiting, default=self.next_window)
        self.accepted = max(self.accepted, oldest - 1)

    def record_failure(self, now: timedelta) -> None:
        """Wait longer before the next call."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        wait = min(MAX_BACKOFF, self.interval * (1 << doublings))
        self.failures += 1
        self.call_at = max(self.call_at, now + wait)


def resume_reports(
    timing: UsageTiming,
    interval: timedelta,
    stored: Mapping[int, StoredReport | None],
    first_window: int,
) -> ReportPlan:
    """Return the plan of a host that takes the duty over.

    Args:
        timing: Times of windows.
        interval: Minimum time between two calls.
        stored: The stored reports by window; None for one that cannot be read,
            which is neither sent nor summed again.
        first_window: First window to report if none is stored.
    """
    plan = ReportPlan(timing, interval, first_window)
    if not stored:
        return plan
    plan.next_window = max(stored) + 1
    readable = {
        window: report
        for window, report in sorted(stored.items())
        if report is not None
    }
    plan.accepted = max(
        (report.accepted for report in readable.values()), default=0
    )
    plan.waiting = {
        window: report.counts
        for window, report in readable.items()
        if window > plan.accepted
    }
    return plan
