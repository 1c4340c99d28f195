"""Answers callers about submissions: accept, read, body, end."""

from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import ItemResult, Ownership, Submission
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.archives import Archive, StoredSubmission
from sequoia_rollouts.directories import Directory
from sequoia_rollouts.item_runs import RunnerDependencies
from sequoia_rollouts.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.recorders import Recorder
from sequoia_rollouts.runners import SubmissionRunner
from sequoia_rollouts.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowRange,
    Store,
    Transaction,
)
from sequoia_rollouts.tables import (
    submission_key,
    write_ownership,
    write_specification,
)

ACCEPT_PATIENCE = timedelta(milliseconds=2500)
END_PATIENCE = timedelta(milliseconds=2500)
READ_PERIOD = timedelta(milliseconds=120)
RETRY_AFTER = timedelta(milliseconds=500)
STATUS_SPAN = timedelta(seconds=120)
PAGE_BYTES = 700_000  # of one answer with results
START_PAUSE = timedelta(milliseconds=200)

log = Log('submission')
SUBMISSION_ACCEPTED = log.event(
    'submission accepted', 'submission', 'items', 'step', 'owner'
)
SUBMISSION_ENDED = log.event('submission ended', 'submission')
CANNOT_START_YET = log.event(
    'cannot start yet', 'submission', 'detail', kind=LogKind.FAILURE
)


@frozen
class ResultPage:
    """Results of a submission from a position on."""

    total: int
    after: int
    results: tuple[ItemResult, ...] = field(repr=False)


