"""Whether and when a failed attempt is repeated."""

import random
from datetime import timedelta

from attrs import frozen

from sequoia_policy.budgets import RetryBudget
from sequoia_policy.errors import Code
from sequoia_policy.verdicts import Verdict

FIRST_DELAY = timedelta(milliseconds=20)
LONGEST_DELAY = timedelta(milliseconds=500)
MOST_DOUBLINGS = 16


@frozen
class AttemptFacts:
    """What counts for a repetition.

    Attributes:
        idempotent: Whether running twice does no harm.
        attempts: Attempts so far.
        max_attempts: Most attempts.
        verdict: Verdict of all attempts so far.
        answer_started: Whether bytes of the answer left for the caller.
        resumable: Whether another target can go on where this one stopped.
        remaining: Time until the caller's deadline.
    """

    idempotent: bool
    attempts: int
    max_attempts: int
    verdict: Verdict
    answer_started: bool
    resumable: bool
    remaining: timedelta

    @property
    def is_safe(self) -> bool:
        """Whether another attempt cannot break a promise."""
        if self.answer_started and not self.resumable:
            return False
        return self.idempotent or self.verdict.allows_resend


def find_retry_refusal(
    facts: AttemptFacts,
    failure: Code,
    budget: RetryBudget,
) -> Code | None:
    """Return the code with which the call ends, or None to try again.

    The budget is spent only when the repetition is otherwise allowed.
    """
    if not facts.is_safe or facts.attempts >= facts.max_attempts:
        return failure
    if facts.remaining <= FIRST_DELAY:
        return failure
    return None if budget.try_acquire() else Code.RETRY_BUDGET


def draw_delay(attempt: int, chance: random.Random) -> timedelta:
    """Return a delay with full jitter before attempt ``attempt + 1``."""
    doublings = min(attempt, MOST_DOUBLINGS)
    longest = min(LONGEST_DELAY, FIRST_DELAY * (1 << doublings))
    return longest * chance.random()
