"""Decides whether a live request is tried again, or how it ends."""

from datetime import timedelta

from attrs import field, frozen
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.retries import find_retry_refusal
from sequoia_policy.verdicts import Verdict

from sequoia_rollouts.live_attempts import RETRY_AFTER, LiveAttempts
from sequoia_rollouts.live_targets import LiveTargets

MOST_REFUSALS = 12  # answers "not run" that one request takes
LEAST_LEFT = timedelta(milliseconds=15)  # that another attempt needs
RETRY_SHARE = 0.2  # retries a request


@frozen
class LiveRetries:
    """Bounds the attempts of live requests."""

    clock: Clock
    targets: LiveTargets
    budget: RetryBudget = field(factory=lambda: RetryBudget(RETRY_SHARE))

    async def take_failure(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Return when a request may be tried again after a failure.

        Raises:
            ServiceError: How the request ends if it may not.
        """
        self.targets.take_failure(attempts, target, failure)
        self._check(attempts, failure)
        await self.targets.pause(attempts, failure)

    def allows(self, attempts: LiveAttempts, failure: ServiceError) -> bool:
        """Tell whether a failure that a target answered is tried again."""
        facts = attempts.make_facts(self.clock.elapsed())
        return find_retry_refusal(facts, failure.code, self.budget) is None

    def _check(self, attempts: LiveAttempts, failure: ServiceError) -> None:
        if attempts.refusals > MOST_REFUSALS:
            raise self._give_up(attempts, failure)
        facts = attempts.make_facts(self.clock.elapsed())
        if failure.verdict is Verdict.NOT_RUN and facts.is_safe:
            if facts.remaining > LEAST_LEFT:
                return
        if find_retry_refusal(facts, failure.code, self.budget):
            raise self._give_up(attempts, failure)

    def _give_up(
        self,
        attempts: LiveAttempts,
        failure: ServiceError,
    ) -> ServiceError:
        """Return how a request ends after its last failure."""
        code = failure.code
        if attempts.verdict is not Verdict.NOT_RUN:
            code = Code.TARGET_BROKE
            if self.clock.elapsed() >= attempts.end - LEAST_LEFT:
                code = Code.DEADLINE
        elif code is not Code.DEADLINE:
            code = Code.OVERLOADED
        return ServiceError(
            code,
            failure.detail,
            verdict=attempts.verdict,
            retry_after=RETRY_AFTER,
        )
