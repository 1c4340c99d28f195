"""The duty that makes one shard of a trainer's samples."""

from datetime import timedelta
from functools import partial

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.step_versions import EngineVersions, list_ready_steps
from sequoia_policy.samples import InvalidAttemptError
from sequoia_policy.schedules import PlannedAttempt
from sequoia_policy.shares import limit_attempts
from sequoia_wire.logs import Log

from sequoiashed.attempts import AttemptRunner, AttemptProgress
from sequoiashed.committers import SampleCommitter
from sequoiashed.grants import DutyPlan, Grant
from sequoiashed.routers import Router
from sequoiashed.states import HostState
from sequoiashed.steps import OpenStep, StepReader
from sequoiashed.tasks import TaskSet

REFRESH_PERIOD = timedelta(milliseconds=500)
TICK = timedelta(milliseconds=100)

log = Log('sampler')


@define
class SampleDuty:
    """Runs attempts for the open steps of one trainer, in one shard.

    Rows are committed conditionally, so two holders do no harm but work.
    """

    state: HostState
    router: Router
    trainer_name: str
    shard: int
    reader: StepReader = field(init=False)
    runner: AttemptRunner = field(init=False)
    committer: SampleCommitter = field(init=False)
    running: dict[tuple[int, int], curio.Task] = field(factory=dict)
    tracks: dict[tuple[int, int], AttemptProgress] = field(factory=dict)
    refreshed: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parts for this trainer."""
        name = self.trainer_name
        self.reader = StepReader(self.state, name, self.shard)
        self.runner = AttemptRunner(self.state, self.router, name)
        self.committer = SampleCommitter(self.state, name)

    async def run(self, grant: Grant) -> None:
        """Make samples until cancelled."""
        async with TaskSet() as tasks:
            await tasks.spawn(self.committer.run)
            while True:
                await self._refresh()
                if not self.committer.is_full:
                    await self._start_attempts(tasks)
                await curio.sleep(TICK.total_seconds())

    async def _refresh(self) -> None:
        now = self.state.clock.elapsed()
        if self.refreshed and now - self.refreshed < REFRESH_PERIOD:
            return
        self.refreshed = now
        try:
            await self.reader.refresh()
        except ServiceError as failure:
            self.state.metrics.store_errors.labels('steps').inc()
            log.write('steps could not be read', detail=failure.detail)
        self.committer.drop_other_steps(self.reader.steps)
        await self._cancel_closed()

    async def _cancel_closed(self) -> None:
        """Cancel attempts of closed steps and of slots that are filled."""
        superseded = {
            (number, attempt)
            for number, step in self.reader.steps.items()
            for attempt in step.superseded
        }
        for step in self.reader.steps.values():
            step.superseded.clear()
        for key, task in tuple(self.running.items()):
            if key[0] not in self.reader.steps or key in superseded:
                self.running.pop(key)
                await task.cancel(blocking=False)

    async def _start_attempts(self, tasks: TaskSet) -> None:
        limit = self._limit()
        now = self.state.clock.elapsed()
        for number, least in self._paced_steps():
            step = self.reader.steps[number]
            step.min_version = least
            free = limit - len(self.running)
            for start in step.schedule.start(free, now):
                task = await tasks.spawn(self._attempt, step, start)
                self.running[number, start.number] = task

    def _paced_steps(self) -> tuple[tuple[int, int], ...]:
        """Return the steps to generate now, each with its least version."""
        trainer = self.reader.trainer
        seen = self.state.targets.find_versions(trainer.pool)
        newest = max(seen.newest, self.reader.trainer_version)
        return list_ready_steps(
            tuple(self.reader.steps),
            EngineVersions(newest, seen.in_use),
            trainer.staleness_versions,
        )

    def _limit(self) -> int:
        state = self.state
        now = state.clock.elapsed()
        summaries = state.pools.fresh(self.reader.trainer.pool, now)
        return limit_attempts(state.plan, self.trainer_name, summaries)

    def _start_track(
        self,
        step: OpenStep,
        start: PlannedAttempt,
    ) -> AttemptProgress:
        """Return the track of an attempt: new, or doubling another."""
        other = self.tracks.get((step.number, start.hedged_attempt or 0))
        track = other.make_hedge() if other else AttemptProgress()
        self.tracks[step.number, start.number] = track
        return track

    async def _attempt(self, step: OpenStep, start: PlannedAttempt) -> None:
        outcome = 'cancelled'
        track = self._start_track(step, start)
        try:
            finished = await self.runner.run(step, start, track)
        except InvalidAttemptError as void:
            outcome = 'void'
            log.write('attempt is void', why=str(void))
            step.schedule.fail(start)
        except ServiceError as failure:
            outcome = failure.code.value.label
            step.schedule.fail(start)
        else:
            outcome = 'finished'
            await self.committer.add(step, finished)
            length = finished.row.spans[-1].stop
            await self._cancel_losers(step, start, length)
        finally:
            self._forget(step, start)
            self.state.metrics.attempts.labels(outcome).inc()

    def _forget(self, step: OpenStep, start: PlannedAttempt) -> None:
        key = (step.number, start.number)
        self.running.pop(key, None)
        self.tracks.pop(key, None)

    async def _cancel_losers(
        self,
        step: OpenStep,
        start: PlannedAttempt,
        length: int,
    ) -> None:
        now = self.state.clock.elapsed()
        for loser in step.schedule.finish(start, length, now):
            task = self.running.pop((step.number, loser), None)
            if task:
                await task.cancel(blocking=False)


def list_sample_duties(
    state: HostState,
    router: Router,
) -> tuple[DutyPlan, ...]:
    """Return the duties that make samples, one a trainer and shard."""
    plan = state.plan
    return tuple(
        DutyPlan(
            f'samples/{name}/{shard}',
            domains_of(state, trainer.labels),
            partial(SampleDuty, state, router, name, shard),
            outlasts_lease=True,
        )
        for name, trainer in plan.trainers.items()
        for shard in range(trainer.shards)
    )


def domains_of(state: HostState, labels: tuple[str, ...]) -> frozenset[str]:
    """Return the failure domains that may hold records of all labels."""
    domains = frozenset(state.plan.domains)
    for label in labels:
        domains &= frozenset(state.plan.labels[label].domains)
    return domains
