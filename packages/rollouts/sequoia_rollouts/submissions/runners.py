"""Runs a submission that this host owns."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.preconditions import may_judge_route
from sequoia_policy.routing import Configuration, Route
from sequoia_policy.submissions import (
    Item,
    Submission,
    WorkQueue,
    return_zero,
)
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.streaming.generations import Generation
from sequoia_rollouts.submissions.dependencies import RunnerDependencies
from sequoia_rollouts.submissions.item_releases import ItemReleases
from sequoia_rollouts.submissions.item_runs import (
    ItemRun,
    ItemRunner,
)
from sequoia_rollouts.submissions.placers import EngineRequirements
from sequoia_rollouts.submissions.progress import ProgressSaver
from sequoia_rollouts.submissions.recorders import Recorder
from sequoia_rollouts.base.supervisors import supervise

IDLE_POLL_INTERVAL = timedelta(milliseconds=20)

log = Log('runner')
SUBMISSION_WHOLE = log.event(
    'submission whole', 'submission', kind=LogKind.SUCCESS
)
WAITS_FOR_CONFIGURATION = log.event(
    'waits for configuration',
    'submission',
    'accepted_under',
    'config_version',
    kind=LogKind.FAILURE,
)


@frozen
class Acceptance:
    """When and under what a submission was accepted.

    Attributes:
        time: Time of acceptance by the clock of this host.
        configuration_version: Version of the configuration at that time.
    """

    time: timedelta
    configuration_version: int = 0


@define(eq=False)
class SubmissionRunner:
    """Runs items until each has a result or this host loses the submission.

    Nothing is judged by a configuration older than that of the acceptance.

    Attributes:
        generations: Partial generations of items without a result, by item id.
        is_confirmed: Returns whether no other host may have taken over since
            this one knew that it owned the submission.
        count_later_steps: Returns the number of later steps of the model that
            run on this host and must wait for this one.
        may_start_items: Returns whether this host keeps its work.
    """

    dependencies: RunnerDependencies
    submission: Submission
    recorder: Recorder
    acceptance: Acceptance
    generations: dict[str, Generation] = field(factory=dict)
    is_confirmed: Callable[[], bool] = lambda: True
    count_later_steps: Callable[[], int] = return_zero
    may_start_items: Callable[[], bool] = lambda: True
    queue: WorkQueue = field(init=False)
    item_runner: ItemRunner = field(init=False)
    releases: ItemReleases = field(init=False)
    saver: ProgressSaver = field(init=False)
    task: curio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Queue the items that have no result yet."""
        self.queue = WorkQueue(self.submission, self.count_later_steps)
        finished = {item_result.id for item_result in self.recorder.stored}
        self.queue.discard_finished(finished)
        for item_id in finished & self.generations.keys():
            self.generations.pop(item_id)
        self.item_runner = ItemRunner(
            self.dependencies,
            self.submission,
            self.queue,
            self.recorder,
            self.dependencies.clock.elapsed(),
            self.generations,
        )
        self.releases = ItemReleases(
            self.dependencies.clock,
            self.dependencies.placer,
            self.submission.id,
            self.generations,
        )
        self.saver = ProgressSaver(
            self.recorder.committer.store,
            self.submission,
            lambda: self.recorder.version,
            self.generations,
        )
        for generation in self.generations.values():
            self.saver.mark_stored(generation)

    async def start(self) -> None:
        """Start the runner in the background."""
        self.task = await curio.spawn(self.run, daemon=True)

    async def stop(self) -> None:
        """Cancel all work without waiting for it."""
        if self.task:
            await self.task.cancel(blocking=False)

    async def run(self) -> None:
        """Run items until all have a result or the task is cancelled."""
        async with curio.TaskGroup(wait=all) as group:
            try:
                await self._run_items(group)
            finally:
                await group.cancel_remaining()

    @property
    def is_idle(self) -> bool:
        """Whether no item runs and no result waits to be written."""
        return not self.item_runner.active and not self.recorder.pending

    @property
    def is_late(self) -> bool:
        """Whether the trainer may have stopped waiting for the results."""
        route = self._find_route()
        return route is None or self._find_age() > route.due

    @property
    def may_dispatch(self) -> bool:
        """Whether to send further items."""
        return self.may_start_items() and self.is_confirmed()

    async def _run_items(self, group: curio.TaskGroup) -> None:
        await group.spawn(supervise, self.recorder.run)
        await group.spawn(supervise, self.saver.run)
        await self._wait_for_configuration()
        while not self.recorder.is_complete:
            item = self.queue.pop() if self.may_dispatch else None
            if item is None:
                await curio.sleep(IDLE_POLL_INTERVAL.total_seconds())
            else:
                await self._dispatch(group, item)
        SUBMISSION_WHOLE.write(submission=self.submission.id)

    async def _wait_for_configuration(self) -> None:
        """Wait until this host has the configuration of the acceptance."""
        accepted_under = self.acceptance.configuration_version
        if not may_judge_route(self._configuration.version, accepted_under):
            WAITS_FOR_CONFIGURATION.write(
                submission=self.submission.id,
                accepted_under=accepted_under,
                config_version=self._configuration.version,
            )
        while not may_judge_route(self._configuration.version, accepted_under):
            await curio.sleep(IDLE_POLL_INTERVAL.total_seconds())

    async def _dispatch(self, group: curio.TaskGroup, item: Item) -> None:
        route = self._find_route()
        if route is None:
            version = self._configuration.version
            self.item_runner.mark_dead(
                item, f'route removed in configuration {version}'
            )
            return
        if self._is_expired(route):
            self.item_runner.mark_dead(item, 'submission expired')
            return
        requirements = EngineRequirements(
            route.choose_service(self.dependencies.rewards.rng),
            self.submission.model,
            self.submission.min_version,
            self.releases.find(item),
        )
        target = self.dependencies.placer.choose_engine(requirements)
        if target is None:
            self._put_back(item, requirements)
            await curio.sleep(IDLE_POLL_INTERVAL.total_seconds())
            return
        await group.spawn(
            self.item_runner.run,
            ItemRun(item, route, requirements, target),
        )
        await curio.sleep(0)  # lets the run start and acquire its slot

    def _put_back(self, item: Item, requirements: EngineRequirements) -> None:
        if requirements.release:
            self.releases.record_wait(item, requirements)
            self.queue.defer(item, self.releases.is_bound)
        else:
            self.queue.requeue(item)

    @property
    def _configuration(self) -> Configuration:
        return self.dependencies.directory.configuration

    def _find_route(self) -> Route | None:
        return self._configuration.find_route(
            self.submission.host, self.submission.path
        )

    def _is_expired(self, route: Route) -> bool:
        return self._find_age() > route.max_age

    def _find_age(self) -> timedelta:
        return self.dependencies.clock.elapsed() - self.acceptance.time
