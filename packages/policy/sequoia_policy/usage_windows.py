"""Windows of usage: when counts are written, collected and reported.

All times are since the start of 1970 in true time.
"""

from datetime import timedelta

from attrs import frozen

WRITES_PER_WINDOW = 2
MAX_SPREAD = timedelta(seconds=1)  # of the writes of all hosts
SPREAD_SHARE = 0.2  # of a window, at most
COLLECT_MARGIN = timedelta(milliseconds=500)  # for writes that are slow
# Of the time until a report is due: the rest is for its calls, and for another
# host to take over.
MAX_COLLECT_SHARE = 0.5
EXPIRY_LIMITS = 2  # limits after the end of a window until it is not reported
# A longer wait for a response is time in the target's queue in part.
LONG_WAIT = timedelta(milliseconds=500)


@frozen
class UsageTiming:
    """The times of windows.

    Attributes:
        length: Length of a window.
        limit: Time from the end of a window until its report is due.
    """

    length: timedelta
    limit: timedelta

    @property
    def spread(self) -> timedelta:
        """The time over which hosts spread their writes."""
        return min(MAX_SPREAD, self.length * SPREAD_SHARE)

    def find_window(self, time: timedelta) -> int:
        """Return the number of the window at a time."""
        return time // self.length

    def ends_at(self, window: int) -> timedelta:
        """Return the end of a window."""
        return self.length * (window + 1)

    def find_next_write(self, now: timedelta, share: float) -> timedelta:
        """Return when to write counts next.

        Counts are written after each half of a window, also those of the
        window before that came late.

        Args:
            now: The time.
            share: Random number from 0 to 1 that spreads the hosts.
        """
        interval = self.length / WRITES_PER_WINDOW
        return interval * (now // interval + 1) + self.spread * share

    def is_writable(self, window: int, now: timedelta) -> bool:
        """Return whether the counts of a window are to be written.

        Those of its first half are, so that a host that dies does not lose
        more. A host that writes late after the window before leaves them out.
        """
        half = self.length / WRITES_PER_WINDOW
        return now >= self.ends_at(window) - self.length + half

    def collects_at(self, window: int) -> timedelta:
        """Return when hosts have written the counts of a window.

        That is after their second write after its end.
        """
        wait = self.length / WRITES_PER_WINDOW + self.spread + COLLECT_MARGIN
        wait = min(wait, self.limit * MAX_COLLECT_SHARE)
        return self.ends_at(window) + wait

    def due_at(self, window: int) -> timedelta:
        """Return until when a window is to be reported."""
        return self.ends_at(window) + self.limit

    def has_expired(self, window: int, now: timedelta) -> bool:
        """Return whether a window is not to be reported any more."""
        return now > self.ends_at(window) + self.limit * EXPIRY_LIMITS

    def find_oldest(self, now: timedelta) -> int:
        """Return the oldest window that has not expired."""
        oldest = self.find_window(now - self.limit * EXPIRY_LIMITS) - 1
        while self.has_expired(oldest, now):
            oldest += 1
        return oldest


def estimate_start(
    sent_at: timedelta, responded_at: timedelta, usual: timedelta
) -> timedelta:
    """Estimate when a target began to work on a request.

    Args:
        sent_at: When the request was sent.
        responded_at: When the response came.
        usual: How long responses of the target usually take, zero for one that
            responds as soon as it begins.
    """
    if responded_at - sent_at <= LONG_WAIT:
        return sent_at
    return max(sent_at, responded_at - usual)