@define
class SubmissionHandler:
    """Accepts submissions, runs those it owns, and answers about all.

    Attributes:
        runners: Submissions that run here, by id.
        starting: Submissions that are about to run here.
    """

    store: Store
    clock: Clock
    directory: Directory
    dependencies: RunnerDependencies
    ownership: OwnershipTable
    runners: dict[str, SubmissionRunner] = field(factory=dict)
    starting: set[str] = field(factory=set)
    archive: Archive = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the reader of stored rows."""
        self.archive = Archive(self.store)

    async def accept(self, submission: Submission) -> None:
        """Keep a submission; return once it cannot be lost.

        Raises:
            ServiceError: With verdict NOT_RUN only if no item runs.
        """
        if submission.id in self.ownership.submissions:
            return
        ownership = await self._keep(submission)
        if ownership is None:
            return
        await self.ownership.note(ownership)
        SUBMISSION_ACCEPTED.write(
            submission=submission.id,
            items=len(submission.items),
            step=submission.step,
            owner=ownership.ownership.owner,
        )

    async def read(
        self,
        submission_id: str,
        after: int,
        patience: timedelta,
    ) -> ResultPage:
        """Return the results from a position on.

        Raises:
            ServiceError: With code UNKNOWN_STEP only if there is surely no such
                submission.
        """
        end = self.clock.elapsed() + patience
        owned = await self._find(submission_id)
        total = owned.ownership.total
        found: tuple[ItemResult, ...] = ()
        while after < total and not found:
            found = await self._read_once(submission_id, after, end)
            if self.clock.elapsed() + READ_PERIOD >= end:
                break
            if not found:
                await curio.sleep(READ_PERIOD.total_seconds())
        return ResultPage(total, after, found)

    async def read_body(self, submission_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        Raises:
            ServiceError: With code UNKNOWN_STEP only if there is surely no such
                item.
        """
        runner = self.runners.get(submission_id)
        if runner:
            submission = runner.submission
        else:
            await self._find(submission_id)
            submission = await self.archive.read_submission(submission_id)
        item = submission.find_item(item_id)
        if item is None:
            raise ServiceError(Code.UNKNOWN_STEP, item_id)
        return item.body

    async def end(self, submission_id: str) -> None:
        """Stop a submission; return once the store has that.

        Raises:
            ServiceError: If the store does not take it.
        """
        stop_at = self.clock.elapsed() + END_PATIENCE
        owned = await self._find(submission_id)
        while not owned.ownership.ended:
            ended = evolve(owned.ownership, ended=True)
            owned = await self._write_end(owned, ended, stop_at)

    async def take_change(self, owned: OwnedSubmission) -> None:
        """Start or stop work after a change of ownership."""
        runner = self.runners.get(owned.id)
        mine = owned.ownership.owner == self.ownership.heartbeats.owner
        if owned.ownership.ended or not mine:
            if runner:
                self.runners.pop(owned.id, None)
                await runner.stop()
        elif runner:
            runner.recorder.version = owned.version
        elif owned.id not in self.starting:
            self.starting.add(owned.id)
            await curio.spawn(self._start, owned, daemon=True)

    async def _start(self, owned: OwnedSubmission) -> None:
        try:
            while not await self._try_start(owned.id):
                await curio.sleep(START_PAUSE.total_seconds())
        finally:
            self.starting.discard(owned.id)

    async def _try_start(self, submission_id: str) -> bool:
        """Start a submission unless it was lost meanwhile."""
        if not self._is_mine(submission_id):
            return True
        try:
            stored = await self.archive.read_work(submission_id)
        except ServiceError as failure:
            CANNOT_START_YET.write(
                submission=submission_id,
                detail=failure.detail,
            )
            return False
        if self._is_mine(submission_id):
            await self._run(stored)
        return True

    async def _run(self, stored: StoredSubmission) -> None:
        submission = stored.submission
        owned = self.ownership.submissions[submission.id]
        recorder = Recorder(
            Committer(self.store, self.clock),
            submission,
            owned.version,
            list(stored.listed),
        )
        route = self.directory.configuration.find_route(
            submission.host,
            submission.path,
        )
        age = stored.now - owned.ownership.accepted
        longest = route.max_age if route else STATUS_SPAN
        runner = SubmissionRunner(
            self.dependencies,
            submission,
            recorder,
            self.clock.elapsed() - age + longest,
            stored.generations,
        )
        self.runners[submission.id] = runner
        await runner.start()

    def _is_mine(self, submission_id: str) -> bool:
        owned = self.ownership.submissions.get(submission_id)
        if owned is None or owned.ownership.ended:
            return False
        return owned.ownership.owner == self.ownership.heartbeats.owner

    async def _keep(self, submission: Submission) -> OwnedSubmission | None:
        """Write a new submission; None if it was there before."""
        pieces = write_specification(submission)
        ownership = Ownership(
            self.ownership.choose_owner(submission.model or submission.path),
            len(submission.items),
            len(pieces),
            accepted=self.ownership.heartbeats.store_now(),
            model=submission.model,
            min_version=submission.min_version,
            newest_version=self.directory.newest_version(submission.model),
        )
        writes = (write_ownership(submission.id, ownership), *pieces)
        guards = tuple(Guard(write.key, ABSENT) for write in writes)
        committer = Committer(self.store, self.clock)
        try:
            version = await committer.commit(
                Transaction(writes, guards),
                ACCEPT_PATIENCE,
            )
        except ConflictError as conflict:
            if conflict.find(submission_key(submission.id)) is None:
                raise ServiceError(
                    Code.STORE_CONFLICT,
                    verdict=Verdict.MAY_HAVE_RUN,
                ) from conflict
            return None
        return OwnedSubmission(submission.id, ownership, version)

    async def _find(self, submission_id: str) -> OwnedSubmission:
        """Return a submission's ownership, from the store if need be."""
        known = self.ownership.submissions.get(submission_id)
        if known:
            return known
        key = submission_key(submission_id)
        page = await self.store.read(
            RowRange(key.table, key.part, key.key, f'{key.key}\0'),
        )
        for row in page.rows:
            await self.ownership.follower.on_change(row)
        known = self.ownership.submissions.get(submission_id)
        if known is None:
            raise ServiceError(Code.UNKNOWN_STEP, submission_id)
        return known

    async def _read_once(
        self,
        submission_id: str,
        after: int,
        end: timedelta,
    ) -> tuple[ItemResult, ...]:
        """Return results that are listed now, cut to the size of a page."""
        runner = self.runners.get(submission_id)
        if runner:
            left = end - self.clock.elapsed()
            await runner.recorder.wait(after, max(timedelta(), left))
            found = tuple(runner.recorder.listed[after:])
            if found:
                return cut_page(found)
        return cut_page(await self.archive.read_results(submission_id, after))

    async def _write_end(
        self,
        owned: OwnedSubmission,
        ended: Ownership,
        stop_at: timedelta,
    ) -> OwnedSubmission:
        transaction = Transaction(
            (write_ownership(owned.id, ended),),
            (Guard(submission_key(owned.id), owned.version),),
        )
        committer = Committer(self.store, self.clock)
        left = stop_at - self.clock.elapsed()
        try:
            version = await committer.commit(transaction, left)
        except ConflictError as conflict:
            for row in conflict.rows:
                await self.ownership.follower.on_change(row)
            return self.ownership.submissions[owned.id]
        changed = OwnedSubmission(owned.id, ended, version)
        await self.ownership.note(changed)
        SUBMISSION_ENDED.write(submission=owned.id)
        return changed


def cut_page(found: tuple[ItemResult, ...]) -> tuple[ItemResult, ...]:
    """Return the first results that fit into one answer, at least one."""
    size = 0
    for count, outcome in enumerate(found):
        size += len(outcome.text)
        if count and size > PAGE_BYTES:
            return found[:count]
    return found
