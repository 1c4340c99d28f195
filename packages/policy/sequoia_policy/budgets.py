"""Budgets that bound retries and rates."""

from datetime import timedelta

from attrs import define, field

RETRY_SHARE = 0.1  # retries a request
RETRY_RESERVE = 10.0  # retries that may be saved up


@define
class RetryBudget:
    """Allows retries as a share of recent requests."""

    share: float = RETRY_SHARE
    reserve: float = RETRY_RESERVE
    saved: float = RETRY_RESERVE

    def record_request(self) -> None:
        """Save up for one first attempt."""
        self.saved = min(self.reserve, self.saved + self.share)

    def try_acquire(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


@define
class RateLimit:
    """A token bucket.

    Attributes:
        per_second: Tokens that come back each second.
        burst: Most tokens saved up.
    """

    per_second: float
    burst: float
    tokens: float = field(init=False)
    last: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst

    def try_acquire(self, now: timedelta) -> bool:
        """Take one token if there is one."""
        if self.last is not None:
            grown = (now - self.last).total_seconds() * self.per_second
            self.tokens = min(self.burst, self.tokens + grown)
        self.last = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
