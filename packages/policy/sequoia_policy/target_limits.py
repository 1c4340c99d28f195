"""Limits that targets in need name for the requests of all hosts together."""

from datetime import timedelta

from attrs import define, field

from sequoia_policy.registries import Registration

MIN_PER_SECOND = 0.2  # lets hosts find out that a limit of zero has ended
FORGET_AFTER = timedelta(minutes=10)


@define
class TargetLimit:
    """The limit of one target, as its responses to this host named it.

    Attributes:
        started_at: Identifies the process of the target.
        per_second: Requests per second that it takes from all hosts.
        named_at: When a response last named the limit.
    """

    started_at: int
    per_second: float
    named_at: timedelta


@define
class TargetLimits:
    """The limits that this host has received.

    They outlive registrations: a target whose registration expires for a while
    is still in need.

    Attributes:
        by_name: Limits by name of the target.
    """

    by_name: dict[str, TargetLimit] = field(factory=dict)

    def find(self, registration: Registration) -> TargetLimit | None:
        """Return the limit of a target, None if it has none."""
        limit = self.by_name.get(registration.name)
        if limit is None or limit.started_at != registration.started_at:
            return None
        return limit

    def sum_rates(self) -> float:
        """Return the requests per second that all limited targets take."""
        return sum(limit.per_second for limit in self.by_name.values())

    def record(
        self, registration: Registration, per_second: float, now: timedelta
    ) -> bool:
        """Record that a response named a limit; return whether it is new."""
        self._forget_expired(now)
        known = self.find(registration)
        limit = TargetLimit(
            registration.started_at, max(MIN_PER_SECOND, per_second), now
        )
        self.by_name[registration.name] = limit
        return known is None or known.per_second != limit.per_second

    def lift(self, registration: Registration, sent_at: timedelta) -> bool:
        """End the limit of a target whose response did not name it.

        Args:
            registration: The target.
            sent_at: When the request was sent. If that was before the limit was
                last named, the response may be older than the limit.

        Returns:
            Whether the limit ended.
        """
        limit = self.find(registration)
        if limit is None or sent_at <= limit.named_at:
            return False
        self.by_name.pop(registration.name)
        return True

    def _forget_expired(self, now: timedelta) -> None:
        self.by_name = {
            name: limit
            for name, limit in self.by_name.items()
            if now - limit.named_at < FORGET_AFTER
        }
