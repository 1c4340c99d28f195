"""Measures the time between stream events; derives timeouts from it."""

from datetime import timedelta

from attrs import define
from sequoia_policy.registries import RegisteredTarget

EVENTS_PER_MEASUREMENT = 4
DEFAULT_GAP_TIMEOUT = timedelta(milliseconds=2400)  # if no pace is known
MIN_GAP_TIMEOUT = timedelta(milliseconds=1200)
GAP_TIMEOUT_FACTOR = 10  # times the smoothed time between events


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


def find_gap_timeout(target: RegisteredTarget, now: timedelta) -> timedelta:
    """Return the timeout between two events of an engine."""
    pace = target.known_seconds(now)
    if pace is None:
        return DEFAULT_GAP_TIMEOUT
    return max(MIN_GAP_TIMEOUT, timedelta(seconds=pace * GAP_TIMEOUT_FACTOR))
