"""The duty that generates the samples of one shard of a trainer."""

from datetime import timedelta
from functools import partial

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.samples import InvalidAttemptError
from sequoia_policy.schedules import PlannedAttempt
from sequoia_policy.shares import limit_attempts
from sequoia_policy.step_versions import EngineVersions, list_ready_steps
from sequoia_wire.logs import Log

from sequoiashed.attempts import AttemptProgress, AttemptRunner
from sequoiashed.committers import SampleCommitter
from sequoiashed.grants import DutyPlan, Grant
from sequoiashed.routers import Router
from sequoiashed.states import HostState
from sequoiashed.steps import OpenStep, StepReader
from sequoiashed.tasks import TaskSet

REFRESH_INTERVAL = timedelta(milliseconds=500)
START_INTERVAL = timedelta(milliseconds=100)

log = Log('sampler')


@define
class SampleDuty:
    """Runs attempts for the open steps of one trainer, in one shard.

    Slot rows are written conditionally, so two concurrent holders of the
    lease duplicate work but cannot corrupt a step.

    Attributes:
        running: Tasks of attempts, by step and attempt number.
        attempt_progress: Progress of these attempts, by the same key.
    """

    state: HostState
    router: Router
    trainer_name: str
    shard: int
    reader: StepReader = field(init=False)
    runner: AttemptRunner = field(init=False)
    committer: SampleCommitter = field(init=False)
    running: dict[tuple[int, int], curio.Task] = field(factory=dict)
    attempt_progress: dict[tuple[int, int], AttemptProgress] = field(
        factory=dict
    )
    refreshed_at: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Create the reader, runner and committer of the trainer."""
        name = self.trainer_name
        self.reader = StepReader(self.state, name, self.shard)
        self.runner = AttemptRunner(self.state, self.router, name)
        self.committer = SampleCommitter(self.state, name)

    async def run(self, grant: Grant) -> None:
        """Generate samples until cancelled."""
        async with TaskSet() as tasks:
            await tasks.spawn(self.committer.run)
            while True:
                await self._refresh()
                if not self.committer.is_full:
                    await self._start_attempts(tasks)
                await curio.sleep(START_INTERVAL.total_seconds())

    async def _refresh(self) -> None:
        now = self.state.clock.elapsed()
        if self.refreshed_at and now - self.refreshed_at < REFRESH_INTERVAL:
            return
        self.refreshed_at = now
        try:
            await self.reader.refresh()
        except ServiceError as error:
            self.state.metrics.store_errors.labels('steps').inc()
            log.write('failed to read the open steps', detail=error.detail)
        self.committer.drop_other_steps(self.reader.steps)
        await self._cancel_obsolete()

    async def _cancel_obsolete(self) -> None:
        """Cancel attempts of closed steps and of filled slots."""
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
        limit = self._find_attempt_limit()
        now = self.state.clock.elapsed()
        for number, min_version in self._list_ready_steps():
            step = self.reader.steps[number]
            step.min_version = min_version
            free = limit - len(self.running)
            for planned in step.schedule.start(free, now):
                task = await tasks.spawn(self._run_attempt, step, planned)
                self.running[number, planned.number] = task

    def _list_ready_steps(self) -> tuple[tuple[int, int], ...]:
        """Return the steps to generate now, each with its minimum version."""
        trainer = self.reader.trainer
        versions = self.state.targets.find_versions(trainer.pool)
        newest = max(versions.newest, self.reader.trainer_version)
        return list_ready_steps(
            tuple(self.reader.steps),
            EngineVersions(newest, versions.in_use),
            trainer.staleness_versions,
        )

    def _find_attempt_limit(self) -> int:
        state = self.state
        now = state.clock.elapsed()
        summaries = state.pools.fresh(self.reader.trainer.pool, now)
        return limit_attempts(state.plan, self.trainer_name, summaries)

    def _register_progress(
        self,
        step: OpenStep,
        planned: PlannedAttempt,
    ) -> AttemptProgress:
        """Register progress; a hedge starts from that of the hedged attempt."""
        hedged = self.attempt_progress.get(
            (step.number, planned.hedged_attempt or 0)
        )
        progress = hedged.make_hedge() if hedged else AttemptProgress()
        self.attempt_progress[step.number, planned.number] = progress
        return progress

    async def _run_attempt(
        self, step: OpenStep, planned: PlannedAttempt
    ) -> None:
        outcome = 'cancelled'
        progress = self._register_progress(step, planned)
        try:
            finished = await self.runner.run(step, planned, progress)
        except InvalidAttemptError as error:
            outcome = 'void'
            log.write('attempt is invalid', why=str(error))
            step.schedule.fail(planned)
        except ServiceError as error:
            outcome = error.code.value.label
            step.schedule.fail(planned)
        else:
            outcome = 'finished'
            await self.committer.add(step, finished)
            length = finished.row.spans[-1].stop
            await self._cancel_other_attempts(step, planned, length)
        finally:
            self._remove_attempt(step, planned)
            self.state.metrics.attempts.labels(outcome).inc()

    def _remove_attempt(self, step: OpenStep, planned: PlannedAttempt) -> None:
        key = (step.number, planned.number)
        self.running.pop(key, None)
        self.attempt_progress.pop(key, None)

    async def _cancel_other_attempts(
        self,
        step: OpenStep,
        planned: PlannedAttempt,
        length: int,
    ) -> None:
        """Record a finished attempt and cancel the others of its slot."""
        now = self.state.clock.elapsed()
        for attempt_number in step.schedule.finish(planned, length, now):
            task = self.running.pop((step.number, attempt_number), None)
            if task:
                await task.cancel(blocking=False)


def list_sample_duties(
    state: HostState,
    router: Router,
) -> tuple[DutyPlan, ...]:
    """Return the sampling duties, one per trainer and shard."""
    plan = state.plan
    return tuple(
        DutyPlan(
            f'samples/{name}/{shard}',
            find_allowed_domains(state, trainer.labels),
            partial(SampleDuty, state, router, name, shard),
            outlasts_lease=True,
        )
        for name, trainer in plan.trainers.items()
        for shard in range(trainer.shards)
    )


def find_allowed_domains(
    state: HostState, labels: tuple[str, ...]
) -> frozenset[str]:
    """Return the failure domains that may store records of every label."""
    domains = frozenset(state.plan.domains)
    for label in labels:
        domains &= frozenset(state.plan.labels[label].domains)
    return domains
