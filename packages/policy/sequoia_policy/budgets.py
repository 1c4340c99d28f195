"""Retry budgets and rate limits."""

from datetime import timedelta

from attrs import define, field

RETRY_SHARE = 0.1  # retries per request
MAX_RETRY_BALANCE = 10.0  # retries that can be saved up


@define
class RetryBudget:
    """Limits retries to a share of recent requests.

    Attributes:
        share: Retries earned by each request.
        max_balance: Maximum number of saved retries.
        balance: Retries that may be sent now.
    """

    share: float = RETRY_SHARE
    max_balance: float = MAX_RETRY_BALANCE
    balance: float = MAX_RETRY_BALANCE

    def record_request(self) -> None:
        """Add the share of one request to the balance."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def try_acquire(self) -> bool:
        """Spend one retry; return False if the balance is below one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@define
class RateLimit:
    """A token bucket.

    Attributes:
        per_second: Tokens added per second.
        burst: Capacity of the bucket, in tokens.
        tokens: Tokens in the bucket at the time of the last refill.
        last_refill: Time of the last refill; None before the first one.
    """

    per_second: float
    burst: float
    tokens: float = field(init=False)
    last_refill: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst

    def try_acquire(self, now: timedelta) -> bool:
        """Take one token; return False if there is none."""
        if self.last_refill is not None:
            added = (now - self.last_refill).total_seconds() * self.per_second
            self.tokens = min(self.burst, self.tokens + added)
        self.last_refill = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
