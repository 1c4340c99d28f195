"""Counts engines over time, so that restarts do not look like losses."""

from collections import deque
from datetime import timedelta

from attrs import define, field, frozen

WINDOW = timedelta(seconds=10)
# A crashed engine is back after about 5 s.
RESTART_TIME = timedelta(seconds=6)
MEMORY = timedelta(seconds=60)
MAX_GAP = timedelta(seconds=3)  # between samples of one series


@frozen
class Sample:
    """How many engines the list showed at a time."""

    at: timedelta
    count: int


@define
class EngineCount:
    """Number of engines of one kind as the list shows it.

    Attributes:
        samples: What the list showed within WINDOW.
        level: How many ran, which falls only after MEMORY.
        confirmed_at: When the middle of the samples last reached the level.
    """

    samples: deque[Sample] = field(factory=deque)
    level: int = 0
    confirmed_at: timedelta = timedelta()

    @property
    def newest(self) -> int:
        """What the list showed last."""
        return self.samples[-1].count if self.samples else 0

    @property
    def middle(self) -> int:
        """The upper median of the samples."""
        counts = sorted(sample.count for sample in self.samples)
        return counts[len(counts) // 2] if counts else 0

    def observe(self, now: timedelta, count: int) -> None:
        """Record what the list shows now.

        After a gap the list may not be complete yet: what was seen before it
        tells nothing about how long an engine has been missing.
        """
        if self.samples and now - self.samples[-1].at > MAX_GAP:
            self.samples.clear()
            self.confirmed_at = now
        self.samples.append(Sample(now, count))
        while self.samples[0].at < now - WINDOW:
            self.samples.popleft()
        middle = self.middle
        if middle >= self.level or now - self.confirmed_at > MEMORY:
            self.level = middle
            self.confirmed_at = now

    def count_lasting(self, now: timedelta) -> int | None:
        """Return the most engines that ran within the time of a restart.

        Returns:
            None if they have not been counted for that long.
        """
        if not self.samples or self.samples[0].at > now - RESTART_TIME:
            return None
        return max(
            (
                sample.count
                for sample in self.samples
                if sample.at >= now - RESTART_TIME
            ),
            default=0,
        )
