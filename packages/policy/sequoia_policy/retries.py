"""Decides whether and when a failed attempt is retried."""

import random
from datetime import timedelta

from attrs import frozen

from sequoia_policy.budgets import RetryBudget
from sequoia_policy.errors import Code
from sequoia_policy.verdicts import Verdict

BASE_DELAY = timedelta(milliseconds=20)
MAX_DELAY = timedelta(milliseconds=500)
MAX_DOUBLINGS = 16


@frozen
class AttemptFacts:
    """State of a call on which the retry decision depends.

    Attributes:
        idempotent: Whether the request may run more than once.
        attempts: Number of attempts so far.
        max_attempts: Maximum number of attempts.
        verdict: Combined verdict of all attempts so far.
        response_started: Whether bytes of the response were sent to the caller.
        resumable: Whether another target can continue the response where this
            one stopped.
        remaining: Time until the caller's deadline.
    """

    idempotent: bool
    attempts: int
    max_attempts: int
    verdict: Verdict
    response_started: bool
    resumable: bool
    remaining: timedelta

    @property
    def is_safe(self) -> bool:
        """Whether the call may run again and its response can still be sent."""
        if self.response_started and not self.resumable:
            return False
        return self.idempotent or self.verdict.allows_resend


def find_retry_refusal(
    facts: AttemptFacts,
    failure: Code,
    budget: RetryBudget,
) -> Code | None:
    """Return the error code that ends the call, or None to retry.

    The retry budget is spent only if the retry is otherwise allowed.

    Args:
        facts: State of the call.
        failure: Error code of the last attempt.
        budget: Budget that is charged for the retry.
    """
    if not facts.is_safe or facts.attempts >= facts.max_attempts:
        return failure
    if facts.remaining <= BASE_DELAY:
        return failure
    return None if budget.try_acquire() else Code.RETRY_BUDGET


def draw_delay(attempt: int, rng: random.Random) -> timedelta:
    """Return an exponential delay with full jitter before the next attempt.

    Args:
        attempt: Number of attempts so far.
        rng: Source of the jitter.
    """
    doublings = min(attempt, MAX_DOUBLINGS)
    max_delay = min(MAX_DELAY, BASE_DELAY * (1 << doublings))
    return max_delay * rng.random()
