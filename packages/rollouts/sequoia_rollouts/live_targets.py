"""Chooses targets for live requests, and learns from what they do."""

import random
from datetime import timedelta

import curio
from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import (
    RegisteredTarget,
    choose_of_two,
    prefer_local,
)
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.durations import seconds_of

from sequoia_rollouts.directories import Directory
from sequoia_rollouts.live_attempts import RETRY_AFTER, LiveAttempts

REFUSAL_PAUSE = timedelta(milliseconds=15)

log = Log('live')
ATTEMPT_FAILED = log.event(
    'attempt failed',
    'request_id',
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
    """Gives live requests their targets.

    Attributes:
        domain: Failure domain of this host, whose targets come first.
    """

    clock: Clock
    directory: Directory
    chance: random.Random
    domain: str

    def choose(self, attempts: LiveAttempts) -> RegisteredTarget:
        """Return the target of the next attempt.

        Raises:
            ServiceError: If no target can be reached.
        """
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(attempts.service, now)
        if not usable:
            usable = self._find_paused(attempts.service)
        if not usable:
            raise self._refuse(attempts, now)
        fresh = [one for one in usable if one.name not in attempts.tried]
        near = prefer_local(fresh or usable, self.domain, now)
        target = choose_of_two(near, now, self.chance)
        attempts.target = target.name
        return target

    def are_engines(self, service_name: str) -> bool:
        """Tell whether the targets of a service are model engines."""
        service = self.directory.configuration.find_service(service_name)
        return service is not None and bool(service.models)

    def find_other(
        self,
        attempts: LiveAttempts,
        first: RegisteredTarget,
    ) -> RegisteredTarget | None:
        """Return a target beside the one that is asked, or None."""
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(attempts.service, now)
        asked = {first.name, *attempts.tried}
        others = [one for one in usable if one.name not in asked]
        if not others:
            return None
        return choose_of_two(others, now, self.chance)

    def take_failure(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Learn from a failed attempt, count it and log it."""
        self._learn(target, failure)
        attempts.note_failure(target.name, failure)
        ATTEMPT_FAILED.write(
            request_id=attempts.request.outgoing.id,
            target=target.name,
            code=failure.code.value.label,
            verdict=failure.verdict.value,
            attempts=attempts.count,
            refusals=attempts.refusals,
            left=(attempts.end - self.clock.elapsed()).total_seconds(),
            targets_age=seconds_of(self.directory.target_follower.age()),
        )

    async def pause(
        self, attempts: LiveAttempts, failure: ServiceError
    ) -> None:
        """Wait a little before a target that just refused is asked again."""
        if failure.code is not Code.TARGET_REFUSED:
            return
        service = self.directory.registry.find(attempts.service)
        if {one.name for one in service} <= attempts.tried:
            attempts.tried.clear()
            await curio.sleep(REFUSAL_PAUSE.total_seconds())

    def _find_paused(self, service: str) -> list[RegisteredTarget]:
        """Return the targets that failed but can be reached."""
        found = self.directory.registry.find(service)
        return [
            one
            for one in found
            if not one.registration.leaving and not one.unreachable
        ]

    def _refuse(self, attempts: LiveAttempts, now: timedelta) -> ServiceError:
        """Return the refusal when no target can be reached.

        The caller may come back when the first target is tried again.
        """
        found = self.directory.registry.find(attempts.service)
        pauses = [one.backoff_until - now for one in found]
        soonest = min(pauses, default=RETRY_AFTER)
        return ServiceError(
            Code.NO_TARGET,
            attempts.service,
            verdict=attempts.verdict,
            retry_after=max(RETRY_AFTER, soonest),
        )

    def _learn(self, target: RegisteredTarget, failure: ServiceError) -> None:
        now = self.clock.elapsed()
        if failure.code is Code.MISPLACED:
            self.directory.registry.remove(target.name, now, timedelta())
        elif failure.code is Code.CONNECT_FAILED:
            target.record_unreachable(now)
        elif failure.code is not Code.TARGET_REFUSED:
            target.record_failure(now)
