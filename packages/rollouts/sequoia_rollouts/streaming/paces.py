"""Measures the time between stream events; derives timeouts from it."""

from datetime import timedelta

from attrs import define
from sequoia_policy.registries import RegisteredTarget

EVENTS_PER_MEASUREMENT = 4
DEFAULT_GAP_TIMEOUT = timedelta(milliseconds=2400)  # if no pace is known
MIN_GAP_TIMEOUT = timedelta(milliseconds=1200)
GAP_TIMEOUT_FACTOR = 10  # times the smoothed time between events
MIN_READ_TIMEOUT = timedelta(milliseconds=1)


@define
class PaceMeter:
    """Measures the mean time between the events of one stream.

    Attributes:
        started_at: Start of the current measurement.
        events: Number of events since then.
    """

    target: RegisteredTarget
    started_at: timedelta
    events: int = 0

    def count(self, events: int, now: timedelta) -> bool:
        """Count events; return whether they completed a measurement."""
        self.events += events
        if self.events < EVENTS_PER_MEASUREMENT:
            return False
        pace = (now - self.started_at) / self.events
        self.target.record_duration(pace.total_seconds(), now)
        self.started_at = now
        self.events = 0
        return True


@define
class StreamProgress:
    """When the last complete event of a stream arrived.

    Bytes that complete no event are no progress: an engine in trouble may send
    some now and then.
    """

    progress_at: timedelta

    def record(self, events: int, now: timedelta) -> None:
        """Record the number of events that have just arrived."""
        if events:
            self.progress_at = now

    def remaining(self, gap: timedelta, now: timedelta) -> timedelta:
        """Return the time left for the next event.

        Args:
            gap: Maximum time between two events.
            now: Current time.
        """
        return max(MIN_READ_TIMEOUT, self.progress_at + gap - now)


def find_gap_timeout(target: RegisteredTarget, now: timedelta) -> timedelta:
    """Return the timeout between two events of an engine."""
    pace = target.known_seconds(now)
    if pace is None:
        return DEFAULT_GAP_TIMEOUT
    return max(MIN_GAP_TIMEOUT, timedelta(seconds=pace * GAP_TIMEOUT_FACTOR))
