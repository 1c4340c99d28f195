"""Runs an item at an engine and scores the generated text."""

from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route
from sequoia_policy.submissions import (
    Item,
    ItemResult,
    ItemState,
    Submission,
    WorkQueue,
)
from sequoia_policy.target_failures import record_target_failure
from sequoia_policy.verdicts import Verdict
from sequoia_wire.durations import seconds_of
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.streaming.generations import (
    Generation,
    GenerationRunner,
    RunEnd,
    RunEndedError,
)
from sequoia_rollouts.submissions.dependencies import RunnerDependencies
from sequoia_rollouts.submissions.placers import EngineRequirements
from sequoia_rollouts.submissions.recorders import Recorder
from sequoia_rollouts.submissions.rewards import RewardFailedError

REQUEUE_DELAY = timedelta(milliseconds=20)
REFUSAL_BACKOFF = timedelta(milliseconds=100)

log = Log('runner')
ITEM_SENT = log.event(
    'item sent',
    'request_id',
    'submission',
    'target',
    'target_running',
    'target_version',
    'target_release',
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
ITEM_FAILED = log.event(
    'item failed', 'request_id', 'submission', 'error', kind=LogKind.FAILURE
)
ITEM_DEAD = log.event(
    'item dead', 'request_id', 'submission', 'reason', kind=LogKind.FAILURE
)


@frozen
class ItemRun:
    """An attempt to generate an item at one engine."""

    item: Item
    route: Route
    requirements: EngineRequirements
    target: RegisteredTarget


@define(eq=False)
class ItemRunner:
    """Runs the items of one submission, each until it has a result.

    Attributes:
        started_at: When this host started to run the submission.
        generations: Partial generations of the items without a result, by
            item id.
        active: Number of items that are generated or scored now.
    """

    dependencies: RunnerDependencies
    submission: Submission
    queue: WorkQueue
    recorder: Recorder
    started_at: timedelta
    generations: dict[str, Generation] = field(factory=dict)
    active: int = 0

    async def run(self, run: ItemRun) -> None:
        """Run an item at its engine; requeue it if the run ends early."""
        self.active += 1
        self.dependencies.placer.acquire(run.target)
        try:
            await self._generate_and_score(run)
        except Exception as error:  # noqa: BLE001
            ITEM_FAILED.write(
                request_id=run.item.id,
                submission=self.submission.id,
                error=repr(error),
            )
            await curio.sleep(REFUSAL_BACKOFF.total_seconds())
            self.queue.requeue(run.item)
        finally:
            self.active -= 1

    def mark_dead(self, item: Item, reason: str) -> None:
        """Record an item as dead, so that it is not run again."""
        ITEM_DEAD.write(
            request_id=item.id,
            submission=self.submission.id,
            reason=reason,
        )
        self.generations.pop(item.id, None)
        self.queue.finish(item)
        self.recorder.add(ItemResult(item.id, ItemState.DEAD))

    async def _generate_and_score(self, run: ItemRun) -> None:
        generation = await self._generate(run)
        if generation is not None:
            await self._finish(run.item, generation)

    async def _generate(self, run: ItemRun) -> Generation | None:
        """Return the generation, or None if it is not complete yet."""
        item = run.item
        generation = self.generations.setdefault(item.id, Generation(item))
        ITEM_SENT.write(
            request_id=item.id,
            submission=self.submission.id,
            target=run.target.name,
            target_running=run.target.running,
            target_version=run.target.version_of(self.submission.model),
            target_release=run.target.registration.release,
            min_version=self.submission.min_version,
            events_before=len(generation.events),
        )
        generator = GenerationRunner(
            self.dependencies.clock,
            self.dependencies.sender,
            self.submission,
            run.route.single_version,
            lambda engine: self.dependencies.placer.has_faster_engine(
                evolve(run.requirements, release=generation.release), engine
            ),
            self.dependencies.directory.registry.is_current,
        )
        try:
            await generator.run(generation, run.target)
        except ServiceError as failure:
            await self._retry(item, run.target, failure)
        except RunEndedError as ended:
            self._handle_run_end(run, ended.end)
        finally:
            self.dependencies.placer.release(run.target)
        return generation if generation.done else None

    def _handle_run_end(self, run: ItemRun, end: RunEnd) -> None:
        RUN_ENDED.write(
            request_id=run.item.id,
            submission=self.submission.id,
            target=run.target.name,
            reason=end.value,
            events=self._count_events(run.item),
        )
        if end is RunEnd.MOVED:
            self.queue.requeue(run.item)
        elif end is RunEnd.FAILED:
            self._count_failure(run.item, run.route)
        else:
            self.mark_dead(run.item, end.value)

    async def _finish(self, item: Item, generation: Generation) -> None:
        score = ''
        if item.reward:
            try:
                score = await self.dependencies.rewards.score(
                    item,
                    item.reward,
                    self.queue,
                )
            except RewardFailedError as failure:
                self.mark_dead(item, str(failure))
                return
        self.generations.pop(item.id, None)
        self._log_done(generation)
        self.queue.finish(item)
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
        now = self.dependencies.clock.elapsed()
        started = generation.started or now
        moved = generation.moved or now
        ITEM_DONE.write(
            request_id=generation.item.id,
            submission=self.submission.id,
            waited=(started - self.started_at).total_seconds(),
            generated=(moved - started).total_seconds(),
            rewarded=(now - moved).total_seconds(),
            events=len(generation.events),
            expected_tokens=generation.item.expected_tokens,
            longest_gap=generation.longest_gap.total_seconds(),
            versions=sorted(generation.versions),
        )

    async def _retry(
        self,
        item: Item,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        now = self.dependencies.clock.elapsed()
        RUN_BROKE_OFF.write(
            request_id=item.id,
            submission=self.submission.id,
            target=target.name,
            code=failure.code.value.label,
            detail=failure.detail,
            events=self._count_events(item),
            targets_age=seconds_of(self.dependencies.directory.targets_age()),
        )
        record_target_failure(
            self.dependencies.directory.registry,
            target,
            failure,
            now,
            REFUSAL_BACKOFF,
        )
        if failure.verdict is Verdict.NOT_RUN:
            await curio.sleep(REQUEUE_DELAY.total_seconds())
        self.queue.requeue(item)

    def _count_events(self, item: Item) -> int:
        generation = self.generations.get(item.id)
        return len(generation.events) if generation else 0

    def _count_failure(self, item: Item, route: Route) -> None:
        if self.queue.count_failure(item.id) >= route.max_attempts:
            self.mark_dead(
                item, f'{route.max_attempts} failures of the item at engines'
            )
        else:
            self.queue.requeue(item)
