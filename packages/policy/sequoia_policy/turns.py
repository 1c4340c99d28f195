"""Bounds the part of the event loop that one kind of work gets."""

from datetime import timedelta

from attrs import define

MIN_PAUSE = timedelta(microseconds=100)
MAX_PAUSE = timedelta(milliseconds=100)  # also after a pause of the process


@define
class WorkShare:
    """How long to pause after work, so that it uses a share of the time.

    Attributes:
        share: Share of the time that the work may use.
    """

    share: float = 0.5

    def find_pause(self, worked: timedelta) -> timedelta:
        """Return the pause after work that lasted for a time."""
        pause = worked * (1 / self.share - 1)
        return min(MAX_PAUSE, max(MIN_PAUSE, pause))
