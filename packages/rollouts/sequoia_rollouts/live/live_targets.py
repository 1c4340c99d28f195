"""Chooses targets for live requests and records their failures."""

import random
from datetime import timedelta

from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.target_choices import (
    choose_of_two,
    prefer_local,
    prefer_within_limits,
)
from sequoia_policy.target_failures import record_target_failure
from sequoia_wire.durations import seconds_of
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.live.live_attempts import RETRY_AFTER, LiveAttempts
from sequoia_rollouts.live.stop_guards import StopGuard

log = Log('live')
ATTEMPT_FAILED = log.event(
    'attempt failed',
    'request_id',
    'fingerprint',
    'target',
    'code',
    'verdict',
    'attempts',
    'refusals',
    'left',
    'targets_age',
    kind=LogKind.FAILURE,
)


@frozen
class LiveTargets:
    """Chooses the targets of live requests.

    Attributes:
        domain: Failure domain of this host; its targets are preferred.
    """

    clock: Clock
    directory: Directory
    rng: random.Random
    domain: str
    stop_guard: StopGuard

    def choose(self, attempts: LiveAttempts) -> RegisteredTarget:
        """Return the target of the next attempt.

        Raises:
            ServiceError: If the service has no reachable target, or with code
                DRAINING if this host ends too soon.
        """
        self.stop_guard.check_send(attempts)
        now = self.clock.elapsed()
        usable = self._find_open(attempts, now)
        if not usable:
            usable = self._find_reachable(attempts, now)
        if not usable:
            raise self._make_refusal(attempts, now)
        usable = attempts.prefer(usable)
        untried = [
            target for target in usable if target.name not in attempts.tried
        ]
        candidates = untried or usable
        if not attempts.refusals:  # else the others may all be at capacity
            candidates = prefer_within_limits(candidates, now)
        candidates = prefer_local(candidates, self.domain, now)
        target = choose_of_two(candidates, now, self.rng)
        attempts.target = target.name
        return target

    def are_engines(self, service_name: str) -> bool:
        """Return whether the targets of a service are model engines."""
        service = self.directory.configuration.find_service(service_name)
        return service is not None and bool(service.models)

    def choose_hedge_target(
        self,
        attempts: LiveAttempts,
        first: RegisteredTarget,
    ) -> RegisteredTarget | None:
        """Return an untried target for a hedge, or None if there is none."""
        now = self.clock.elapsed()
        usable = self._find_open(attempts, now)
        used = {first.name, *attempts.tried}
        others = [target for target in usable if target.name not in used]
        if not others:
            return None
        return choose_of_two(prefer_within_limits(others, now), now, self.rng)

    def record_failure(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Update the target's state, then count and log the failed attempt."""
        now = self.clock.elapsed()
        record_target_failure(self.directory.registry, target, failure, now)
        attempts.record_failure(target.name, failure)
        ATTEMPT_FAILED.write(
            request_id=attempts.request.outgoing.id,
            fingerprint=attempts.request.fingerprint,
            target=target.name,
            code=failure.code.value.label,
            verdict=failure.verdict.value,
            attempts=attempts.count,
            refusals=attempts.refusals,
            left=(attempts.deadline - now).total_seconds(),
            targets_age=seconds_of(self.directory.targets_age()),
        )

    def record_silence(self, target: RegisteredTarget) -> None:
        """Record that a target has not responded for longer than usual."""
        now = self.clock.elapsed()
        self.directory.registry.path.record_silence(target.name, now)

    def are_all_tried(
        self, attempts: LiveAttempts, failure: ServiceError
    ) -> bool:
        """Return whether a refusal leaves no usable target untried.

        Targets in backoff do not count: the others would be asked again and
        again without a pause.
        """
        if failure.code is not Code.TARGET_REFUSED:
            return False
        usable = self._find_open(attempts, self.clock.elapsed())
        return {target.name for target in usable} <= attempts.tried

    def _find_open(
        self, attempts: LiveAttempts, now: timedelta
    ) -> list[RegisteredTarget]:
        registry = self.directory.registry
        found = registry.find_open(attempts.service, Urgency.LIVE, now)
        return [target for target in found if attempts.admits(target)]

    def _find_reachable(
        self, attempts: LiveAttempts, now: timedelta
    ) -> list[RegisteredTarget]:
        """Return the targets that can be reached, also those in backoff."""
        return [
            target
            for target in self._find_admitted(attempts)
            if target.is_reachable(Urgency.LIVE, now)
        ]

    def _find_admitted(self, attempts: LiveAttempts) -> list[RegisteredTarget]:
        registered = self.directory.registry.find(attempts.service)
        return [target for target in registered if attempts.admits(target)]

    def _make_refusal(
        self, attempts: LiveAttempts, now: timedelta
    ) -> ServiceError:
        """Return the error for a service without a reachable target.

        The caller may retry when the first target takes a request.
        """
        admitted = self._find_admitted(attempts)
        waits = [target.find_wait(Urgency.LIVE, now) for target in admitted]
        min_wait = min(waits, default=RETRY_AFTER)
        return ServiceError(
            Code.NO_TARGET,
            ' '.join((attempts.service, attempts.release)).strip(),
            verdict=attempts.verdict,
            retry_after=max(RETRY_AFTER, min_wait),
        )
