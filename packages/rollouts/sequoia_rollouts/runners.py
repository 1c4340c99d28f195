"""Works on one submission that this host owns."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.routing import Route
from sequoia_policy.submissions import Item, Submission, WorkQueue
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.generations import Generation
from sequoia_rollouts.item_runs import ItemRun, ItemRunner, RunnerDependencies
from sequoia_rollouts.supervisors import supervise
from sequoia_rollouts.placers import EngineNeed
from sequoia_rollouts.progress import ProgressSaver
from sequoia_rollouts.recorders import Recorder

IDLE_LOOK = timedelta(milliseconds=20)

log = Log('runner')
SUBMISSION_WHOLE = log.event(
    'submission whole', 'submission', kind=LogKind.SUCCESS
)


@define(eq=False)
class SubmissionRunner:
    """Runs items until each has a result, or the submission is lost.

    Attributes:
        expires: When unfinished items are given up.
        generations: What was generated of items without a result.
        draining: Whether no further item starts.
    """

    dependencies: RunnerDependencies
    submission: Submission
    recorder: Recorder
    expires: timedelta
    generations: dict[str, Generation] = field(factory=dict)
    draining: bool = False
    queue: WorkQueue = field(init=False)
    items: ItemRunner = field(init=False)
    saver: ProgressSaver = field(init=False)
    task: curio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Queue the items that have no result yet."""
        self.queue = WorkQueue(self.submission)
        listed = {known.id for known in self.recorder.listed}
        self.queue.discard_finished(listed)
        for done in listed & self.generations.keys():
            self.generations.pop(done)
        self.items = ItemRunner(
            self.dependencies,
            self.submission,
            self.queue,
            self.recorder,
            self.dependencies.clock.elapsed(),
            self.generations,
        )
        self.saver = ProgressSaver(
            self.recorder.committer.store,
            self.submission,
            lambda: self.recorder.version,
            self.generations,
        )
        for generation in self.generations.values():
            self.saver.note_stored(generation)

    async def start(self) -> None:
        """Run in the background."""
        self.task = await curio.spawn(self.run, daemon=True)

    async def stop(self) -> None:
        """End all work at once."""
        if self.task:
            await self.task.cancel(blocking=False)

    async def run(self) -> None:
        """Run items until all have a result, or cancelled."""
        async with curio.TaskGroup(wait=all) as group:
            try:
                await self._run_items(group)
            finally:
                await group.cancel_remaining()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way."""
        return not self.items.active and not self.recorder.pending

    async def _run_items(self, group: curio.TaskGroup) -> None:
        await group.spawn(supervise, self.recorder.run)
        await group.spawn(supervise, self.saver.run)
        while not self.recorder.is_whole:
            item = None if self.draining else self.queue.pop()
            if item is None:
                await curio.sleep(IDLE_LOOK.total_seconds())
            else:
                await self._dispatch(group, item)
        SUBMISSION_WHOLE.write(submission=self.submission.id)

    async def _dispatch(self, group: curio.TaskGroup, item: Item) -> None:
        route = self._find_route()
        if route is None or self.dependencies.clock.elapsed() > self.expires:
            self.items.mark_dead(item, 'given up')
            return
        need = EngineNeed(
            route.choose_service(self.dependencies.rewards.chance),
            self.submission.model,
            self.submission.min_version,
        )
        target = self.dependencies.placer.choose_engine(need)
        if target is None:
            self.queue.requeue(item)
            await curio.sleep(IDLE_LOOK.total_seconds())
            return
        await group.spawn(
            self.items.run,
            ItemRun(item, route, need, target),
        )
        await curio.sleep(0)  # the run takes its slot when it starts

    def _find_route(self) -> Route | None:
        configuration = self.dependencies.directory.configuration
        submission = self.submission
        return configuration.find_route(submission.host, submission.path)
