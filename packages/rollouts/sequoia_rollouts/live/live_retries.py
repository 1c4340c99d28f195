"""Decides whether a live request is retried, or with which error it ends."""

from datetime import timedelta

import curio
from attrs import field, frozen
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.retries import find_retry_refusal
from sequoia_policy.verdicts import Verdict
from sequoia_wire.tracebacks import release_frames

from sequoia_rollouts.live.live_attempts import RETRY_AFTER, LiveAttempts
from sequoia_rollouts.live.live_queues import LiveQueues
from sequoia_rollouts.live.live_targets import LiveTargets
from sequoia_rollouts.live.quarantines import Quarantine

MAX_REFUSALS = 12  # "not run" responses per request
MIN_TIME_LEFT = timedelta(milliseconds=15)  # needed for another attempt
REFUSAL_BACKOFF = timedelta(milliseconds=15)  # if all targets refused
RETRY_SHARE = 0.2  # retries per request
MAX_HANDED_ON_BYTES = 700_000  # of a body; hosts read messages of 1 MiB


@frozen
class LiveRetries:
    """Limits the attempts of live requests."""

    clock: Clock
    targets: LiveTargets
    quarantine: Quarantine
    queues: LiveQueues
    budget: RetryBudget = field(factory=lambda: RetryBudget(RETRY_SHARE))

    async def handle_failure(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Record a failed attempt and wait until a retry may be sent.

        Raises:
            ServiceError: The final error if the request must not be retried.
        """
        await self.record_failure(attempts, target, failure)
        self._check_retry(attempts, failure)
        await self._back_off(attempts, failure)

    async def record_failure(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Record a failed attempt, and whether its target crashed."""
        release_frames(failure)
        self.targets.record_failure(attempts, target, failure)
        await self.quarantine.record_failure(attempts.request, target, failure)

    def allows(self, attempts: LiveAttempts, failure: ServiceError) -> bool:
        """Return whether an error response of a target may be retried."""
        facts = attempts.make_facts(self.clock.elapsed())
        return find_retry_refusal(facts, failure.code, self.budget) is None

    def may_hand_on(self, attempts: LiveAttempts) -> bool:
        """Return whether another host should serve a request."""
        request = attempts.request
        if request.is_handed_on or attempts.route.streaming:
            return False
        if len(request.outgoing.body) > MAX_HANDED_ON_BYTES:
            return False
        facts = attempts.make_facts(self.clock.elapsed())
        has_attempts_left = facts.attempts < facts.max_attempts
        if not self._avoids_path(attempts) or not self._has_peers():
            return False
        return facts.is_safe and has_attempts_left

    def may_send_when_suspected(
        self, attempts: LiveAttempts, failure: ServiceError
    ) -> bool:
        """Return whether to use a suspected path after no peer took a request.

        If peers do not reach targets either, and nothing but silence speaks
        against the path, the targets are more likely at capacity.
        """
        if failure.code is Code.DRAINING:
            return False
        path = self.targets.directory.registry.path
        return failure.verdict is Verdict.NOT_RUN and not path.is_cut

    def check_path(self, attempts: LiveAttempts) -> None:
        """Check that a request that another host handed on may be sent.

        Raises:
            ServiceError: If the path to targets is suspected here too.
        """
        if attempts.request.is_handed_on and self._avoids_path(attempts):
            raise ServiceError(
                Code.NO_TARGET,
                'this host may be cut off too',
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER,
            )

    def _avoids_path(self, attempts: LiveAttempts) -> bool:
        """Return whether a request should not be sent to targets from here.

        A request that must not run twice is not risked on a suspected path.
        """
        path = self.targets.directory.registry.path
        if attempts.route.may_repeat:
            return path.is_cut
        return path.is_suspected

    async def _back_off(
        self, attempts: LiveAttempts, failure: ServiceError
    ) -> None:
        """Wait after a refusal if no usable target is untried.

        Raises:
            ServiceError: If the request should not wait.
        """
        is_queued = self.queues.admits(attempts)
        are_many_full = is_queued and len(attempts.tried) > MAX_REFUSALS
        if not are_many_full:
            if not self.targets.are_all_tried(attempts, failure):
                return
        attempts.tried.clear()
        if is_queued:
            await self.queues.wait(attempts)
        else:
            await curio.sleep(REFUSAL_BACKOFF.total_seconds())

    def _has_peers(self) -> bool:
        """Return whether another coordinator is alive."""
        heartbeats = self.quarantine.heartbeats
        return bool(set(heartbeats.live_owners()) - {heartbeats.owner})

    def _check_retry(
        self, attempts: LiveAttempts, failure: ServiceError
    ) -> None:
        if failure.code is Code.DRAINING or self._is_spent(attempts, failure):
            raise self._make_final_error(attempts, failure)
        is_quarantined = self.quarantine.is_quarantined(attempts.request)
        if is_quarantined or self.may_hand_on(attempts):
            raise self._make_final_error(attempts, failure)
        facts = attempts.make_facts(self.clock.elapsed())
        if failure.verdict is Verdict.NOT_RUN and facts.is_safe:
            if facts.remaining > MIN_TIME_LEFT:
                return
        if find_retry_refusal(facts, failure.code, self.budget):
            raise self._make_final_error(attempts, failure)

    def _is_spent(self, attempts: LiveAttempts, failure: ServiceError) -> bool:
        """Return whether a request was refused too often."""
        if failure.code is Code.TARGET_REFUSED and self.queues.admits(attempts):
            return False  # the queue limits its time
        return attempts.refusals > MAX_REFUSALS

    def _make_final_error(
        self,
        attempts: LiveAttempts,
        failure: ServiceError,
    ) -> ServiceError:
        """Return the error for the caller after the last failed attempt."""
        code = failure.code
        if attempts.verdict is not Verdict.NOT_RUN:
            code = Code.TARGET_BROKE
            if self.clock.elapsed() >= attempts.deadline - MIN_TIME_LEFT:
                code = Code.DEADLINE
        elif code is not Code.DEADLINE:
            code = Code.OVERLOADED
        return ServiceError(
            code,
            failure.detail,
            verdict=attempts.verdict,
            retry_after=RETRY_AFTER,
        )
