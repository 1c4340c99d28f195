"""The concurrency limit of a target's process, as one host sees it.

A process that is new, or that could not be reached, gets few requests at first and
more with each timely response. The limit only says which targets to prefer.
"""

import math
from collections.abc import Callable
from datetime import timedelta

import mmh3
from attrs import define, field

HASH_RANGE = 1 << 32
START_SHARE = 0.25  # of the slots that all hosts together use at first
# Time in which all hosts together double what they send before any response.
DOUBLING_INTERVAL = timedelta(milliseconds=150)
LATE_FACTOR = 2.5  # multiple of the usual duration
DECREASE_FACTOR = 0.5
# Between two decreases: what was sent before the first one comes back late too.
DECREASE_INTERVAL = timedelta(milliseconds=300)
MAX_RESTARTS = 4  # further ones start no later
RESTART_WINDOW = timedelta(seconds=30)  # restarts further apart do not count
USUAL_SMOOTHING = 0.05  # weight of the newest duration


def ignore_change(_target: str, _pace: 'TargetPace') -> None:
    """Ignore a change of a limit."""


def count_one_host() -> int:
    """Return the number of hosts where this one is alone."""
    return 1


@define(eq=False)
class PaceContext:
    """What the paces of all targets of a host share.

    Attributes:
        host: Name of this host.
        count_hosts: Returns the number of all hosts, 0 if it is unknown.
        observe: Called with the name of a target whose limit began, fell or
            ended.
    """

    host: str = ''
    count_hosts: Callable[[], int] = count_one_host
    observe: Callable[[str, 'TargetPace'], None] = ignore_change

    def find_position(self, process: str) -> float:
        """Return the place of this host among all hosts for one process."""
        hashed: int = mmh3.hash(f'{self.host}/{process}', signed=False)
        return hashed / HASH_RANGE * max(1, self.count_hosts())


@define(eq=False)
class UsualDuration:
    """Moving average of the durations at all targets of a service.

    Attributes:
        seconds: None until a request ended.
    """

    seconds: float | None = None

    def record(self, seconds: float) -> None:
        """Update the average with one duration."""
        if self.seconds is None:
            self.seconds = seconds
        else:
            self.seconds += USUAL_SMOOTHING * (seconds - self.seconds)

    def is_late(self, seconds: float) -> bool:
        """Return whether a duration is much longer than usual."""
        return self.seconds is not None and seconds > self.seconds * LATE_FACTOR


@define(eq=False)
class TargetPace:
    """How many requests this host prefers to have in flight at a process.

    Attributes:
        limit: None if there is none.
        opens_at: When this host sends its first request.
        started_at: When the limit last began; None if it never did.
        decreased_at: When the limit last fell.
        is_doubling: Whether no response was late and none refused since.
        has_responded: Whether it responded since the limit last began.
        restarts: Starts within the last window that ended a time in which it
            responded.
    """

    target: str
    slots: int
    context: PaceContext = field(factory=PaceContext)
    usual: UsualDuration = field(factory=UsualDuration)
    limit: float | None = None
    opens_at: timedelta = timedelta()
    started_at: timedelta | None = None
    decreased_at: timedelta = timedelta()
    is_doubling: bool = False
    has_responded: bool = True
    restarts: int = 0

    def start(self, now: timedelta) -> None:
        """Begin a slow start; a target that flaps starts later each time."""
        self.restarts = self._count_restarts(now)
        self.started_at = now
        allowed = max(1, self.slots * START_SHARE) / (1 << self.restarts)
        position = self.context.find_position(self.target)
        doublings = math.log2(max(1, position / allowed))
        self.opens_at = now + DOUBLING_INTERVAL * doublings
        is_new = self.limit != 1
        self.limit = 1
        self.is_doubling = True
        self.has_responded = False
        if is_new:
            self.context.observe(self.target, self)

    def admits(self, running: int, now: timedelta) -> bool:
        """Return whether one more request is within the limit."""
        if self.limit is None:
            return True
        return now >= self.opens_at and running < self.limit

    def record_duration(self, seconds: float, now: timedelta) -> None:
        """Adjust the limit to the duration of a unit of work."""
        if self.limit is not None:
            self.has_responded = True
            if self.usual.is_late(seconds):
                self.decrease(now)
            else:
                self._increase(self.limit)
        self.usual.record(seconds)

    def decrease(self, now: timedelta) -> None:
        """Lower a limit after a late response or a refusal."""
        if self.limit is None or now - self.decreased_at < DECREASE_INTERVAL:
            return
        self.decreased_at = now
        self.is_doubling = False
        if self.limit > 1:
            self.limit = max(1, self.limit * DECREASE_FACTOR)
            self.context.observe(self.target, self)

    def _increase(self, limit: float) -> None:
        """Raise a limit, and end it once this host may use all slots.

        One more for each response doubles the limit while it is used up.
        """
        limit += 1 if self.is_doubling else 1 / limit
        self.limit = limit if limit < self.slots else None
        if self.limit is None:
            self.context.observe(self.target, self)

    def _count_restarts(self, now: timedelta) -> int:
        if self.started_at is None or now - self.started_at > RESTART_WINDOW:
            return 0
        # Several requests may find at once that it cannot be reached.
        return min(MAX_RESTARTS, self.restarts + self.has_responded)
