"""Permits by which all hosts together keep the limit that a target names.

The hosts share one state per limited target. It follows the generic cell rate
algorithm: each permit moves ``due_at`` on by the interval of the limit, and a
permit is free while ``due_at`` is at most one burst ahead.
"""

import enum
import random
from datetime import timedelta
from types import MappingProxyType

from attrs import define, evolve, field, frozen

NO_WAIT = timedelta()
MIN_INTERVAL = timedelta(microseconds=1)
MAX_INTERVAL = 5.0  # seconds
# Part of the limit that the hosts use while they cannot share a state. Some
# hosts may still share one then, and use up the limit themselves.
UNSHARED_PART = 0.5


class Urgency(enum.Enum):
    """How soon the response to a request is needed.

    Attributes:
        LIVE: A caller waits for it.
        ROLLOUT: It belongs to an item of a submission.
    """

    LIVE = 'live'
    ROLLOUT = 'rollout'


# Unused permits that can be saved up, as a time at the limit. What rollouts
# leave is free for live requests.
BURSTS = MappingProxyType(
    {
        Urgency.LIVE: timedelta(milliseconds=750),
        Urgency.ROLLOUT: timedelta(milliseconds=400),
    }
)


@frozen
class PermitState:
    """The permits taken for one target; times are those of the store's clock.

    Attributes:
        per_second: The limit; 0 once it has ended.
        named_at: When a host last found that it was named or had ended.
        due_at: Time up to which the taken permits use up the limit.
    """

    per_second: float
    named_at: timedelta
    due_at: timedelta = timedelta()

    @property
    def is_limited(self) -> bool:
        """Whether requests need permits."""
        return self.per_second > 0

    @property
    def interval(self) -> timedelta:
        """Time between two permits at the limit."""
        interval = timedelta(seconds=min(MAX_INTERVAL, 1 / self.per_second))
        return max(MIN_INTERVAL, interval)

    def count_free(self, urgency: Urgency, now: timedelta) -> int:
        """Return the number of permits that are free."""
        latest = now + BURSTS[urgency] + self.interval
        saved = latest - max(self.due_at, now)
        return max(0, saved // self.interval)

    def find_wait(self, urgency: Urgency, now: timedelta) -> timedelta:
        """Return the time until a permit is free."""
        return max(NO_WAIT, self.due_at - BURSTS[urgency] - now)

    def take(self, count: int, now: timedelta) -> 'PermitState':
        """Return the state after permits were taken."""
        return evolve(
            self, due_at=max(self.due_at, now) + self.interval * count
        )

    def merge(self, stored: 'PermitState | None') -> 'PermitState':
        """Return this host's view after it has read the stored state."""
        if stored is None:
            return self
        newer = self if self.named_at > stored.named_at else stored
        return evolve(newer, due_at=max(self.due_at, stored.due_at))


@define
class UnsharedPermits:
    """Permits of one host while it cannot share a state with the others.

    Each host uses an equal part of the limit. Its first permit is free after a
    random part of the interval, so that the hosts do not all send at once.

    Attributes:
        next_at: When the next permit is free, by name of the target.
    """

    rng: random.Random
    next_at: dict[str, timedelta] = field(factory=dict)

    def take(
        self, target: str, limit: float, hosts: int, now: timedelta
    ) -> timedelta:
        """Take a permit, or return the time until one is free.

        Args:
            target: Name of the target.
            limit: Requests per second from all hosts.
            hosts: Number of hosts.
            now: Current time.
        """
        interval = timedelta(seconds=hosts / (limit * UNSHARED_PART))
        next_at = self.next_at.setdefault(
            target, now + interval * self.rng.random()
        )
        if next_at > now:
            return next_at - now
        self.next_at[target] = now + interval
        return NO_WAIT
