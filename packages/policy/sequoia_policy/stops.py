"""What a host that shuts down can still answer before its process ends."""

from datetime import timedelta

from attrs import frozen

NOTICE = timedelta(milliseconds=3200)  # until callers choose other hosts
MAX_NOTICE_SHARE = 0.4  # of the time to the end of the process
ANSWER_TIME = timedelta(milliseconds=250)  # to send the last responses
EXIT_TIME = timedelta(milliseconds=250)  # to end the process
MAX_MARGIN_SHARE = 0.05  # of the time to the end, for each of the two


@frozen
class StopTimes:
    """The schedule of a shutdown, by the clock of the host.

    Attributes:
        refuses_at: From when no new request is taken.
        answers_by: By when each request must have its response.
        ends_at: When the process ends.
    """

    refuses_at: timedelta
    answers_by: timedelta
    ends_at: timedelta

    def takes_requests(self, now: timedelta) -> bool:
        """Return whether a request that has just arrived may be taken."""
        return now < self.refuses_at

    def can_answer(
        self, now: timedelta, deadline: timedelta, duration: timedelta
    ) -> bool:
        """Return whether a request that is sent now is answered in time.

        Args:
            now: Current time.
            deadline: When the caller gives up.
            duration: How long such requests take at most.
        """
        return min(deadline, now + duration) <= self.answers_by


def schedule_stop(now: timedelta, limit: timedelta) -> StopTimes:
    """Return the schedule of a shutdown that starts now.

    Args:
        now: Current time.
        limit: Time after which the process is killed.
    """
    margin = limit * MAX_MARGIN_SHARE
    ends_at = now + limit - min(EXIT_TIME, margin)
    return StopTimes(
        refuses_at=now + min(NOTICE, limit * MAX_NOTICE_SHARE),
        answers_by=ends_at - min(ANSWER_TIME, margin),
        ends_at=ends_at,
    )
