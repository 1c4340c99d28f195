"""Refuses what a host that shuts down can no longer answer."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.longest_durations import LongestDurations
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.stops import StopTimes, schedule_stop
from sequoia_policy.verdicts import Verdict

from sequoia_rollouts.live.live_attempts import LiveAttempts

# The other hosts are as they were, so that callers need not wait for them.
RETRY_AFTER = timedelta(milliseconds=100)
ONCE_FACTOR = 1.5  # by which a request that may run once may take longer


@define
class StopGuard:
    """Takes only the requests that this host can answer before it ends.

    A request that is refused early has time to run at another host; one that is
    sent late would be cut off, and its caller could not know whether it ran.

    Attributes:
        durations: How long requests took from their arrival on.
        active: The requests in flight.
        times: The schedule of the shutdown; None until it starts.
    """

    clock: Clock
    durations: LongestDurations = field(factory=LongestDurations)
    active: set[LiveAttempts] = field(factory=set)
    times: StopTimes | None = None

    def start(self, limit: timedelta) -> StopTimes:
        """Start the shutdown.

        Args:
            limit: Time after which the process is killed.
        """
        self.times = schedule_stop(self.clock.elapsed(), limit)
        return self.times

    def check_arrival(self) -> None:
        """Check that a request that was just received may be taken.

        Raises:
            ServiceError: With code DRAINING if it comes too late.
        """
        if self.times is None:
            return
        if not self.times.takes_requests(self.clock.elapsed()):
            raise make_refusal()

    def check_send(self, attempts: LiveAttempts) -> None:
        """Check that a live request may be sent to a target.

        A request that may have run already gets its response in any case: what
        is in flight at the end ends with its verdict.

        Raises:
            ServiceError: With code DRAINING if no response may come in time.
        """
        if self.times is None or attempts.verdict is not Verdict.NOT_RUN:
            return
        now = self.clock.elapsed()
        duration = self._estimate_duration(attempts, now)
        if not self.times.can_answer(now, attempts.deadline, duration):
            raise make_refusal()

    @contextmanager
    def record(self, attempts: LiveAttempts) -> Iterator[None]:
        """Record how long a request takes, however it ends."""
        self.active.add(attempts)
        try:
            yield
        finally:
            self._record_end(attempts)

    def _record_end(self, attempts: LiveAttempts) -> None:
        self.active.discard(attempts)
        now = self.clock.elapsed()
        self.durations.record(
            attempts.route.name, now - attempts.request.arrived, now
        )

    def _estimate_duration(
        self, attempts: LiveAttempts, now: timedelta
    ) -> timedelta:
        """Return how long a request may take, by others of its route.

        If it may run only once, its caller cannot repeat it after a response
        that leaves open whether it ran.
        """
        route = attempts.route
        ages = (
            now - other.request.arrived
            for other in self.active
            if other.route.name == route.name
        )
        longest = self.durations.find(route.name, now)
        estimate = max(longest, route.objective, *ages)
        return estimate if route.may_repeat else estimate * ONCE_FACTOR


def make_refusal() -> ServiceError:
    """Return the error for a request that another host can answer."""
    return ServiceError(
        Code.DRAINING, 'the host shuts down', retry_after=RETRY_AFTER
    )
