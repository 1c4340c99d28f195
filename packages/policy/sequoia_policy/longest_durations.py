"""How long the slowest of many requests take."""

from datetime import timedelta

from attrs import define, field, frozen

HALF_LIFE = timedelta(seconds=30)  # in which a long duration is half forgotten
NO_DURATION = timedelta()


@frozen
class RecordedDuration:
    """The longest duration at some time."""

    duration: timedelta
    recorded_at: timedelta

    def find(self, now: timedelta) -> timedelta:
        """Return what is left of it."""
        age = now - self.recorded_at
        return self.duration * 0.5 ** (age / HALF_LIFE)


@define
class LongestDurations:
    """The longest recent durations by route.

    Attributes:
        by_route: The longest one and its time, by name of the route.
    """

    by_route: dict[str, RecordedDuration] = field(factory=dict)

    def record(self, route: str, duration: timedelta, now: timedelta) -> None:
        """Record the duration of a request."""
        if duration >= self.find(route, now):
            self.by_route[route] = RecordedDuration(duration, now)

    def find(self, route: str, now: timedelta) -> timedelta:
        """Return the longest recent duration, zero if there is none."""
        longest = self.by_route.get(route)
        return longest.find(now) if longest else NO_DURATION
