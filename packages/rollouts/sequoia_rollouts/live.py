"""The live path: find the route, choose a target, send, check, answer."""

import random
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ShedError
from sequoia_policy.fleets import FleetTarget, choose_of_two, keep_near
from sequoia_policy.retries import find_retry_refusal
from sequoia_policy.routing import Route
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Answer
from sequoia_wire.spans import seconds_of

from sequoia_rollouts.directories import Directory
from sequoia_rollouts.live_attempts import LiveAttempts, LiveRequest
from sequoia_rollouts.senders import LabelledAnswer, Sender

FIRST_ERROR = 500
MOST_REFUSALS = 12  # answers "not run" that one request takes
REFUSAL_PAUSE = timedelta(milliseconds=15)
OBJECTIVES_BEFORE_RESEND = 2.0  # time of an attempt that has a successor
SHORTEST_ATTEMPT = timedelta(milliseconds=250)
RETRY_AFTER = timedelta(milliseconds=300)
RETRY_SHARE = 0.2  # retries a request

log = Log('live')
REQUEST_ANSWERED = log.event(
    'request answered',
    'request_id',
    'target',
    'status',
    'attempts',
    'refusals',
    'seconds',
    'config_version',
    kind=LogKind.SUCCESS,
)
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


@define
class LivePath:
    """Answers live requests with the answers of targets."""

    clock: Clock
    directory: Directory
    sender: Sender
    chance: random.Random
    domain: str
    budget: RetryBudget = field(factory=lambda: RetryBudget(RETRY_SHARE))

    def find_route(self, host: str, path: str) -> Route:
        """Return the route of a host and path.

        Raises:
            ShedError: If there is none, or none can be known yet.
        """
        configuration = self.directory.configuration
        if not configuration.version:
            raise ShedError(Code.NOT_READY, retry_after=RETRY_AFTER)
        route = configuration.find_route(host, path)
        if route is None:
            raise ShedError(Code.UNKNOWN_PATH, f'{host}{path}')
        return route

    async def answer(self, request: LiveRequest) -> Answer:
        """Return the answer of a target.

        Raises:
            ShedError: If no target answered; its verdict says whether the
                request may have run.
        """
        route = self.find_route(request.host, request.path)
        limit = route.timeout
        if request.time_limit is not None:
            limit = min(limit, request.time_limit)
        attempts = LiveAttempts(
            request,
            route,
            route.choose_service(self.chance),
            request.arrived + limit,
        )
        self.budget.record_request()
        while True:
            answer = await self._try_once(attempts)
            if answer is not None:
                self._log_answer(attempts, answer)
                return answer

    async def _try_once(self, attempts: LiveAttempts) -> Answer | None:
        target = self._choose(attempts)
        attempts.target = target.name
        try:
            labelled = await self._send(attempts, target)
        except ShedError as failure:
            self._learn_failure(target, failure)
            attempts.note_failure(target, failure)
            self._log_failure(attempts, target, failure)
            self._check_retry(attempts, failure)
            await self._pause(attempts, failure)
            return None
        return self._take_answer(attempts, target, labelled)

    def _choose(self, attempts: LiveAttempts) -> FleetTarget:
        now = self.clock.elapsed()
        usable = self.directory.fleet.usable(attempts.service, now)
        if not usable:
            usable = self._find_paused(attempts.service)
        if not usable:
            raise self._refuse(attempts, now)
        fresh = [one for one in usable if one.name not in attempts.tried]
        near = keep_near(fresh or usable, self.domain, now)
        return choose_of_two(near, now, self.chance)

    def _find_paused(self, service: str) -> list[FleetTarget]:
        """Return the targets that failed but can be reached."""
        found = self.directory.fleet.find(service)
        return [
            one
            for one in found
            if not one.registration.leaving and not one.unreachable
        ]

    def _refuse(self, attempts: LiveAttempts, now: timedelta) -> ShedError:
        """Return the refusal when no target can be reached.

        The caller may come back when the first target is tried again.
        """
        found = self.directory.fleet.find(attempts.service)
        pauses = [one.paused_until - now for one in found]
        soonest = min(pauses, default=RETRY_AFTER)
        return ShedError(
            Code.NO_TARGET,
            attempts.service,
            verdict=attempts.verdict,
            retry_after=max(RETRY_AFTER, soonest),
        )

    async def _send(
        self,
        attempts: LiveAttempts,
        target: FleetTarget,
    ) -> LabelledAnswer:
        now = self.clock.elapsed()
        left = attempts.end - now
        patience = left
        if attempts.count + 1 < attempts.route.max_attempts:
            objective = attempts.route.objective * OBJECTIVES_BEFORE_RESEND
            patience = min(left, max(SHORTEST_ATTEMPT, objective))
        target.running += 1
        try:
            labelled = await self.sender.fetch(
                target,
                attempts.request.outgoing,
                patience,
                left,
            )
        finally:
            target.running -= 1
        took = self.clock.elapsed() - now
        target.record_duration(took.total_seconds(), self.clock.elapsed())
        self._check_answer(labelled)
        return labelled

    def _check_answer(self, labelled: LabelledAnswer) -> None:
        """Refuse a success without proof that the target made it."""
        if labelled.answer.status >= FIRST_ERROR:
            return
        if not labelled.labels.receipt or not labelled.labels.request_id:
            raise ShedError(Code.WRONG_ANSWER, 'no receipt')

    def _take_answer(
        self,
        attempts: LiveAttempts,
        target: FleetTarget,
        labelled: LabelledAnswer,
    ) -> Answer | None:
        """Return an answer, or None if an error is worth another attempt."""
        answer = labelled.answer
        if answer.status < FIRST_ERROR:
            return answer
        failed = ShedError(
            Code.TARGET_BROKE,
            f'{target.name} answered {answer.status}',
            verdict=Verdict.RAN,
        )
        attempts.note_failure(target, failed)
        facts = attempts.make_facts(self.clock.elapsed())
        if find_retry_refusal(facts, failed.code, self.budget):
            return answer
        return None

    def _learn_failure(self, target: FleetTarget, failure: ShedError) -> None:
        now = self.clock.elapsed()
        if failure.code is Code.MISPLACED:
            self.directory.fleet.remove(target.name, now, timedelta())
        elif failure.code is Code.CONNECT_FAILED:
            target.record_unreachable(now)
        elif failure.code is not Code.TARGET_REFUSED:
            target.record_failure(now)

    def _check_retry(self, attempts: LiveAttempts, failure: ShedError) -> None:
        """Raise the failure unless the request may be tried again."""
        if attempts.refusals > MOST_REFUSALS:
            raise self._give_up(attempts, failure)
        facts = attempts.make_facts(self.clock.elapsed())
        if failure.verdict is Verdict.NOT_RUN and facts.is_safe:
            if facts.remaining > REFUSAL_PAUSE:
                return
        if find_retry_refusal(facts, failure.code, self.budget):
            raise self._give_up(attempts, failure)

    def _give_up(
        self,
        attempts: LiveAttempts,
        failure: ShedError,
    ) -> ShedError:
        code = failure.code
        if attempts.verdict is not Verdict.NOT_RUN:
            code = Code.TARGET_BROKE
            if self.clock.elapsed() >= attempts.end - REFUSAL_PAUSE:
                code = Code.DEADLINE
        elif code is not Code.DEADLINE:
            code = Code.OVERLOADED
        return ShedError(
            code,
            failure.detail,
            verdict=attempts.verdict,
            retry_after=RETRY_AFTER,
        )

    async def _pause(self, attempts: LiveAttempts, failure: ShedError) -> None:
        """Wait a little before a target that just refused is asked again."""
        if failure.code is not Code.TARGET_REFUSED:
            return
        service = self.directory.fleet.find(attempts.service)
        if {one.name for one in service} <= attempts.tried:
            attempts.tried.clear()
            await curio.sleep(REFUSAL_PAUSE.total_seconds())

    def _log_answer(self, attempts: LiveAttempts, answer: Answer) -> None:
        request = attempts.request
        took = self.clock.elapsed() - request.arrived
        REQUEST_ANSWERED.write(
            request_id=request.outgoing.id,
            target=attempts.target,
            status=answer.status,
            attempts=attempts.count + 1,
            refusals=attempts.refusals,
            seconds=took.total_seconds(),
            config_version=self.directory.configuration.version,
        )

    def _log_failure(
        self,
        attempts: LiveAttempts,
        target: FleetTarget,
        failure: ShedError,
    ) -> None:
        ATTEMPT_FAILED.write(
            request_id=attempts.request.outgoing.id,
            target=target.name,
            code=failure.code.value.label,
            verdict=failure.verdict.value,
            attempts=attempts.count,
            refusals=attempts.refusals,
            left=(attempts.end - self.clock.elapsed()).total_seconds(),
            targets_age=seconds_of(self.directory.targets.age()),
        )
