"""The pace of an engine's streams, and how long one may be silent."""

from datetime import timedelta

from attrs import define
from sequoia_policy.registries import RegisteredTarget

EVENTS_PER_MEASUREMENT = 4
USUAL_GAP = timedelta(milliseconds=2400)  # if no pace is known
SHORTEST_GAP = timedelta(milliseconds=1200)
PACES_PER_GAP = 10  # usual times between events that one gap may last


@define
class PaceMeter:
    """Measures the time between the events of one run.

    Attributes:
        began: When the measurement under way began.
        events: Events since then.
    """

    target: RegisteredTarget
    began: timedelta
    events: int = 0

    def count(self, events: int, now: timedelta) -> bool:
        """Count events; tell whether they completed a measurement."""
        self.events += events
        if self.events < EVENTS_PER_MEASUREMENT:
            return False
        pace = (now - self.began) / self.events
        self.target.record_duration(pace.total_seconds(), now)
        self.began = now
        self.events = 0
        return True


def find_gap_timeout(target: RegisteredTarget, now: timedelta) -> timedelta:
    """Return how long an engine may be silent between two events."""
    pace = target.known_seconds(now)
    if pace is None:
        return USUAL_GAP
    return max(SHORTEST_GAP, timedelta(seconds=pace * PACES_PER_GAP))
