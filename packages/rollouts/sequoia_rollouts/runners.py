"""Runs the items of one submission that this host owns."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ShedError
from sequoia_policy.fleets import FleetTarget
from sequoia_policy.routing import Route
from sequoia_policy.submissions import (
    Item,
    ItemResult,
    ItemState,
    Submission,
    WorkQueue,
)
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.directories import Directory
from sequoia_rollouts.generations import (
    Generation,
    Generator,
    RunEnd,
    RunEndedError,
)
from sequoia_rollouts.live import seconds_of
from sequoia_rollouts.placers import EngineNeed, Placer
from sequoia_rollouts.recorders import Recorder
from sequoia_rollouts.rewards import NoRewardError, RewardCaller
from sequoia_rollouts.senders import Sender

IDLE_LOOK = timedelta(milliseconds=20)
REFUSAL_PAUSE = timedelta(milliseconds=100)
AGE_MARGIN = timedelta(seconds=1)

log = Log('runner')
SUBMISSION_WHOLE = log.event(
    'submission whole', 'submission', kind=LogKind.SUCCESS
)
ITEM_SENT = log.event(
    'item sent',
    'request_id',
    'submission',
    'target',
    'target_running',
    'target_version',
    'min_version',
    'events_before',
    kind=LogKind.SUCCESS,
)
RUN_ENDED = log.event(
    'run ended', 'request_id', 'submission', 'target', 'reason', 'events'
)
ITEM_DONE = log.event(
    'item done',
    'request_id',
    'submission',
    'waited',
    'generated',
    'rewarded',
    'events',
    'expected_tokens',
    'longest_gap',
    'versions',
    kind=LogKind.SUCCESS,
)
RUN_BROKE_OFF = log.event(
    'run broke off',
    'request_id',
    'submission',
    'target',
    'code',
    'detail',
    'events',
    'targets_age',
    kind=LogKind.FAILURE,
)
ITEM_DEAD = log.event(
    'item dead', 'request_id', 'submission', 'reason', kind=LogKind.FAILURE
)


@frozen
class RunnerParts:
    """What all runners of a host share."""

    clock: Clock
    directory: Directory
    sender: Sender
    placer: Placer
    rewards: RewardCaller


@frozen
class ItemRun:
    """One run of an item at one engine."""

    item: Item
    route: Route
    need: EngineNeed
    target: FleetTarget


@define(eq=False)
class SubmissionRunner:
    """Runs items until each has a result, or the submission is lost.

    Attributes:
        expires: When unfinished items are given up.
        created: When this host took the submission up.
        draining: Whether no further item starts.
    """

    parts: RunnerParts
    submission: Submission
    recorder: Recorder
    expires: timedelta
    draining: bool = False
    queue: WorkQueue = field(init=False)
    generations: dict[str, Generation] = field(factory=dict)
    active: int = 0
    created: timedelta = field(init=False)
    task: curio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Queue the items that have no result yet."""
        self.created = self.parts.clock.elapsed()
        self.queue = WorkQueue(self.submission)
        self.queue.drop({known.id for known in self.recorder.listed})

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
        return not self.active and not self.recorder.pending

    async def _run_items(self, group: curio.TaskGroup) -> None:
        await group.spawn(self.recorder.run)
        while not self.recorder.is_whole:
            item = None if self.draining else self.queue.take()
            if item is None:
                await curio.sleep(IDLE_LOOK.total_seconds())
            else:
                await self._dispatch(group, item)
        SUBMISSION_WHOLE.write(submission=self.submission.id)

    async def _dispatch(self, group: curio.TaskGroup, item: Item) -> None:
        route = self._find_route()
        if route is None or self.parts.clock.elapsed() > self.expires:
            self._bury(item, 'given up')
            return
        need = EngineNeed(
            route.choose_service(self.parts.rewards.chance),
            self.submission.model,
            self.submission.min_version,
        )
        target = self.parts.placer.choose_engine(need)
        if target is None:
            self.queue.put_back(item)
            await curio.sleep(IDLE_LOOK.total_seconds())
            return
        target.running += 1
        self.active += 1
        await group.spawn(
            self._run_item,
            ItemRun(item, route, need, target),
        )

    def _find_route(self) -> Route | None:
        configuration = self.parts.directory.configuration
        submission = self.submission
        return configuration.find_route(submission.host, submission.path)

    async def _run_item(self, run: ItemRun) -> None:
        try:
            generation = await self._generate(run)
            if generation is not None:
                await self._finish(run.item, generation)
        finally:
            self.active -= 1

    async def _generate(self, run: ItemRun) -> Generation | None:
        """Return the whole generation, or None if there is none yet."""
        item = run.item
        generation = self.generations.setdefault(item.id, Generation(item))
        ITEM_SENT.write(
            request_id=item.id,
            submission=self.submission.id,
            target=run.target.name,
            target_running=run.target.running,
            target_version=run.target.version_of(self.submission.model),
            min_version=self.submission.min_version,
            events_before=len(generation.texts),
        )
        generator = Generator(
            self.parts.clock,
            self.parts.sender,
            self.submission,
            run.route.single_version,
            lambda engine: self.parts.placer.finds_faster(run.need, engine),
        )
        try:
            await generator.run(generation, run.target)
        except ShedError as failure:
            await self._retry(item, run.target, failure)
        except RunEndedError as ended:
            self._take_end(run, ended.end)
        finally:
            self.parts.placer.release(run.target)
        return generation if generation.done else None

    def _take_end(self, run: ItemRun, end: RunEnd) -> None:
        RUN_ENDED.write(
            request_id=run.item.id,
            submission=self.submission.id,
            target=run.target.name,
            reason=end.value,
            events=self._count_events(run.item),
        )
        if end is RunEnd.MOVED:
            self.queue.put_back(run.item)
        elif end is RunEnd.FAILED:
            self._count_failure(run.item, run.route)
        else:
            self._bury(run.item, end.value)

    async def _finish(self, item: Item, generation: Generation) -> None:
        score = ''
        if item.reward:
            try:
                score = await self.parts.rewards.score(item.reward, self.queue)
            except NoRewardError as failure:
                self._bury(item, str(failure))
                return
        self.generations.pop(item.id, None)
        self._log_done(generation)
        self.recorder.add(
            ItemResult(
                item.id,
                ItemState.COMPLETED,
                generation.render(),
                tuple(sorted(generation.versions)),
                score,
            ),
        )

    def _log_done(self, generation: Generation) -> None:
        now = self.parts.clock.elapsed()
        started = generation.started or now
        moved = generation.moved or now
        ITEM_DONE.write(
            request_id=generation.item.id,
            submission=self.submission.id,
            waited=(started - self.created).total_seconds(),
            generated=(moved - started).total_seconds(),
            rewarded=(now - moved).total_seconds(),
            events=len(generation.texts),
            expected_tokens=generation.item.expected_tokens,
            longest_gap=generation.longest_gap.total_seconds(),
            versions=sorted(generation.versions),
        )

    async def _retry(
        self,
        item: Item,
        target: FleetTarget,
        failure: ShedError,
    ) -> None:
        now = self.parts.clock.elapsed()
        RUN_BROKE_OFF.write(
            request_id=item.id,
            submission=self.submission.id,
            target=target.name,
            code=failure.code.value.label,
            detail=failure.detail,
            events=self._count_events(item),
            targets_age=seconds_of(self.parts.directory.targets.age()),
        )
        if failure.code is Code.MISPLACED:
            self.parts.directory.fleet.remove(target.name, now, timedelta())
        elif failure.code is Code.TARGET_REFUSED:
            target.pause(now, REFUSAL_PAUSE)
        else:
            target.record_failure(now)
        if failure.verdict is Verdict.NOT_RUN:
            await curio.sleep(IDLE_LOOK.total_seconds())
        self.queue.put_back(item)

    def _count_events(self, item: Item) -> int:
        generation = self.generations.get(item.id)
        return len(generation.texts) if generation else 0

    def _count_failure(self, item: Item, route: Route) -> None:
        if self.queue.count_failure(item.id) >= route.max_attempts:
            self._bury(item, f'{route.max_attempts} failures')
        else:
            self.queue.put_back(item)

    def _bury(self, item: Item, reason: str) -> None:
        ITEM_DEAD.write(
            request_id=item.id,
            submission=self.submission.id,
            reason=reason,
        )
        self.generations.pop(item.id, None)
        self.recorder.add(ItemResult(item.id, ItemState.DEAD))
