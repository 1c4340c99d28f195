"""Hedged live requests: a second target is tried if the first is slow.

Hedging serves routes with a low request rate, some of whose targets are silent
or far slower than the others: at such a rate only the request itself reveals a
slow target in time. Generations are never hedged, so that no two engines
generate the same stream.
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
from sequoia_wire.tracebacks import release_frames

from sequoia_rollouts.live.live_attempts import LiveAttempts
from sequoia_rollouts.live.live_retries import LiveRetries
from sequoia_rollouts.live.live_targets import LiveTargets
from sequoia_rollouts.targets.senders import LabelledResponse

MIN_ERROR_STATUS = 500
HEDGE_OBJECTIVE_SHARE = 0.6  # of the route's objective until a hedge is sent
POLL_INTERVAL = timedelta(milliseconds=50)
DUE_POLL_INTERVAL = timedelta(milliseconds=10)  # while a hedge is held back
MAX_CUT_OFF_OBJECTIVES = 2.0  # route objectives until a cut-off host gives up
HEDGE_DURATION_FACTOR = 2.5  # times the mean duration until a hedge is sent
SMOOTHING = 0.1  # weight of the newest duration

log = Log('live')
HEDGE_SENT = log.event(
    'second send', 'request_id', 'target', 'second_target', 'waited'
)

Send = Callable[[LiveAttempts, RegisteredTarget], Awaitable[LabelledResponse]]


@define
class RouteDurations:
    """Smoothed durations of requests by route.

    Attributes:
        mean_seconds: Moving average of the durations, by route name.
    """

    mean_seconds: dict[str, float] = field(factory=dict)

    def record(self, route: Route, duration: timedelta) -> None:
        """Update the moving average of a route with one duration."""
        seconds = duration.total_seconds()
        mean = self.mean_seconds.get(route.name, seconds)
        self.mean_seconds[route.name] = mean + SMOOTHING * (seconds - mean)

    def find_hedge_delay(self, route: Route) -> timedelta:
        """Return the time without a response after which a hedge is sent."""
        mean = timedelta(seconds=self.mean_seconds.get(route.name, 0))
        return max(
            route.objective * HEDGE_OBJECTIVE_SHARE,
            mean * HEDGE_DURATION_FACTOR,
        )


@define
class HedgedRequest:
    """The attempts of one request that are in flight.

    Attributes:
        hedge_delay: Time without a response after which a hedge is sent.
        may_repeat: Whether the request may run at two targets at a time.
        sent_at: Time at which the latest attempt was sent, or at which a hedge
            was last due.
        running: Target of each attempt, by its task.
    """

    attempts: LiveAttempts
    group: curio.TaskGroup
    hedge_delay: timedelta
    may_repeat: bool
    sent_at: timedelta = timedelta()
    running: dict[curio.Task, RegisteredTarget] = field(factory=dict)

    def release_frames(self) -> None:
        """Free what the attempts hold that were cancelled."""
        for task in self.running:
            if task.terminated:
                release_frames(task.exception)

    @property
    def due_at(self) -> timedelta:
        """When a hedge is due."""
        return self.sent_at + self.hedge_delay

    @property
    def can_hedge(self) -> bool:
        """Whether one attempt is in flight and a hedge is allowed."""
        if len(self.running) > 1 or not self.may_repeat:
            return False
        attempts = self.attempts
        return attempts.count + 1 < attempts.route.max_attempts


@define
class HedgedSender:
    """Returns the first successful response of one target, or of two.

    Attributes:
        send: Sends one attempt to one target and returns its response.
        is_cut_off: Returns whether other hosts can serve callers better.
    """

    clock: Clock
    targets: LiveTargets
    retries: LiveRetries
    send: Send
    is_cut_off: Callable[[], bool]
    durations: RouteDurations = field(factory=RouteDurations)

    async def run(self, attempts: LiveAttempts) -> LabelledResponse | None:
        """Return a response, or None if the request may be retried.

        Raises:
            ServiceError: The final error if the request must not be retried.
        """
        started_at = self.clock.elapsed()
        first = self.targets.choose(attempts)
        hedge_delay = self.durations.find_hedge_delay(attempts.route)
        hedged = HedgedRequest(
            attempts,
            curio.TaskGroup(wait=None),
            hedge_delay,
            self._may_run_twice(attempts),
        )
        try:
            async with hedged.group:
                await self._start(hedged, first)
                labelled = await self._wait_for_response(hedged)
        finally:
            hedged.release_frames()
        if labelled is not None:
            duration = self.clock.elapsed() - started_at
            self.durations.record(attempts.route, duration)
            for slower_target in hedged.running.values():
                slower_target.record_failure(self.clock.elapsed())
        return labelled

    def _may_run_twice(self, attempts: LiveAttempts) -> bool:
        """Return whether a request may run at two targets at a time."""
        if self.targets.are_engines(attempts.service):
            return False
        if self.retries.quarantine.is_suspect(attempts.request):
            return False
        return attempts.route.may_repeat

    async def _start(
        self, hedged: HedgedRequest, target: RegisteredTarget
    ) -> None:
        task = await hedged.group.spawn(self.send, hedged.attempts, target)
        hedged.running[task] = target
        hedged.sent_at = self.clock.elapsed()

    async def _wait_for_response(
        self, hedged: HedgedRequest
    ) -> LabelledResponse | None:
        """Wait until an attempt succeeds, or all have ended."""
        while True:
            task = await self._wait_for_attempt(hedged)
            if task is None:
                self._check_cut_off(hedged)
                await self._send_hedge(hedged)
                continue
            target = hedged.running.pop(task)
            failure = find_attempt_error(task, target)
            if failure is None or not hedged.running:
                hedged.attempts.target = target.name
                return await self._finish_last_attempt(
                    hedged.attempts, task, target
                )
            await self.retries.record_failure(hedged.attempts, target, failure)

    async def _wait_for_attempt(
        self, hedged: HedgedRequest
    ) -> curio.Task | None:
        """Return the task of an attempt that ended, or None on timeout.

        The timeout is the time left to the hedge, or the poll interval if no
        hedge is allowed.
        """
        task = None
        timeout = POLL_INTERVAL
        if hedged.can_hedge:
            time_left = hedged.due_at - self.clock.elapsed()
            timeout = max(DUE_POLL_INTERVAL, time_left)
        async with curio.ignore_after(max(0, timeout.total_seconds())):
            task = await hedged.group.next_done()
        return task

    def _check_cut_off(self, hedged: HedgedRequest) -> None:
        """Give up on a request that other hosts can serve.

        Raises:
            ServiceError: If this host is cut off and no target responded within
                the limit.
        """
        attempts = hedged.attempts
        max_wait = attempts.route.objective * MAX_CUT_OFF_OBJECTIVES
        waited = self.clock.elapsed() - attempts.request.arrived
        if waited > max_wait and self.is_cut_off():
            attempts.count += len(hedged.running)
            raise ServiceError(
                Code.TARGET_BROKE,
                'no target responded and this host is cut off',
                verdict=Verdict.MAY_HAVE_RUN,
            )

    async def _send_hedge(self, hedged: HedgedRequest) -> None:
        """Send a hedge if it is due and the retry budget allows it."""
        now = self.clock.elapsed()
        if not hedged.can_hedge or now < hedged.due_at:
            return
        first = next(iter(hedged.running.values()))
        path = self.targets.directory.registry.path
        is_delayed = path.delays_hedge(hedged.sent_at, hedged.due_at, now)
        self.targets.record_silence(first)
        if is_delayed:
            return
        hedged.sent_at = now
        second = self.targets.choose_hedge_target(hedged.attempts, first)
        if second is None or not self.retries.budget.try_acquire():
            return
        HEDGE_SENT.write(
            request_id=hedged.attempts.request.outgoing.id,
            target=first.name,
            second_target=second.name,
            waited=hedged.hedge_delay.total_seconds(),
        )
        await self._start(hedged, second)

    async def _finish_last_attempt(
        self,
        attempts: LiveAttempts,
        task: curio.Task,
        target: RegisteredTarget,
    ) -> LabelledResponse | None:
        if task.exception is None:
            return task.result
        if not isinstance(task.exception, ServiceError):
            raise task.exception
        await self.retries.handle_failure(attempts, target, task.exception)
        return None


def find_attempt_error(
    task: curio.Task, target: RegisteredTarget
) -> ServiceError | None:
    """Return the error of a finished attempt, or None if it succeeded."""
    if task.exception is None:
        return find_response_error(task.result, target.name)
    if isinstance(task.exception, ServiceError):
        return task.exception
    raise task.exception


def find_response_error(
    labelled: LabelledResponse, target: str
) -> ServiceError | None:
    """Return an error for a response with an error status, or None."""
    status = labelled.response.status
    if status < MIN_ERROR_STATUS:
        return None
    return ServiceError(
        Code.TARGET_BROKE,
        f'{target} responded with status {status}',
        verdict=Verdict.RAN,
    )
