"""Sends a live request, and to a second target if the first is slow.

The load it answers: few requests, some of them at a target that is silent or
far slower than the others. Nothing but the request itself shows that in time.
A generation is never made at two engines at a time.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log

from sequoia_rollouts.live_attempts import LiveAttempts
from sequoia_rollouts.live_retries import LiveRetries
from sequoia_rollouts.live_targets import LiveTargets
from sequoia_rollouts.senders import LabelledResponse

FIRST_ERROR = 500
OBJECTIVE_SHARE = 0.6  # of a route's objective, before a second send
LOOK_PERIOD = timedelta(milliseconds=50)
OBJECTIVES_WHEN_CUT_OFF = 2.0  # time of a request at a host that is cut off
USUAL_TIMES = 2.5  # times the usual duration, before a second send
SMOOTHING = 0.1  # weight of the newest duration

log = Log('live')
SECOND_SEND = log.event(
    'second send', 'request_id', 'target', 'second_target', 'waited'
)

Send = Callable[[LiveAttempts, RegisteredTarget], Awaitable[LabelledResponse]]


@define
class RouteDurations:
    """How long requests usually take, by route."""

    seconds: dict[str, float] = field(factory=dict)

    def record(self, route: Route, took: timedelta) -> None:
        """Learn from one request."""
        now = took.total_seconds()
        known = self.seconds.get(route.name, now)
        self.seconds[route.name] = known + SMOOTHING * (now - known)

    def find_hedge_delay(self, route: Route) -> timedelta:
        """Return the time after which a request counts as slow."""
        usual = timedelta(seconds=self.seconds.get(route.name, 0))
        return max(route.objective * OBJECTIVE_SHARE, usual * USUAL_TIMES)


@define
class HedgedRequest:
    """The sends of one request that are under way.

    Attributes:
        hedge_delay: Time after which a send counts as slow.
        may_repeat: Whether the request may run at two targets at a time.
        started: When the newest send began.
        running: Where each send goes.
    """

    attempts: LiveAttempts
    group: curio.TaskGroup
    hedge_delay: timedelta
    may_repeat: bool
    started: timedelta = timedelta()
    running: dict[curio.Task, RegisteredTarget] = field(factory=dict)

    @property
    def may_double(self) -> bool:
        """Whether one send is under way and another is allowed."""
        if len(self.running) > 1 or not self.may_repeat:
            return False
        attempts = self.attempts
        return attempts.count + 1 < attempts.route.max_attempts


@define
class HedgedSender:
    """Gets the first good answer of one target, or of two.

    Attributes:
        send: Sends one attempt to one target.
        is_cut_off: Tells whether other hosts serve callers better.
    """

    clock: Clock
    targets: LiveTargets
    retries: LiveRetries
    send: Send
    is_cut_off: Callable[[], bool]
    durations: RouteDurations = field(factory=RouteDurations)

    async def run(self, attempts: LiveAttempts) -> LabelledResponse | None:
        """Return an answer, or None if the request may be tried again.

        Raises:
            ServiceError: How the request ends if it may not.
        """
        started = self.clock.elapsed()
        first = self.targets.choose(attempts)
        patience = self.durations.find_hedge_delay(attempts.route)
        async with curio.TaskGroup(wait=None) as group:
            race = HedgedRequest(
                attempts,
                group,
                patience,
                attempts.route.may_repeat
                and not self.targets.are_engines(attempts.service),
            )
            await self._start(race, first)
            labelled = await self._finish(race)
        if labelled is not None:
            took = self.clock.elapsed() - started
            self.durations.record(attempts.route, took)
            for outrun in race.running.values():
                outrun.record_failure(self.clock.elapsed())
        return labelled

    async def _start(
        self, race: HedgedRequest, target: RegisteredTarget
    ) -> None:
        sending = await race.group.spawn(self.send, race.attempts, target)
        race.running[sending] = target
        race.started = self.clock.elapsed()

    async def _finish(self, race: HedgedRequest) -> LabelledResponse | None:
        """Wait until a send has a good answer, or all have ended."""
        while True:
            ended = await self._await_one(race)
            if ended is None:
                self._check_cut_off(race)
                await self._start_second(race)
                continue
            target = race.running.pop(ended)
            failure = read_failure(ended, target)
            if failure is None or not race.running:
                race.attempts.target = target.name
                return await self._take_last(race.attempts, ended, target)
            self.targets.take_failure(race.attempts, target, failure)

    async def _await_one(self, race: HedgedRequest) -> curio.Task | None:
        """Return a send that has ended, or None after a while."""
        ended = None
        wait = LOOK_PERIOD
        if race.may_double:
            wait = race.started + race.hedge_delay - self.clock.elapsed()
        async with curio.ignore_after(max(0, wait.total_seconds())):
            ended = await race.group.next_done()
        return ended

    def _check_cut_off(self, race: HedgedRequest) -> None:
        """End a request that other hosts can serve.

        Raises:
            ServiceError: If this host is cut off and no target answers.
        """
        attempts = race.attempts
        longest = attempts.route.objective * OBJECTIVES_WHEN_CUT_OFF
        waited = self.clock.elapsed() - attempts.request.arrived
        if waited > longest and self.is_cut_off():
            raise ServiceError(
                Code.TARGET_BROKE,
                'no target answers and this host is cut off',
                verdict=Verdict.MAY_HAVE_RUN,
            )

    async def _start_second(self, race: HedgedRequest) -> None:
        """Begin a second send if the first is slow and there is a target."""
        now = self.clock.elapsed()
        if not race.may_double or now < race.started + race.hedge_delay:
            return
        race.started = now
        first = next(iter(race.running.values()))
        second = self.targets.find_other(race.attempts, first)
        if second is None or not self.retries.budget.try_acquire():
            return
        SECOND_SEND.write(
            request_id=race.attempts.request.outgoing.id,
            target=first.name,
            second_target=second.name,
            waited=race.hedge_delay.total_seconds(),
        )
        await self._start(race, second)

    async def _take_last(
        self,
        attempts: LiveAttempts,
        ended: curio.Task,
        target: RegisteredTarget,
    ) -> LabelledResponse | None:
        if ended.exception is None:
            return ended.result
        if not isinstance(ended.exception, ServiceError):
            raise ended.exception
        await self.retries.take_failure(attempts, target, ended.exception)
        return None


def read_failure(
    ended: curio.Task, target: RegisteredTarget
) -> ServiceError | None:
    """Return why a send has no good answer, or None if it has one."""
    if ended.exception is None:
        return find_error(ended.result, target.name)
    if isinstance(ended.exception, ServiceError):
        return ended.exception
    raise ended.exception


def find_error(labelled: LabelledResponse, target: str) -> ServiceError | None:
    """Return the failure that a target answered, or None."""
    status = labelled.response.status
    if status < FIRST_ERROR:
        return None
    return ServiceError(
        Code.TARGET_BROKE,
        f'{target} answered {status}',
        verdict=Verdict.RAN,
    )
